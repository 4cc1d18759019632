package leafconn

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/answers/answerstest"
)

// Guards against a leaf that exhausts the daemon's memory by sending without end: in a
// head, in informational answers, or in a body, whatever length it states.
func TestEndlessAnswers(t *testing.T) {
	const (
		budget = 4 << 20
		// most is what one exchange may allocate in all, including buffers that were
		// replaced by larger ones.
		most  = 8 << 20
		bound = time.Second
	)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 1<<10, strings.Repeat("x", 1<<10))
	ok := "HTTP/1.1 200 OK\r\nId: a\r\n"
	for name, x := range map[string]struct {
		head, part string
		want       error
	}{
		"header line":        {ok + "Long: ", "x", ErrTooLarge},
		"header fields":      {ok, "Field: value\r\n", ErrTooLarge},
		"status line":        {"HTTP/1.1 200 ", "x", ErrTooLarge},
		"informational":      {"", "HTTP/1.1 100 Continue\r\n\r\n", ErrTooLarge},
		"chunks":             {ok + "Transfer-Encoding: chunked\r\n\r\n", chunk, ErrTooLarge},
		"empty lines":        {"", "\r\n", ErrReceive},
		"no length":          {ok + "Connection: close\r\n\r\n", "x", ErrTooLarge},
		"enormous length":    {ok + "Content-Length: 1000000000000\r\n\r\n", "x", ErrTooLarge},
		"chunk extension":    {ok + "Transfer-Encoding: chunked\r\n\r\n5;", "x", ErrReceive},
		"chunk size":         {ok + "Transfer-Encoding: chunked\r\n\r\n", "0", ErrReceive},
		"trailer":            {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Field: value\r\n", ErrReceive},
		"no answer":          {"", "x", ErrTooLarge},
		"foreign answers":    {"", "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 1\r\n\r\nx", ErrForeignAnswer},
		"foreign, no end":    {"HTTP/1.1 200 OK\r\nId: b\r\n\r\n", "x", ErrTooLarge},
		"body of a 204":      {"HTTP/1.1 204 No Content\r\nId: a\r\n\r\n", "x", nil},
		"more than its body": {ok + "Content-Length: 1\r\n\r\n", "x", nil},
	} {
		l := startLeaf(t, func(c net.Conn, _ int, _ *http.Request) { answerstest.WriteEndlessly(c, x.head, x.part) })
		p := NewPool(nil, NewBudget(budget))
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		start := time.Now()
		e := l.newExchange(t, "a")
		e.LeafDeadline = start.Add(2 * bound)
		a, err := p.Do(e)
		took := time.Since(start)
		runtime.ReadMemStats(&after)
		if !errors.Is(err, x.want) || (a == nil) == (err == nil) {
			t.Errorf("%s: answer %+v, error %v", name, a, err)
		}
		if took > bound {
			t.Errorf("%s: took %v", name, took)
		}
		if n := after.TotalAlloc - before.TotalAlloc; n > most {
			t.Errorf("%s: allocated %d bytes", name, n)
		}
		if a != nil {
			p.Release(a)
		}
		if n := p.budget.Used(); n != 0 {
			t.Errorf("%s: %d bytes still count as held", name, n)
		}
		time.Sleep(5 * time.Millisecond)
		if c := p.takeIdle("leaf"); c != nil {
			t.Errorf("%s: the connection is kept", name)
		}
		p.Close()
	}
}

// Guards against answers that together take more memory than the budget, and against
// reservations that are not returned.
func TestAnswersShareABudget(t *testing.T) {
	body := strings.Repeat("x", 60<<10)
	l := startLeaf(t, func(c net.Conn, _ int, r *http.Request) { respond(c, r.Header.Get("Id"), "", body) })
	p := NewPool(nil, NewBudget(256<<10))
	defer p.Close()
	var held []*Answer
	for range 4 {
		a, err := p.Do(l.newExchange(t, "a"))
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, a)
	}
	if _, err := p.Do(l.newExchange(t, "a")); !errors.Is(err, ErrBudgetExhausted) {
		t.Errorf("error %v with %d of the budget taken", err, p.budget.Used())
	}
	for _, a := range held {
		p.Release(a)
		p.Release(a)
	}
	if n := p.budget.Used(); n != 0 {
		t.Errorf("%d bytes still count as held", n)
	}
	if a, err := p.Do(l.newExchange(t, "a")); err != nil || string(a.Body) != body {
		t.Errorf("error %v after the others were released", err)
	}
}

