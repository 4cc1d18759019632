package query

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// resolveDelay is the time before the owner of a server is looked up again,
	// and before a server is tried again.
	resolveDelay = 50 * time.Millisecond
	// retryBurst is the retries that a quiet service may make at once.
	retryBurst = 10
)

// mayRetry reports whether an attempt that ended so may be followed by another.
// A non-idempotent one only if it was not sent, not even to be refused.
func (r *run) mayRetry(o model.Outcome) bool { return r.req.Idempotent || o.NotSent() }

// isFree reports whether a retry after the outcome is outside the budget: the
// attempt never reached a queue, so the next one is no extra load on a server.
func isFree(o model.Outcome) bool {
	return o == model.OutcomeNotOwner || o == model.OutcomeUnreachable || o == model.OutcomeDrained
}

// retry decides what follows an attempt without a result, the last live one of
// its shard: another replica at once, the same one after a delay, or nothing.
func (s *State) retry(c *step, r *run, i int, o model.Outcome) {
	sh := &r.shards[i]
	if !r.mayRetry(o) {
		r.miss(i, sh.reason)
		return
	}
	p, why := s.choose(c, r, i)
	if why == "" && p.tries == 0 {
		s.queue(c, r, p)
		return
	}
	s.wait(c, r, i)
}

// wait looks at the shard again after a delay, if that can still help.
func (s *State) wait(c *step, r *run, i int) {
	sh := &r.shards[i]
	at := c.Now.Add(resolveDelay)
	if !r.waits(sh.last) || at >= r.subDeadline {
		r.miss(i, sh.reason)
		return
	}
	sh.dueAt = at
	s.schedule(r, at)
}

// waits reports whether time may mend the outcome. An owner is soon succeeded
// and the shard was not yet run, so every service waits for that; other
// outcomes are worth a wait only where coverage comes first.
func (r *run) waits(last model.Outcome) bool {
	switch last {
	case model.OutcomeUnknown, model.OutcomeNotOwner, model.OutcomeUnreachable:
		return true
	case model.OutcomeDrained, model.OutcomeExpired:
		return false
	}
	return r.policy.Mode != model.TailFirst
}

// tryAgain picks a replica for a shard without a live attempt.
func (s *State) tryAgain(c *step, r *run, i int) {
	sh := &r.shards[i]
	if sh.last == model.OutcomeVersionGone && s.moveSnapshot(c, r) {
		return
	}
	p, why := s.choose(c, r, i)
	switch why {
	case "":
		s.queue(c, r, p)
	case model.MissingNoOwner:
		sh.reason = why
		s.wait(c, r, i)
	case model.MissingVersionGone:
		s.wait(c, r, i)
	default:
		r.miss(i, why)
	}
}

// queue picks the attempt to be sent at the end of the event, if the
// budget allows.
func (s *State) queue(c *step, r *run, p pick) {
	sh := &r.shards[p.shard]
	if sh.tries == 0 {
		p.kind = attemptFirst
		s.picks = append(s.picks, p)
		return
	}
	if c.Now >= r.subDeadline {
		// No owner would take it, and its failure would hide the reason.
		r.miss(p.shard, sh.reason)
		return
	}
	if !isFree(sh.last) && !r.service.retries.take() {
		s.wait(c, r, p.shard)
		return
	}
	p.kind = attemptRetry
	s.picks = append(s.picks, p)
	c.out.Log(logevent.QueryRetried,
		logevent.Str("request", r.req.ID),
		logevent.Str("shard", sh.shard.Name),
		logevent.Str("after", sh.last.String()),
		logevent.Str("server", p.server),
		logevent.Str("owner", p.owner.VM))
}
