package query

import (
	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// finish replies to the caller and the waiters with what the run has, and
// frees the run.
func (s *State) finish(c *step, r *run) {
	s.endOpen(c, r)
	var answer *model.Answer
	refusal := r.refusal(c)
	if refusal == nil {
		answer = r.answer()
	}
	r.countQueued(c.Now)
	s.logFinish(c, r, answer, refusal)
	if !r.abandoned {
		c.out.Add(effect.ReplyQuery{Token: r.token, Answer: answer, Refusal: refusal})
	}
	for _, w := range r.waiters {
		c.out.Add(effect.ReplyQuery{Token: w.token, Answer: answer, Refusal: refusal})
	}
	if r.entry != nil {
		s.once.store(r.entry, answer, refusal)
	}
	s.release(c, r)
}

// endOpen marks the open shards as missing. An attempt without an outcome may
// have left and run.
func (s *State) endOpen(c *step, r *run) {
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.state != attemptLive {
			continue
		}
		r.left = true
		r.unknown = true
		r.shards[a.shard].reason = model.MissingDeadline
		s.sampleLatency(c, r, a)
	}
	for i := range r.shards {
		if sh := &r.shards[i]; sh.state == shardOpen {
			r.miss(i, sh.reason)
		}
	}
}

// refusal returns why the run has no answer, nil if it has one. not_run needs
// that no byte left; a query for which nothing could be tried is answered with
// the reasons, as the caller could not do better by a repeat.
func (r *run) refusal(c *step) *model.Refusal {
	complete := r.answered == len(r.shards)
	switch {
	case !r.req.Idempotent && r.unknown && !complete:
		return &model.Refusal{
			RequestID: r.req.ID,
			Kind:      model.MayHaveRun,
			Reason:    "an attempt ended without a known outcome",
		}
	case r.answered == 0 && !r.left && (r.sent > 0 || !r.req.Idempotent):
		return &model.Refusal{
			RequestID:  r.req.ID,
			Kind:       model.NotRun,
			Reason:     "no backend server could take it: " + string(r.shards[0].reason),
			RetryAfter: max(r.retryAfter, retryDelay(c)),
		}
	}
	return nil
}

// answer merges the shards' items and states the coverage.
func (r *run) answer() *model.Answer {
	a := &model.Answer{
		RequestID:     r.req.ID,
		Service:       r.req.Service,
		Snapshot:      r.snapshot,
		BundleVersion: r.bundle.Version,
		Asked:         len(r.shards),
		Answered:      r.answered,
		Complete:      r.answered == len(r.shards),
		Items:         mergeTop(r.shards, r.req.TopK),
		Attempts:      r.sent,
	}
	for i := range r.shards {
		if sh := &r.shards[i]; sh.state != shardAnswered {
			a.Missing = append(a.Missing, model.MissingShard{Shard: sh.shard.Name, Reason: sh.reason})
		}
	}
	return a
}

func (s *State) logFinish(c *step, r *run, answer *model.Answer, refusal *model.Refusal) {
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
		logevent.Int("elapsed_us", c.Now.Sub(r.arrived).Microseconds()))
}

// release frees everything about a run but its at-most-once entry.
func (s *State) release(c *step, r *run) {
	s.closeStreams(c, r)
	s.timers.remove(&r.timer)
	if !r.abandoned {
		delete(s.runs, r.token)
	}
	for _, w := range r.waiters {
		delete(s.runs, w.token)
	}
	r.service.leave(r.req.Caller)
	s.running--
}

// closeStreams forgets the run's streams and closes those on which an attempt
// has no result yet, which cancels it.
func (s *State) closeStreams(c *step, r *run) {
	for _, id := range r.streams {
		st := s.streams[id]
		if st == nil {
			continue
		}
		delete(s.streams, id)
		if st.waiting > 0 {
			c.out.Add(effect.CloseExecute{Stream: id})
		}
	}
	r.streams = r.streams[:0]
}

// QueryAbandoned ends an idempotent query whose caller is gone. A running
// non-idempotent one goes on, as its outcome may be asked for again.
func (s *State) QueryAbandoned(m event.Meta, e event.QueryAbandoned, out *effect.List) {
	c := s.begin(m, out)
	if f := s.forwards[e.Token]; f != nil {
		s.endForward(f)
		return
	}
	r := s.runs[e.Token]
	if r == nil {
		return
	}
	delete(s.runs, e.Token)
	if r.token != e.Token {
		r.dropWaiter(e.Token)
		return
	}
	r.abandoned = true
	s.counts.Abandoned++
	out.Log(logevent.QueryAbandoned, logevent.Str("request", r.req.ID))
	if r.req.Idempotent {
		s.release(c, r)
	}
}

func (r *run) dropWaiter(t event.Token) {
	kept := r.waiters[:0]
	for _, w := range r.waiters {
		if w.token != t {
			kept = append(kept, w)
		}
	}
	r.waiters = kept
}
