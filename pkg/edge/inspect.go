package edge

import "github.com/pistachiousher/pistachiousher/pkg/core/gateway"

// Inspect calls f with the reducer while no event is applied. f must not block or keep
// a reference to the reducer.
func (r *Runtime) Inspect(f func(*gateway.State)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.core)
}
