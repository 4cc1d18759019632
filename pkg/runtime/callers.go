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
	// queueFullRetry is the pause asked of callers when the event queue is
	// full; the queue drains within that time.
	queueFullRetry = 50 * time.Millisecond
	// lookupTimeout bounds a lookup, which needs one step of the core.
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

// query runs a request of a caller or one that a peer forwarded.
func (l *Loop) query(ctx context.Context, req model.Request, left time.Duration, forwarded bool) (*model.Answer, *model.Refusal) {
	req.Deadline = l.clock.now().Add(left)
	token, reply := l.pending.open()
	if !l.offer(event.QueryArrived{Token: token, Request: req, Forwarded: forwarded}) {
		l.pending.drop(token)
		return nil, l.queueFull(req.ID)
	}
	e := l.await(ctx, token, reply)
	if e == nil {
		l.post(event.QueryAbandoned{Token: token})
		return nil, l.abandoned(ctx, req.ID)
	}
	r, ok := e.(effect.ReplyQuery)
	if !ok {
		return nil, mayHaveRun(req.ID, "the reply is of the wrong type")
	}
	return r.Answer, r.Refusal
}

// abandoned is the refusal for a request without a reply: none for a caller
// that left, else the loop ended while the request ran.
func (l *Loop) abandoned(ctx context.Context, id model.RequestID) *model.Refusal {
	if ctx.Err() != nil {
		return nil
	}
	return mayHaveRun(id, "the daemon stopped")
}

func (l *Loop) queueFull(id model.RequestID) *model.Refusal {
	l.log(logevent.RuntimeQueueFull, logevent.Int("queued", len(l.events)))
	return &model.Refusal{RequestID: id, Kind: model.NotRun, Reason: "event queue is full", RetryAfter: queueFullRetry}
}

func mayHaveRun(id model.RequestID, reason string) *model.Refusal {
	return &model.Refusal{RequestID: id, Kind: model.MayHaveRun, Reason: reason}
}

// Lookup implements api.Frontend.
func (l *Loop) Lookup(ctx context.Context, service model.ServiceName, caller model.CallerName) *effect.ReplyLookup {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	token, reply := l.pending.open()
	if !l.offer(event.LookupArrived{Token: token, Service: service, Caller: caller}) {
		l.pending.drop(token)
		return &effect.ReplyLookup{Refusal: l.queueFull("")}
	}
	if r, ok := l.await(ctx, token, reply).(effect.ReplyLookup); ok {
		return &r
	}
	return nil
}
