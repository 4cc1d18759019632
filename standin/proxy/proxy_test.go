package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// echo answers each line with the same line.
func echo(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return ln.Addr().String()
}

// ask sends a line and returns the answer, or the error after 200 ms.
func ask(c net.Conn, line string) (string, error) {
	_ = c.SetDeadline(time.Now().Add(200 * time.Millisecond))
	if _, err := fmt.Fprintln(c, line); err != nil {
		return "", err
	}
	answer, err := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(answer), err
}

// Guards against a soak whose faults do not happen.
func TestFaults(t *testing.T) {
	l, err := Start(echo(t))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	c := dial()
	if got, err := ask(c, "a"); got != "a" || err != nil {
		t.Fatalf("got %q, %v", got, err)
	}
	l.Set(Faults{Delay: 30 * time.Millisecond})
	begin := time.Now()
	if got, err := ask(c, "b"); got != "b" || err != nil || time.Since(begin) < 60*time.Millisecond {
		t.Errorf("delayed: %q, %v after %v", got, err, time.Since(begin))
	}
	for name, f := range map[string]Faults{"requests": {DropRequests: true}, "answers": {DropAnswers: true}} {
		silent := dial()
		l.Set(f)
		if got, err := ask(silent, "c"); err == nil {
			t.Errorf("%s dropped: got %q", name, got)
		}
		l.Set(Faults{})
		if got, err := ask(silent, "d"); err == nil {
			t.Errorf("%s: a connection that lost bytes answers %q", name, got)
		}
		if got, err := ask(dial(), "e"); got != "e" || err != nil {
			t.Errorf("%s: a new connection: %q, %v", name, got, err)
		}
	}
	l.Reset()
	if got, err := ask(c, "f"); err == nil {
		t.Errorf("reset: got %q", got)
	}
}
