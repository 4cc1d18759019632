package objectapi

import (
	"bytes"
	"context"
	"io"
	"net"
	"runtime"
	"testing"
	"time"
)

// Guards against a reply whose head never ends and that a client keeps until the call's
// deadline or the bound of net/http, 10 MB.
func TestEndlessReplyHead(t *testing.T) {
	const maxAllocated = 1 << 20
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				block := bytes.Repeat([]byte("x"), 32<<10)
				_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nLong: ")
				for err == nil {
					_, err = conn.Write(block)
				}
			}()
		}
	}()
	c := New(Options{URLs: []string{"http://" + ln.Addr().String()}, Rate: 100, Burst: 100})
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if _, err := c.Get(ctx, "bundles/active"); err == nil {
		t.Error("an endless head was taken for a reply")
	}
	runtime.ReadMemStats(&after)
	if n := after.TotalAlloc - before.TotalAlloc; n > maxAllocated {
		t.Errorf("allocated %d bytes, want at most %d", n, maxAllocated)
	}
}
