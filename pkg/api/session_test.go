package api

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// entryVM answers lookups with its addresses and refuses every query.
type entryVM struct {
	addresses []Address
	maxAgeMS  int64

	mu      sync.Mutex
	lookups int
	ids     map[model.RequestID]int
}

func (e *entryVM) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Method == http.MethodGet {
		e.lookups++
		json.NewEncoder(w).Encode(Lookup{Addresses: e.addresses, MaxAgeMS: e.maxAgeMS})
		return
	}
	var q QueryRequest
	json.NewDecoder(r.Body).Decode(&q)
	e.ids[q.RequestID]++
	w.WriteHeader(http.StatusServiceUnavailable)
	json.NewEncoder(w).Encode(Refusal{RequestID: q.RequestID, Kind: model.NotRun})
}

func startEntryVM(t *testing.T, maxAgeMS int64) (*entryVM, string) {
	e := &entryVM{maxAgeMS: maxAgeMS, ids: make(map[model.RequestID]int)}
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	e.addresses = []Address{
		{VM: "gone", Address: "127.0.0.1:1", RequestIDPrefix: "gone.a.1"},
		{VM: "vm1", Address: address, RequestIDPrefix: "vm1.a.1"},
	}
	return e, address
}

// Guards against ids used twice, lookups for every request, and requests that
// are lost because one daemon is gone.
func TestSessionCachesLookupAndSkipsUnreached(t *testing.T) {
	e, address := startEntryVM(t, 60_000)
	s := NewSession(nil, []string{"127.0.0.1:1", address})
	const requests = 40
	var wg sync.WaitGroup
	for range requests {
		wg.Go(func() {
			var refused *RefusalError
			if _, _, err := s.Query(t.Context(), "s", testQuery()); !errors.As(err, &refused) {
				t.Errorf("got %v, want a refusal by vm1", err)
			}
		})
	}
	wg.Wait()
	if e.lookups != 1 || len(e.ids) != requests {
		t.Errorf("%d lookups, %d different ids, want 1 and %d", e.lookups, len(e.ids), requests)
	}
	for id, n := range e.ids {
		if n != 1 || !strings.HasPrefix(string(id), "vm1.a.1.") {
			t.Errorf("id %s sent %d times", id, n)
		}
	}
}

// Guards against the use of addresses after the maximum age of their lookup.
func TestSessionDropsExpiredLookup(t *testing.T) {
	e, address := startEntryVM(t, 0)
	s := NewSession(nil, []string{address})
	for range 3 {
		_, _, _ = s.Query(context.Background(), "s", testQuery())
	}
	if e.lookups < 3 {
		t.Errorf("%d lookups for 3 requests without a usable answer", e.lookups)
	}
	if _, _, err := NewSession(nil, []string{"127.0.0.1:1"}).Query(t.Context(), "s", testQuery()); !errors.Is(err, ErrNoAddress) {
		t.Errorf("got %v, want ErrNoAddress", err)
	}
}
