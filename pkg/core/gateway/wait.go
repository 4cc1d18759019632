package gateway

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// WaitCause names what a request waited for longest that was not answered completely
// within its latency target. A request that was refused on arrival has the text of its
// Refusal as cause.
type WaitCause string

// Causes of waits.
const (
	// WaitDaemonLag means that the request, or what it needed, waited for processor time
	// of this daemon.
	WaitDaemonLag WaitCause = "daemon_lag"
	// WaitConnectionShare means that all connections to leafs that this daemon may have
	// were in use.
	WaitConnectionShare WaitCause = "connection_share"
	// WaitColdLeaf means that only cold leafs were left, which take few requests.
	WaitColdLeaf WaitCause = "cold_leaf"
	// WaitUnreachableLeaf means that connections to the leafs failed.
	WaitUnreachableLeaf WaitCause = "unreachable_leaf"
	// WaitConnection means that opening a connection to the leaf took longest.
	WaitConnection WaitCause = "connection"
	// WaitLeafQueue means that the leaf had no free slot when the attempt was sent.
	WaitLeafQueue WaitCause = "leaf_queue"
	// WaitSlowLeaf means that the leaf had a free slot and took long.
	WaitSlowLeaf WaitCause = "slow_leaf"
	// WaitRetryBudget means that a second attempt was needed, and the retry budget did
	// not allow it.
	WaitRetryBudget WaitCause = "retry_budget"
	// WaitFailedAttempt means that an earlier attempt failed, with an answer or without.
	WaitFailedAttempt WaitCause = "failed_attempt"
	// WaitNoServer means that the service had no leaf to use.
	WaitNoServer WaitCause = "no_server"
)

// WaitReport says what a request waited for, and what was known when the attempt was
// sent on which it waited.
type WaitReport struct {
	Cause WaitCause
	// Service and Server are what the request waited for; Server is empty if nothing was
	// sent.
	Service, Server string
	// Lag is how long messages to this daemon may have waited to be read.
	Lag time.Duration
	// Queued, Earlier, Connect and AtLeaf add up to the time from the request's arrival:
	// before the first attempt, from there to the attempt that decided, until its first
	// byte was sent, and after that.
	Queued, Earlier, Connect, AtLeaf time.Duration
	// Expected is the time that the attempt was expected to take at the leaf, from the
	// leaf's Load, Slots and relative latency when it was sent.
	Expected time.Duration
	Load     float64
	Slots    int
	// RetryTokens is the service's retry budget, in attempts, when the request ended.
	RetryTokens float64
	// QuotaShare is this daemon's share of the quotas that all daemons divide among
	// themselves; Connections is the number of connections to one leaf that it allows.
	QuotaShare  float64
	Connections int
}

// waitReport returns what a query waited for that ends now, or nil if it is answered
// completely and in time. outcome is that of the query's report.
func (s *State) waitReport(q *query, kind LogKind, outcome string) *WaitReport {
	answered := kind == LogQueryAnswered || kind == LogQueryPartial
	late := answered && s.isLate(q)
	if answered && !late && q.answeredParts == len(q.parts) {
		return nil
	}
	if late && q.lastAnswered != nil {
		return s.partWait(q, q.lastAnswered)
	}
	counts := map[WaitCause]int{}
	var most *WaitReport
	for i := range q.parts {
		p := &q.parts[i]
		neverStarted := p.state == partOpen && len(p.calls) == 0
		if p.state == partAnswered || neverStarted {
			continue
		}
		w := s.partWait(q, p)
		counts[w.Cause]++
		if most == nil || counts[w.Cause] > counts[most.Cause] {
			most = w
		}
	}
	if most == nil {
		most = &WaitReport{Cause: WaitCause(outcome), Queued: s.now.Sub(q.arrived), Lag: max(q.lag, s.lastLag), QuotaShare: s.quotaShare()}
	}
	return most
}

// partWait returns what a part waited for until now or until it was answered.
func (s *State) partWait(q *query, p *part) *WaitReport {
	w := &WaitReport{
		Service: p.svc.name, Lag: max(q.lag, s.lastLag), RetryTokens: s.retryTokens(p.svc), QuotaShare: s.quotaShare(), Connections: s.maxConnections(p.svc),
	}
	if len(p.calls) == 0 {
		w.Queued = s.now.Sub(q.arrived)
		w.Cause = p.queuedBecause
		if w.Cause == "" {
			w.Cause = WaitNoServer
		}
		return w
	}
	first, last := p.calls[0], p.calls[len(p.calls)-1]
	if p.answeredBy != nil {
		last = p.answeredBy
	}
	end := s.now
	if last.ended {
		end = last.endedAt
	}
	begun := end
	if last.begun {
		begun = last.begunAt
	}
	w.Server, w.Expected, w.Load, w.Slots = last.server.ID, last.expected, last.loadBefore, last.server.Slots
	w.Queued, w.Earlier = first.sentAt.Sub(q.arrived), last.sentAt.Sub(first.sentAt)
	w.Connect, w.AtLeaf = begun.Sub(last.sentAt), end.Sub(begun)
	w.Cause = w.longest(first, last)
	switch {
	case w.Cause == WaitConnectionShare && p.queuedBecause != "":
		w.Cause = p.queuedBecause
	case (p.retryDenied || p.failureReason == reasonRetryBudget) && (w.Cause == WaitLeafQueue || w.Cause == WaitSlowLeaf || w.Cause == WaitFailedAttempt):
		w.Cause = WaitRetryBudget
	}
	return w
}

// longest returns the cause of the longest of the waits, given the first attempt and the
// one that decided.
func (w *WaitReport) longest(first, last *call) WaitCause {
	switch max(w.Lag, w.Queued, w.Earlier, w.Connect, w.AtLeaf) {
	case w.AtLeaf:
		if last.ended && last.outcome != OutcomeSucceeded {
			return WaitFailedAttempt
		}
		return last.leafCause()
	case w.Earlier:
		if first.ended && first.endedAt <= last.sentAt {
			return WaitFailedAttempt
		}
		return first.leafCause()
	case w.Connect:
		return WaitConnection
	case w.Queued:
		return WaitConnectionShare
	}
	return WaitDaemonLag
}

// leafCause tells a wait for a slot of the leaf from one for its answer.
func (c *call) leafCause() WaitCause {
	if c.loadBefore >= float64(c.server.Slots) {
		return WaitLeafQueue
	}
	return WaitSlowLeaf
}

// busyCause says why no leaf of a service could take an attempt.
func (s *State) busyCause(svc *service) WaitCause {
	cause := WaitNoServer
	for _, srv := range svc.servers {
		switch {
		case !s.usable(srv):
		case srv.connectAfter > s.now:
			cause = WaitUnreachableLeaf
		case !s.hasColdToken(srv):
			return WaitColdLeaf
		default:
			return WaitConnectionShare
		}
	}
	return cause
}

// recordLag notes how long a message waited in this daemon before it was handled.
func (s *State) recordLag(handled, arrived model.Time, unread time.Duration) time.Duration {
	s.lastLag = max(0, handled.Sub(arrived)) + unread
	return s.lastLag
}
