package gateway

import (
	"cmp"
	"slices"
	"time"
)

// LeafStatus is what a daemon knows about a leaf.
type LeafStatus struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	Usable        bool   `json:"usable"`
	// Version is that of the leaf's software; Excluded means that it gets no requests, or
	// only sampled ones, because of its version.
	Version   string  `json:"version"`
	Excluded  bool    `json:"excluded"`
	Draining  bool    `json:"draining"`
	Evacuated bool    `json:"evacuated"`
	ColdMS    int64   `json:"coldMs"`
	OpenCalls int     `json:"openCalls"`
	Load      float64 `json:"load"`
	// RelativeLatency is 1 for the typical latency of a route, more for a slower leaf.
	RelativeLatency float64 `json:"relativeLatency"`
	FailureRate     float64 `json:"failureRate"`
	// SilentMS is for how long the leaf has not answered while attempts are open.
	SilentMS int64 `json:"silentMs"`
	// Learned is set for leafs that report how fast their VM is.
	Learned *LearnedCapacity `json:"learned,omitempty"`
}

// Leafs returns the leafs of a service, or all leafs if service is empty, sorted by
// service and ID.
func (s *State) Leafs(service string) []LeafStatus {
	out := []LeafStatus{}
	for _, srv := range s.servers {
		if service != "" && srv.Service != service {
			continue
		}
		srv.decay(s.now)
		out = append(out, LeafStatus{
			ID: srv.ID, Service: srv.Service, Address: srv.Address, FailureDomain: srv.FailureDomain,
			Usable: s.usable(srv) && s.hasCapacity(srv), Version: srv.Version, Excluded: srv.excluded, Draining: srv.Draining, Evacuated: s.evacuated[srv.FailureDomain],
			ColdMS: max(0, srv.coldUntil.Sub(s.now).Milliseconds()), OpenCalls: len(srv.inflight), Load: s.estimatedLoad(srv),
			RelativeLatency: srv.relativeLatency, FailureRate: srv.failureRate, SilentMS: srv.unansweredFor(s.now).Milliseconds(),
			Learned: s.learnedCapacity(srv),
		})
	}
	slices.SortFunc(out, func(a, b LeafStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// DaemonStatus is what a daemon knows about a daemon.
type DaemonStatus struct {
	DaemonEntry
	Alive   bool  `json:"alive"`
	HeardMS int64 `json:"heardMs"`
	Active  bool  `json:"active"`
}

// Daemons returns this daemon and those that it knows, sorted by name.
func (s *State) Daemons() []DaemonStatus {
	active := map[string]bool{}
	for _, e := range s.active(nil) {
		active[e.Name] = true
	}
	self := s.self()
	out := []DaemonStatus{{DaemonEntry: self, Alive: true, Active: active[self.Name]}}
	for _, name := range s.daemonNames() {
		d := s.daemons[name]
		heardMS := int64(-1)
		if d.heardAt > 0 {
			heardMS = s.now.Sub(d.heardAt).Milliseconds()
		}
		out = append(out, DaemonStatus{DaemonEntry: d.DaemonEntry, Alive: s.alive(d), HeardMS: heardMS, Active: active[name]})
	}
	slices.SortFunc(out, func(a, b DaemonStatus) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Routes returns the version and the routes of the configuration in use.
func (s *State) Routes() (version uint64, routes []*Route) {
	if s.config == nil {
		return 0, nil
	}
	return s.config.Version, s.config.Routes
}
