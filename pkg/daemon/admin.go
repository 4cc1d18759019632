package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// livenessTimeout is how long the event loop may take to answer a liveness check.
const livenessTimeout = 2 * time.Second

// adminHandler serves metrics, /healthz (the event loop runs), /readyz (the
// daemon takes new work), /statusz (a summary as JSON) and profiles.
func (d *daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", d.healthz)
	mux.HandleFunc("GET /readyz", d.readyz)
	mux.HandleFunc("GET /statusz", d.statusz)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return mux
}

func (d *daemon) healthz(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), livenessTimeout)
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

// Status is the body of /statusz.
type Status struct {
	VM              model.VM `json:"vm"`
	Incarnation     string   `json:"incarnation"`
	BundleVersion   uint64   `json:"bundle_version"`
	ControlsVersion uint64   `json:"controls_version"`
	Epoch           uint64   `json:"epoch"`
	Serving         bool     `json:"serving"`
	// Reason says why the daemon does not serve.
	Reason       string `json:"reason,omitempty"`
	Leaving      bool   `json:"leaving"`
	OnPanel      bool   `json:"on_panel"`
	OwnedServers int    `json:"owned_servers"`
	Running      int    `json:"running"`
	SubRequests  int    `json:"sub_requests"`
}

func (d *daemon) statusz(w http.ResponseWriter, _ *http.Request) {
	s := d.status()
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(Status{
		VM:              d.options.VM,
		Incarnation:     fmt.Sprintf("%x", uint64(s.Self.Incarnation)),
		BundleVersion:   s.BundleVersion,
		ControlsVersion: s.ControlsVersion,
		Epoch:           s.Epoch,
		Serving:         s.Ready,
		Reason:          s.Reason,
		Leaving:         s.Leaving,
		OnPanel:         s.OnPanel,
		OwnedServers:    s.Owned,
		Running:         s.Running,
		SubRequests:     s.SubRequests,
	})
}
