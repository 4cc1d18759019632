package edged

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/edge"
)

// Guards against connection limits whose sum leaves no descriptors for leafs, the
// store and the other daemons.
func TestConnectionSharesLeaveDescriptors(t *testing.T) {
	s := Settings{Descriptors: 4100, Memory: 184 << 20}
	limited := s.maxCallerConns() + s.maxDirectoryConns() + maxReadyConns + maxAdminConns + maxViewConns
	if left := s.Descriptors - limited; left < 600 {
		t.Errorf("%d descriptors are left for leafs, the store and files, want at least 600", left)
	}
	if budget := s.bodyMemoryBudget(); budget < 16<<20 || budget > s.Memory/4 {
		t.Errorf("%d bytes for bodies, with %d bytes of memory", budget, s.Memory)
	}
}

// Guards against callers that open an unlimited number of connections, and against
// a connection beyond the limit that hangs instead of being closed at once.
func TestCallerConnectionsAreBounded(t *testing.T) {
	const maxConns = 3
	conns := edge.NewCallerConns(maxConns)
	server := httptest.NewUnstartedServer(conns.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
	server.Config.ConnState, server.Config.ConnContext = conns.ConnState, conns.ConnContext
	server.Start()
	defer server.Close()
	dial := func() net.Conn {
		t.Helper()
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	var open []net.Conn
	for range maxConns {
		open = append(open, dial())
	}
	for end := time.Now().Add(time.Second); conns.Open() < maxConns && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	beyond := dial()
	if err := beyond.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	var timeout net.Error
	if _, err := beyond.Read(make([]byte, 1)); err == nil || errors.As(err, &timeout) && timeout.Timeout() {
		t.Errorf("a connection beyond the limit was not closed: read returned %v", err)
	}
	open[0].Close()
	for end := time.Now().Add(time.Second); conns.Open() >= maxConns && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	resp, err := http.Get(server.URL)
	if err != nil {
		t.Fatalf("a connection is refused although another one has ended: %v", err)
	}
	resp.Body.Close()
}
