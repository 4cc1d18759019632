package leafconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// fakeLeaf answers each request by a function that gets the request's number on its
// connection.
type fakeLeaf struct {
	listener net.Listener
	conns    atomic.Int64
	requests atomic.Int64
}

func startLeaf(t *testing.T, answer func(conn net.Conn, n int, r *http.Request)) *fakeLeaf {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &fakeLeaf{listener: ln}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			l.conns.Add(1)
			go l.serve(conn, answer)
		}
	}()
	return l
}

func (l *fakeLeaf) serve(conn net.Conn, answer func(net.Conn, int, *http.Request)) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		l.requests.Add(1)
		answer(conn, n, r)
	}
}

func respond(w io.Writer, id, extra, body string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, extra, len(body), body)
}

// matchIf returns a Match function for answers that all name a request.
func matchIf(ours func(*http.Response) bool) func(*http.Response) Match {
	return func(resp *http.Response) Match {
		if ours(resp) {
			return MatchOwn
		}
		return MatchForeign
	}
}

func (l *fakeLeaf) newExchange(t *testing.T, id string) *Exchange {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://leaf/path", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Id", id)
	return &Exchange{
		Server: "leaf", Address: l.listener.Addr().String(), Request: r, LeafDeadline: time.Now().Add(time.Second), MaxIdle: 2,
		Match: matchIf(func(resp *http.Response) bool { return resp.Header.Get("Id") == id }),
	}
}

