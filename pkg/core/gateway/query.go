package gateway

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// defaultWait bounds requests for which neither caller nor route says how
	// long they may take.
	defaultWait = 30 * time.Second
	// answerMargin is the time that a final answer needs to reach the caller
	// before its deadline.
	answerMargin = 15 * time.Millisecond
	// finalShare bounds answerMargin for short deadlines, as a share of the wait.
	finalShare = 0.05
	// leafMargin is the part of the wait that is kept from leafs, so that their
	// answer can still be passed on.
	leafMargin = 5 * time.Millisecond
)

// partState is the progress of one shard of a query, or of a whole request on a
// route without shards.
type partState uint8

const (
	partOpen partState = iota
	// partQueued waits for a connection or for a cold leaf.
	partQueued
	partIn
	partMissing
)

// part is one shard of a query. A route without shards has one part.
type part struct {
	svc   *service
	state partState
	// calls are the attempts in the order in which they were sent.
	calls []*call
	// arrivals is the number of attempts that may have reached a leaf.
	arrivals int
	result   *call
	// mayHaveRun is set once a leaf may have begun to work on the request.
	mayHaveRun bool
	// failure is the outcome of the last failed attempt.
	failure string
	// failed is the last attempt that ended with a leaf's answer other than 2xx.
	failed *call
}

// tried reports whether a leaf was tried already; with onlyOpen, whether an
// attempt there is still open.
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

// begunCalls is the number of open attempts of which bytes may have left.
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
	id        QueryID
	requestID string
	route     *Route
	version   uint64
	arrived   model.Time
	// leafDeadline is when leafs have to be done, deadline when the final answer
	// is due.
	leafDeadline model.Time
	deadline     model.Time
	// answerBy is when a partial answer is preferred to waiting.
	answerBy model.Time
	// hedgeAt is when open parts get a second attempt.
	hedgeAt   model.Time
	parts     []part
	in        int
	open      int
	closed    bool
	wake      model.Time
	heapIndex int

	// running is the number of open attempts.
	running int

	sent, hedges, retries, denied int
}

// call is one attempt at a leaf.
type call struct {
	id     CallID
	query  *query
	part   int
	server *server
	sentAt model.Time
	// begun means that the first byte may have left.
	begun     bool
	cancelled bool
	ended     bool
}

func (s *State) arrive(e RequestArrived) {
	if s.config == nil {
		s.refuseUnrouted(e, RefusalNoConfig)
		return
	}
	route := s.config.Match(e.Host, e.Path)
	if route == nil {
		s.refuseUnrouted(e, RefusalNoRoute)
		return
	}
	q := s.newQuery(e, route)
	s.queries[q.id] = q
	for i := range q.parts {
		if q.closed {
			// Too few shards have a leaf.
			return
		}
		s.start(q, i)
	}
	if !q.closed {
		s.schedule(q)
	}
}

func (s *State) refuseUnrouted(e RequestArrived, why Refusal) {
	s.emit(Refuse{Query: e.Query, Reason: why, RetryAfter: s.retryAfter(why)})
	s.emit(Log{Kind: LogQueryRefused, Query: &QueryReport{
		RequestID: e.RequestID, Outcome: why.String(), ConfigVersion: s.Version(), ViewAge: s.age(),
	}, Detail: e.Host + e.Path})
}

func (s *State) newQuery(e RequestArrived, r *Route) *query {
	wait := e.Wait
	if wait <= 0 {
		wait = defaultWait
	}
	if r.Timeout > 0 {
		wait = min(wait, r.Timeout)
	}
	margin := min(answerMargin, time.Duration(float64(wait)*finalShare))
	q := &query{
		id: e.Query, requestID: e.RequestID, route: r, version: s.config.Version, arrived: s.now,
		deadline:     s.now.Add(wait - margin),
		leafDeadline: s.now.Add(wait - margin - min(leafMargin, margin)),
		heapIndex:    -1,
	}
	q.hedgeAt, q.answerBy = model.Never, model.Never
	services := r.Shards
	if len(services) == 0 {
		services = []string{s.route(r).nextTarget(r.Targets)}
	} else {
		q.answerBy = s.now.Add(answerTime(r))
	}
	if r.Idempotent && r.MaxAttempts > 1 {
		q.hedgeAt = s.now.Add(s.hedgeDelay(r))
	}
	q.parts = make([]part, len(services))
	q.open = len(services)
	for i, name := range services {
		q.parts[i].svc = s.service(name)
	}
	return q
}

// start sends the first attempt of a part.
func (s *State) start(q *query, i int) {
	p := &q.parts[i]
	s.deposit(p.svc)
	srv, v := s.choose(p.svc, q, p)
	switch v {
	case chooseOK:
		s.send(q, i, srv, false)
		s.probe(q, i)
	case chooseBusy:
		s.enqueue(q, i)
	case chooseNone:
		s.partFailed(q, i, "no_server")
	}
}

