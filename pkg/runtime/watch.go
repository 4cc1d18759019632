package runtime

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/objectapi"
)

const (
	// watchPoll is the duration of one long poll; a pending poll counts as one
	// platform call.
	watchPoll = 30 * time.Second
	// watchSlack is how long after the end of a poll its reply may still arrive.
	watchSlack = 5 * time.Second
	// watchRetryPause is the upper bound of the pause after a failed poll or a
	// missing object. The platform client also backs off by itself.
	watchRetryPause = 500 * time.Millisecond
)

// watchDocument starts or stops the watch of a document. A second start while
// one runs does nothing.
func (l *Loop) watchDocument(e effect.WatchDocument) {
	if e.Stop {
		l.watches.cancel(e.Kind)
		l.watches.remove(e.Kind)
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	if !l.watches.add(e.Kind, cancel) {
		cancel()
		return
	}
	w := &watch{loop: l, kind: e.Kind}
	l.startTask(func(context.Context) {
		defer cancel()
		w.run(ctx)
	})
}

// watch polls one platform object for changes.
type watch struct {
	loop    *Loop
	kind    event.DocumentKind
	version uint64
	failing bool
	missing bool
}

func (w *watch) run(ctx context.Context) {
	for ctx.Err() == nil {
		if w.poll(ctx) {
			continue
		}
		sleepContext(ctx, watchRetryPause/2+rand.N(watchRetryPause/2))
	}
}

// poll makes one long poll and reports whether the next may follow at once.
func (w *watch) poll(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, watchPoll+watchSlack)
	defer cancel()
	o, changed, err := w.loop.cfg.Platform.Watch(call, w.loop.objectKey(w.kind), w.version, watchPoll)
	switch {
	case ctx.Err() != nil:
		return false
	case errors.Is(err, objectapi.ErrNotFound):
		w.reportRecovery()
		w.reportMissing(err)
		return false
	case err != nil:
		w.reportFailure(err)
		return false
	}
	w.reportRecovery()
	w.missing = false
	if changed {
		w.version = o.Version
		w.loop.postDocument(w.kind, "", o.Value, o.Version)
	}
	return true
}

// reportMissing tells the core that the object does not exist, once until it
// exists again.
func (w *watch) reportMissing(err error) {
	if !w.missing {
		w.loop.postDocumentFailed(w.kind, err)
	}
	w.missing = true
	w.version = 0
}

// reportFailure logs and tells the core that polls fail, once until the platform
// answers again.
func (w *watch) reportFailure(err error) {
	if w.failing {
		return
	}
	w.failing = true
	w.loop.log(logevent.PlatformUnavailable, logevent.Str("kind", w.kind.String()), logevent.Str("error", err.Error()))
	w.loop.postDocumentFailed(w.kind, err)
}

// reportRecovery logs that polls work again after failures.
func (w *watch) reportRecovery() {
	if !w.failing {
		return
	}
	w.failing = false
	w.loop.log(logevent.PlatformAvailable, logevent.Str("kind", w.kind.String()))
}

// sleepContext waits for d or until ctx ends.
func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
