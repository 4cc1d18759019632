package site

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Leaf is a stand-in for a leaf: it runs the requests that expect it, slots of them at a
// time, queues a few more, rejects the rest, and answers with its stamp.
type Leaf struct {
	ID, Service, Zone string
	Slots, Queue      int
	// Work is how long a request runs.
	Work time.Duration
	// Late, if set, is asked after each complete answer how much later a second copy of
	// it is sent on the same connection; 0 for none.
	Late func() time.Duration

	site      *Site
	coldUntil time.Time
	listener  net.Listener
	born      int64

	mu      sync.Mutex
	conns   map[net.Conn]bool
	closed  bool
	waiting int
	slot    chan struct{}
}

// StartLeaf starts a leaf and lets it register as ready.
func (s *Site) StartLeaf(l *Leaf) *Leaf {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.fail(err)
	}
	l.site, l.listener, l.born = s, ln, time.Now().UnixMilli()
	l.conns, l.slot = map[net.Conn]bool{}, make(chan struct{}, l.Slots)
	go l.accept()
	l.Register("ready")
	return l
}

// heartbeat is the time between two writes of a leaf.
const heartbeat = 1200 * time.Millisecond

// StartColdLeaf starts a leaf during traffic: at each of its writes it says how much
// longer it stays cold. It returns the time of the last of these changes.
func (s *Site) StartColdLeaf(l *Leaf, coldFor time.Duration) (warmAt time.Time) {
	l.coldUntil = time.Now().Add(coldFor)
	warmAt = time.Now()
	for left := coldFor; left > 0; left -= heartbeat {
		warmAt = warmAt.Add(heartbeat)
	}
	s.StartLeaf(l)
	go func() {
		for time.Now().Before(warmAt) {
			time.Sleep(min(heartbeat, time.Until(warmAt)))
			l.Register("ready")
		}
	}()
	return warmAt
}

// Register writes the leaf's entry and returns when the store has acknowledged it.
func (l *Leaf) Register(state string) time.Time {
	return l.site.Store.Put("servers", l.ID, map[string]any{
		"backend": l.Service, "address": l.listener.Addr().String(), "zone": l.Zone, "version": "v1", "slots": l.Slots,
		"state": state, "warmupLeftMs": max(0, time.Until(l.coldUntil).Milliseconds()), "sequence": 1, "born": l.born,
	})
}

// Stop ends the leaf: requests that it is working on are lost.
func (l *Leaf) Stop() {
	l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for c := range l.conns {
		c.Close()
	}
}

func (l *Leaf) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.conns[c] = true
		l.mu.Unlock()
		go l.serve(c)
	}
}

// serve answers the requests of one connection, one at a time.
func (l *Leaf) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	var writing sync.Mutex
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		answer, complete := l.run(r)
		writing.Lock()
		_, err = io.WriteString(c, answer)
		writing.Unlock()
		if err != nil {
			return
		}
		if l.Late == nil || !complete {
			continue
		}
		if delay := l.Late(); delay > 0 {
			time.AfterFunc(delay, func() {
				writing.Lock()
				defer writing.Unlock()
				_, _ = io.WriteString(c, answer)
			})
		}
	}
}

// run runs a request, or rejects it, and returns the answer.
func (l *Leaf) run(r *http.Request) (answer string, complete bool) {
	if r.URL.Path == "/healthz" {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Pistachiousher-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", l.ID), false
	}
	id := r.Header.Get("X-Pistachiousher-Request-Id")
	if r.Header.Get("X-Pistachiousher-Expect-Instance") != l.ID {
		return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nX-Pistachiousher-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", l.ID), true
	}
	if !l.takeSlot() {
		return "HTTP/1.1 503 Service Unavailable\r\nX-Pistachiousher-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", true
	}
	defer func() { <-l.slot }()
	l.site.Record.Ran(id, Run{Leaf: l.ID, Target: r.RequestURI, Method: r.Method, At: time.Now()})
	time.Sleep(l.Work)
	body := "answer of " + l.ID + " to " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Pistachiousher-Request-Id: %s\r\nX-Pistachiousher-Server-Stamp: %s.%s\r\nContent-Length: %d\r\n\r\n%s", id, l.ID, id, len(body), body), true
}

// takeSlot waits for a slot. It reports false if the queue is full.
func (l *Leaf) takeSlot() bool {
	select {
	case l.slot <- struct{}{}:
		return true
	default:
	}
	l.mu.Lock()
	if l.waiting >= l.Queue {
		l.mu.Unlock()
		return false
	}
	l.waiting++
	l.mu.Unlock()
	l.slot <- struct{}{}
	l.mu.Lock()
	l.waiting--
	l.mu.Unlock()
	return true
}
