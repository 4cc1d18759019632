package gateway

import (
	"slices"
	"time"
)

// verdict is the result of a choice of leaf.
type verdict uint8

const (
	chooseOK verdict = iota
	// chooseBusy means that leafs exist, but none can take an attempt now.
	chooseBusy
	// chooseNone means that no leaf is left to try.
	chooseNone
)

const (
	// choices is the number of leafs that are compared; more would send the
	// attempts of all daemons to the same leaf.
	choices = 3
	// failurePenalty is the cost, in usual latencies, of a leaf that fails always.
	failurePenalty = 8.0
	// domainPenalty is the cost of a leaf in another failure domain, in usual
	// latencies: bytes between domains are paid for, and the way is longer.
	domainPenalty = 0.3
	// stallGrace is the number of usual latencies without an answer after which
	// a leaf counts as stalled.
	stallGrace = 2.0
	// coldPenalty is the cost of a cold leaf, in usual latencies.
	coldPenalty = 0.6
	// costJitter keeps daemons from choosing alike on equal costs.
	costJitter = 0.1
)

// choose picks the leaf for the next attempt of a part: of up to three random
// candidates the one with the least expected time, from the leaf's relative
// latency, its load, its failures, and how long it has not answered.
func (s *State) choose(svc *service, q *query, p *part) (*server, verdict) {
	var candidates []*server
	busy := false
	for _, srv := range svc.servers {
		if !s.usable(srv) || !s.allowed(srv, q.route) || p.tried(srv, false) {
			continue
		}
		if !s.open(srv) {
			busy = true
			continue
		}
		candidates = append(candidates, srv)
	}
	if len(candidates) == 0 && !busy {
		candidates = s.retryable(svc, q, p)
	}
	if len(candidates) == 0 {
		if busy {
			return nil, chooseBusy
		}
		return nil, chooseNone
	}
	best := s.cheapest(candidates, s.route(q.route).typical(q.route))
	if !s.takeColdToken(best) {
		return nil, chooseBusy
	}
	return best, chooseOK
}

// retryable returns leafs that were tried already and whose attempt has ended.
func (s *State) retryable(svc *service, q *query, p *part) []*server {
	var out []*server
	for _, srv := range svc.servers {
		if s.usable(srv) && s.allowed(srv, q.route) && s.open(srv) && !p.tried(srv, true) {
			out = append(out, srv)
		}
	}
	return out
}

// open reports whether a leaf can take one more attempt of this daemon now.
func (s *State) open(srv *server) bool {
	return len(srv.inflight) < s.connections(srv.svc) && srv.connectAfter <= s.now && s.coldTokenLeft(srv)
}

// allowed reports whether the route may run at the leaf's region.
func (s *State) allowed(srv *server, r *Route) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, s.opt.RegionOf[srv.FailureDomain])
}

func (s *State) cheapest(candidates []*server, typical time.Duration) *server {
	if len(candidates) > choices {
		s.rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
		candidates = candidates[:choices]
	}
	var best *server
	bestCost := 0.0
	for _, srv := range candidates {
		cost := s.cost(srv, typical) * (1 + costJitter*s.rand.Float64())
		if best == nil || cost < bestCost {
			best, bestCost = srv, cost
		}
	}
	return best
}

// cost estimates the time of one more attempt at a leaf in usual latencies.
func (s *State) cost(srv *server, typical time.Duration) float64 {
	srv.decay(s.now)
	cost := srv.speed * (1 + s.load(srv)/float64(max(1, srv.Slots)))
	cost += failurePenalty * srv.failures
	if stall := float64(srv.stallAge(s.now)) / float64(typical); stall > stallGrace*srv.speed {
		cost += stall
	}
	if srv.coldUntil > s.now {
		cost += coldPenalty
	}
	if srv.FailureDomain != s.opt.Self.FailureDomain {
		cost += domainPenalty
	}
	return cost
}

// load estimates the number of requests at a leaf: the attempts of this daemon
// and, while the leaf's report is recent, those of others.
func (s *State) load(srv *server) float64 {
	load := float64(len(srv.inflight))
	if age := s.now.Sub(srv.loadAt); srv.loadAt > 0 && age < loadTrust {
		load += srv.othersLoad * (1 - float64(age)/float64(loadTrust))
	}
	return load
}
