package query

import (
	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Reasons for dropping a sub-result, as logged.
const (
	dropLate      = "late"
	dropMismatch  = "mismatch"
	dropDuplicate = "duplicate"
	dropTruncated = "truncated"
)

// SubResultArrived takes one sub-result. It counts only if it answers an
// attempt that is still waited for, on its stream, for its shard, server and
// snapshot.
func (s *State) SubResultArrived(m event.Meta, e event.SubResultArrived, out *effect.List) {
	c := s.begin(m, out)
	res := &e.Result
	st := s.streams[e.Stream]
	if st == nil {
		s.drop(c, res, dropLate)
		return
	}
	r := st.run
	i, ok := r.attempt(res.Attempt)
	if !ok || !r.matches(&r.attempts[i], &e) {
		s.drop(c, res, dropMismatch)
		return
	}
	a := &r.attempts[i]
	switch a.state {
	case attemptEnded:
		s.drop(c, res, dropDuplicate)
		return
	case attemptCanceled:
		a.state = attemptEnded
		st.waiting--
		if res.Outcome != model.OutcomeCanceled {
			s.drop(c, res, dropLate)
		}
		return
	}
	st.results++
	s.observeWait(c.Now, res)
	r.noteQueue(res)
	s.takeResult(c, r, a, res)
	s.settle(c, r)
}

func (r *run) matches(a *attempt, e *event.SubResultArrived) bool {
	res := &e.Result
	return a.stream == e.Stream &&
		a.server == res.Server &&
		r.shards[a.shard].shard.Name == res.Shard &&
		r.snapshot == res.Snapshot
}

// takeResult ends a live attempt with its result. A truncated result is that
// of an attempt that failed after it ran.
func (s *State) takeResult(c *step, r *run, a *attempt, res *model.SubResult) {
	switch {
	case res.Outcome == model.OutcomeUnknown:
		s.attemptFailed(c, r, a, model.OutcomeFailed)
	case res.Outcome != model.OutcomeOK:
		if res.Outcome == model.OutcomeVersionGone {
			r.gone = append(r.gone, served{a.server, r.snapshot.Layout, res.Shard, res.Versions})
		}
		r.retryAfter = max(r.retryAfter, res.RetryAfter)
		s.attemptFailed(c, r, a, res.Outcome)
	case res.Count != len(res.Items):
		s.drop(c, res, dropTruncated)
		s.attemptFailed(c, r, a, model.OutcomeFailed)
	default:
		s.shardAnswered(c, r, a, res.Items)
	}
}

func (s *State) drop(c *step, res *model.SubResult, reason string) {
	s.counts.Dropped++
	c.out.Log(logevent.QueryResultDropped,
		logevent.Int("attempt", res.Attempt),
		logevent.Str("shard", res.Shard),
		logevent.Str("server", res.Server),
		logevent.Str("reason", reason))
}

// shardAnswered takes the items and cancels the shard's other attempts.
func (s *State) shardAnswered(c *step, r *run, a *attempt, items []model.Item) {
	s.endAttempt(r, a, model.OutcomeOK)
	s.sampleLatency(c, r, a)
	sh := &r.shards[a.shard]
	sh.state = shardAnswered
	sh.items = items
	r.open--
	r.answered++
	if sh.live > 0 {
		s.cancelShard(c, r, a.shard)
	}
}

// cancelShard cancels the live attempts of a shard.
func (s *State) cancelShard(c *step, r *run, shard int) {
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.shard != shard || a.state != attemptLive {
			continue
		}
		a.state = attemptCanceled
		a.outcome = model.OutcomeCanceled
		r.shards[shard].live--
		s.sampleLatency(c, r, a)
		st := s.streams[a.stream]
		c.out.Add(effect.SendCancel{Peer: st.peer, Address: st.address, Attempts: []model.AttemptID{a.id}})
	}
}

// endAttempt notes the outcome of a live attempt.
func (s *State) endAttempt(r *run, a *attempt, o model.Outcome) {
	a.state = attemptEnded
	a.outcome = o
	sh := &r.shards[a.shard]
	sh.live--
	sh.last = o
	r.left = r.left || !o.NotSent()
	r.unknown = r.unknown || !o.NotRun() && o != model.OutcomeOK
	if st := s.streams[a.stream]; st != nil {
		st.waiting--
	}
}

// attemptFailed ends a live attempt that brought no result.
func (s *State) attemptFailed(c *step, r *run, a *attempt, o model.Outcome) {
	s.endAttempt(r, a, o)
	i := a.shard
	sh := &r.shards[i]
	sh.reason = missingReason(o)
	if sh.live > 0 {
		return
	}
	sh.dueAt = model.Never
	if o == model.OutcomeVersionGone && s.moveSnapshot(c, r) {
		return
	}
	s.retry(c, r, i, o)
}

// missingReason translates the outcome of a shard's last attempt.
func missingReason(o model.Outcome) model.MissingReason {
	switch o {
	case model.OutcomeNotOwner, model.OutcomeUnreachable:
		return model.MissingNoOwner
	case model.OutcomeDrained:
		return model.MissingDrained
	case model.OutcomeQueueFull, model.OutcomeShed:
		return model.MissingShed
	case model.OutcomeVersionGone:
		return model.MissingVersionGone
	case model.OutcomeExpired, model.OutcomeTimeout:
		return model.MissingDeadline
	}
	return model.MissingFailed
}

// ExecuteEnded ends the attempts of a stream that have no result. They were
// not sent only if the peer cannot have received the request.
func (s *State) ExecuteEnded(m event.Meta, e event.ExecuteEnded, out *effect.List) {
	c := s.begin(m, out)
	st := s.streams[e.Stream]
	if st == nil {
		return
	}
	delete(s.streams, e.Stream)
	outcome := model.OutcomeLost
	if e.NotSent && st.results == 0 {
		outcome = model.OutcomeUnreachable
	}
	r := st.run
	for i := 0; i < len(r.attempts); i++ {
		if a := &r.attempts[i]; a.stream == e.Stream && a.state == attemptLive {
			s.attemptFailed(c, r, a, outcome)
		}
	}
	s.settle(c, r)
}
