package gateway

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/admission"
	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/tenant"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// defaultTimeout bounds requests if neither the caller nor the route sets a
	// timeout.
	defaultTimeout = 30 * time.Second
	// answerMargin is the time reserved for the final answer to reach the caller before
	// its deadline.
	answerMargin = 15 * time.Millisecond
	// maxAnswerMarginRatio bounds answerMargin for short timeouts, as a share of the
	// timeout.
	maxAnswerMarginRatio = 0.05
	// leafMargin is the part of the timeout that leafs do not get, so that their
	// answers can still be passed on.
	leafMargin = 5 * time.Millisecond
)

// partState is the progress of one shard of a query, or of the whole request on a route
// without shards.
type partState uint8

const (
	partOpen partState = iota
	// partQueued means that the part waits for a free connection or for a cold leaf.
	partQueued
	partAnswered
	partFailed
)

// part is one shard of a query. A route without shards has one part.
type part struct {
	svc   *service
	state partState
	// calls are the attempts in the order in which they were sent.
	calls []*call
	// countedAttempts is the number of attempts that may have reached a leaf.
	countedAttempts int
	// answeredBy is the attempt whose answer is used.
	answeredBy *call
	// mayHaveRun means that a leaf may have begun to work on the request.
	mayHaveRun bool
	// failureReason is the outcome of the last failed attempt, or the reason for giving
	// the part up, as log lines show it.
	failureReason string
	// retryDenied means that the retry budget did not allow a second attempt when it was
	// due.
	retryDenied bool
	// queuedBecause says why no leaf could take the part when it was queued last.
	queuedBecause WaitCause
	// failedCall is the last attempt that ended with an answer other than 2xx.
	failedCall *call
}

// tried reports whether the part was sent to a leaf before; with onlyOpen, whether such
// an attempt is still open.
func (p *part) tried(srv *server, onlyOpen bool) bool {
	for _, c := range p.calls {
		if c.server == srv && (!onlyOpen || !c.ended) {
			return true
		}
	}
	return false
}

func (p *part) openCalls() int {
	n := 0
	for _, c := range p.calls {
		if !c.ended {
			n++
		}
	}
	return n
}

// begunCalls is the number of open attempts of which bytes may have been sent.
func (p *part) begunCalls() int {
	n := 0
	for _, c := range p.calls {
		if !c.ended && c.begun {
			n++
		}
	}
	return n
}

// query is one request of a caller.
type query struct {
	id         QueryID
	requestID  string
	route      *Route
	config     *Config
	credential tenant.Credential
	identity   tenant.Identity
	// revoked means that the key was removed after a leaf may have begun to work on the
	// request; nothing more is sent.
	revoked bool
	// quotaTenant is the tenant whose quota counts the request since admittedAt; empty if
	// none does.
	quotaTenant string
	admittedAt  model.Time
	// pool has admitted the request, which asks for work; nil without tenants.
	pool    *admission.Pool
	work    float64
	arrived model.Time
	// spentBefore is an estimate of the time that the caller has spent before its
	// request arrived.
	spentBefore time.Duration
	// leafDeadline is when leafs have to be done, deadline when the final answer is
	// due.
	leafDeadline model.Time
	deadline     model.Time
	// lag is how long the request may have waited in this daemon on its arrival.
	lag time.Duration
	// partialAnswerAt is when a partial answer becomes better than waiting for the
	// rest.
	partialAnswerAt model.Time
	// hedgeAt is when open parts get a second attempt.
	hedgeAt       model.Time
	parts         []part
	answeredParts int
	// lastAnswered is the part that was answered last.
	lastAnswered *part
	pendingParts int
	closed       bool
	wakeAt       model.Time
	heapIndex    int

	// openCalls is the number of open attempts, including those of a closed query.
	openCalls int

	sent, hedges, retries, budgetDenied int
}

func (s *State) requestArrived(e RequestArrived) {
	if s.config == nil {
		s.refuseOnArrival(e, QueryReport{}, RefusalNoConfig)
		return
	}
	route := s.config.Match(e.Host, e.Path)
	if route == nil {
		s.refuseOnArrival(e, QueryReport{}, RefusalNoRoute)
		return
	}
	if route.Fault != "" {
		s.refuseOnArrival(e, QueryReport{Route: route.Name}, RefusalNoConfig)
		return
	}
	identity := s.config.directory.Identify(e.Credential, route.Public)
	if identity.Denied {
		s.refuseOnArrival(e, QueryReport{Route: route.Name}, RefusalUnauthorized)
		return
	}
	if !s.admitQuota(e, route, identity.Tenant) {
		return
	}
	q := s.newQuery(e, route)
	q.credential, q.identity = e.Credential, identity
	q.quotaTenant, q.admittedAt = identity.Name(), s.now
	s.queries[q.id] = q
	if q.leafDeadline.Sub(s.now) < minTimeLeft(route) {
		s.refuse(q, RefusalTooLate)
		return
	}
	if s.stopsBeforeAnswer(q) {
		s.refuse(q, RefusalStopping)
		return
	}
	if !s.enoughServices(q, s.hasUsableLeaf) {
		s.refuse(q, RefusalNoServer)
		return
	}
	if !s.enoughServices(q, func(svc *service) bool { return !s.unreachable(svc) }) {
		s.refuse(q, RefusalUnreachable)
		return
	}
	if s.config.directory != nil {
		if !s.admits(q) {
			return
		}
	} else if p := s.route(route).throttle.refusalProbability(s.now); p > 0 && s.rand.Float64() < p {
		s.refuse(q, RefusalThrottled)
		return
	}
	for i := range q.parts {
		if q.closed {
			// The query was refused because too few shards have a leaf.
			return
		}
		s.startPart(q, i)
	}
	if !q.closed {
		s.scheduleQuery(q)
	}
}

