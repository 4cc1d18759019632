package query

import (
	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// waiterLimit bounds the repeats that wait for one running request.
const waiterLimit = 16

// mayStart decides whether this daemon may start a non-idempotent request. If
// not, it has replied, let the request wait for its first run, or forwarded it.
func (s *State) mayStart(c *step, e *event.QueryArrived) (issued int64, ok bool) {
	if entry := s.once.entries[e.Request.ID]; entry != nil {
		s.repeat(c, e, entry)
		return 0, false
	}
	id, err := parseRequestID(e.Request.ID)
	if err != nil {
		s.refuse(c, e.Token, e.Request.ID, model.Invalid, err.Error(), 0)
		return 0, false
	}
	if self := s.view.Self(); id.member != self {
		s.startElsewhere(c, e, id.member, self)
		return 0, false
	}
	if s.once.expired(id.issued, c.Wall) {
		s.refuse(c, e.Token, e.Request.ID, model.MayHaveRun, "the request id's range has expired", 0)
		return 0, false
	}
	if id.issued > c.Wall+clockSkew.Milliseconds() {
		s.refuse(c, e.Token, e.Request.ID, model.NotRun, "the request id was issued in the future", retryDelay(c))
		return 0, false
	}
	if s.once.full() {
		s.refuse(c, e.Token, e.Request.ID, model.NotRun, "too many non-idempotent requests", retryDelay(c))
		return 0, false
	}
	return id.issued, true
}

// repeat answers a request whose id was started here before.
func (s *State) repeat(c *step, e *event.QueryArrived, entry *onceEntry) {
	c.out.Log(logevent.QueryRepeated,
		logevent.Str("request", e.Request.ID),
		logevent.Int("running", boolInt(entry.run != nil)))
	switch r := entry.run; {
	case r != nil && len(r.waiters) < waiterLimit:
		deadline := max(e.Request.Deadline, c.Now)
		r.waiters = append(r.waiters, waiter{token: e.Token, deadline: deadline})
		s.runs[e.Token] = r
		s.schedule(r, deadline)
	case entry.answer != nil:
		c.out.Add(effect.ReplyQuery{Token: e.Token, Answer: entry.answer})
	case entry.refusal != nil:
		c.out.Add(effect.ReplyQuery{Token: e.Token, Refusal: entry.refusal})
	case r != nil:
		s.refuse(c, e.Token, e.Request.ID, model.MayHaveRun, "too many repeats of a running request", 0)
	default:
		s.refuse(c, e.Token, e.Request.ID, model.MayHaveRun, "the first outcome is no longer stored", 0)
	}
}

// expireWaiters answers the repeats whose own deadline has come before the
// outcome of the first request.
func (s *State) expireWaiters(c *step, r *run) {
	kept := r.waiters[:0]
	for _, w := range r.waiters {
		if w.deadline > c.Now {
			kept = append(kept, w)
			continue
		}
		delete(s.runs, w.token)
		s.refuse(c, w.token, r.req.ID, model.MayHaveRun, "the first request is still running", 0)
	}
	r.waiters = kept
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
