package gateway

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// firstHedgeShare of the latency target is the hedge delay before latencies
	// are known.
	firstHedgeShare = 0.35
	// hedgeRetry is the pause before parts that the budget did not allow to be
	// hedged are looked at again.
	hedgeRetry = 10 * time.Millisecond
)

// hedgeDelay is the time after which a second attempt is sent: when nine in
// ten attempts are done, but early enough for a second attempt to be in time.
func (s *State) hedgeDelay(r *Route, spent time.Duration) time.Duration {
	rs := s.route(r)
	if rs.median == 0 {
		return time.Duration(float64(r.LatencyTarget) * firstHedgeShare)
	}
	latest := s.answerTime(r, spent) - rs.p90
	return max(min(rs.p90, latest), rs.median)
}

// hedge sends a second attempt of each part that has none and is still open.
func (s *State) hedge(q *query) {
	q.hedgeAt = model.Never
	if s.now >= q.leafDeadline {
		return
	}
	for i := range q.parts {
		p := &q.parts[i]
		if p.state != partOpen || p.arrivals >= q.route.MaxAttempts || p.openCalls() != 1 {
			continue
		}
		if !s.hedgePart(q, i) {
			q.hedgeAt = s.now.Add(hedgeRetry)
		}
	}
	if q.hedgeAt >= q.leafDeadline {
		q.hedgeAt = model.Never
	}
}

// hedgePart reports false if the part should be tried again later.
func (s *State) hedgePart(q *query, i int) bool {
	p := &q.parts[i]
	if p.svc.tokens < 1 {
		q.denied++
		return false
	}
	srv, v := s.chooseOther(p.svc, q, p)
	if v != chooseOK {
		return v == chooseNone
	}
	p.svc.withdraw()
	s.send(q, i, srv, true)
	return true
}

// chooseOther picks a leaf that the part has not tried.
func (s *State) chooseOther(svc *service, q *query, p *part) (*server, verdict) {
	srv, v := s.choose(svc, q, p)
	if v == chooseOK && p.tried(srv, false) {
		return nil, chooseNone
	}
	return srv, v
}

// probe sends a part that was just sent to a good leaf also to a slow one, to
// learn whether that is well again. No caller waits for it, and it spends the
// retry budget only if enough is left for hedges.
func (s *State) probe(q *query, i int) {
	p := &q.parts[i]
	if !q.route.Idempotent || q.route.MaxAttempts < 2 || p.svc.tokens < probeReserve {
		return
	}
	for _, srv := range p.svc.servers {
		if srv.speed < suspectSpeed || srv.probeAt > s.now || !s.usable(srv) || !s.allowed(srv, q.route) || !s.open(srv) || p.tried(srv, false) {
			continue
		}
		if len(srv.inflight) > 0 || !s.takeColdToken(srv) {
			continue
		}
		srv.probeAt = s.now.Add(probeInterval)
		p.svc.withdraw()
		s.send(q, i, srv, true)
		return
	}
}

// probeReserve is the number of tokens that probes leave to hedges.
const probeReserve = 2.0