// send starts an attempt. Invariant: the attempts that may have reached a leaf
// never exceed the route's MaxAttempts, and a request that is not idempotent
// has no second attempt while one may have run.
func (s *State) send(q *query, i int, srv *server, hedge bool) {
	s.lastCall++
	p := &q.parts[i]
	c := &call{id: s.lastCall, query: q, part: i, server: srv, sentAt: s.now}
	s.calls[c.id] = c
	p.calls = append(p.calls, c)
	p.arrivals++
	srv.inflight = append(srv.inflight, c)
	q.sent++
	q.running++
	if hedge {
		q.hedges++
	}
	s.emit(SendCall{
		Call: c.id, Query: q.id, Service: srv.Service, Server: srv.ID, Address: srv.Address,
		Wait: q.leafDeadline.Sub(s.now), MaxIdle: s.connections(srv.svc),
	})
}

func (s *State) callDone(e CallDone) {
	c, ok := s.calls[e.Call]
	if !ok {
		return
	}
	delete(s.calls, e.Call)
	c.ended = true
	q := c.query
	q.running--
	c.server.removeInflight(c)
	s.learn(c.server, c, e, s.route(q.route))
	s.scanQueue(c.server.svc)
	if q.closed {
		if q.running == 0 {
			s.dropWake(q)
		}
		return
	}
	p := &q.parts[c.part]
	if e.Outcome == OutcomeNotSent {
		p.arrivals--
	}
	if p.state == partIn || p.state == partMissing {
		return
	}
	switch e.Outcome {
	case OutcomeSucceeded:
		s.partIn(q, c)
	case OutcomeNotSent, OutcomeNotExecuted, OutcomeWrongServer:
		s.again(q, c.part, e.Outcome)
	default:
		p.mayHaveRun = p.mayHaveRun || c.begun
		if e.Outcome == OutcomeFailed {
			p.failed = c
		}
		s.again(q, c.part, e.Outcome)
	}
}

// partIn takes the answer of a part.
func (s *State) partIn(q *query, c *call) {
	p := &q.parts[c.part]
	p.state, p.result = partIn, c
	q.in++
	q.open--
	s.cancelQueued(p)
	s.conclude(q)
}

// cancelQueued ends the attempts of a part that are not needed any more at
// leafs with more work than slots, where they likely wait still. Elsewhere they
// go on for a while: a new connection takes a leaf about as long as most
// requests, and their end tells how fast the leaf is.
func (s *State) cancelQueued(p *part) {
	for _, c := range p.calls {
		if s.load(c.server) > float64(c.server.Slots) {
			s.cancelCall(c)
		}
	}
}

// loserGrace is how long attempts go on that are not needed any more.
const loserGrace = 250 * time.Millisecond

