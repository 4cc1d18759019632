package netpeek

import (
	"errors"
	"net"
	"testing"
	"time"
)

// Guards against input or a close of the peer that is not detected, and against a Peek
// that consumes input or blocks.
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
	await := func(want Status) {
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
				t.Fatalf("Peek returned %d for 1 s, want %d", got, want)
			}
		}
	}
	await(NoInput)
	if _, err := peer.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	await(HasInput)
	await(HasInput)
	if _, err := c.Read(make([]byte, 8)); err != nil {
		t.Fatal(err)
	}
	await(NoInput)
	peer.Close()
	await(PeerClosed)
	c.Close()
	if _, err := Peek(c); !errors.Is(err, ErrPeek) {
		t.Errorf("closed connection: %v", err)
	}
	if _, err := Peek(nil); !errors.Is(err, ErrPeek) {
		t.Errorf("no connection: %v", err)
	}
}
