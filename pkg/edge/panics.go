package edge

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
)

// ErrPanic is wrapped by errors that report a recovered panic.
var ErrPanic = errors.New("edge: panic")

// catchPanic runs f and turns a panic into an error that wraps ErrPanic, so that a
// fault in the handling of one event, message or answer does not end the process. f
// must release its locks by defer. http.ErrAbortHandler is passed on.
func catchPanic(f func() error) (err error) {
	defer func() {
		switch v := recover(); v {
		case nil:
		case http.ErrAbortHandler:
			panic(v)
		default:
			err = fmt.Errorf("%w: %v\n%s", ErrPanic, v, debug.Stack())
		}
	}()
	return f()
}

// applyEvent applies an event to the reducer and carries out its effects. After a panic
// it carries out the effects that were emitted before, since the reducer's state
// reflects them already. The caller holds the lock.
func (r *Runtime) applyEvent(e gateway.Event) {
	var effects []gateway.Effect
	now := r.now()
	err := catchPanic(func() error {
		effects = r.core.Step(now, e)
		return nil
	})
	if err != nil {
		r.onPanic(fmt.Sprintf("event %T", e), err)
		effects = r.core.EffectsSoFar()
	}
	for _, effect := range effects {
		err := catchPanic(func() error {
			r.carryOut(effect)
			return nil
		})
		if err != nil {
			r.onPanic(fmt.Sprintf("effect %T", effect), err)
		}
	}
	if arrived, ok := e.(gateway.RequestArrived); ok && err != nil {
		r.refuseAfterPanic(arrived.Query)
	}
}

// refuseAfterPanic answers a request whose arrival made the reducer panic. The reason
// is RefusalFailed because the request may have been sent to a leaf.
func (r *Runtime) refuseAfterPanic(id gateway.QueryID) {
	if _, ok := r.pending[id]; !ok {
		return
	}
	r.sendReply(id, func(*pendingRequest) reply {
		return reply{refuse: &gateway.Refuse{Query: id, Reason: gateway.RefusalFailed}}
	})
	r.applyEvent(gateway.CallerGone{Query: id})
}

// panicSafeDecoder turns a panic while an object is decoded into an error for that
// object.
type panicSafeDecoder struct{ Decoder }

// HideKeys implements Decoder.
func (d panicSafeDecoder) HideKeys(value json.RawMessage, fromStore bool) (out json.RawMessage, err error) {
	err = catchPanic(func() (err error) {
		out, err = d.Decoder.HideKeys(value, fromStore)
		return err
	})
	return out, err
}

// Config implements Decoder.
func (d panicSafeDecoder) Config(value json.RawMessage) (c *gateway.Config, err error) {
	err = catchPanic(func() (err error) {
		c, err = d.Decoder.Config(value)
		return err
	})
	return c, err
}

// Rollout implements Decoder.
func (d panicSafeDecoder) Rollout(o Object) (order gateway.RolloutOrder, err error) {
	err = catchPanic(func() (err error) {
		order, err = d.Decoder.Rollout(o)
		return err
	})
	return order, err
}

// Server implements Decoder.
func (d panicSafeDecoder) Server(name string, value json.RawMessage) (s gateway.Server, err error) {
	err = catchPanic(func() (err error) {
		s, err = d.Decoder.Server(name, value)
		return err
	})
	return s, err
}
