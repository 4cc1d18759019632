package query

import (
	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// maxWaiters bounds the repeats that wait for one running request.
const maxWaiters = 16

// admitNonIdempotent decides whether this daemon may start a non-idempotent
// request that is not in the at-most-once table. If not, it refuses or forwards
// the request.
func (s *State) admitNonIdempotent(c *eventContext, e *event.QueryArrived) (issued int64, ok bool) {
	id, err := parseRequestID(e.Request.ID)
	if err != nil {
		s.refuse(c, e.Token, e.Request.ID, model.Invalid, err.Error(), 0)
		return 0, false
	}
	if self := s.view.Self(); id.member != self {
		s.forwardOrRefuse(c, e, id.member, self)
		return 0, false
	}
	if s.once.rangeExpired(id.issued, c.Wall) {
		s.refuse(c, e.Token, e.Request.ID, model.MayHaveRun, "the request id's range has expired", 0)
		return 0, false
	}
	if id.issued > c.Wall+maxClockSkew.Milliseconds() {
		s.refuse(c, e.Token, e.Request.ID, model.NotRun, "the request id was issued in the future", randomRetryAfter(c))
		return 0, false
	}
	if s.once.isFull() {
		s.refuse(c, e.Token, e.Request.ID, model.NotRun, "too many non-idempotent requests", randomRetryAfter(c))
		return 0, false
	}
	return id.issued, true
}

// answerRepeat answers a request whose id was already started here, at once or
// when the running request ends.
func (s *State) answerRepeat(c *eventContext, e *event.QueryArrived, entry *onceEntry) {
	c.out.Log(logevent.QueryRepeated,
		logevent.Str("request", e.Request.ID),
		logevent.Int("running", boolToInt(entry.run != nil)))
	switch r := entry.run; {
	case r != nil && len(r.waiters) < maxWaiters:
		deadline := max(e.Request.Deadline, c.Now)
		r.waiters = append(r.waiters, waiter{token: e.Token, deadline: deadline})
		s.runs[e.Token] = r
		s.scheduleWake(r, deadline)
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

// expireWaiters refuses the waiters whose own deadline passed before the first
// request ended.
func (s *State) expireWaiters(c *eventContext, r *run) {
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

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
