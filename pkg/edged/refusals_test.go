package edged

import "testing"

// Guards against a client that fills the log with lines about its refusals, and against
// lines that do not say how many others there were.
func TestRefusalLinesAreBounded(t *testing.T) {
	var l lineLimit
	written := 0
	for range 100 {
		if _, ok := l.allowLine(7); ok {
			written++
		}
	}
	if written != maxRefusalLinesPerSecond {
		t.Errorf("%d lines in a second, want %d", written, maxRefusalLinesPerSecond)
	}
	if leftOut, ok := l.allowLine(8); !ok || leftOut != 100-maxRefusalLinesPerSecond {
		t.Errorf("the next line says that %d were left out (%v)", leftOut, ok)
	}
}

// Guards against buffers of the kernel and budgets that exceed the memory of a VM together,
// at today's sizes.
func TestMemorySharesFit(t *testing.T) {
	for _, s := range []Settings{{Descriptors: 4100, Memory: 184 << 20}, {Descriptors: 8192, Memory: 536 << 20}} {
		conns := s.maxCallerConns() + s.maxDirectoryConns() + maxReadyConns + maxAdminConns + maxViewConns
		kernel := int64(2*s.receiveBuffer()) * int64(conns)
		if sum := kernel + int64(float64(s.Memory)*goMemoryShare); sum > s.Memory {
			t.Errorf("%d bytes of the kernel and of the process, with %d", sum, s.Memory)
		}
	}
}
