package leafconn

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/answers/answerstest"
)

// Guards against bytes of a leaf that are no answer in the protocol and are taken for one,
// and against an odd answer that is lost.
func TestInvalidAnswers(t *testing.T) {
	const body = "body of the answer"
	for _, c := range answerstest.Cases("Id: a\r\n", body) {
		t.Run(c.Name, func(t *testing.T) {
			p := NewPool(nil, NewBudget(1<<20))
			defer p.Close()
			l := &fakeLeaf{listener: addrListener(answerstest.Serve(t, c.Raw))}
			a, err := p.Do(l.newExchange(t, "a"))
			switch {
			case c.Status == 0 && err == nil:
				t.Errorf("taken for an answer: status %d, body %q", a.Status, a.Body)
			case c.Status != 0 && err != nil:
				t.Errorf("no answer: %v", err)
			case c.Status != 0 && (a.Status != c.Status || c.Status == http.StatusOK && string(a.Body) != body):
				t.Errorf("status %d, body %q", a.Status, a.Body)
			}
		})
	}
}

// addrListener is a listener of which only the address is used.
type addrListener string

func (a addrListener) Addr() net.Addr          { return stringAddr(a) }
func (addrListener) Accept() (net.Conn, error) { return nil, net.ErrClosed }
func (addrListener) Close() error              { return nil }

type stringAddr string

func (a stringAddr) Network() string { return "tcp" }
func (a stringAddr) String() string  { return string(a) }

// Guards against an answer that arrives on a new connection before the request was sent,
// and is taken for its answer.
func TestAnswerBeforeRequest(t *testing.T) {
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
			respond(conn, "a", "", "early")
			defer conn.Close()
		}
	}()
	p := NewPool(nil, NewBudget(1<<20))
	defer p.Close()
	l := &fakeLeaf{listener: ln}
	x := l.newExchange(t, "a")
	x.BeforeSend = func() bool {
		// Time for the early answer to arrive.
		time.Sleep(50 * time.Millisecond)
		return true
	}
	if a, err := p.Do(x); err == nil {
		t.Errorf("taken for the answer: %+v", a)
	}
}

// Guards against an answer to HEAD whose stated length is waited for, and against a body
// behind it that is taken for the next answer.
func TestAnswerToHead(t *testing.T) {
	for raw, want := range map[string]int{
		"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 30\r\n\r\n":            200,
		"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n":    200,
		"HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 50\r\n\r\nHTTP/1.1 0A": 0,
	} {
		p := NewPool(nil, NewBudget(1<<20))
		l := &fakeLeaf{listener: addrListener(answerstest.Serve(t, raw))}
		x := l.newExchange(t, "a")
		x.Request.Method = http.MethodHead
		a, err := p.Do(x)
		if want == 0 && err == nil || want != 0 && (err != nil || a.Status != want || len(a.Body) != 0) {
			t.Errorf("%q: %+v, %v", raw, a, err)
		}
		p.Close()
	}
}
