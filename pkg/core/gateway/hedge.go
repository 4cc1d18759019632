package gateway

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// initialHedgeRatio is the hedge delay as a share of the latency target while
	// attempt times are not known.
	initialHedgeRatio = 0.35
	// hedgeRetryInterval is the pause before another try to hedge parts that the retry
	// budget or busy leafs did not allow to be hedged.
	hedgeRetryInterval = 10 * time.Millisecond
)

// hedgeDelay is the time after which a second attempt is sent: when nine in ten
// attempts are done, or earlier if a second attempt would otherwise miss the latency
// target, but not before the median.
func (s *State) hedgeDelay(r *Route, spentBefore time.Duration) time.Duration {
	rs := s.route(r)
	if rs.median == 0 {
		return time.Duration(float64(r.LatencyTarget) * initialHedgeRatio)
	}
	latest := s.partialAnswerDelay(r, spentBefore) - rs.p90
	return max(min(rs.p90, latest), rs.median)
}

// hedgeQuery sends a second attempt for each open part that has exactly one open
// attempt.
func (s *State) hedgeQuery(q *query) {
	q.hedgeAt = model.Never
	if q.revoked || s.now >= q.leafDeadline {
		return
	}
	for i := range q.parts {
		p := &q.parts[i]
		if p.state != partOpen || p.countedAttempts >= q.route.MaxAttempts || p.openCalls() != 1 {
			continue
		}
		if !s.hedgePart(q, i) {
			q.hedgeAt = s.now.Add(hedgeRetryInterval)
		}
	}
	if q.hedgeAt >= q.leafDeadline {
		q.hedgeAt = model.Never
	}
}

// hedgePart sends a second attempt of a part. It reports false if that should be tried
// again later.
func (s *State) hedgePart(q *query, i int) bool {
	p := &q.parts[i]
	if s.firstAttemptsWait(q, p.svc) {
		return false
	}
	if s.retryTokens(p.svc) < 1 {
		q.budgetDenied++
		p.retryDenied = true
		return false
	}
	srv, result := s.chooseUntriedLeaf(p.svc, q, p)
	if result != leafChosen {
		return result == noLeafLeft
	}
	if s.extraAttemptQueues(q, srv) {
		return false
	}
	s.withdrawRetryToken(p.svc)
	s.sendCall(q, i, srv, true)
	return true
}

// chooseUntriedLeaf picks a leaf that the part has not tried.
func (s *State) chooseUntriedLeaf(svc *service, q *query, p *part) (*server, choiceResult) {
	srv, result := s.chooseLeaf(svc, q, p)
	if result == leafChosen && p.tried(srv, false) {
		return nil, noLeafLeft
	}
	return srv, result
}

// probeSlowLeaf sends a part that was just sent to a good leaf to a slow one as well,
// to learn whether that leaf has recovered. No caller waits for it, and it takes a
// retry token only if enough are left for hedges.
func (s *State) probeSlowLeaf(q *query, i int) {
	p := &q.parts[i]
	if !q.route.Idempotent || q.route.MaxAttempts < 2 || s.retryTokens(p.svc) < probeTokenReserve {
		return
	}
	if s.firstAttemptsWait(q, p.svc) {
		return
	}
	for _, srv := range p.svc.servers {
		if srv.relativeLatency < suspectRelativeLatency || srv.nextProbeAt > s.now || !s.usable(srv) || !s.inHomeRegion(srv, q.route) || !s.hasCapacity(srv) || p.tried(srv, false) {
			continue
		}
		if len(srv.inflight) > 0 || !s.takeColdToken(srv) {
			continue
		}
		srv.nextProbeAt = s.now.Add(probeInterval)
		s.withdrawRetryToken(p.svc)
		s.sendCall(q, i, srv, true)
		return
	}
}

// probeTokenReserve is the number of retry tokens that probes leave for hedges.
const probeTokenReserve = 2.0
