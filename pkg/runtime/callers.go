package runtime

import (
	"context"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// queueFullRetryAfter is the retry delay given to callers when the event
	// queue is full; the queue drains within that time.
	queueFullRetryAfter = 50 * time.Millisecond
	// lookupTimeout bounds a lookup, which takes one step of the core.
	lookupTimeout = 2 * time.Second
)

// Query implements api.Frontend.
func (l *Loop) Query(ctx context.Context, req model.Request, left time.Duration) (*model.Answer, *model.Refusal) {
	start := time.Now()
	answer, refusal := l.query(ctx, req, left, false)
	switch {
	case answer != nil:
		l.cfg.Observer.Answered(req.Class, answer, time.Since(start))
	case refusal != nil:
		l.cfg.Observer.Refused(req.Class, refusal)
	default:
		l.cfg.Observer.Abandoned(req.Class)
	}
	return answer, refusal
}

// query runs a request that a caller sent or a peer forwarded.
func (l *Loop) query(ctx context.Context, req model.Request, left time.Duration, forwarded bool) (*model.Answer, *model.Refusal) {
	req.Deadline = l.clock.now().Add(left)
	token, reply := l.pending.register()
	if !l.tryPost(event.QueryArrived{Token: token, Request: req, Forwarded: forwarded}) {
		l.pending.remove(token)
		return nil, l.queueFullRefusal(req.ID)
	}
	e := l.awaitReply(ctx, token, reply)
	if e == nil {
		l.post(event.QueryAbandoned{Token: token})
		return nil, l.noReplyRefusal(ctx, req.ID)
	}
	r, ok := e.(effect.ReplyQuery)
	if !ok {
		return nil, mayHaveRunRefusal(req.ID, "the reply is of the wrong type")
	}
	return r.Answer, r.Refusal
}

// noReplyRefusal returns the refusal for a request that got no reply: nil if the
// caller left, otherwise MayHaveRun, since the loop ended while the request was
// running.
func (l *Loop) noReplyRefusal(ctx context.Context, id model.RequestID) *model.Refusal {
	if ctx.Err() != nil {
		return nil
	}
	return mayHaveRunRefusal(id, "the daemon stopped")
}

func (l *Loop) queueFullRefusal(id model.RequestID) *model.Refusal {
	l.log(logevent.RuntimeQueueFull, logevent.Int("queued", len(l.events)))
	return &model.Refusal{RequestID: id, Kind: model.NotRun, Reason: "event queue is full", RetryAfter: queueFullRetryAfter}
}

func mayHaveRunRefusal(id model.RequestID, reason string) *model.Refusal {
	return &model.Refusal{RequestID: id, Kind: model.MayHaveRun, Reason: reason}
}

// Lookup implements api.Frontend.
func (l *Loop) Lookup(ctx context.Context, service model.ServiceName, caller model.CallerName) *effect.ReplyLookup {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	token, reply := l.pending.register()
	if !l.tryPost(event.LookupArrived{Token: token, Service: service, Caller: caller}) {
		l.pending.remove(token)
		return &effect.ReplyLookup{Refusal: l.queueFullRefusal("")}
	}
	if r, ok := l.awaitReply(ctx, token, reply).(effect.ReplyLookup); ok {
		return &r
	}
	return nil
}
