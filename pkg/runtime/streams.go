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
	errTooManyResults  = errors.New("runtime: more results than sub-requests")
	errStopped         = errors.New("runtime: the daemon stopped")
)

// delivery is the outcome of delivering a result to a stream.
type delivery uint8

const (
	streamDelivered delivery = iota
	streamGone
	streamOverflow
)

// incomingStreams holds the Execute streams that peers opened to this daemon.
type incomingStreams struct {
	mu   sync.Mutex
	open map[event.Stream]*incomingStream
}

// incomingStream buffers the results of one Execute stream. The buffer has room
// for one result per sub-request and the last message, so the loop never blocks
// on a slow peer.
type incomingStream struct {
	results chan effect.SendSubResult
	// failed is closed when a result did not fit into the buffer.
	failed chan struct{}
}

// add registers a stream; it returns nil if the key is in use.
func (s *incomingStreams) add(key event.Stream, subs int) *incomingStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = make(map[event.Stream]*incomingStream)
	}
	if s.open[key] != nil {
		return nil
	}
	st := &incomingStream{results: make(chan effect.SendSubResult, subs+1), failed: make(chan struct{})}
	s.open[key] = st
	return st
}

func (s *incomingStreams) remove(key event.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, key)
}

// deliver buffers a result. A stream whose buffer is full is ended, since its
// peer would miss a result.
func (s *incomingStreams) deliver(e effect.SendSubResult) delivery {
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
	st := l.incomingStreams.add(in.Stream, len(in.Subs))
	if st == nil {
		l.log(logevent.RuntimeDuplicate, logevent.Str("from", in.Stream.From.VM), logevent.Int("stream", in.Stream.ID))
		return fmt.Errorf("%w: %w", peer.ErrBusy, errDuplicateStream)
	}
	if !l.post(event.ExecuteArrived{Stream: in.Stream, Header: in.Header, Subs: in.Subs}) {
		l.incomingStreams.remove(in.Stream)
		return fmt.Errorf("%w: %w", peer.ErrBusy, errStopped)
	}
	err := l.sendResults(ctx, st, send)
	l.incomingStreams.remove(in.Stream)
	if err != nil {
		l.post(event.ExecuteGone{Stream: in.Stream})
	}
	return err
}

// sendResults sends results to the peer until the last one.
func (l *Loop) sendResults(ctx context.Context, st *incomingStream, send func(*model.SubResult) error) error {
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
			return errTooManyResults
		case <-ctx.Done():
			return ctx.Err()
		case <-l.ctx.Done():
			return sendBuffered(st, send)
		}
	}
}

// sendBuffered sends the results that the reducer delivered before the loop
// ended, so that a graceful shutdown loses none.
func sendBuffered(st *incomingStream, send func(*model.SubResult) error) error {
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

// postAndAwait posts an event and waits for the reply to its token.
func postAndAwait[R effect.Effect](ctx context.Context, l *Loop, body func(event.Token) event.Body) (R, error) {
	var none R
	token, reply := l.pending.register()
	if !l.post(body(token)) {
		l.pending.remove(token)
		return none, fmt.Errorf("%w: %w", peer.ErrBusy, errStopped)
	}
	e := l.awaitReply(ctx, token, reply)
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
	return postAndAwait[effect.ReplyHeartbeat](ctx, l, func(t event.Token) event.Body {
		in.Token = t
		return in
	})
}

// Exchange implements peer.Handler.
func (l *Loop) Exchange(ctx context.Context, in event.ExchangeArrived) (effect.ReplyExchange, error) {
	return postAndAwait[effect.ReplyExchange](ctx, l, func(t event.Token) event.Body {
		in.Token = t
		return in
	})
}

// Handover implements peer.Handler.
func (l *Loop) Handover(ctx context.Context, in event.HandoverArrived) (effect.ReplyHandover, error) {
	return postAndAwait[effect.ReplyHandover](ctx, l, func(t event.Token) event.Body {
		in.Token = t
		return in
	})
}

// FetchDocument implements peer.Handler.
func (l *Loop) FetchDocument(ctx context.Context, in event.DocumentRequested) (effect.ReplyDocument, error) {
	return postAndAwait[effect.ReplyDocument](ctx, l, func(t event.Token) event.Body {
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
