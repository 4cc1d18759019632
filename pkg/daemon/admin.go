package daemon

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// liveTimeout is how long the event loop may take to answer a liveness check.
const liveTimeout = 2 * time.Second

// adminHandler serves metrics, /healthz (the event loop runs) and /readyz (the
// daemon takes new work).
func (d *daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", d.healthz)
	mux.HandleFunc("GET /readyz", d.readyz)
	return mux
}

func (d *daemon) healthz(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), liveTimeout)
	defer cancel()
	if !d.loop.Alive(ctx) {
		http.Error(w, "event loop does not answer", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}

func (d *daemon) readyz(w http.ResponseWriter, _ *http.Request) {
	s := d.status()
	if !s.Ready {
		http.Error(w, "not ready: "+s.Reason, http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}
