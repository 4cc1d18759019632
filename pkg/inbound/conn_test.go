package inbound

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// server is an HTTP server behind a Listener.
type server struct {
	*httptest.Server
	budget  *Budget
	mu      sync.Mutex
	reasons []Reason
}

func startServer(t *testing.T, budget int64, handler http.HandlerFunc, maxConns ...int) *server {
	t.Helper()
	s := &server{Server: httptest.NewUnstartedServer(handler), budget: NewBudget(budget)}
	s.Listener = Wrap(s.Listener, Config{
		Budget: s.budget, MaxHeadBytes: func() int { return testLimit }, HeadTimeout: 300 * time.Millisecond, UnreadBytes: 16 << 10,
		OnRefusal: func(_ net.Addr, r Reason) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.reasons = append(s.reasons, r)
		},
	})
	if len(maxConns) > 0 {
		s.Listener.(*Listener).config.MaxConns = maxConns[0]
	}
	s.Config.ConnState = ConnState
	s.Start()
	t.Cleanup(s.Close)
	return s
}

func (s *server) wantReason(t *testing.T, want Reason) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.reasons) != 1 || s.reasons[0] != want {
		t.Errorf("refusals %v, want %v", s.reasons, want)
	}
}

func dial(t *testing.T, s *server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// statuses reads answers until the connection is closed.
func statuses(c net.Conn) []int {
	var list []int
	for in := bufio.NewReader(c); ; {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return list
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return list
		}
		list = append(list, resp.StatusCode)
	}
}

func ok(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }

// headOf returns a head of exactly size bytes in the shortest lines.
func headOf(size int) string {
	head := "GET / HTTP/1.1\nHost: h\nConnection: close\n"
	head += strings.Repeat("a:\n", (size-len(head)-5)/3)
	return head + "b:" + strings.Repeat("c", size-len(head)-4) + "\n\n"
}

// Guards against a limit that is off by one, and against a refusal without an answer.
func TestHeadLimit(t *testing.T) {
	for size, want := range map[int]int{testLimit: http.StatusOK, testLimit + 1: http.StatusRequestHeaderFieldsTooLarge} {
		s := startServer(t, 8<<20, ok)
		c := dial(t, s)
		if _, err := io.WriteString(c, headOf(size)); err != nil {
			t.Fatal(err)
		}
		if got := statuses(c); len(got) != 1 || got[0] != want {
			t.Errorf("%d bytes: %v, want %d", size, got, want)
		}
		if want != http.StatusOK {
			s.wantReason(t, HeadTooLarge)
		}
	}
}

// Guards against requests on a kept connection that are lost, or whose memory is not
// released, when they arrive together.
func TestPipelinedRequestsAreAnswered(t *testing.T) {
	s := startServer(t, 8<<20, ok)
	c := dial(t, s)
	requests := strings.Repeat("\r\nPOST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nPOST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab", 20)
	if _, err := io.WriteString(c, requests+"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if got := statuses(c); len(got) != 41 {
		t.Errorf("%d answers, want 41: %v", len(got), got)
	}
	wantReleased(t, s.budget)
}

func wantReleased(t *testing.T, b *Budget) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); b.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are reserved", b.Used())
		}
	}
}

// Guards against large heads that keep out ordinary ones, and against a budget that is
// exceeded or not refilled.
func TestBudgetIsKept(t *testing.T) {
	block, entered := make(chan struct{}), make(chan struct{}, 100)
	s := startServer(t, 1<<20, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Wait") != "" {
			entered <- struct{}{}
			<-block
		}
	})
	large := strings.Replace(headOf(testLimit-9), "\n", "\nWait: 1\n", 1)
	first := dial(t, s)
	if _, err := io.WriteString(first, large); err != nil {
		t.Fatal(err)
	}
	<-entered
	second := dial(t, s)
	if _, err := io.WriteString(second, large); err != nil {
		t.Fatal(err)
	}
	if got := statuses(second); len(got) != 1 || got[0] != http.StatusServiceUnavailable {
		t.Errorf("second large head: %v, want 503", got)
	}
	s.wantReason(t, HeadMemory)
	resp, err := http.Get(s.URL)
	if err != nil {
		t.Fatalf("ordinary request: %v", err)
	}
	resp.Body.Close()
	close(block)
	if got := statuses(first); len(got) != 1 || got[0] != http.StatusOK {
		t.Errorf("first large head: %v", got)
	}
	s.Client().CloseIdleConnections()
	http.DefaultClient.CloseIdleConnections()
	wantReleased(t, s.budget)
}

