package runtime

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/objectapi"
)

// Platform calls the platform's object and VM API; *objectapi.Client implements
// it.
type Platform interface {
	Get(ctx context.Context, key string) (objectapi.Object, error)
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error)
	ReadBack(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error)
	Watch(ctx context.Context, key string, after uint64, poll time.Duration) (objectapi.Object, bool, error)
	VMs(ctx context.Context) ([]model.VMEntry, error)
}

// Keys of the platform objects that the daemon uses.
const (
	BundleKey   = "bundles/active"
	ControlsKey = "controls/active"
	epochPrefix = "epochs/"
)

// platformTimeout bounds a platform call, including the time it waits for the
// client's call budget and for the backoff after failures.
const platformTimeout = 5 * time.Second

// EpochKey returns the key of a region's epoch object.
func EpochKey(region string) string { return epochPrefix + region }

// objectKey returns the platform key of a document.
func (l *Loop) objectKey(kind event.DocumentKind) string {
	switch kind {
	case event.DocumentBundle:
		return BundleKey
	case event.DocumentControls:
		return ControlsKey
	}
	return EpochKey(l.cfg.Region)
}

// startPlatformCall runs f as a task with platformTimeout.
func (l *Loop) startPlatformCall(f func(context.Context)) {
	l.startTask(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, platformTimeout)
		defer cancel()
		f(ctx)
	})
}

func (l *Loop) readDocument(e effect.ReadDocument) {
	l.startPlatformCall(func(ctx context.Context) {
		o, err := l.cfg.Platform.Get(ctx, l.objectKey(e.Kind))
		if err != nil {
			l.postDocumentFailed(e.Kind, err)
			return
		}
		l.postDocument(e.Kind, "", o.Value, o.Version)
	})
}

// postDocumentFailed reports a document that could not be read from the
// platform.
func (l *Loop) postDocumentFailed(kind event.DocumentKind, err error) {
	l.post(event.DocumentFailed{Kind: kind, NotFound: errors.Is(err, objectapi.ErrNotFound), Err: err.Error()})
}

// postDocument decodes and checks a document from a peer or the platform and
// posts DocumentArrived, or DocumentFailed if it is invalid.
func (l *Loop) postDocument(kind event.DocumentKind, address string, raw []byte, objectVersion uint64) {
	d, err := l.decode(kind, raw)
	if err != nil {
		l.log(logevent.PlatformDocumentRejected, logevent.Str("kind", kind.String()), logevent.Str("address", address), logevent.Str("error", err.Error()))
		l.post(event.DocumentFailed{Kind: kind, Address: address, Err: err.Error()})
		return
	}
	l.post(event.DocumentArrived{Address: address, Document: d, ObjectVersion: objectVersion})
}

func (l *Loop) decode(kind event.DocumentKind, raw []byte) (event.Document, error) {
	if kind == event.DocumentEpoch {
		return decodeEpoch(l.cfg.Region, raw)
	}
	d, err := l.cfg.Decode(kind, raw)
	if err != nil {
		return event.Document{}, err
	}
	if d.Kind != kind {
		return event.Document{}, fmt.Errorf("runtime: decoded a %s instead of a %s", d.Kind, kind)
	}
	d.Raw = raw
	return d, nil
}

// errEpoch means that an epoch object has invalid contents.
var errEpoch = errors.New("runtime: invalid epoch")

func decodeEpoch(region string, raw []byte) (event.Document, error) {
	e := new(model.Epoch)
	if err := json.Unmarshal(raw, e); err != nil {
		return event.Document{}, fmt.Errorf("%w: %w", errEpoch, err)
	}
	if e.Region != region || e.Number == 0 {
		return event.Document{}, fmt.Errorf("%w: number %d of region %q, want region %q", errEpoch, e.Number, e.Region, region)
	}
	return event.Document{Kind: event.DocumentEpoch, Version: e.Number, Epoch: e, Raw: raw}, nil
}

func (l *Loop) readVMList() {
	l.startPlatformCall(func(ctx context.Context) {
		vms, err := l.cfg.Platform.VMs(ctx)
		l.post(event.VMListRead{VMs: vms, Err: errorText(err)})
	})
}

func (l *Loop) writeEpoch(e effect.WriteEpoch) {
	l.startPlatformCall(func(ctx context.Context) {
		out := event.EpochWritten{Number: e.Epoch.Number}
		value, err := json.Marshal(e.Epoch)
		if err == nil {
			out.ObjectVersion, err = l.write(ctx, l.objectKey(event.DocumentEpoch), value, e.ObjectVersion)
		}
		out.Conflict = errors.Is(err, objectapi.ErrConflict)
		out.Err = nonConflictText(err)
		l.post(out)
	})
}

func (l *Loop) confirmDocument(e effect.ConfirmDocument) {
	l.startPlatformCall(func(ctx context.Context) {
		version, err := l.write(ctx, l.objectKey(e.Kind), e.Raw, e.ObjectVersion)
		l.post(event.DocumentConfirmed{
			Kind:          e.Kind,
			ObjectVersion: version,
			Conflict:      errors.Is(err, objectapi.ErrConflict),
			Err:           nonConflictText(err),
		})
	})
}

// nonConflictText returns the message of an error, or "" for nil and for a
// conflict, which events report in a field of its own.
func nonConflictText(err error) string {
	if errors.Is(err, objectapi.ErrConflict) {
		return ""
	}
	return errorText(err)
}

// write makes a conditional write once. If the reply is lost, it reads the
// object back and compares it instead of writing again. On a conflict it returns
// the version found.
func (l *Loop) write(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	version, err := l.cfg.Platform.Put(ctx, key, value, ifVersion)
	if errors.Is(err, objectapi.ErrUnknownOutcome) {
		l.log(logevent.PlatformUnknownOutcome, logevent.Str("key", key), logevent.Str("error", err.Error()))
		version, err = l.readBack(key, value, ifVersion)
	}
	if conflict := new(objectapi.ConflictError); errors.As(err, &conflict) {
		l.log(logevent.PlatformConflict, logevent.Str("key", key), logevent.Int("want", ifVersion), logevent.Int("found", conflict.Version))
		return conflict.Version, err
	}
	return version, err
}

// readBack has a timeout of its own, since a write whose reply was lost has
// often used up the shared one.
func (l *Loop) readBack(key string, value []byte, ifVersion uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(l.ctx, platformTimeout)
	defer cancel()
	return l.cfg.Platform.ReadBack(ctx, key, value, ifVersion)
}
