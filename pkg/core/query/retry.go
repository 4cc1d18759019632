package query

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// retryInterval is the delay before the owner of a server is looked up
	// again, and before a server is tried again.
	retryInterval = 50 * time.Millisecond
	// retryBurst is the number of retries that a service may make at once after
	// a quiet time.
	retryBurst = 10
)

// mayRetry reports whether an attempt with this outcome may be followed by
// another. A non-idempotent query may be retried only if the attempt was not
// sent to the backend server at all; a refusal by that server is not enough.
func (r *run) mayRetry(o model.Outcome) bool { return r.req.Idempotent || o.NotSent() }

// retryIsFree reports whether a retry after this outcome is not charged to the
// budget. The attempt never reached a queue, so the next one adds no load to a
// server.
func retryIsFree(o model.Outcome) bool {
	return o == model.OutcomeNotOwner || o == model.OutcomeUnreachable || o == model.OutcomeDrained
}

// retryShard decides what follows after the last live attempt at a shard
// failed: an attempt at another replica at once, another attempt after a delay,
// or nothing.
func (s *State) retryShard(c *eventContext, r *run, i int, o model.Outcome) {
	sh := &r.shards[i]
	if !r.mayRetry(o) {
		r.markMissing(i, sh.reason)
		return
	}
	p, reason := s.chooseReplica(c, r, i)
	if reason == "" && p.tries == 0 {
		s.planAttempt(c, r, p)
		return
	}
	s.retryLater(c, r, i)
}

// retryLater makes the shard due again after a delay. If waiting cannot help,
// it marks the shard as missing.
func (s *State) retryLater(c *eventContext, r *run, i int) {
	sh := &r.shards[i]
	at := c.Now.Add(retryInterval)
	if !r.worthWaiting(sh.lastOutcome) || at >= r.subDeadline {
		r.markMissing(i, sh.reason)
		return
	}
	sh.dueAt = at
	s.scheduleWake(r, at)
}

// worthWaiting reports whether the shard may succeed after a delay. A lost
// owner is soon replaced and the shard has not run yet, so services of either
// mode wait for that. After other outcomes, only a coverage_first service
// waits.
func (r *run) worthWaiting(last model.Outcome) bool {
	switch last {
	case model.OutcomeUnknown, model.OutcomeNotOwner, model.OutcomeUnreachable:
		return true
	case model.OutcomeDrained, model.OutcomeExpired:
		return false
	}
	return r.policy.Mode != model.TailFirst
}

// tryShard plans an attempt at a shard that has no live attempt.
func (s *State) tryShard(c *eventContext, r *run, i int) {
	sh := &r.shards[i]
	if sh.lastOutcome == model.OutcomeVersionGone && s.moveSnapshot(c, r) {
		return
	}
	p, reason := s.chooseReplica(c, r, i)
	switch reason {
	case "":
		s.planAttempt(c, r, p)
	case model.MissingNoOwner:
		sh.reason = reason
		s.retryLater(c, r, i)
	case model.MissingVersionGone:
		s.retryLater(c, r, i)
	default:
		r.markMissing(i, reason)
	}
}

// planAttempt plans an attempt to be sent at the end of the event. A retry
// needs time before the deadline and, unless it is free, a token of the budget.
func (s *State) planAttempt(c *eventContext, r *run, p plannedAttempt) {
	sh := &r.shards[p.shard]
	if sh.tries == 0 {
		p.kind = attemptFirst
		s.planned = append(s.planned, p)
		return
	}
	if c.Now >= r.subDeadline {
		// No owner would take the attempt, and its failure would replace the
		// reason for which the shard is missing.
		r.markMissing(p.shard, sh.reason)
		return
	}
	if !retryIsFree(sh.lastOutcome) && !r.service.retryTokens.tryTake() {
		s.retryLater(c, r, p.shard)
		return
	}
	p.kind = attemptRetry
	s.planned = append(s.planned, p)
	c.out.Log(logevent.QueryRetried,
		logevent.Str("request", r.req.ID),
		logevent.Str("shard", sh.shard.Name),
		logevent.Str("after", sh.lastOutcome.String()),
		logevent.Str("server", p.server),
		logevent.Str("owner", p.owner.VM))
}
