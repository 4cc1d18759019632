package edge

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// startConnServer serves requests through a tracker and sends the paths of those that
// reach the handler to handled.
func startConnServer(t *testing.T, conns *CallerConns, handled chan<- string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{
		Handler:   conns.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { handled <- r.URL.Path })),
		ConnState: conns.ConnState, ConnContext: conns.ConnContext,
	}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { s.Close() })
	return ln.Addr().String()
}

func dialCaller(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

func sendRequest(t *testing.T, c net.Conn, r *bufio.Reader, path string) (*http.Response, error) {
	t.Helper()
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	return http.ReadResponse(r, nil)
}

// Guards against requests that reach the handler but get no answer because a stopping
// daemon closes their connection as idle. Requests arrive at various times before and
// after the start of the drain; each is answered, or does not reach the handler.
func TestRequestsDuringDrain(t *testing.T) {
	for i := range 60 {
		conns := NewCallerConns(100)
		handled := make(chan string, 2)
		address := startConnServer(t, conns, handled)
		c, r := dialCaller(t, address)
		if _, err := sendRequest(t, c, r, "/first"); err != nil {
			t.Fatal(err)
		}
		<-handled
		var drained atomic.Bool
		go func() {
			time.Sleep(time.Duration(i) * 10 * time.Microsecond)
			conns.Drain()
			drained.Store(true)
		}()
		time.Sleep(300 * time.Microsecond)
		// A request that was answered before Drain may leave its connection open.
		before := drained.Load()
		resp, err := sendRequest(t, c, r, "/second")
		if err == nil && before && !resp.Close {
			t.Error("the connection stays open after an answer of a draining daemon")
		}
		if err != nil {
			select {
			case <-handled:
				t.Errorf("round %d: a request reached the handler and was not answered: %v", i, err)
			case <-time.After(5 * time.Millisecond):
			}
		}
	}
}

// Guards against connections that stay open beyond the idle limit of the configuration,
// and against closing connections that are in use.
func TestIdleLimit(t *testing.T) {
	conns := NewCallerConns(100)
	handled := make(chan string, 10)
	address := startConnServer(t, conns, handled)
	conns.SetIdleLimit(150 * time.Millisecond)
	c, r := dialCaller(t, address)
	for range 4 {
		if _, err := sendRequest(t, c, r, "/"); err != nil {
			t.Fatalf("the connection was closed while it was used: %v", err)
		}
		time.Sleep(75 * time.Millisecond)
	}
	time.Sleep(250 * time.Millisecond)
	if _, err := sendRequest(t, c, r, "/"); err == nil {
		t.Error("the connection was idle for 325 ms and is open")
	}
	if conns.Open() != 0 {
		t.Errorf("%d connections are tracked", conns.Open())
	}
}
