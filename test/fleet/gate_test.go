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
	// Silent calls get no answer, also those that began before, Refused ones get 503.
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
	f := g.faultsOf(r)
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
		g.store.ServeHTTP(&gatedAnswer{w, g, r}, r)
	}
}

// faultsOf returns what is wrong now for a request.
func (g *gate) faultsOf(r *http.Request) faults {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.faults.Kind != "" && !strings.Contains(r.URL.Path, g.faults.Kind) {
		return faults{}
	}
	return g.faults
}

// gatedAnswer keeps an answer back that would be given while the store is silent.
type gatedAnswer struct {
	http.ResponseWriter
	gate    *gate
	request *http.Request
}

// Write implements io.Writer.
func (a *gatedAnswer) Write(data []byte) (int, error) {
	if a.gate.faultsOf(a.request).Silent {
		<-a.request.Context().Done()
		return 0, a.request.Context().Err()
	}
	return a.ResponseWriter.Write(data)
}
