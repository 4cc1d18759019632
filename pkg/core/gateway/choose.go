package gateway

import (
	"slices"
	"time"
)

// choiceResult is the result of choosing a leaf.
type choiceResult uint8

const (
	leafChosen choiceResult = iota
	// leafsBusy means that there are leafs, but none can take an attempt now.
	leafsBusy
	// noLeafLeft means that there is no leaf left to try.
	noLeafLeft
)

const (
	// maxCandidates is the number of leafs that are compared. With more, all daemons
	// would send their attempts to the same leaf.
	maxCandidates = 3
	// failurePenalty is the cost, in typical attempt times, of a leaf that always
	// fails.
	failurePenalty = 8.0
	// domainPenalty is the cost of a leaf in another failure domain, in typical attempt
	// times: traffic between domains is charged for, and takes longer.
	domainPenalty = 0.3
	// stallThreshold is the number of the leaf's usual attempt times without an answer
	// after which the leaf counts as stalled.
	stallThreshold = 2.0
	// coldPenalty is the cost of a cold leaf, in typical attempt times.
	coldPenalty = 0.6
	// costJitter is the largest random increase of a cost, as a ratio. It keeps daemons
	// from choosing the same leaf among leafs of equal cost.
	costJitter = 0.1
)

// chooseLeaf picks the leaf for the next attempt of a part: the one of the lowest cost
// among up to three random candidates. Leafs that the part has tried before are
// candidates only if no other is left.
func (s *State) chooseLeaf(svc *service, q *query, p *part) (*server, choiceResult) {
	if srv := s.sampledLeaf(svc, q, p); srv != nil {
		return srv, leafChosen
	}
	var candidates []*server
	anyBusy := false
	for _, srv := range svc.servers {
		if p.tried(srv, false) {
			continue
		}
		switch s.availability(srv, q.route) {
		case leafAvailable:
			candidates = append(candidates, srv)
		case leafBusy:
			anyBusy = true
		}
	}
	if len(candidates) == 0 && !anyBusy {
		candidates = s.retryableLeafs(svc, q, p)
	}
	if len(candidates) == 0 {
		if anyBusy {
			return nil, leafsBusy
		}
		return nil, noLeafLeft
	}
	best := s.cheapestLeaf(candidates, s.route(q.route).typicalAttemptTime(q.route))
	if !s.takeColdToken(best) {
		return nil, leafsBusy
	}
	return best, leafChosen
}

// leafAvailability says whether a leaf is a candidate for an attempt.
type leafAvailability uint8

const (
	leafAvailable leafAvailability = iota
	// leafBusy means that the leaf may take an attempt later.
	leafBusy
	// leafUnavailable means that the leaf must get no attempt of the route.
	leafUnavailable
)

// availability reports whether a leaf can take an attempt of a route now.
func (s *State) availability(srv *server, r *Route) leafAvailability {
	switch {
	case !s.usable(srv) || !s.inHomeRegion(srv, r):
		return leafUnavailable
	case !s.hasCapacity(srv):
		return leafBusy
	}
	return leafAvailable
}

// retryableLeafs returns the leafs on which the part has no open attempt.
func (s *State) retryableLeafs(svc *service, q *query, p *part) []*server {
	var out []*server
	for _, srv := range svc.servers {
		if s.usable(srv) && s.inHomeRegion(srv, q.route) && s.hasCapacity(srv) && !p.tried(srv, true) {
			out = append(out, srv)
		}
	}
	return out
}

// hasCapacity reports whether a leaf can take one more attempt of this daemon now.
func (s *State) hasCapacity(srv *server) bool {
	return len(srv.inflight) < s.maxConnectionsTo(srv) && srv.connectAfter <= s.now && s.hasColdToken(srv)
}

// inHomeRegion reports whether the route may run in the leaf's region.
func (s *State) inHomeRegion(srv *server, r *Route) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, s.opt.RegionOf[srv.FailureDomain])
}

func (s *State) cheapestLeaf(candidates []*server, typical time.Duration) *server {
	if len(candidates) > maxCandidates {
		s.rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
		candidates = candidates[:maxCandidates]
	}
	var best *server
	bestCost := 0.0
	for _, srv := range candidates {
		cost := s.attemptCost(srv, typical) * (1 + costJitter*s.rand.Float64())
		if best == nil || cost < bestCost {
			best, bestCost = srv, cost
		}
	}
	return best
}

// attemptCost estimates the time of one more attempt at a leaf, in typical attempt
// times, from the leaf's relative latency, its load, its failures, and for how long it
// has not answered.
func (s *State) attemptCost(srv *server, typical time.Duration) float64 {
	srv.decay(s.now)
	cost := s.expectedRatio(srv, s.estimatedLoad(srv))
	cost += failurePenalty * srv.failureRate
	if stall := float64(srv.unansweredFor(s.now)) / float64(typical); stall > stallThreshold*s.unloadedRatio(srv) {
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

// estimatedLoad estimates the number of requests at a leaf: the attempts of this daemon
// and, while the leaf's report is recent, those of others.
func (s *State) estimatedLoad(srv *server) float64 {
	load := float64(len(srv.inflight))
	if age := s.now.Sub(srv.othersLoadAt); srv.othersLoadAt > 0 && age < loadReportLifetime {
		load += srv.othersLoad * (1 - float64(age)/float64(loadReportLifetime))
	}
	return load
}
