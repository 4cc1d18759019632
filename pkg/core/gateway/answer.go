package gateway

import (
	"time"
)

// refuseOnArrival refuses a request that is not accepted. report has what is known of its
// route and tenant.
func (s *State) refuseOnArrival(e RequestArrived, report QueryReport, reason Refusal) {
	s.refuseWith(e, report, reason, s.retryAfter(reason))
}

// refuseWith is refuseOnArrival with a time after which the caller may retry.
func (s *State) refuseWith(e RequestArrived, report QueryReport, reason Refusal, retryAfter time.Duration) {
	s.emit(Refuse{Query: e.Query, Reason: reason, RetryAfter: retryAfter})
	report.RequestID, report.Outcome, report.ConfigVersion, report.ViewAge = e.RequestID, reason.String(), s.Version(), s.viewAge()
	report.ConfigOrigin = s.configOrigin(s.config)
	report.Wait = &WaitReport{Cause: WaitCause(reason.String()), Lag: s.lastLag, QuotaShare: s.quotaShare()}
	s.emit(Log{Kind: LogQueryRefused, Query: &report, Detail: e.Host + e.Path})
}

// partAnswered records the answer of a part.
func (s *State) partAnswered(q *query, c *call) {
	p := &q.parts[c.part]
	p.state, p.answeredBy = partAnswered, c
	q.answeredParts++
	q.lastAnswered = p
	q.pendingParts--
	s.cancelQueuedCalls(p)
	s.concludeQuery(q)
}

// partFailed gives up a part.
func (s *State) partFailed(q *query, i int, reason string) {
	p := &q.parts[i]
	p.state, p.failureReason = partFailed, reason
	q.pendingParts--
	s.concludeQuery(q)
}

// concludeQuery answers the query if there is nothing more to wait for.
func (s *State) concludeQuery(q *query) {
	if q.closed {
		return
	}
	if len(q.route.Shards) > 0 {
		s.concludeShards(q)
		return
	}
	p := &q.parts[0]
	switch {
	case p.state == partAnswered:
		s.emit(ForwardAnswer{Query: q.id, Call: p.answeredBy.id})
		s.closeQuery(q, LogQueryAnswered, "answered")
	case p.state == partFailed && p.failedCall != nil:
		s.emit(ForwardAnswer{Query: q.id, Call: p.failedCall.id})
		s.closeQuery(q, LogQueryRefused, "leaf_failure")
	case p.state == partFailed:
		s.refuse(q, s.refusalReason(q))
	}
}

// refusalReason returns the reason for refusing a request that can get no answer from a
// leaf.
func (s *State) refusalReason(q *query) Refusal {
	if q.mayHaveRun() {
		return RefusalFailed
	}
	for i := range q.parts {
		if len(q.parts[i].svc.servers) > 0 {
			return RefusalOverload
		}
	}
	return RefusalNoServer
}

// mayHaveRun reports whether a leaf may have begun to work on the request.
func (q *query) mayHaveRun() bool {
	for i := range q.parts {
		p := &q.parts[i]
		if p.state == partAnswered || p.mayHaveRun || p.begunCalls() > 0 {
			return true
		}
	}
	return false
}

func (s *State) refuse(q *query, reason Refusal) { s.refuseAfter(q, reason, s.retryAfter(reason)) }

// refuseAfter refuses a request whose caller may retry after the given time.
func (s *State) refuseAfter(q *query, reason Refusal, retryAfter time.Duration) {
	if reason.NotRun() {
		// An attempt that was not sent yet must not be sent after the refusal.
		s.cancelQueryCalls(q)
	}
	s.emit(Refuse{Query: q.id, Reason: reason, RetryAfter: retryAfter})
	s.closeQuery(q, LogQueryRefused, reason.String())
}

// Times after which callers may retry. A random part of up to the same length is added,
// so that callers do not all return at once.
const (
	retryAfterStart    = 200 * time.Millisecond
	retryAfterNoServer = 300 * time.Millisecond
	retryAfterOverload = 100 * time.Millisecond
	// The store cannot be reached, and it is not known for how long. Callers that retry
	// only once limit the time themselves.
	retryAfterOutage = time.Second
	// Other daemons may reach the leafs that this one does not, or be less busy.
	retryAfterUnreachable = 10 * time.Millisecond
)

func (s *State) retryAfter(reason Refusal) time.Duration {
	var base time.Duration
	switch reason {
	case RefusalNoConfig:
		base = retryAfterStart
		if s.storeFailedRecently() {
			base = retryAfterOutage
		}
	case RefusalNoServer:
		base = max(retryAfterNoServer, s.timeUntilEntriesReturn())
	case RefusalOverload, RefusalThrottled:
		base = retryAfterOverload
	case RefusalUnreachable, RefusalTooLate, RefusalStopping:
		base = retryAfterUnreachable
	default:
		return 0
	}
	return base + time.Duration(s.rand.Float64()*float64(base))
}

// storeFailedRecently reports whether a call of this daemon to the store has failed
// within the outageWindow.
func (s *State) storeFailedRecently() bool {
	return s.storeFailedAt > 0 && s.now.Sub(s.storeFailedAt) < outageWindow
}

// timeUntilEntriesReturn returns the time until all living leafs have registered again
// after the last outage of the store that this daemon knows of; 0 if it knows of none
// or the time has passed.
func (s *State) timeUntilEntriesReturn() time.Duration {
	if s.storeFailedAt == 0 && !s.peerOutageRecent() {
		return 0
	}
	return max(0, max(s.storeFailedAt, s.members.peerOutageAt).Add(lapsedGracePeriod).Sub(s.now))
}

// isLate reports whether an answer that is given now misses the route's latency target.
func (s *State) isLate(q *query) bool {
	target := q.route.LatencyTarget
	return target > 0 && s.now.Sub(q.arrived)+q.spentBefore > target
}

// closeQuery ends a query. Its open attempts are cancelled after losingCallGrace, those
// at overloaded leafs at once.
func (s *State) closeQuery(q *query, kind LogKind, outcome string) {
	q.closed = true
	delete(s.queries, q.id)
	s.returnQuota(q)
	s.admittedEnded(q, kind)
	s.route(q.route).throttle.recordRequest(s.now, kind == LogQueryRefused || s.isLate(q))
	s.emit(Log{Kind: kind, Query: s.queryReport(q, kind, outcome)})
	if q.openCalls == 0 {
		s.cancelWake(q)
		return
	}
	for i := range q.parts {
		s.cancelQueuedCalls(&q.parts[i])
	}
	s.setWake(q, s.now.Add(losingCallGrace))
}