// Guards against an extra answer to an earlier request that is taken for the answer to
// the next one: a connection that received bytes while it was idle must be closed.
func TestExtraAnswerOnIdleConnection(t *testing.T) {
	l := startLeaf(t, func(conn net.Conn, n int, r *http.Request) {
		respond(conn, r.Header.Get("Id"), "", "body of "+r.Header.Get("Id"))
		if n == 0 {
			respond(conn, r.Header.Get("Id"), "", "extra")
		}
	})
	p := NewPool(nil, NewBudget(1<<20))
	defer p.Close()
	for i := range 3 {
		id := fmt.Sprint(i)
		a, err := p.Do(l.newExchange(t, id))
		if err != nil || string(a.Body) != "body of "+id {
			t.Fatalf("answer %+v, %v", a, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if got := l.conns.Load(); got != 3 {
		t.Errorf("%d connections for 3 requests, want 3: an extra answer follows the first one on each", got)
	}
}

// Guards against a late answer to another request that is taken for the answer to this
// one.
func TestForeignAnswerIsSkipped(t *testing.T) {
	l := startLeaf(t, func(conn net.Conn, _ int, r *http.Request) {
		respond(conn, "foreign", "", "wrong")
		respond(conn, r.Header.Get("Id"), "", "right")
	})
	p := NewPool(nil, NewBudget(1<<20))
	defer p.Close()
	for _, id := range []string{"a", "b"} {
		a, err := p.Do(l.newExchange(t, id))
		if err != nil || string(a.Body) != "right" {
			t.Errorf("answer %+v, %v", a, err)
		}
	}
	if got := l.conns.Load(); got != 2 {
		t.Errorf("a connection with a foreign answer was used again")
	}
}

// Guards against a broken answer that counts as complete, and against a request that is
// sent twice.
func TestBrokenAnswers(t *testing.T) {
	for name, x := range map[string]struct {
		answer func(conn net.Conn)
		want   error
	}{
		"short": {func(c net.Conn) {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nshort")
			c.Close()
		}, ErrReceive},
		"not HTTP": {func(c net.Conn) { fmt.Fprint(c, "hello\r\n\r\n"); c.Close() }, ErrReceive},
		"closed":   {func(c net.Conn) { c.Close() }, ErrReceive},
		"foreign":  {func(c net.Conn) { respond(c, "b", "Connection: close\r\n", "x"); c.Close() }, ErrForeignAnswer},
		"cut chunk": {func(c net.Conn) {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab")
			c.Close()
		}, ErrReceive},
		"reset without length": {func(c net.Conn) {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nabc")
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}, ErrReceive},
	} {
		l := startLeaf(t, func(c net.Conn, _ int, _ *http.Request) { x.answer(c) })
		p := NewPool(nil, NewBudget(1<<20))
		a, err := p.Do(l.newExchange(t, "a"))
		if a != nil || !errors.Is(err, x.want) {
			t.Errorf("%s: answer %+v, error %v", name, a, err)
		}
		if l.requests.Load() != 1 {
			t.Errorf("%s: the leaf received %d requests, want 1", name, l.requests.Load())
		}
		p.Close()
	}
}

// Guards against refusing an answer without a length whose connection was closed in
// order.
func TestAnswerUntilEnd(t *testing.T) {
	l := startLeaf(t, func(c net.Conn, _ int, _ *http.Request) {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole")
		c.Close()
	})
	p := NewPool(nil, NewBudget(1<<20))
	defer p.Close()
	if a, err := p.Do(l.newExchange(t, "a")); err != nil || string(a.Body) != "whole" {
		t.Errorf("answer %+v, %v", a, err)
	}
}

// Guards against requests that are lost because they are sent on a kept connection that
// the leaf has closed or will close.
func TestIdleConnectionEnds(t *testing.T) {
	for name, extra := range map[string]string{"keep-alive 0": "Keep-Alive: timeout=0\r\n", "close": "Connection: close\r\n"} {
		l := startLeaf(t, func(c net.Conn, _ int, r *http.Request) { respond(c, r.Header.Get("Id"), extra, "x") })
		p := NewPool(nil, NewBudget(1<<20))
		for _, id := range []string{"a", "b"} {
			if _, err := p.Do(l.newExchange(t, id)); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
		if l.conns.Load() != 2 {
			t.Errorf("%s: the connection was used again", name)
		}
		p.Close()
	}
	l := startLeaf(t, func(c net.Conn, _ int, r *http.Request) {
		respond(c, r.Header.Get("Id"), "", "x")
		c.Close()
	})
	p := NewPool(nil, NewBudget(1<<20))
	defer p.Close()
	for _, id := range []string{"a", "b", "c"} {
		if _, err := p.Do(l.newExchange(t, id)); err != nil {
			t.Errorf("closed while idle: %v", err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a refused connection that counts as a request that was sent.
func TestRefusedConnection(t *testing.T) {
	l := startLeaf(t, func(net.Conn, int, *http.Request) {})
	l.listener.Close()
	p := NewPool(nil, NewBudget(1<<20))
	defer p.Close()
	if _, err := p.Do(l.newExchange(t, "a")); !errors.Is(err, ErrConnect) {
		t.Errorf("error %v", err)
	}
}

// Guards against a cancelled attempt whose connection stays open, so that the leaf goes
// on working on it.
func TestCancel(t *testing.T) {
	closed := make(chan struct{})
	l := startLeaf(t, func(c net.Conn, _ int, _ *http.Request) {
		var b [1]byte
		if _, err := c.Read(b[:]); err != nil {
			close(closed)
		}
	})
	p := NewPool(nil, NewBudget(1<<20))
	defer p.Close()
	x := l.newExchange(t, "a")
	time.AfterFunc(50*time.Millisecond, x.Cancel)
	if _, err := p.Do(x); !errors.Is(err, ErrCancelled) {
		t.Errorf("error %v", err)
	}
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Error("the connection stayed open")
	}
}

// Guards against waiting for a silent leaf beyond the time limit of the request.
func TestSilentLeaf(t *testing.T) {
	l := startLeaf(t, func(net.Conn, int, *http.Request) { time.Sleep(3 * time.Second) })
	p := NewPool(nil, NewBudget(1<<20))
	defer p.Close()
	x := l.newExchange(t, "a")
	x.LeafDeadline = time.Now().Add(50 * time.Millisecond)
	start := time.Now()
	if _, err := p.Do(x); !errors.Is(err, ErrReceive) {
		t.Errorf("error %v", err)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("Do took %v, at most 1 s is allowed", took)
	}
}

// Guards against a path, method, body or header that is changed on the way to a leaf.
func TestRequestUnchanged(t *testing.T) {
	got := make(chan string, 1)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		buffer := make([]byte, 1<<10)
		n, _ := c.Read(buffer)
		got <- string(buffer[:n])
		respond(c, "a", "", "")
	}()
	r, err := http.NewRequest("POST", "http://parish.example/a%2Fb/?q=%41", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	r.Header["User-Agent"] = nil
	p := NewPool(nil, NewBudget(1<<20))
	defer p.Close()
	x := &Exchange{Server: "x", Address: ln.Addr().String(), Request: r, LeafDeadline: time.Now().Add(time.Second), Match: func(*http.Response) Match { return MatchOwn }}
	if _, err := p.Do(x); err != nil {
		t.Fatal(err)
	}
	want := "POST /a%2Fb/?q=%41 HTTP/1.1\r\nHost: parish.example\r\nContent-Length: 4\r\n\r\nbody"
	if g := <-got; g != want {
		t.Errorf("sent %q, want %q", g, want)
	}
}
