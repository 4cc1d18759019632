package runtime

import (
	"context"
	"errors"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/peer"
)

// Peers calls other daemons; *peer.Client implements it.
type Peers interface {
	Execute(ctx context.Context, e effect.OpenExecute, h model.Header, left time.Duration, receive func(model.Header, model.SubResult)) error
	Cancel(ctx context.Context, e effect.SendCancel, h model.Header) error
	Heartbeat(ctx context.Context, e effect.SendHeartbeat) (event.HeartbeatAnswered, error)
	Exchange(ctx context.Context, e effect.SendExchange) (event.ExchangeAnswered, error)
	Handover(ctx context.Context, e effect.SendHandover) (bool, error)
	FetchDocument(ctx context.Context, e effect.FetchDocument, h model.Header) (version uint64, raw []byte, err error)
	Forward(ctx context.Context, e effect.ForwardQuery, h model.Header, left time.Duration) (*model.Answer, *model.Refusal, error)
}

const (
	// replyGrace is how long past the deadline a peer may take to deliver
	// results that were ready at the deadline.
	replyGrace = 250 * time.Millisecond
	// cancelTimeout, exchangeTimeout, handoverTimeout and fetchTimeout bound
	// calls whose effect has no timeout of its own.
	cancelTimeout   = time.Second
	exchangeTimeout = time.Second
	handoverTimeout = time.Second
	fetchTimeout    = 2 * time.Second
)

// openExecute opens an Execute stream to an owner and posts its results, then
// exactly one ExecuteEnded. The time left is computed when the message is sent.
// A stream number that is in use is not opened again.
func (l *Loop) openExecute(e effect.OpenExecute) {
	ctx, cancel := context.WithCancel(l.ctx)
	if !l.outgoingStreams.add(e.Stream, cancel) {
		cancel()
		l.log(logevent.RuntimeDuplicate, logevent.Str("to", e.Peer), logevent.Int("stream", e.Stream))
		return
	}
	deadline := earliestDeadline(e.Subs)
	l.startTask(func(context.Context) {
		defer cancel()
		err := l.execute(ctx, e, deadline)
		l.outgoingStreams.remove(e.Stream)
		l.cfg.Observer.Message("execute", err == nil)
		l.post(event.ExecuteEnded{
			Stream:  e.Stream,
			Peer:    e.Peer,
			NotSent: errors.Is(err, peer.ErrNotSent),
			Err:     errorText(err),
		})
	})
}

func (l *Loop) execute(ctx context.Context, e effect.OpenExecute, deadline model.Time) error {
	left := deadline.Sub(l.clock.now())
	if left <= 0 {
		return errors.Join(peer.ErrNotSent, context.DeadlineExceeded)
	}
	ctx, cancel := context.WithTimeout(ctx, left+replyGrace)
	defer cancel()
	return l.cfg.Peers.Execute(ctx, e, l.Header(), left, func(h model.Header, r model.SubResult) {
		l.post(event.SubResultArrived{Stream: e.Stream, Header: h, Result: r})
	})
}

// earliestDeadline returns the earliest deadline of the sub-requests of one
// request, which are sent with a single time left.
func earliestDeadline(subs []model.SubRequest) model.Time {
	first := model.Never
	for i := range subs {
		first = min(first, subs[i].Deadline)
	}
	return first
}

func (l *Loop) sendCancel(e effect.SendCancel) {
	l.startTask(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
		defer cancel()
		err := l.cfg.Peers.Cancel(ctx, e, l.Header())
		l.cfg.Observer.Message("cancel", err == nil)
	})
}

// sendHeartbeat reads SentAt on the loop's goroutine, before anything is sent:
// the lease is measured from it, and a value that is too early is safe.
func (l *Loop) sendHeartbeat(e effect.SendHeartbeat) {
	sentAt := l.clock.now()
	l.startTask(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, e.Timeout)
		defer cancel()
		answered, err := l.cfg.Peers.Heartbeat(ctx, e)
		l.cfg.Observer.Message("heartbeat", err == nil)
		if err != nil {
			l.post(event.HeartbeatFailed{To: e.Peer, Err: err.Error()})
			return
		}
		answered.SentAt = sentAt
		l.post(answered)
	})
}

func (l *Loop) sendExchange(e effect.SendExchange) {
	l.startTask(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		answered, err := l.cfg.Peers.Exchange(ctx, e)
		l.cfg.Observer.Message("exchange", err == nil)
		if err == nil {
			l.post(answered)
		}
	})
}

func (l *Loop) sendHandover(e effect.SendHandover) {
	l.startTask(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
		defer cancel()
		accepted, err := l.cfg.Peers.Handover(ctx, e)
		l.cfg.Observer.Message("handover", err == nil)
		l.post(event.HandoverAnswered{To: e.Peer, Servers: e.Servers, Accepted: accepted, Err: errorText(err)})
	})
}

func (l *Loop) fetchDocument(e effect.FetchDocument) {
	l.startTask(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		version, raw, err := l.cfg.Peers.FetchDocument(ctx, e, l.Header())
		l.cfg.Observer.Message("fetch_document", err == nil)
		switch {
		case err != nil:
			l.post(event.DocumentFailed{Kind: e.Kind, Address: e.Address, Err: err.Error()})
		case version == 0:
			l.post(event.DocumentFailed{Kind: e.Kind, Address: e.Address, NotFound: true, Err: "the peer has no such document"})
		default:
			l.postDocument(e.Kind, e.Address, raw, 0)
		}
	})
}

// forwardQuery forwards a request to a peer and posts ForwardAnswered.
func (l *Loop) forwardQuery(e effect.ForwardQuery) {
	l.startTask(func(ctx context.Context) {
		out := event.ForwardAnswered{Token: e.Token}
		left := e.Request.Deadline.Sub(l.clock.now())
		if left <= 0 {
			out.NotSent = true
			out.Err = context.DeadlineExceeded.Error()
			l.post(out)
			return
		}
		ctx, cancel := context.WithTimeout(ctx, left+replyGrace)
		defer cancel()
		answer, refusal, err := l.cfg.Peers.Forward(ctx, e, l.Header(), left)
		l.cfg.Observer.Message("forward", err == nil)
		out.Answer = answer
		out.Refusal = refusal
		out.NotSent = errors.Is(err, peer.ErrNotSent)
		out.Err = errorText(err)
		l.post(out)
	})
}

// errorText returns the message of an error, or "" for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// sendSubResult passes a result to the Execute stream that a peer opened.
func (l *Loop) sendSubResult(e effect.SendSubResult) {
	switch l.incomingStreams.deliver(e) {
	case streamGone:
		l.log(logevent.RuntimeLateReply, logevent.Str("stream_from", e.Stream.From.VM), logevent.Int("attempt", e.Result.Attempt))
	case streamOverflow:
		l.log(logevent.RuntimeStreamOverflow, logevent.Str("stream_from", e.Stream.From.VM), logevent.Int("stream", e.Stream.ID))
	}
}
