package query

import (
	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// finishRun replies to the caller and the waiters with the results so far, and
// releases the run.
func (s *State) finishRun(c *eventContext, r *run) {
	s.endOpenShards(c, r)
	var answer *model.Answer
	refusal := r.refusal(c)
	if refusal == nil {
		answer = r.answer()
	}
	r.observeQueueTime(c.Now)
	s.recordOutcome(c, r, answer, refusal)
	if !r.abandoned {
		c.out.Add(effect.ReplyQuery{Token: r.token, Answer: answer, Refusal: refusal})
	}
	for _, w := range r.waiters {
		c.out.Add(effect.ReplyQuery{Token: w.token, Answer: answer, Refusal: refusal})
	}
	if r.entry != nil {
		s.once.storeOutcome(r.entry, answer, refusal)
	}
	s.releaseRun(c, r)
}

// endOpenShards marks the open shards as missing. An attempt without an outcome
// may have left for a backend server and run there.
func (s *State) endOpenShards(c *eventContext, r *run) {
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.state != attemptLive {
			continue
		}
		r.mayHaveLeft = true
		r.outcomeUnknown = true
		r.shards[a.shard].reason = model.MissingDeadline
		s.recordLatency(c, r, a)
	}
	for i := range r.shards {
		if sh := &r.shards[i]; sh.state == shardOpen {
			r.markMissing(i, sh.reason)
		}
	}
}

// refusal returns why the run has no answer, or nil if it has one. not_run
// requires that no byte left for a backend server. An idempotent query for
// which no attempt was sent is answered with the reasons of the missing shards,
// because repeating it would not help the caller.
func (r *run) refusal(c *eventContext) *model.Refusal {
	complete := r.answeredShards == len(r.shards)
	switch {
	case !r.req.Idempotent && r.outcomeUnknown && !complete:
		return &model.Refusal{
			RequestID: r.req.ID,
			Kind:      model.MayHaveRun,
			Reason:    "an attempt ended without a known outcome",
		}
	case r.answeredShards == 0 && !r.mayHaveLeft && (r.attemptsSent > 0 || !r.req.Idempotent):
		return &model.Refusal{
			RequestID:  r.req.ID,
			Kind:       model.NotRun,
			Reason:     "no backend server could take it: " + string(r.shards[0].reason),
			RetryAfter: max(r.retryAfter, randomRetryAfter(c)),
		}
	}
	return nil
}

// answer merges the shards' items and reports the coverage.
func (r *run) answer() *model.Answer {
	a := &model.Answer{
		RequestID:     r.req.ID,
		Service:       r.req.Service,
		Snapshot:      r.snapshot,
		BundleVersion: r.bundle.Version,
		Asked:         len(r.shards),
		Answered:      r.answeredShards,
		Complete:      r.answeredShards == len(r.shards),
		Items:         mergeTop(r.shards, r.req.TopK),
		Attempts:      r.attemptsSent,
	}
	for i := range r.shards {
		if sh := &r.shards[i]; sh.state != shardAnswered {
			a.Missing = append(a.Missing, model.MissingShard{Shard: sh.shard.Name, Reason: sh.reason})
		}
	}
	return a
}

// recordOutcome counts and logs how the run ended.
func (s *State) recordOutcome(c *eventContext, r *run, answer *model.Answer, refusal *model.Refusal) {
	if refusal != nil {
		s.counts.Refused++
		c.out.Log(logevent.QueryRefused,
			logevent.Str("request", r.req.ID),
			logevent.Str("kind", refusal.Kind),
			logevent.Str("reason", refusal.Reason))
		return
	}
	id := logevent.QueryAnswered
	s.counts.Complete++
	if !answer.Complete {
		id = logevent.QueryPartial
		s.counts.Complete--
		s.counts.Partial++
	}
	c.out.Log(id,
		logevent.Str("request", r.req.ID),
		logevent.Int("asked", answer.Asked),
		logevent.Int("answered", answer.Answered),
		logevent.Int("attempts", answer.Attempts),
		logevent.Int("elapsed_us", c.Now.Sub(r.arrivedAt).Microseconds()))
}

// releaseRun frees everything that belongs to a run except its at-most-once
// entry.
func (s *State) releaseRun(c *eventContext, r *run) {
	s.closeStreams(c, r)
	s.timers.remove(&r.timer)
	if !r.abandoned {
		delete(s.runs, r.token)
	}
	for _, w := range r.waiters {
		delete(s.runs, w.token)
	}
	r.service.removeRunning(r.req.Caller)
	s.running--
}

// closeStreams forgets the run's streams. It closes those with an attempt that
// still awaits a result, which cancels the attempt.
func (s *State) closeStreams(c *eventContext, r *run) {
	for _, id := range r.streams {
		st := s.streams[id]
		if st == nil {
			continue
		}
		delete(s.streams, id)
		if st.pending > 0 {
			c.out.Add(effect.CloseExecute{Stream: id})
		}
	}
	r.streams = r.streams[:0]
}

// QueryAbandoned ends an idempotent query whose caller is gone. A running
// non-idempotent query continues, because its outcome may be asked for again.
func (s *State) QueryAbandoned(m event.Meta, e event.QueryAbandoned, out *effect.List) {
	c := s.beginEvent(m, out)
	if f := s.forwards[e.Token]; f != nil {
		s.removeForward(f)
		return
	}
	r := s.runs[e.Token]
	if r == nil {
		return
	}
	delete(s.runs, e.Token)
	if r.token != e.Token {
		r.removeWaiter(e.Token)
		return
	}
	r.abandoned = true
	s.counts.Abandoned++
	out.Log(logevent.QueryAbandoned, logevent.Str("request", r.req.ID))
	if r.req.Idempotent {
		s.releaseRun(c, r)
	}
}

func (r *run) removeWaiter(t event.Token) {
	kept := r.waiters[:0]
	for _, w := range r.waiters {
		if w.token != t {
			kept = append(kept, w)
		}
	}
	r.waiters = kept
}
