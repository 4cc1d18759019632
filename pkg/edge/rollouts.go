package edge

import (
	"context"
	"errors"
	"fmt"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/rollout"
)

func (f *Follower) decodeRollouts(objects map[string]Object) gateway.RolloutsListed {
	e := gateway.RolloutsListed{Invalid: map[string]string{}}
	for name, o := range objects {
		order, err := f.decoder.Rollout(o)
		if err != nil {
			f.onInvalid(KindRollouts, name, err)
			e.Invalid[name] = err.Error()
			continue
		}
		e.Orders = append(e.Orders, order)
	}
	return e
}

// errVerdictKnown means that an order that was read back has a verdict or has changed.
var errVerdictKnown = errors.New("edge: the order has a verdict or has changed")

// WriteVerdict writes the verdict on an order in the background and posts
// gateway.VerdictWritten.
func (f *Follower) WriteVerdict(e gateway.WriteVerdict) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		done := gateway.VerdictWritten{Write: e}
		err := catchPanic(func() error { return f.writeVerdict(ctx, e) })
		f.observeEra(f.store.Era(), true)
		switch {
		case err == nil:
		case errors.Is(err, ErrConflict), errors.Is(err, errVerdictKnown):
			done.Outcome = rollout.Conflict
		default:
			done.Outcome, done.Cause = rollout.Failed, err.Error()
		}
		f.post(done)
	}()
}

func (f *Follower) writeVerdict(ctx context.Context, e gateway.WriteVerdict) error {
	at := Position{Era: e.Era, Revision: e.Revision}
	if e.ReadBack {
		order, err := f.readOrder(ctx, e.Service)
		if err != nil {
			return err
		}
		if order.ID() != e.Order || order.Verdict != rollout.Undecided {
			return errVerdictKnown
		}
		at = Position{Era: order.Era, Revision: order.Revision}
	}
	if known := f.latestEra(); at.Era < known {
		return fmt.Errorf("%w: verdict on %s: read in era %d, now %d: not sent", ErrEraChanged, e.Service, at.Era, known)
	}
	return f.store.WriteVerdict(ctx, e.Service, at, e.Target, e.Verdict)
}

// readOrder lists the orders, posts them if they are newer than the known ones, and returns
// that of a service.
func (f *Follower) readOrder(ctx context.Context, service string) (gateway.RolloutOrder, error) {
	objects, at, err := f.store.List(ctx, KindRollouts, false)
	if err != nil {
		return gateway.RolloutOrder{}, err
	}
	f.replaceState(KindRollouts, newKindState(objects, at), sourceList, f.afterOutage())
	for _, o := range objects {
		if o.Name == service {
			return f.decoder.Rollout(o)
		}
	}
	return gateway.RolloutOrder{}, fmt.Errorf("%w: no order of %s", errVerdictKnown, service)
}
