package netpeek

import (
	"errors"
	"net"
	"testing"
	"time"
)

// Guards against input or an end that is not seen, and against a look that reads
// or waits.
func TestPeek(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	peer, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	await := func(want Waiting) {
		t.Helper()
		for end := time.Now().Add(time.Second); ; time.Sleep(time.Millisecond) {
			got, err := Peek(c)
			if err != nil {
				t.Fatal(err)
			}
			if got == want {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("peek gives %d, want %d", got, want)
			}
		}
	}
	await(Nothing)
	if _, err := peer.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	await(Input)
	await(Input)
	if _, err := c.Read(make([]byte, 8)); err != nil {
		t.Fatal(err)
	}
	await(Nothing)
	peer.Close()
	await(End)
	c.Close()
	if _, err := Peek(c); !errors.Is(err, ErrPeek) {
		t.Errorf("closed connection: %v", err)
	}
	if _, err := Peek(nil); !errors.Is(err, ErrPeek) {
		t.Errorf("no connection: %v", err)
	}
}
