package fleet

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// faults are what is wrong with the store; the zero value is nothing.
type faults struct {
	// Delay is the time before each answer.
	Delay time.Duration
	// Silent calls get no answer, Refused ones get 503.
	Silent, Refused bool
	// Kind, if set, is the only kind of object that is affected.
	Kind string
}

// gate serves a store with faults.
type gate struct {
	address string
	store   http.Handler
	server  *http.Server

	mu     sync.Mutex
	faults faults
}

// startGate serves a store at an address that is kept while the store is absent.
func startGate(t *testing.T, store http.Handler) *gate {
	t.Helper()
	g := &gate{store: store}
	g.serve(t, "127.0.0.1:0")
	t.Cleanup(func() { g.server.Close() })
	return g
}

func (g *gate) serve(t *testing.T, address string) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	g.address, g.server = l.Addr().String(), &http.Server{Handler: g}
	go func() { _ = g.server.Serve(l) }()
}

// close makes the store absent until serve is called again.
func (g *gate) close() { g.server.Close() }

func (g *gate) set(f faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = f
}

// ServeHTTP implements http.Handler.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	f := g.faults
	g.mu.Unlock()
	if f.Kind != "" && !strings.Contains(r.URL.Path, f.Kind) {
		f = faults{}
	}
	select {
	case <-time.After(f.Delay):
	case <-r.Context().Done():
		return
	}
	switch {
	case f.Silent:
		<-r.Context().Done()
	case f.Refused:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		g.store.ServeHTTP(w, r)
	}
}
