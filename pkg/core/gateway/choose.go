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
	// maxLoadPerSlot is the number of requests at a leaf, per slot, from which it gets no
	// more: twice as many wait then as run.
	maxLoadPerSlot = 3.0
	// costJitter is the largest random increase of a cost, as a ratio. It keeps daemons
	// from choosing the same leaf among leafs of equal cost.
	costJitter = 0.1
)

// candidates are the leafs of a service that a part may be sent to now.
type candidates struct {
	// all have capacity; inTime are those of them that are expected to answer in time.
	all, inTime []*server
	// busy means that there are leafs without capacity, busyInTime that one of them is
	// expected to answer in time all the same.
	busy, busyInTime bool
}

// chooseLeaf picks the leaf for the next attempt of a part: the one of the lowest cost
// among up to three random candidates. Leafs that are expected to answer in time come
// first, and if they are busy the part waits for them. Leafs that the part has tried
// before are candidates only if no other is left.
func (s *State) chooseLeaf(svc *service, q *query, p *part) (*server, choiceResult) {
	found := s.candidates(svc, q, p)
	list := found.all
	switch {
	case len(found.inTime) > 0:
		list = found.inTime
	case found.busyInTime:
		return nil, leafsBusy
	case len(list) == 0 && !found.busy:
		list = s.retryableLeafs(svc, q, p)
	}
	if len(list) == 0 {
		if found.busy {
			return nil, leafsBusy
		}
		return nil, noLeafLeft
	}
	best := s.cheapestLeaf(list, s.route(q.route).typicalAttemptTime(q.route))
	if !s.takeColdToken(best) {
		return nil, leafsBusy
	}
	return best, leafChosen
}

// candidates returns the untried leafs of a service for a part. A part of a request that
// cannot be answered in time any more gets only free slots.
func (s *State) candidates(svc *service, q *query, p *part) candidates {
	var c candidates
	unloaded := s.route(q.route).unloadedTime
	for _, srv := range svc.servers {
		if !s.usable(srv) || !s.inHomeRegion(srv, q.route) || p.tried(srv, false) {
			continue
		}
		load := s.estimatedLoad(srv)
		answersInTime := !p.late && s.now.Add(time.Duration(srv.expectedRatio(load)*unloaded)) <= q.inTimeUntil
		if !s.hasCapacity(srv) || p.late && load >= float64(srv.Slots) {
			c.busy = true
			c.busyInTime = c.busyInTime || answersInTime
			continue
		}
		c.all = append(c.all, srv)
		if answersInTime {
			c.inTime = append(c.inTime, srv)
		}
	}
	return c
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
	return len(srv.inflight) < s.maxConnections(srv.svc) && srv.connectAfter <= s.now && s.hasColdToken(srv) && !s.isFull(srv)
}

// isFull reports whether so many requests wait at a leaf that further ones are better
// kept in this daemon, where more urgent ones can still be sent before them.
func (s *State) isFull(srv *server) bool {
	return s.estimatedLoad(srv) >= maxLoadPerSlot*float64(max(1, srv.Slots))
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
	cost := srv.expectedRatio(s.estimatedLoad(srv))
	cost += failurePenalty * srv.failureRate
	if stall := float64(srv.unansweredFor(s.now)) / float64(typical); stall > stallThreshold*srv.relativeLatency {
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

// expectedRatio estimates the time of an attempt at a leaf with the given load, in
// typical attempt times.
func (srv *server) expectedRatio(load float64) float64 {
	return srv.relativeLatency * (1 + load/float64(max(1, srv.Slots)))
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
