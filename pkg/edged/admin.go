package edged

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/edge"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
)

// Paths served on the admin address.
const (
	MetricsPath = "/metrics"
	StatusPath  = "/status"
	RoutesPath  = "/routes"
	LeafsPath   = "/leafs"
	ExplainPath = edge.ExplainPath
	// TenantsPath serves the tenants and the use of their quotas, without keys.
	TenantsPath = "/tenants"
	// RolloutsPath serves the orders of roll-outs.
	RolloutsPath = "/rollouts"
)

// StatusReply is the body of a reply to StatusPath.
type StatusReply struct {
	VM      string                 `json:"vm"`
	Status  gateway.Status         `json:"status"`
	Daemons []gateway.DaemonStatus `json:"daemons"`
}

// RoutesReply is the body of a reply to RoutesPath.
type RoutesReply struct {
	ConfigVersion uint64           `json:"configVersion"`
	Routes        []*gateway.Route `json:"routes"`
}

func (d *daemon) status() gateway.Status {
	var out gateway.Status
	d.runtime.Inspect(func(s *gateway.State) { out = s.Status() })
	return out
}

// adminHandler serves the metrics and the state that the command line shows.
func (d *daemon) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+MetricsPath, promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET "+StatusPath, d.inspectHandler(func(s *gateway.State, _ *http.Request) any {
		return StatusReply{VM: d.settings.VM, Status: s.Status(), Daemons: s.Daemons()}
	}))
	mux.HandleFunc("GET "+RoutesPath, d.inspectHandler(func(s *gateway.State, _ *http.Request) any {
		version, routes := s.Routes()
		return RoutesReply{ConfigVersion: version, Routes: routes}
	}))
	mux.HandleFunc("GET "+LeafsPath, d.inspectHandler(func(s *gateway.State, r *http.Request) any {
		return s.Leafs(r.URL.Query().Get("service"))
	}))
	mux.HandleFunc("GET "+TenantsPath, d.inspectHandler(func(s *gateway.State, _ *http.Request) any { return s.Tenants() }))
	mux.HandleFunc("GET "+RolloutsPath, d.inspectHandler(func(s *gateway.State, _ *http.Request) any { return s.Rollouts() }))
	mux.Handle(ExplainPath, d.explainer)
	return mux
}

// peerHandler serves other daemons and, for operators who compare the daemons of a fleet,
// explanations.
func (d *daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", d.peers.Handler())
	mux.Handle(ExplainPath, d.explainer)
	return mux
}

// logExplained counts and logs an explanation.
func (d *daemon) logExplained(m *Metrics) func(time.Duration) {
	return func(stopped time.Duration) {
		m.explanations.Inc()
		d.log.Write(logevent.EdgeExplained, []logevent.Field{logevent.Int("elapsed_us", stopped.Microseconds())})
	}
}

// inspectHandler replies with the JSON form of what answer returns. That value is
// encoded after the reducer's lock was released, so it must not share memory that
// the reducer changes.
func (d *daemon) inspectHandler(answer func(*gateway.State, *http.Request) any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body any
		d.runtime.Inspect(func(s *gateway.State) { body = answer(s, r) })
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(body)
	}
}
