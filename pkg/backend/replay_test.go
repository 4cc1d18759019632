package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// rawServer speaks HTTP over raw connections, so that a test can close them at
// points where a real server would not.
type rawServer struct {
	address string
	// searches counts the POST requests whose header arrived, statuses the GET
	// requests.
	searches, statuses atomic.Int64
	// attempts counts the POST requests whose whole body arrived.
	attempts atomic.Int64
}

// startServer starts a server that calls handle for each search; handle returns
// false to close the connection. The test waits for all goroutines of the server
// to end.
func startServer(t *testing.T, handle func(conn net.Conn, search int64, body []byte) bool) *rawServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{address: ln.Addr().String()}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	wg.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			wg.Go(func() { s.serveConn(conn, handle) })
		}
	})
	t.Cleanup(func() {
		ln.Close()
		mu.Lock()
		for _, c := range conns {
			c.Close()
		}
		mu.Unlock()
		wg.Wait()
	})
	return s
}

func (s *rawServer) serveConn(conn net.Conn, handle func(net.Conn, int64, []byte) bool) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.Method == http.MethodGet {
			s.statuses.Add(1)
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			continue
		}
		n := s.searches.Add(1)
		body, err := io.ReadAll(req.Body)
		if err == nil {
			s.attempts.Add(1)
		}
		if !handle(conn, n, body) {
			return
		}
	}
}

var testSub = model.SubRequest{
	Attempt:   7,
	RequestID: "vm1.a.b.1",
	Service:   "narudzbe",
	Snapshot:  model.Snapshot{Layout: "l1", IndexVersion: 3},
	Shard:     "s1",
	Server:    "leaf1",
	TopK:      5,
	Query:     "kutija",
}

// entryDaemon is the daemon that sends testSub.
var entryDaemon = model.MemberRef{VM: "vm1", Incarnation: 10}

const goodBody = `{"attempt_id":"vm1.a.7","layout":"l1","shard":"s1","index_version":3,"count":1,"load":2,"items":[{"id":"a","score":0.5,"doc":{"x" : 1}}]}`

func writeReply(conn net.Conn, status int, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	return err == nil
}

func search(t *testing.T, c *Client, address string, timeout time.Duration) Reply {
	t.Helper()
	return c.Search(context.Background(), address, entryDaemon, &testSub, time.Now().Add(timeout))
}

// Guards against a non-idempotent request running twice: net/http may repeat a
// request on a reused connection that the server closes before the first byte
// of its response.
func TestClosedConnectionsNeverReplay(t *testing.T) {
	cases := map[string]struct {
		second func(net.Conn, int64, []byte) bool
		want   model.Outcome
	}{
		"closed before the response": {
			func(net.Conn, int64, []byte) bool { return false }, model.OutcomeLost},
		"closed within the status line": {
			func(c net.Conn, _ int64, _ []byte) bool { io.WriteString(c, "HTTP/1.1 2"); return false }, model.OutcomeLost},
		"closed within the body": {
			func(c net.Conn, _ int64, _ []byte) bool {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{")
				return false
			}, model.OutcomeLost},
		"reset": {
			func(c net.Conn, _ int64, _ []byte) bool { c.(*net.TCPConn).SetLinger(0); return false }, model.OutcomeLost},
		"redirect": {
			func(c net.Conn, _ int64, _ []byte) bool {
				io.WriteString(c, "HTTP/1.1 307 X\r\nLocation: /v1/search\r\nContent-Length: 0\r\n\r\n")
				return true
			}, model.OutcomeFailed},
		"silent": {
			func(c net.Conn, _ int64, _ []byte) bool { io.Copy(io.Discard, c); return false }, model.OutcomeTimeout},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, func(c net.Conn, n int64, body []byte) bool {
				if n == 1 {
					return writeReply(c, 200, goodBody)
				}
				return tc.second(c, n, body)
			})
			c := New()
			defer c.Close()
			// The first request leaves a connection to reuse.
			if r := search(t, c, s.address, time.Second); r.Result.Outcome != model.OutcomeOK {
				t.Fatalf("first request: %v %v", r.Result.Outcome, r.Err)
			}
			r := search(t, c, s.address, 300*time.Millisecond)
			if r.Result.Outcome != tc.want {
				t.Errorf("outcome %v (%v), want %v", r.Result.Outcome, r.Err, tc.want)
			}
			time.Sleep(50 * time.Millisecond)
			if n := s.searches.Load(); n != 2 {
				t.Errorf("server saw %d requests, want 2", n)
			}
		})
	}
}

