package gateway

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// call is one attempt at a leaf.
type call struct {
	id     CallID
	query  *query
	part   int
	server *server
	sentAt model.Time
	// begun means that the first byte of the request may have been sent, at begunAt.
	begun bool
	// cold means that the leaf was cold when the attempt was sent.
	cold      bool
	begunAt   model.Time
	cancelled bool
	ended     bool
	endedAt   model.Time
	outcome   Outcome
	// loadBefore is the leaf's estimated load without this attempt, expected the time
	// that the attempt was expected to take, both when it was sent.
	loadBefore float64
	expected   time.Duration
}

// sendCall starts an attempt. Invariants: of each part no more than MaxAttempts
// attempts may have reached a leaf, and a request that is not idempotent gets no second
// attempt while an earlier one may have run.
func (s *State) sendCall(q *query, i int, srv *server, hedge bool) {
	s.lastCall++
	p := &q.parts[i]
	c := &call{id: s.lastCall, query: q, part: i, server: srv, sentAt: s.now, cold: srv.coldUntil > s.now}
	c.loadBefore = s.estimatedLoad(srv)
	c.expected = time.Duration(s.expectedRatio(srv, c.loadBefore) * float64(s.route(q.route).typicalAttemptTime(q.route)))
	s.calls[c.id] = c
	sameLeaf := p.tried(srv, false)
	p.calls = append(p.calls, c)
	p.countedAttempts++
	srv.inflight = append(srv.inflight, c)
	s.countExposure(srv)
	q.sent++
	q.openCalls++
	if hedge {
		q.hedges++
	}
	s.emit(SendCall{
		Call: c.id, Query: q.id, Service: srv.Service, Server: srv.ID, Address: srv.Address,
		Deadline: q.leafDeadline, MaxIdle: s.maxIdleConnections(srv.svc), TopK: q.topK(), NewConnection: sameLeaf,
	})
}

func (s *State) callDone(e CallDone) {
	c, ok := s.calls[e.Call]
	if !ok {
		return
	}
	delete(s.calls, e.Call)
	c.ended, c.endedAt, c.outcome = true, s.now, e.Outcome
	q := c.query
	q.openCalls--
	c.server.removeInflight(c)
	s.recordCallEnd(c.server, c, e, s.route(q.route))
	s.recordVersionAnswer(c, e.Outcome)
	s.scanQueue(c.server.svc)
	if q.closed {
		if q.openCalls == 0 {
			s.cancelWake(q)
		}
		return
	}
	p := &q.parts[c.part]
	if e.Outcome == OutcomeNotSent {
		p.countedAttempts--
	}
	if p.state == partAnswered || p.state == partFailed {
		return
	}
	switch e.Outcome {
	case OutcomeSucceeded:
		s.partAnswered(q, c)
	case OutcomeNotSent, OutcomeNotExecuted, OutcomeWrongServer:
		s.retryPart(q, c.part, e.Outcome)
	default:
		p.mayHaveRun = p.mayHaveRun || c.begun
		if e.Outcome == OutcomeFailed {
			p.failedCall = c
		}
		s.retryPart(q, c.part, e.Outcome)
	}
}

// cancelQueuedCalls cancels attempts of a part that are no longer needed, at leafs with
// more requests than slots, where they are probably still queued. Elsewhere they
// continue for losingCallGrace: a cancelled attempt costs its connection, a new one
// takes a leaf about as long as most requests, and the end of an attempt shows how fast
// the leaf is.
func (s *State) cancelQueuedCalls(p *part) {
	for _, c := range p.calls {
		if s.estimatedLoad(c.server) > float64(c.server.Slots) {
			s.cancelCall(c)
		}
	}
}

// losingCallGrace is how long attempts continue whose answers are no longer needed.
const losingCallGrace = 250 * time.Millisecond

func (s *State) cancelPartCalls(p *part) {
	for _, c := range p.calls {
		s.cancelCall(c)
	}
}

func (s *State) cancelCall(c *call) {
	if !c.ended && !c.cancelled {
		c.cancelled = true
		s.emit(CancelCall{Call: c.id})
	}
}

// BeginCall records that an attempt is about to be sent. It returns the time that the
// leaf has for it; 0 means that nothing may be sent. Invariants: a cancelled attempt is
// never sent, so that a refusal which says that the request has not run stays true;
// nothing is sent for a request that has its final answer or no time left.
func (s *State) BeginCall(now model.Time, id CallID) time.Duration {
	s.now = max(s.now, now)
	c, ok := s.calls[id]
	if !ok || c.cancelled || c.query.closed {
		return 0
	}
	left := c.query.leafDeadline.Sub(s.now)
	if left <= 0 {
		return 0
	}
	c.begun, c.begunAt = true, s.now
	return left
}

// retryPart repeats a failed attempt if that is allowed: always if it cannot have run,
// otherwise only if the request is idempotent; within MaxAttempts, the deadline and the
// retry budget. An attempt that was not sent needs no retry token.
func (s *State) retryPart(q *query, i int, o Outcome) {
	p := &q.parts[i]
	p.failureReason = o.String()
	if p.openCalls() > 0 {
		return
	}
	repeatable := !q.revoked && (q.route.Idempotent || !p.mayHaveRun)
	if !repeatable || p.countedAttempts >= q.route.MaxAttempts || len(p.calls) >= q.route.MaxAttempts+maxUnsentCalls || s.now >= q.leafDeadline {
		s.partFailed(q, i, p.failureReason)
		return
	}
	if o != OutcomeNotSent && !s.withdrawRetryToken(p.svc) {
		q.budgetDenied++
		s.partFailed(q, i, reasonRetryBudget)
		return
	}
	if s.firstAttemptsWait(q, p.svc) {
		q.retries++
		s.enqueuePart(q, i)
		return
	}
	srv, result := s.chooseLeaf(p.svc, q, p)
	switch result {
	case leafChosen:
		q.retries++
		s.sendCall(q, i, srv, false)
	case leafsBusy:
		q.retries++
		s.enqueuePart(q, i)
	case noLeafLeft:
		s.partFailed(q, i, p.failureReason)
	}
}

// reasonRetryBudget is the reason for giving up a part whose next attempt the retry
// budget does not allow.
const reasonRetryBudget = "retry_budget"

// topK is the number of records that are needed of each leaf's answer; 0 means all.
func (q *query) topK() int {
	if len(q.route.Shards) == 0 {
		return 0
	}
	return max(1, q.route.TopK)
}

// maxUnsentCalls is the number of attempts beyond MaxAttempts that a part may make
// because others failed to connect.
const maxUnsentCalls = 3