func (s *State) cancelCalls(p *part) {
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

// BeginCall notes that an attempt is about to be sent and reports whether it
// still may be. Invariant: nothing is sent of an attempt that was cancelled, so
// a refusal as not run stays true.
func (s *State) BeginCall(id CallID) bool {
	c, ok := s.calls[id]
	if !ok || c.cancelled {
		return false
	}
	c.begun = true
	return true
}

// again repeats a failed attempt where that is allowed: always if it cannot
// have run, otherwise only if the request is idempotent; within MaxAttempts,
// the deadline and the retry budget.
func (s *State) again(q *query, i int, o Outcome) {
	p := &q.parts[i]
	p.failure = o.String()
	if p.openCalls() > 0 {
		return
	}
	repeatable := q.route.Idempotent || !p.mayHaveRun
	if !repeatable || p.arrivals >= q.route.MaxAttempts || len(p.calls) >= q.route.MaxAttempts+maxUnsent || s.now >= q.leafDeadline {
		s.partFailed(q, i, p.failure)
		return
	}
	if o != OutcomeNotSent && !p.svc.withdraw() {
		q.denied++
		s.partFailed(q, i, "retry_budget")
		return
	}
	srv, v := s.choose(p.svc, q, p)
	switch v {
	case chooseOK:
		q.retries++
		s.send(q, i, srv, false)
	case chooseBusy:
		q.retries++
		s.enqueue(q, i)
	case chooseNone:
		s.partFailed(q, i, p.failure)
	}
}

// maxUnsent bounds the attempts of a part that failed to connect.
const maxUnsent = 3

// partFailed gives a part up.
func (s *State) partFailed(q *query, i int, why string) {
	p := &q.parts[i]
	p.state, p.failure = partMissing, why
	q.open--
	s.conclude(q)
}

// conclude answers the query if nothing is left to wait for.
func (s *State) conclude(q *query) {
	if q.closed {
		return
	}
	if len(q.route.Shards) > 0 {
		s.concludeShards(q)
		return
	}
	p := &q.parts[0]
	switch {
	case p.state == partIn:
		s.emit(ForwardAnswer{Query: q.id, Call: p.result.id})
		s.close(q, LogQueryAnswered, "answered")
	case p.state == partMissing && p.failed != nil:
		s.emit(ForwardAnswer{Query: q.id, Call: p.failed.id})
		s.close(q, LogQueryRefused, "leaf_failure")
	case p.state == partMissing:
		s.refuse(q, s.refusal(q))
	}
}

// refusal returns the reason of a request whose attempts have all failed.
func (s *State) refusal(q *query) Refusal {
	for i := range q.parts {
		p := &q.parts[i]
		if p.state == partIn || p.mayHaveRun || p.begunCalls() > 0 {
			return RefusalFailed
		}
	}
	for i := range q.parts {
		if len(q.parts[i].svc.servers) > 0 {
			return RefusalOverload
		}
	}
	return RefusalNoServer
}

func (s *State) refuse(q *query, why Refusal) {
	if why.NotRun() {
		// What was not sent yet must not be sent after the refusal.
		s.cancel(q)
	}
	s.emit(Refuse{Query: q.id, Reason: why, RetryAfter: s.retryAfter(why)})
	s.close(q, LogQueryRefused, why.String())
}

// Times after which callers may come back, plus up to as much again by chance
// so that they do not return together.
const (
	retryAfterStart    = 200 * time.Millisecond
	retryAfterNoServer = 300 * time.Millisecond
	retryAfterOverload = 100 * time.Millisecond
)

func (s *State) retryAfter(why Refusal) time.Duration {
	var base time.Duration
	switch why {
	case RefusalNoConfig:
		base = retryAfterStart
	case RefusalNoServer:
		base = retryAfterNoServer
	case RefusalOverload:
		base = retryAfterOverload
	default:
		return 0
	}
	return base + time.Duration(s.rand.Float64()*float64(base))
}

// close ends a query. Its attempts that are still open are cancelled after
// loserGrace.
func (s *State) close(q *query, kind LogKind, outcome string) {
	q.closed = true
	delete(s.queries, q.id)
	s.emit(Log{Kind: kind, Query: s.report(q, outcome)})
	if q.running == 0 {
		s.dropWake(q)
		return
	}
	for i := range q.parts {
		s.cancelQueued(&q.parts[i])
	}
	s.setWake(q, s.now.Add(loserGrace))
}

// cancel ends all attempts of a query that are still open.
func (s *State) cancel(q *query) {
	s.dropWake(q)
	for i := range q.parts {
		s.cancelCalls(&q.parts[i])
	}
}

// callerGone drops a query whose caller has left.
func (s *State) callerGone(id QueryID) {
	if q, ok := s.queries[id]; ok {
		s.close(q, LogQueryAbandoned, "caller_gone")
		s.cancel(q)
	}
}

// schedule sets the next time at which a query needs attention.
func (s *State) schedule(q *query) {
	wake := min(q.deadline, q.hedgeAt)
	if q.answerBy > s.now {
		wake = min(wake, q.answerBy)
	}
	s.setWake(q, wake)
}

// expireQueries handles all queries whose time has come.
func (s *State) expireQueries() {
	for len(s.timers) > 0 && s.timers[0].wake <= s.now {
		q := s.timers[0]
		if q.closed {
			s.cancel(q)
			continue
		}
		s.expire(q)
		if !q.closed {
			s.schedule(q)
		}
	}
}

// expire looks at the latest time first: after a pause of the process all may
// have passed, and nothing is sent after the deadline.
func (s *State) expire(q *query) {
	if q.deadline <= s.now {
		s.expireDeadline(q)
		return
	}
	if q.answerBy <= s.now {
		s.conclude(q)
	}
	if q.hedgeAt <= s.now && !q.closed {
		s.hedge(q)
	}
}

// expireDeadline gives the final answer at the deadline.
func (s *State) expireDeadline(q *query) {
	if len(q.route.Shards) > 0 && s.enough(q) {
		s.mergeAnswer(q)
		return
	}
	why := s.refusal(q)
	if why == RefusalFailed {
		why = RefusalDeadline
	}
	s.refuse(q, why)
}

// report summarises a query for the log.
func (s *State) report(q *query, outcome string) *QueryReport {
	r := &QueryReport{
		RequestID: q.requestID, Route: q.route.Name, Outcome: outcome, Elapsed: s.now.Sub(q.arrived),
		ConfigVersion: q.version, ViewAge: s.age(), Shards: len(q.parts), Missing: len(q.parts) - q.in,
		Calls: q.sent, Hedges: q.hedges, Retries: q.retries, BudgetDenied: q.denied,
	}
	if r.Missing > 0 {
		r.MissingWhy = missingWhy(q)
	}
	if len(q.parts) == 1 {
		for _, c := range q.parts[0].calls {
			r.Servers = joinWords(r.Servers, c.server.ID)
		}
	}
	return r
}

// maxMissingListed bounds the shards that a log line names.
const maxMissingListed = 6

func missingWhy(q *query) string {
	var out string
	listed := 0
	for i := range q.parts {
		p := &q.parts[i]
		if p.state == partIn {
			continue
		}
		if listed++; listed > maxMissingListed {
			return out + " ..."
		}
		why := p.failure
		if why == "" {
			why = "late"
		}
		word := p.svc.name + ":" + why
		if n := len(p.calls); n > 0 {
			word += "@" + p.calls[n-1].server.ID
		}
		out = joinWords(out, word)
	}
	return out
}

func joinWords(a, b string) string {
	if a == "" {
		return b
	}
	return a + " " + b
}