func (s *State) newQuery(e RequestArrived, r *Route) *query {
	timeout := e.CallerTimeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if r.Timeout > 0 {
		timeout = min(timeout, r.Timeout)
	}
	arrived := min(s.now, e.At)
	timeoutStart := arrived.Add(-e.MaxUnread)
	margin := min(answerMargin, time.Duration(float64(timeout)*maxAnswerMarginRatio))
	q := &query{
		id: e.Query, requestID: e.RequestID, route: r, config: s.config, arrived: arrived,
		deadline:     timeoutStart.Add(timeout - margin),
		leafDeadline: timeoutStart.Add(timeout - margin - min(leafMargin, margin)),
		heapIndex:    -1,
		lag:          s.recordLag(s.now, arrived, e.MaxUnread),
	}
	if e.CallerTimeout > 0 {
		q.spentBefore = s.route(r).callerTimeouts.recordRequest(e.CallerTimeout, r.LatencyTarget)
	}
	q.hedgeAt, q.partialAnswerAt = model.Never, model.Never
	services := r.Shards
	if len(services) == 0 {
		services = []string{s.route(r).nextTarget(r.Targets)}
	} else {
		q.partialAnswerAt = arrived.Add(s.partialAnswerDelay(r, q.spentBefore))
	}
	if r.Idempotent && r.MaxAttempts > 1 {
		q.hedgeAt = arrived.Add(s.hedgeDelay(r, q.spentBefore))
	}
	q.parts = make([]part, len(services))
	q.pendingParts = len(services)
	for i, name := range services {
		q.parts[i].svc = s.service(name)
	}
	return q
}

// minTimeLeftRatio is the share of the latency target that must be left of a request's
// time for the request to be sent to a leaf.
const minTimeLeftRatio = 0.1

// minTimeLeft is the least time left with which a request is sent to a leaf.
func minTimeLeft(r *Route) time.Duration {
	return max(time.Millisecond, time.Duration(float64(r.LatencyTarget)*minTimeLeftRatio))
}

// startPart sends or queues the first attempt of a part.
func (s *State) startPart(q *query, i int) {
	p := &q.parts[i]
	s.depositRetryTokens(p.svc)
	s.countVersionRequest(p.svc)
	srv, result := s.chooseLeaf(p.svc, q, p)
	switch result {
	case leafChosen:
		s.sendCall(q, i, srv, false)
		s.probeSlowLeaf(q, i)
	case leafsBusy:
		s.enqueuePart(q, i)
	case noLeafLeft:
		s.partFailed(q, i, "no_server")
	}
}

// cancelQueryCalls cancels all open attempts of a query.
func (s *State) cancelQueryCalls(q *query) {
	s.cancelWake(q)
	for i := range q.parts {
		s.cancelPartCalls(&q.parts[i])
	}
}

// callerGone closes a query whose caller has disconnected.
func (s *State) callerGone(id QueryID) {
	if q, ok := s.queries[id]; ok {
		s.closeQuery(q, LogQueryAbandoned, "caller_gone")
		s.cancelQueryCalls(q)
	}
}

// scheduleQuery sets the timer of a query to the next time at which something is due.
func (s *State) scheduleQuery(q *query) {
	wake := min(q.deadline, q.hedgeAt)
	if q.partialAnswerAt > s.now {
		wake = min(wake, q.partialAnswerAt)
	}
	if s.stopping {
		if at := s.lastStart(q.route); at > s.now {
			wake = min(wake, at)
		}
	}
	s.setWake(q, wake)
}

// handleDueQueries handles all queries whose timer has expired.
func (s *State) handleDueQueries() {
	for len(s.timers) > 0 && s.timers[0].wakeAt <= s.now {
		q := s.timers[0]
		if q.closed {
			s.cancelQueryCalls(q)
			continue
		}
		s.handleDueQuery(q)
		if !q.closed {
			s.scheduleQuery(q)
		}
	}
}

// handleDueQuery does what is due for a query. It checks the deadline first: after a
// pause of the process all times may have passed, and nothing may be sent after the
// deadline.
func (s *State) handleDueQuery(q *query) {
	if q.deadline <= s.now {
		s.concludeAtDeadline(q)
		return
	}
	if !q.mayHaveRun() && s.stopsBeforeAnswer(q) {
		s.refuse(q, RefusalStopping)
		return
	}
	if q.partialAnswerAt <= s.now {
		s.concludeQuery(q)
	}
	if q.hedgeAt <= s.now && !q.closed {
		s.hedgeQuery(q)
	}
}

// concludeAtDeadline gives a query its final answer, a partial one if enough parts are
// answered, when it cannot wait any longer.
func (s *State) concludeAtDeadline(q *query) {
	if len(q.route.Shards) > 0 && s.enoughAnswered(q) {
		s.mergeAnswer(q)
		return
	}
	reason := s.refusalReason(q)
	if reason == RefusalFailed {
		reason = RefusalDeadline
	}
	s.refuse(q, reason)
}
