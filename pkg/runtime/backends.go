package runtime

import (
	"context"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/backend"
	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Backends calls backend servers; *backend.Client implements it.
type Backends interface {
	Search(ctx context.Context, address string, from model.MemberRef, sub *model.SubRequest, deadline time.Time) backend.Reply
	Status(ctx context.Context, server model.ServerName, address string) (backend.Status, error)
	Warm(server model.ServerName, address string, count int)
}

// pollTimeout bounds a status request.
const pollTimeout = 2 * time.Second

// backendCallKey identifies a running CallBackend effect.
type backendCallKey struct {
	from    model.MemberRef
	attempt model.AttemptID
}

// callBackend runs a sub-request at its backend server. Each call posts exactly
// one BackendAnswered; BackendReleased follows if the server may still be
// working on a request that was given up. An attempt that is already running is
// not started again: a peer that repeats an attempt id must not make a request
// run twice.
func (l *Loop) callBackend(e effect.CallBackend) {
	key := backendCallKey{from: e.From, attempt: e.Sub.Attempt}
	ctx, cancel := context.WithCancel(l.ctx)
	if !l.backendCalls.add(key, cancel) {
		cancel()
		l.log(logevent.RuntimeDuplicate, logevent.Str("from", e.From.String()), logevent.Int("attempt", e.Sub.Attempt))
		return
	}
	l.startTask(func(loop context.Context) {
		defer cancel()
		reply := l.cfg.Backends.Search(ctx, e.Address, e.From, &e.Sub, l.clock.toTime(e.Deadline))
		l.backendCalls.remove(key)
		l.cfg.Observer.SubResult(&reply.Result)
		l.post(event.BackendAnswered{
			From:     e.From,
			Result:   reply.Result,
			Cold:     reply.Cold,
			Draining: reply.Draining,
			Load:     reply.Load,
			SlotHeld: reply.Ended != nil,
		})
		if reply.Ended == nil {
			return
		}
		select {
		case ended := <-reply.Ended:
			l.post(event.BackendReleased{Server: e.Sub.Server, Ended: ended})
		case <-loop.Done():
		}
	})
}

// pollBackend reads a server's status and posts BackendStatus.
func (l *Loop) pollBackend(e effect.PollBackend) {
	l.startTask(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, pollTimeout)
		defer cancel()
		s, err := l.cfg.Backends.Status(ctx, e.Server, e.Address)
		if err != nil {
			l.post(event.BackendStatus{Server: e.Server, Err: err.Error()})
			return
		}
		l.post(backendStatus(e.Server, &s))
	})
}

// backendStatus converts a status response to an event. If the server reports
// another name, the address has been reused by a different server.
func backendStatus(asked model.ServerName, s *backend.Status) event.BackendStatus {
	if s.Server != "" && s.Server != asked {
		return event.BackendStatus{Server: asked, Err: "the address is used by server " + string(s.Server)}
	}
	out := event.BackendStatus{Server: asked, Draining: s.Draining, Cold: s.Cold, Load: s.Load}
	for _, serving := range s.Serves {
		out.Serves = append(out.Serves, serving.Serving)
	}
	return out
}
