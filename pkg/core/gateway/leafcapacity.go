package gateway

import (
	"math"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/capacity"
)

// learnCapacity updates what is known about how much a leaf takes well from the end of an
// attempt; ratio is its time relative to the typical one of the route. It begins with the
// first report that has the fourth figure: leafs without one are used as before.
func (s *State) learnCapacity(srv *server, c *call, e CallDone, ratio float64) {
	slowdown := 0.0
	if e.HasLoad {
		slowdown = e.Load.Slowdown
	}
	if srv.capacity == nil {
		if slowdown <= 0 {
			return
		}
		srv.capacity = capacity.New(srv.Slots)
		if k, ok := s.startCapacity[srv.ID]; ok {
			srv.capacity.Start(k)
		}
	}
	trusted := srv.capacity.Trusted()
	switch {
	case e.Outcome == OutcomeSucceeded:
		srv.capacity.Answer(s.now, c.sentAt, ratio, c.loadBefore, slowdown)
	case e.Outcome == OutcomeCancelled && c.begun:
		srv.capacity.Late(s.now, c.sentAt, ratio)
	case slowdown > 0:
		srv.capacity.Report(s.now, slowdown)
	}
	switch {
	case trusted && !srv.capacity.Trusted():
		s.emit(Log{Kind: LogReportsIgnored, Subject: srv.ID, Detail: srv.Service})
	case !trusted && srv.capacity.Trusted():
		s.emit(Log{Kind: LogReportsTrusted, Subject: srv.ID, Detail: srv.Service})
	}
}

// expectedRatio estimates the time of an attempt at a leaf with the given load, in
// typical attempt times.
func (s *State) expectedRatio(srv *server, load float64) float64 {
	if srv.capacity != nil {
		return srv.capacity.Expected(s.now, load)
	}
	return srv.relativeLatency * (1 + load/float64(max(1, srv.Slots)))
}

// unloadedRatio estimates the time of an attempt at a leaf without load, in typical attempt
// times.
func (s *State) unloadedRatio(srv *server) float64 {
	if srv.capacity != nil {
		return max(srv.relativeLatency, srv.capacity.Unloaded(s.now))
	}
	return srv.relativeLatency
}

// LeafCapacities returns what this daemon knows about how much leafs take well, for a daemon
// that starts: what it has learned itself, otherwise what it started from.
func (s *State) LeafCapacities() []LeafCapacity {
	var out []LeafCapacity
	for _, id := range s.serverIDs() {
		k, ok := s.startCapacity[id]
		if l := s.servers[id].capacity; l != nil {
			if own, enough := l.Known(); enough {
				k, ok = own, true
			}
		}
		if ok {
			out = append(out, LeafCapacity{Leaf: id, Limit: k.Limit, BaseLatency: k.Base})
		}
	}
	return out
}

// startFromCapacities takes over what another daemon has learned, once. It is used for each
// leaf until this daemon has enough answers of its own.
func (s *State) startFromCapacities(from string, list []LeafCapacity) {
	if len(list) == 0 || s.startCapacity != nil {
		return
	}
	s.emit(Log{Kind: LogCapacityStart, Subject: from, Number: int64(len(list))})
	s.startCapacity = make(map[string]capacity.Knowledge, len(list))
	for _, c := range list {
		k := capacity.Knowledge{Limit: c.Limit, Base: c.BaseLatency}
		s.startCapacity[c.Leaf] = k
		if srv, ok := s.servers[c.Leaf]; ok && srv.capacity != nil {
			srv.capacity.Start(k)
		}
	}
}

// LearnedCapacity is what a daemon has learned about how much a leaf takes well.
type LearnedCapacity struct {
	// Limit is the number of requests that the leaf takes at once before its latency rises.
	Limit float64 `json:"limit"`
	// BaseLatency is the latency without load, 1 for a usual leaf of the service; Slowdown is
	// how long work takes now by the leaf's reports, 1 for the usual time.
	BaseLatency float64 `json:"baseLatency"`
	Slowdown    float64 `json:"slowdown"`
	// ReportsIgnored means that the leaf's latency does not show what it reports.
	ReportsIgnored bool `json:"reportsIgnored"`
}

func (s *State) learnedCapacity(srv *server) *LearnedCapacity {
	l := srv.capacity
	if l == nil {
		return nil
	}
	return &LearnedCapacity{Limit: l.Limit(), BaseLatency: l.Base(), Slowdown: l.Slowdown(s.now), ReportsIgnored: !l.Trusted()}
}

// maxConnectionsTo is the number of connections that this daemon may have to a leaf: its share
// of those that the leaf accepts, and no more than twice the requests that the leaf takes well.
// With once, requests wait in this daemon while the leaf has free slots.
func (s *State) maxConnectionsTo(srv *server) int {
	n := s.maxConnections(srv.svc)
	if srv.capacity != nil {
		n = min(n, max(1, int(math.Ceil(connectionsPerLimit*srv.capacity.Limit()))))
	}
	return n
}

// connectionsPerLimit is the number of connections for each request that a leaf takes well.
const connectionsPerLimit = 2.0
