package edge

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
)

// ExplainPath is where a daemon explains requests to operators and to other daemons' ports.
const ExplainPath = "/explain"

// Explainer explains how requests would be handled, one at a time: each explanation takes
// the memory of two copies of the reducer's state.
type Explainer struct {
	runtime *Runtime
	mu      sync.Mutex
	// onExplained is called for each explanation with the time for which the reducer was
	// stopped.
	onExplained func(stopped time.Duration)
}

// NewExplainer returns an Explainer of a runtime.
func NewExplainer(r *Runtime, onExplained func(stopped time.Duration)) *Explainer {
	return &Explainer{runtime: r, onExplained: onExplained}
}

// Explain shows how a request that arrives now would be handled. The reducer decides on a
// copy of its state and goes on meanwhile.
func (x *Explainer) Explain(e gateway.ExplainRequest) gateway.Explanation {
	x.mu.Lock()
	defer x.mu.Unlock()
	var state *gateway.State
	start := time.Now()
	x.runtime.Inspect(func(s *gateway.State) { state = s.Copy() })
	x.onExplained(time.Since(start))
	out := state.Explain(x.runtime.now(), e)
	if reason, refused := out.Decision.Refusal(); refused {
		out.Decision.Status = refusalStatus(reason)
	}
	return out
}

// ServeHTTP implements http.Handler. A request for which no key is needed can be given as
// the parameters host and path.
func (x *Explainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	e := gateway.ExplainRequest{Host: query.Get("host"), Path: query.Get("path"), Tenant: query.Get("tenant")}
	if r.Method == http.MethodPost {
		if err := json.NewDecoder(r.Body).Decode(&e); err != nil {
			http.Error(w, "not the JSON form of a request to explain", http.StatusBadRequest)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(x.Explain(e))
}
