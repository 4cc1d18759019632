package runtime

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/peer"
)

// Errors that end an Execute stream at the owner.
var (
	errDuplicateStream = errors.New("runtime: Execute stream number is in use")
	errOverflow        = errors.New("runtime: more results than sub-requests")
	errStopped         = errors.New("runtime: the daemon stopped")
)

// delivery says what became of a result for a stream.
type delivery uint8

const (
	streamDelivered delivery = iota
	streamGone
	streamOverflow
)

// streams holds the Execute streams that peers opened here.
type streams struct {
	mu   sync.Mutex
	open map[event.Stream]*stream
}

// stream buffers the results of one Execute. The buffer has room for one
// result per sub-request and the last message, so the loop never waits for a
// slow peer.
type stream struct {
	results chan effect.SendSubResult
	// failed is closed when a result did not fit.
	failed chan struct{}
}

// add registers a stream; it returns nil when the number is in use.
func (s *streams) add(key event.Stream, subs int) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = make(map[event.Stream]*stream)
	}
	if s.open[key] != nil {
		return nil
	}
	st := &stream{results: make(chan effect.SendSubResult, subs+1), failed: make(chan struct{})}
	s.open[key] = st
	return st
}

func (s *streams) remove(key event.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, key)
}

// deliver buffers a result. A stream that overflows is ended, since its peer
// would miss a result.
func (s *streams) deliver(e effect.SendSubResult) delivery {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.open[e.Stream]
	if st == nil {
		return streamGone
	}
	select {
	case st.results <- e:
		return streamDelivered
	default:
		close(st.failed)
		delete(s.open, e.Stream)
		return streamOverflow
	}
}

// Execute implements peer.Handler.
func (l *Loop) Execute(ctx context.Context, in peer.Execute, send func(*model.SubResult) error) error {
	deadline := l.clock.now().Add(in.Left)
	for i := range in.Subs {
		in.Subs[i].Deadline = deadline
	}
	st := l.streams.add(in.Stream, len(in.Subs))
	if st == nil {
		l.log(logevent.RuntimeDuplicate, logevent.Str("from", in.Stream.From.VM), logevent.Int("stream", in.Stream.ID))
		return fmt.Errorf("%w: %w", peer.ErrBusy, errDuplicateStream)
	}
	if !l.post(event.ExecuteArrived{Stream: in.Stream, Header: in.Header, Subs: in.Subs}) {
		l.streams.remove(in.Stream)
		return fmt.Errorf("%w: %w", peer.ErrBusy, errStopped)
	}
	err := l.sendResults(ctx, st, send)
	l.streams.remove(in.Stream)
	if err != nil {
		l.post(event.ExecuteGone{Stream: in.Stream})
	}
	return err
}

// sendResults sends results until the last one.
func (l *Loop) sendResults(ctx context.Context, st *stream, send func(*model.SubResult) error) error {
	for {
		select {
		case r := <-st.results:
			if err := send(&r.Result); err != nil {
				return err
			}
			if r.Last {
				return nil
			}
		case <-st.failed:
			return errOverflow
		case <-ctx.Done():
			return ctx.Err()
		case <-l.ctx.Done():
			return sendBuffered(st, send)
		}
	}
}

// sendBuffered sends what the reducer delivered before the loop ended, so that
// a graceful shutdown loses no result.
func sendBuffered(st *stream, send func(*model.SubResult) error) error {
	for {
		select {
		case r := <-st.results:
			if err := send(&r.Result); err != nil {
				return err
			}
			if r.Last {
				return nil
			}
		default:
			return errStopped
		}
	}
}

// Cancel implements peer.Handler.
func (l *Loop) Cancel(_ context.Context, in event.CancelArrived) error {
	if !l.post(in) {
		return errStopped
	}
	return nil
}

// ask posts an event and waits for the reply to its token.
func ask[R effect.Effect](ctx context.Context, l *Loop, body func(event.Token) event.Body) (R, error) {
	var none R
	token, reply := l.pending.open()
	if !l.post(body(token)) {
		l.pending.drop(token)
		return none, fmt.Errorf("%w: %w", peer.ErrBusy, errStopped)
	}
	e := l.await(ctx, token, reply)
	if e == nil && ctx.Err() != nil {
		return none, ctx.Err()
	}
	r, ok := e.(R)
	if !ok {
		return none, errStopped
	}
	return r, nil
}

// Heartbeat implements peer.Handler.
func (l *Loop) Heartbeat(ctx context.Context, in event.HeartbeatArrived) (effect.ReplyHeartbeat, error) {
	return ask[effect.ReplyHeartbeat](ctx, l, func(t event.Token) event.Body {
		in.Token = t
		return in
	})
}

// Exchange implements peer.Handler.
func (l *Loop) Exchange(ctx context.Context, in event.ExchangeArrived) (effect.ReplyExchange, error) {
	return ask[effect.ReplyExchange](ctx, l, func(t event.Token) event.Body {
		in.Token = t
		return in
	})
}

// Handover implements peer.Handler.
func (l *Loop) Handover(ctx context.Context, in event.HandoverArrived) (effect.ReplyHandover, error) {
	return ask[effect.ReplyHandover](ctx, l, func(t event.Token) event.Body {
		in.Token = t
		return in
	})
}

// FetchDocument implements peer.Handler.
func (l *Loop) FetchDocument(ctx context.Context, in event.DocumentRequested) (effect.ReplyDocument, error) {
	return ask[effect.ReplyDocument](ctx, l, func(t event.Token) event.Body {
		in.Token = t
		return in
	})
}

// Forward implements peer.Handler.
func (l *Loop) Forward(ctx context.Context, in peer.Forward) (*model.Answer, *model.Refusal, error) {
	answer, refusal := l.query(ctx, in.Request, in.Left, true)
	if answer == nil && refusal == nil {
		return nil, nil, ctx.Err()
	}
	return answer, refusal, nil
}
