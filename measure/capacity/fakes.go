package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/backend"
	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/objectapi"
	"github.com/pistachiousher/pistachiousher/pkg/runtime"
)

// errUnused means that a measured loop made a call that no measurement needs.
var errUnused = errors.New("capacity: call is not part of the measurement")

// worldPeers answers the calls of a loop in place of the other daemons of its
// world, so that only what the loop receives costs CPU time.
type worldPeers struct {
	world *world
	start time.Time
}

func (p *worldPeers) Execute(context.Context, effect.OpenExecute, model.Header, time.Duration, func(model.Header, model.SubResult)) error {
	return errUnused
}

func (p *worldPeers) Cancel(context.Context, effect.SendCancel, model.Header) error { return errUnused }

func (p *worldPeers) Heartbeat(_ context.Context, e effect.SendHeartbeat) (event.HeartbeatAnswered, error) {
	for _, ref := range p.world.epoch.Panel {
		if ref.VM == e.Peer {
			return event.HeartbeatAnswered{
				ForEpoch: e.ForEpoch, Header: p.world.header(ref), Result: model.LeaseGranted, Uptime: time.Since(p.start),
			}, nil
		}
	}
	return event.HeartbeatAnswered{}, errUnused
}

func (p *worldPeers) Exchange(context.Context, effect.SendExchange) (event.ExchangeAnswered, error) {
	return event.ExchangeAnswered{}, errUnused
}

func (p *worldPeers) Handover(context.Context, effect.SendHandover) (bool, error) {
	return false, errUnused
}

func (p *worldPeers) FetchDocument(context.Context, effect.FetchDocument, model.Header) (uint64, []byte, error) {
	return 0, nil, errUnused
}

func (p *worldPeers) Forward(context.Context, effect.ForwardQuery, model.Header, time.Duration) (*model.Answer, *model.Refusal, error) {
	return nil, nil, errUnused
}

// worldBackends answers status reads at once.
type worldBackends struct{ world *world }

func (b *worldBackends) Search(context.Context, string, model.MemberRef, *model.SubRequest, time.Time) backend.Reply {
	return backend.Reply{Result: model.SubResult{Outcome: model.OutcomeUnreachable}, Err: errUnused}
}

func (b *worldBackends) Status(_ context.Context, server model.ServerName, _ string) (backend.Status, error) {
	return backend.Status{Server: server}, nil
}

func (b *worldBackends) Warm(model.ServerName, string, int) {}

// worldPlatform holds the world's documents, which never change.
type worldPlatform struct{ world *world }

func (p *worldPlatform) Get(_ context.Context, key string) (objectapi.Object, error) {
	switch key {
	case runtime.BundleKey:
		return objectapi.Object{Key: key, Version: 1, Value: []byte("bundle")}, nil
	case runtime.EpochKey(regionName):
		raw, err := json.Marshal(p.world.epoch)
		return objectapi.Object{Key: key, Version: 1, Value: raw}, err
	}
	return objectapi.Object{}, objectapi.ErrNotFound
}

// Put accepts the confirmation of the bundle and nothing else.
func (p *worldPlatform) Put(_ context.Context, key string, _ []byte, ifVersion uint64) (uint64, error) {
	if key == runtime.BundleKey {
		return ifVersion + 1, nil
	}
	return 0, errUnused
}

func (p *worldPlatform) ReadBack(context.Context, string, []byte, uint64) (uint64, error) {
	return 0, errUnused
}

func (p *worldPlatform) Watch(ctx context.Context, key string, after uint64, _ time.Duration) (objectapi.Object, bool, error) {
	if after == 0 {
		o, err := p.Get(ctx, key)
		if err == nil {
			return o, true, nil
		}
	}
	<-ctx.Done()
	return objectapi.Object{}, false, ctx.Err()
}

func (p *worldPlatform) VMs(context.Context) ([]model.VMEntry, error) { return p.world.vms(), nil }

// decode returns the world's bundle for the placeholder that Get gives.
func (w *world) decode(kind event.DocumentKind, raw []byte) (event.Document, error) {
	if kind != event.DocumentBundle {
		return event.Document{}, fmt.Errorf("%w: %s", errUnused, kind)
	}
	return event.Document{Kind: kind, Version: w.bundle.Version, Bundle: w.bundle, Raw: raw}, nil
}
