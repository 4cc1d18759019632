package gateway

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// queueScanInterval is the interval at which queued parts are tried again.
const queueScanInterval = 10 * time.Millisecond

// queuedPart is a part of a query that no leaf could take yet.
type queuedPart struct {
	query *query
	part  int
}

// enqueuePart queues a part until a connection is free or a cold leaf can take it.
func (s *State) enqueuePart(q *query, i int) {
	p := &q.parts[i]
	p.state = partQueued
	p.queuedBecause = s.busyCause(p.svc)
	if len(p.svc.queue) == 0 {
		s.waitingServices = append(s.waitingServices, p.svc)
	}
	p.svc.queue = append(p.svc.queue, queuedPart{q, i})
}

// scanQueues sends the queued parts of all services that a leaf can take now.
func (s *State) scanQueues() {
	if len(s.waitingServices) == 0 {
		return
	}
	waiting := s.waitingServices
	s.waitingServices = nil
	for _, svc := range waiting {
		s.scanQueue(svc)
		if len(svc.queue) > 0 && !slices.Contains(s.waitingServices, svc) {
			s.waitingServices = append(s.waitingServices, svc)
		}
	}
}

// scanQueue sends queued parts that a leaf can take now, in the order of sortQueue. It
// drops parts that need no attempt any more or have no time left.
func (s *State) scanQueue(svc *service) {
	if len(svc.queue) == 0 {
		return
	}
	s.sortQueue(svc)
	remaining := svc.queue[:0]
	for _, queued := range svc.queue {
		p := &queued.query.parts[queued.part]
		if queued.query.closed || p.state != partQueued || s.now >= queued.query.leafDeadline {
			continue
		}
		srv, result := s.chooseLeaf(svc, queued.query, p)
		if result == leafsBusy {
			remaining = append(remaining, queued)
			continue
		}
		p.state = partOpen
		if result == noLeafLeft {
			s.partFailed(queued.query, queued.part, "no_server")
			continue
		}
		s.sendCall(queued.query, queued.part, srv, false)
	}
	clear(svc.queue[len(remaining):])
	svc.queue = remaining
}

// sortQueue orders the queued parts of a service. Those of requests that can still be
// answered in time come first, by priority and then by the rank of the request, which is
// the same at all shards: in the order of arrival all requests would be late while leafs
// are overloaded, and in an order that differs between shards few would be complete. Of
// the others those come first that lack the fewest parts.
func (s *State) sortQueue(svc *service) {
	least := s.leastExpectedRatio(svc)
	for _, queued := range svc.queue {
		q := queued.query
		expected := time.Duration(least * s.route(q.route).unloadedTime)
		q.parts[queued.part].late = s.now.Add(expected) > q.inTimeUntil
	}
	slices.SortStableFunc(svc.queue, func(a, b queuedPart) int {
		aLate, bLate := a.query.parts[a.part].late, b.query.parts[b.part].late
		if aLate != bLate {
			return compareBool(aLate, bLate)
		}
		order := a.query.route.Priority - b.query.route.Priority
		if aLate {
			order = cmp.Or(order, a.query.lackingParts()-b.query.lackingParts())
		}
		return cmp.Or(order, cmp.Compare(a.query.rank, b.query.rank))
	})
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// leastExpectedRatio returns the expected time of an attempt at the best leaf of a
// service, relative to that at a typical leaf without load; 0 if it has no leaf.
func (s *State) leastExpectedRatio(svc *service) float64 {
	least := math.Inf(1)
	for _, srv := range svc.servers {
		if s.usable(srv) {
			least = min(least, srv.expectedRatio(s.estimatedLoad(srv)))
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}
