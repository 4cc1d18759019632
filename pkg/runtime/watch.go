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
	// call of the platform.
	watchPoll = 30 * time.Second
	// watchSlack is how long a reply may take after the poll time.
	watchSlack = 5 * time.Second
	// watchPause is the upper bound of the pause after a failed poll or a
	// missing object. The platform client backs off by itself as well.
	watchPause = 500 * time.Millisecond
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
	l.start(func(context.Context) {
		defer cancel()
		w.run(ctx)
	})
}

// watch follows one platform object.
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
		pause(ctx, watchPause/2+rand.N(watchPause/2))
	}
}

// poll makes one long poll and returns whether the next may follow at once.
func (w *watch) poll(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, watchPoll+watchSlack)
	defer cancel()
	o, changed, err := w.loop.cfg.Platform.Watch(call, w.loop.key(w.kind), w.version, watchPoll)
	switch {
	case ctx.Err() != nil:
		return false
	case errors.Is(err, objectapi.ErrNotFound):
		w.works()
		w.reportMissing(err)
		return false
	case err != nil:
		w.fails(err)
		return false
	}
	w.works()
	w.missing = false
	if changed {
		w.version = o.Version
		w.loop.postDocument(w.kind, "", o.Value, o.Version)
	}
	return true
}

// reportMissing tells the core once that there is no object.
func (w *watch) reportMissing(err error) {
	if !w.missing {
		w.loop.postMissing(w.kind, err)
	}
	w.missing = true
	w.version = 0
}

// fails tells the core and the log when polls begin to fail.
func (w *watch) fails(err error) {
	if w.failing {
		return
	}
	w.failing = true
	w.loop.log(logevent.PlatformUnavailable, logevent.Str("kind", w.kind.String()), logevent.Str("error", err.Error()))
	w.loop.postMissing(w.kind, err)
}

func (w *watch) works() {
	if !w.failing {
		return
	}
	w.failing = false
	w.loop.log(logevent.PlatformAvailable, logevent.Str("kind", w.kind.String()))
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