// Guards against a head after the first one that may take forever, and against empty lines
// that are read forever.
func TestSlowHeadsAndEmptyLines(t *testing.T) {
	const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, x := range []struct {
		sent string
		want Reason
	}{{get + "GET / HTTP/1.1\r\nHo", HeadTimeout}, {"\r\n\r\n\r\n", EmptyLines}, {get + "\r\n\r\n\r\n", EmptyLines}} {
		s := startServer(t, 8<<20, ok)
		c := dial(t, s)
		if _, err := io.WriteString(c, x.sent); err != nil {
			t.Fatal(err)
		}
		statuses(c)
		s.wantReason(t, x.want)
		wantReleased(t, s.budget)
	}
}

// Guards against a client that disconnects while its request is open, and is not noticed.
func TestDisconnectIsNoticed(t *testing.T) {
	gone := make(chan struct{})
	s := startServer(t, 8<<20, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(gone)
	})
	c := dial(t, s)
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	c.Close()
	select {
	case <-gone:
	case <-time.After(10 * time.Second):
		t.Error("the request goes on")
	}
	wantReleased(t, s.budget)
}

// Guards against a cost that is less than what net/http takes for a head, with the form in
// which the head is sent to leafs, which has at most three times its bytes.
func TestCostCoversParsedHead(t *testing.T) {
	distinct := "GET / HTTP/1.1\nHost: h\n"
	for i := 0; len(distinct) < testLimit-4; i++ {
		distinct += fmt.Sprintf("%c%c:\n", 'a'+i%26, 'a'+i/26%26)
	}
	for name, head := range map[string]string{"distinct": distinct + "\n", "one name": headOf(testLimit)} {
		const copies = 20
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var kept [copies]*http.Request
		for i := range kept {
			req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
			if err != nil {
				t.Fatal(err)
			}
			kept[i] = req
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		took := (int64(after.HeapAlloc)-int64(before.HeapAlloc))/copies + 3*int64(len(head))
		cost := parsedCost(len(head), strings.Count(head, "\n"))
		t.Logf("%s: %d bytes taken, %d reserved", name, took, cost)
		if took > cost {
			t.Errorf("%s: %d bytes taken, %d reserved", name, took, cost)
		}
		runtime.KeepAlive(&kept)
	}
}

// BenchmarkRequest measures an ordinary request on a kept connection, with and without the
// bounds.
func BenchmarkRequest(b *testing.B) {
	const request = "POST /search/x HTTP/1.1\r\nHost: parish.example\r\nUser-Agent: caller\r\nX-Request-Id: 9c41d07be2a35f68\r\nX-Deadline: 400\r\nAccept: */*\r\nContent-Length: 2\r\n\r\nok"
	for _, bounded := range []bool{false, true} {
		b.Run(fmt.Sprintf("bounded=%v", bounded), func(b *testing.B) {
			s := httptest.NewUnstartedServer(http.HandlerFunc(ok))
			if bounded {
				s.Listener = Wrap(s.Listener, Config{Budget: NewBudget(8 << 20), MaxHeadBytes: func() int { return testLimit }, HeadTimeout: time.Minute})
				s.Config.ConnState = ConnState
			}
			s.Start()
			defer s.Close()
			c, err := net.Dial("tcp", s.Listener.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			answer := make([]byte, 1024)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(c, request); err != nil {
					b.Fatal(err)
				}
				if _, err := c.Read(answer); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