// Guards against bodies that are changed by the size or transfer coding in which they
// arrive.
func TestBodiesOfAllSizes(t *testing.T) {
	for _, size := range []int{0, 1, initialBodyBytes - 1, initialBodyBytes, initialBodyBytes + 1, 3 * initialBodyBytes, 200 << 10} {
		body := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
		for _, form := range []string{"length", "chunks", "end"} {
			l := startLeaf(t, func(c net.Conn, _ int, _ *http.Request) {
				switch form {
				case "length":
					respond(c, "a", "", string(body))
				case "chunks":
					fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n")
					for rest := body; len(rest) > 0; rest = rest[min(len(rest), 1000):] {
						part := rest[:min(len(rest), 1000)]
						fmt.Fprintf(c, "%x\r\n%s\r\n", len(part), part)
					}
					fmt.Fprint(c, "0\r\n\r\n")
				case "end":
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\n%s", body)
					c.Close()
				}
			})
			p := NewPool(nil, NewBudget(4<<20))
			a, err := p.Do(l.newExchange(t, "a"))
			if err != nil || !bytes.Equal(a.Body, body) {
				t.Errorf("%s, %d bytes: %v", form, size, err)
			}
			p.Close()
		}
	}
}

// Guards against an answer that breaks off, at any byte, and reaches the caller as a
// complete one.
func TestAnswerBreaksOffAnywhere(t *testing.T) {
	for name, answer := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole",
		"chunks": "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n",
	} {
		for cut := range len(answer) {
			for _, reset := range []bool{false, true} {
				l := startLeaf(t, func(c net.Conn, _ int, _ *http.Request) {
					fmt.Fprint(c, answer[:cut])
					if reset {
						time.Sleep(2 * time.Millisecond)
						_ = c.(*net.TCPConn).SetLinger(0)
					}
					c.Close()
				})
				for _, reduce := range []func(io.Reader) ([]byte, error){nil, io.ReadAll} {
					p := NewPool(nil, NewBudget(1<<20))
					x := l.newExchange(t, "a")
					x.ReduceBody = reduce
					if a, err := p.Do(x); err == nil {
						t.Errorf("%s, cut at %d, reset %v: accepted as complete: %+v", name, cut, reset, a)
					}
					p.Close()
				}
				l.listener.Close()
			}
		}
	}
}

// Guards against a late second copy of an answer that is taken for the answer to the
// next request. On a connection whose leaf names requests, an answer that names none
// must be refused, and a request that is repeated at a leaf must not use a connection
// on which a copy of its first answer may arrive.
func TestDuplicateAnswer(t *testing.T) {
	firstDone := make(chan struct{})
	l := startLeaf(t, func(c net.Conn, n int, r *http.Request) {
		id := r.Header.Get("Id")
		if n == 0 {
			respond(c, id, "", "first")
			<-firstDone
			return
		}
		// The copy arrives after the next request was sent.
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
		respond(c, id, "", "second")
	})
	p := NewPool(nil, NewBudget(1<<20))
	defer p.Close()
	ours := func(id string) func(*http.Response) Match {
		return func(resp *http.Response) Match {
			switch resp.Header.Get("Id") {
			case "":
				return MatchNoID
			case id:
				return MatchOwn
			}
			return MatchForeign
		}
	}
	x := l.newExchange(t, "a")
	x.Match = ours("a")
	if _, err := p.Do(x); err != nil {
		t.Fatal(err)
	}
	close(firstDone)
	x = l.newExchange(t, "b")
	x.Match = ours("b")
	if a, err := p.Do(x); err == nil && string(a.Body) != "second" {
		t.Errorf("the copy of another answer was accepted: %q", a.Body)
	}
	if l.conns.Load() != 1 {
		t.Fatal("the second request did not use the kept connection")
	}
	// The same request is repeated at the same leaf.
	x = l.newExchange(t, "c")
	if _, err := p.Do(x); err != nil {
		t.Fatal(err)
	}
	before := l.conns.Load()
	x = l.newExchange(t, "c")
	x.NeedsNewConnection = true
	if _, err := p.Do(x); err != nil {
		t.Fatal(err)
	}
	if l.conns.Load() != before+1 {
		t.Error("a request that is repeated at its leaf used a connection that may bring an answer to its first attempt")
	}
}