// Guards against a request on a connection that the server closes while it is
// idle: it must not be reported as not sent although it ran, nor be repeated
// after bytes of it were sent. Each request must reach the server at most once.
func TestIdleCloseRace(t *testing.T) {
	s := startServer(t, func(c net.Conn, n int64, _ []byte) bool {
		writeReply(c, 200, goodBody)
		return n%3 != 0
	})
	c := New()
	defer c.Close()
	const requests = 300
	var mayHaveRun, notSent int64
	for range requests {
		r := search(t, c, s.address, time.Second)
		switch {
		case r.Result.Outcome == model.OutcomeOK:
		case r.Result.Outcome.NotSent():
			notSent++
		default:
			mayHaveRun++
		}
	}
	ran := s.attempts.Load()
	if ran > requests-notSent {
		t.Errorf("%d requests reached the server; only %d were not reported as not sent", ran, requests-notSent)
	}
	if ran < requests-notSent-mayHaveRun {
		t.Errorf("%d requests reached the server, fewer than were answered", ran)
	}
}

// Guards against a request that is given up while it waits for a connection: it
// must be reported as expired, which means not sent, and must not be sent later.
func TestWaitingRequestIsNotSent(t *testing.T) {
	release := make(chan struct{})
	s := startServer(t, func(c net.Conn, _ int64, _ []byte) bool {
		<-release
		return writeReply(c, 200, goodBody)
	})
	c := New()
	defer c.Close()
	c.Warm(testSub.Server, s.address, 1)
	first := make(chan Reply)
	go func() { first <- search(t, c, s.address, 2*time.Second) }()
	waitFor(t, func() bool { return s.searches.Load() == 1 })
	r := search(t, c, s.address, 50*time.Millisecond)
	close(release)
	if r.Result.Outcome != model.OutcomeExpired {
		t.Errorf("outcome %v (%v), want expired", r.Result.Outcome, r.Err)
	}
	if r := <-first; r.Result.Outcome != model.OutcomeOK {
		t.Errorf("first request: %v (%v)", r.Result.Outcome, r.Err)
	}
	time.Sleep(50 * time.Millisecond)
	if n := s.searches.Load(); n != 1 {
		t.Errorf("server saw %d searches, want 1", n)
	}
}

// Guards against reporting a request as possibly run when the connection was
// refused, which would rule out a safe retry of an order.
func TestUnreachableIsNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	ln.Close()
	c := New()
	defer c.Close()
	if r := search(t, c, address, time.Second); r.Result.Outcome != model.OutcomeUnreachable {
		t.Errorf("outcome %v (%v), want unreachable", r.Result.Outcome, r.Err)
	}
}

// Guards against reporting a request as not sent when it was canceled after it
// had been sent.
func TestCanceledAfterSend(t *testing.T) {
	s := startServer(t, func(c net.Conn, _ int64, _ []byte) bool {
		io.Copy(io.Discard, c)
		return false
	})
	c := New()
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		waitFor(t, func() bool { return s.attempts.Load() == 1 })
		cancel()
	}()
	r := c.Search(ctx, s.address, entryDaemon, &testSub, time.Now().Add(5*time.Second))
	if r.Result.Outcome != model.OutcomeCanceled {
		t.Errorf("outcome %v (%v), want canceled", r.Result.Outcome, r.Err)
	}
}

// Guards against assuming that a server has ended a given-up search while it
// still works on it, and against never noticing that it has ended.
func TestGivenUpSearchReportsItsEnd(t *testing.T) {
	const noticed = 200 * time.Millisecond
	working := make(chan net.Conn, 1)
	s := startServer(t, func(c net.Conn, n int64, _ []byte) bool {
		if n > 1 {
			return writeReply(c, http.StatusOK, goodBody)
		}
		io.Copy(io.Discard, c)
		working <- c
		// The server is short of processor time and sees the cancel late.
		time.Sleep(noticed)
		return false
	})
	c := New()
	defer c.Close()
	r := search(t, c, s.address, 50*time.Millisecond)
	if r.Result.Outcome != model.OutcomeTimeout || r.Ended == nil {
		t.Fatalf("outcome %v, ended %v", r.Result.Outcome, r.Ended)
	}
	<-working
	select {
	case <-r.Ended:
		t.Error("the search was reported as ended while the server worked on it")
	case <-time.After(noticed / 2):
	}
	if ended := <-r.Ended; !ended {
		t.Error("the server's end of the connection was not noticed")
	}
	if r := search(t, c, s.address, time.Second); r.Result.Outcome != model.OutcomeOK || r.Ended != nil {
		t.Errorf("answered search: outcome %v, ended %v", r.Result.Outcome, r.Ended)
	}
}

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Error("condition not met in 2 s")
			return
		}
	}
}
