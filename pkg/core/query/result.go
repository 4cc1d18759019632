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

// SubResultArrived processes one sub-result. It is accepted only if its attempt
// still awaits a result and its stream, shard, server and snapshot match.
func (s *State) SubResultArrived(m event.Meta, e event.SubResultArrived, out *effect.List) {
	c := s.beginEvent(m, out)
	res := &e.Result
	st := s.streams[e.Stream]
	if st == nil {
		s.dropResult(c, res, dropLate)
		return
	}
	r := st.run
	i, ok := r.attemptIndex(res.Attempt)
	if !ok || !r.matches(&r.attempts[i], &e) {
		s.dropResult(c, res, dropMismatch)
		return
	}
	a := &r.attempts[i]
	switch a.state {
	case attemptEnded:
		s.dropResult(c, res, dropDuplicate)
		return
	case attemptCanceled:
		a.state = attemptEnded
		st.pending--
		if res.Outcome != model.OutcomeCanceled {
			s.dropResult(c, res, dropLate)
		}
		return
	}
	st.received++
	s.observeServerTimes(c.Now, res)
	r.recordQueueTime(res)
	s.takeResult(c, r, a, res)
	s.endEvent(c, r)
}

func (r *run) matches(a *attempt, e *event.SubResultArrived) bool {
	res := &e.Result
	return a.stream == e.Stream &&
		a.server == res.Server &&
		r.shards[a.shard].shard.Name == res.Shard &&
		r.snapshot == res.Snapshot
}

// takeResult ends a live attempt with its result. A truncated result counts as
// a failure of an attempt that ran.
func (s *State) takeResult(c *eventContext, r *run, a *attempt, res *model.SubResult) {
	switch {
	case res.Outcome == model.OutcomeUnknown:
		s.attemptFailed(c, r, a, model.OutcomeFailed)
	case res.Outcome != model.OutcomeOK:
		if res.Outcome == model.OutcomeVersionGone {
			r.versionGoneReplies = append(r.versionGoneReplies, versionGoneReply{a.server, r.snapshot.Layout, res.Shard, res.Versions})
		}
		r.retryAfter = max(r.retryAfter, res.RetryAfter)
		s.attemptFailed(c, r, a, res.Outcome)
	case res.Count != len(res.Items):
		s.dropResult(c, res, dropTruncated)
		s.attemptFailed(c, r, a, model.OutcomeFailed)
	default:
		s.recordShardAnswer(c, r, a, res.Items)
	}
}

func (s *State) dropResult(c *eventContext, res *model.SubResult, reason string) {
	s.counts.DroppedResults++
	c.out.Log(logevent.QueryResultDropped,
		logevent.Int("attempt", res.Attempt),
		logevent.Str("shard", res.Shard),
		logevent.Str("server", res.Server),
		logevent.Str("reason", reason))
}

// recordShardAnswer stores a shard's items and cancels its other attempts.
func (s *State) recordShardAnswer(c *eventContext, r *run, a *attempt, items []model.Item) {
	s.endAttempt(r, a, model.OutcomeOK)
	s.recordLatency(c, r, a)
	sh := &r.shards[a.shard]
	sh.state = shardAnswered
	sh.items = items
	r.openShards--
	r.answeredShards++
	if sh.liveAttempts > 0 {
		s.cancelAttempts(c, r, a.shard)
	}
}

// cancelAttempts cancels the live attempts of a shard.
func (s *State) cancelAttempts(c *eventContext, r *run, shard int) {
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.shard != shard || a.state != attemptLive {
			continue
		}
		a.state = attemptCanceled
		a.outcome = model.OutcomeCanceled
		r.shards[shard].liveAttempts--
		s.recordLatency(c, r, a)
		st := s.streams[a.stream]
		c.out.Add(effect.SendCancel{Peer: st.peer, Address: st.address, Attempts: []model.AttemptID{a.id}})
	}
}

// endAttempt records the outcome of a live attempt.
func (s *State) endAttempt(r *run, a *attempt, o model.Outcome) {
	a.state = attemptEnded
	a.outcome = o
	sh := &r.shards[a.shard]
	sh.liveAttempts--
	sh.lastOutcome = o
	r.mayHaveLeft = r.mayHaveLeft || !o.NotSent()
	r.outcomeUnknown = r.outcomeUnknown || !o.NotRun() && o != model.OutcomeOK
	if st := s.streams[a.stream]; st != nil {
		st.pending--
	}
}

// attemptFailed ends a live attempt that failed. If the shard has no other live
// attempt, it decides what follows.
func (s *State) attemptFailed(c *eventContext, r *run, a *attempt, o model.Outcome) {
	s.endAttempt(r, a, o)
	i := a.shard
	sh := &r.shards[i]
	sh.reason = missingReason(o)
	if sh.liveAttempts > 0 {
		return
	}
	sh.dueAt = model.Never
	if o == model.OutcomeVersionGone && s.moveSnapshot(c, r) {
		return
	}
	s.retryShard(c, r, i, o)
}

// missingReason returns why a shard is missing whose last attempt ended with
// the outcome.
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

// ExecuteEnded ends the attempts of a stream that have no result. They count as
// not sent only if the peer cannot have received the request, so not if it
// already sent a result.
func (s *State) ExecuteEnded(m event.Meta, e event.ExecuteEnded, out *effect.List) {
	c := s.beginEvent(m, out)
	st := s.streams[e.Stream]
	if st == nil {
		return
	}
	delete(s.streams, e.Stream)
	outcome := model.OutcomeLost
	if e.NotSent && st.received == 0 {
		outcome = model.OutcomeUnreachable
	}
	r := st.run
	for i := 0; i < len(r.attempts); i++ {
		if a := &r.attempts[i]; a.stream == e.Stream && a.state == attemptLive {
			s.attemptFailed(c, r, a, outcome)
		}
	}
	s.endEvent(c, r)
}
