// Package runtime drives the core reducer: one goroutine feeds it events and
// carries out its effects against callers, peers, backend servers and the
// platform. All clocks, random numbers and I/O of a daemon's control logic are
// here.
package runtime

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/logwriter"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Core is the reducer. The loop calls it from one goroutine.
type Core interface {
	// Step handles an event and returns the effects to carry out. The slice is
	// valid until the next call.
	Step(event.Event) []effect.Effect
	// NextWake returns the time at which the next Tick is due, or model.Never.
	NextWake() model.Time
	// Header returns the header of outgoing messages.
	Header() model.Header
}

// StatusSource is implemented by cores that describe their state for readiness
// checks and metrics.
type StatusSource interface {
	Status(now model.Time) model.DaemonStatus
}

// Recorder records steps. It is called from the loop's goroutine.
type Recorder interface {
	Record(event.Event, []effect.Effect)
}

const (
	// DefaultQueue is the default capacity of the event queue. At 3 µs per
	// event a full queue delays an event by about 12 ms.
	DefaultQueue = 4096
	// callerQueueShare is the fraction of the queue that caller work may fill;
	// the rest is reserved for answers and control events.
	callerQueueShare = 0.75
	// statusInterval is the minimum time between two readings of the core's
	// status.
	statusInterval = 100 * time.Millisecond
)

// Config holds the settings and dependencies of a Loop. Log, Recorder and
// Observer may be nil.
type Config struct {
	Core     Core
	Peers    Peers
	Backends Backends
	Platform Platform
	// Decode checks and decodes a bundle or controls document. Epochs are
	// decoded by the loop.
	Decode func(kind event.DocumentKind, raw []byte) (event.Document, error)
	// Region determines the key of the epoch object.
	Region   string
	Log      *logwriter.Writer
	Recorder Recorder
	Observer Observer
	// Queue is the capacity of the event queue; 0 means DefaultQueue.
	Queue int
}

// Loop runs a Core. It implements peer.Handler and api.Frontend.
type Loop struct {
	cfg              Config
	core             Core
	clock            clock
	events           chan event.Body
	callerQueueLimit int
	// Alive sends on probes; Run receives from it between events.
	probes          chan struct{}
	header          atomic.Pointer[model.Header]
	status          atomic.Pointer[model.DaemonStatus]
	nextStatusAt    model.Time
	pending         pending
	outgoingStreams cancelFuncs[event.StreamID]
	backendCalls    cancelFuncs[backendCallKey]
	watches         cancelFuncs[event.DocumentKind]
	incomingStreams incomingStreams
	// ctx is canceled when the loop ends, which stops all tasks.
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	exit   *effect.Exit
}

// New returns a loop that has not started.
func New(cfg Config) *Loop {
	if cfg.Queue <= 0 {
		cfg.Queue = DefaultQueue
	}
	if cfg.Observer == nil {
		cfg.Observer = noObserver{}
	}
	l := &Loop{
		cfg:              cfg,
		core:             cfg.Core,
		clock:            clock{start: time.Now()},
		events:           make(chan event.Body, cfg.Queue),
		probes:           make(chan struct{}),
		callerQueueLimit: max(1, int(float64(cfg.Queue)*callerQueueShare)),
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.publishState()
	return l
}

// Run feeds events to the core until it emits effect.Exit or ctx ends. It waits
// for all tasks to end and returns the reason for the exit.
func (l *Loop) Run(ctx context.Context) (reason string, err error) {
	defer l.tasks.Wait()
	defer l.cancel()
	wake := newWakeTimer(l.clock)
	defer wake.stop()
	l.step(event.Started{})
	for l.exit == nil {
		wake.set(l.core.NextWake())
		select {
		case <-ctx.Done():
			return "", ctx.Err()
		case body := <-l.events:
			l.step(body)
		case <-l.probes:
		case <-wake.timer.C:
			wake.fired()
			l.step(event.Tick{})
		}
	}
	l.log(logevent.RuntimeExit, logevent.Str("reason", l.exit.Reason))
	return l.exit.Reason, nil
}

// Stop asks the core for a graceful shutdown.
func (l *Loop) Stop(reason string) { l.post(event.StopRequested{Reason: reason}) }

// Header returns the header of outgoing messages.
func (l *Loop) Header() model.Header { return *l.header.Load() }

// Status returns the status that the core last published and the number of
// queued events.
func (l *Loop) Status() (model.DaemonStatus, int) { return *l.status.Load(), len(l.events) }

// Alive reports whether the loop handles a probe before ctx ends.
func (l *Loop) Alive(ctx context.Context) bool {
	select {
	case l.probes <- struct{}{}:
		return true
	case <-l.ctx.Done():
	case <-ctx.Done():
	}
	return false
}

// step runs one event through the core. The clock is read when the event is
// handled, so that the core's times never go backwards.
func (l *Loop) step(body event.Body) {
	start := time.Now()
	e := event.Event{Body: body}
	e.Now, e.Wall = l.clock.readBoth()
	e.Rand = rand.Uint64()
	effects := l.core.Step(e)
	took := time.Since(start)
	if l.cfg.Recorder != nil {
		l.cfg.Recorder.Record(e, effects)
	}
	l.publishState()
	l.cfg.Observer.Step(body, took, len(l.events))
	for _, eff := range effects {
		l.perform(eff)
	}
}

// publishState makes the core's header and status readable by other goroutines.
// The status is renewed at most once per statusInterval.
func (l *Loop) publishState() {
	h := l.core.Header()
	if old := l.header.Load(); old == nil || *old != h {
		l.header.Store(&h)
	}
	now := l.clock.now()
	if now < l.nextStatusAt {
		return
	}
	l.nextStatusAt = now.Add(statusInterval)
	var s model.DaemonStatus
	if source, ok := l.core.(StatusSource); ok {
		s = source.Status(now)
	}
	l.status.Store(&s)
}

// post queues a control event and waits until the queue has room. It must not
// be called from the loop's goroutine. It returns false when the loop has ended.
func (l *Loop) post(body event.Body) bool {
	select {
	case l.events <- body:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// tryPost queues new caller work without waiting. It returns false if the queue
// has no room for caller work or the loop has ended.
func (l *Loop) tryPost(body event.Body) bool {
	if len(l.events) >= l.callerQueueLimit || l.ctx.Err() != nil {
		return false
	}
	select {
	case l.events <- body:
		return true
	default:
		return false
	}
}

// startTask runs f in a goroutine. The context of f is canceled when the loop
// ends, and Run waits until f returns.
func (l *Loop) startTask(f func(context.Context)) {
	l.tasks.Go(func() { f(l.ctx) })
}

func (l *Loop) log(id logevent.ID, fields ...logevent.Field) {
	if l.cfg.Log != nil {
		l.cfg.Log.Write(id, fields)
	}
}

// wakeTimer is the timer for Tick. It is reset only when the time changes.
type wakeTimer struct {
	clock clock
	timer *time.Timer
	at    model.Time
}

func newWakeTimer(c clock) *wakeTimer {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return &wakeTimer{clock: c, timer: t, at: model.Never}
}

// set arms the timer for at.
func (w *wakeTimer) set(at model.Time) {
	if at == w.at {
		return
	}
	w.at = at
	if at == model.Never {
		w.timer.Stop()
		return
	}
	w.timer.Reset(max(0, at.Sub(w.clock.now())))
}

// fired records that the timer is no longer armed.
func (w *wakeTimer) fired() { w.at = model.Never }

func (w *wakeTimer) stop() { w.timer.Stop() }
