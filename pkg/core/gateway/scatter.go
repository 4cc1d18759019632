package gateway

import (
	"slices"
	"time"
)

// partialAnswerDelay is how long a query over shards waits for all of them before a
// partial answer is preferred, given the time that the caller spent before the request.
// A caller that gets most shards within the latency target is served better than one
// that waits for all.
func (s *State) partialAnswerDelay(r *Route, spentBefore time.Duration) time.Duration {
	return r.LatencyTarget - spentBefore - s.route(r).callerTimeouts.deliveryMargin()
}

// enoughServices reports whether ok holds for as many shards as an answer needs. A
// query that cannot be answered is refused before anything is sent, and not at its
// deadline, so that its caller can try another daemon or retry later.
func (s *State) enoughServices(q *query, ok func(*service) bool) bool {
	if len(q.route.Shards) == 0 {
		return true
	}
	n := 0
	for i := range q.parts {
		if ok(q.parts[i].svc) {
			n++
		}
	}
	return float64(n) >= q.route.MinShardRatio*float64(len(q.parts))
}

// hasUsableLeaf reports whether a service has a leaf that may get work.
func (s *State) hasUsableLeaf(svc *service) bool { return slices.ContainsFunc(svc.servers, s.usable) }

// unreachable reports whether connections to all usable leafs of a service have failed
// and none may be tried again yet.
func (s *State) unreachable(svc *service) bool {
	anyUsable := false
	for _, srv := range svc.servers {
		if !s.usable(srv) {
			continue
		}
		if srv.connectAfter <= s.now {
			return false
		}
		anyUsable = true
	}
	return anyUsable
}

// concludeShards answers a query over shards when no part is pending, or, once
// partialAnswerAt has passed, as soon as enough parts are answered.
func (s *State) concludeShards(q *query) {
	switch {
	case q.pendingParts == 0 && q.answeredParts > 0 && s.enoughAnswered(q):
		s.mergeAnswer(q)
	case s.enoughImpossible(q):
		s.refuse(q, s.refusalReason(q))
	case s.now >= q.partialAnswerAt && q.answeredParts > 0 && s.enoughAnswered(q):
		s.mergeAnswer(q)
	}
}

// enoughAnswered reports whether the answered parts reach the MinShardRatio of the
// route.
func (s *State) enoughAnswered(q *query) bool {
	return q.answeredParts > 0 && float64(q.answeredParts) >= q.route.MinShardRatio*float64(len(q.parts))
}

// enoughImpossible reports whether the MinShardRatio of the route can no longer be
// reached.
func (s *State) enoughImpossible(q *query) bool {
	possible := q.answeredParts + q.pendingParts
	return possible == 0 || float64(possible) < q.route.MinShardRatio*float64(len(q.parts))
}

// mergeAnswer answers a query with the parts that have been answered.
func (s *State) mergeAnswer(q *query) {
	calls := make([]CallID, 0, q.answeredParts)
	for i := range q.parts {
		if q.parts[i].state == partAnswered {
			calls = append(calls, q.parts[i].answeredBy.id)
		}
	}
	missing := len(q.parts) - len(calls)
	s.emit(MergeAnswer{Query: q.id, Calls: calls, Missing: missing, TopK: q.route.TopK})
	if missing > 0 {
		s.closeQuery(q, LogQueryPartial, "partial")
		return
	}
	s.closeQuery(q, LogQueryAnswered, "answered")
}
