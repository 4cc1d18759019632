package edge

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
)

// Sources of what a follower knows: calls to the store, and the view of a daemon.
var (
	sourceOldList = gateway.ViewSource{Call: "list that may be old"}
	sourceList    = gateway.ViewSource{Call: "list"}
	sourceWatch   = gateway.ViewSource{Call: "watch"}
	// sourceRetained is what this daemon itself knew before the store came back from a copy.
	sourceRetained = gateway.ViewSource{Call: "retained"}
)

func sourceView(daemon string) gateway.ViewSource {
	return gateway.ViewSource{Call: "view", Daemon: daemon}
}

// isStore reports whether a source is a call to the store.
func isStore(source gateway.ViewSource) bool { return source.Daemon == "" }

const (
	// maxWatchWait bounds the wait of a watch; the store counts each watch as a call.
	maxWatchWait = 12 * time.Second
	// refreshWait is the wait of a watch that is started because another daemon knows
	// of a change.
	refreshWait = 300 * time.Millisecond
	// readWait is the wait of a watch that reads what the store holds now.
	readWait = time.Millisecond
	// watchGrace is how long after the wait of a watch its answer may still arrive.
	watchGrace = 700 * time.Millisecond
	// callTimeout is how long a call to the store other than a watch may take before it
	// counts as failed and is tried again.
	callTimeout = 2 * time.Second
	// lateCallTimeout is how long such a call may take until its answer is no longer used.
	lateCallTimeout = 10 * time.Second
	// leafWatchPause is the pause between watches of leafs: their changes come in
	// bursts, and the next watch then returns several in one answer.
	leafWatchPause = 300 * time.Millisecond
	// initialBackoff and maxBackoff bound the backoff after failed calls; the pause is
	// 0.5 to 1.5 times the backoff.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond
	// confirmDelay is how long a daemon that does not watch the store waits for another
	// daemon's view to confirm what it listed at its start before it calls the store itself.
	// A random part of up to confirmSpread is added.
	confirmDelay  = 2400 * time.Millisecond
	confirmSpread = 800 * time.Millisecond
	// confirmPause is the mean pause after a failed call of a daemon that calls the store
	// only to confirm what it listed at its start.
	confirmPause = 2 * time.Second
	// unknownWait is waited, unless something changes, if nothing is to be done.
	unknownWait = time.Hour
	// outageGracePeriod is how long after a failed call entries that are missing from
	// the store may still come back.
	outageGracePeriod = 2500 * time.Millisecond
)

// Follower keeps a view of the store and posts its changes as events.
type Follower struct {
	store   Store
	decoder Decoder
	post    func(gateway.Event)
	// onInvalid, turn and lag are described in FollowerConfig.
	onInvalid func(kind Kind, name string, err error)
	turn      func() gateway.WatchTurn
	lag       func() time.Duration
	reads     readLog

	// applying is held while a change is recorded and posted, so that events arrive in
	// the order of the changes. It is taken before mu, never after it.
	applying sync.Mutex

	mu          sync.Mutex
	view        map[Kind]KindState
	lastFailure time.Time
	// relistDue are the kinds that are to be listed again because the store dropped their
	// history. Their states stay in use until then.
	relistDue map[Kind]bool
	// failing means that the last call to the store failed. wakeup is closed and
	// replaced to wake the loops in awaitSyncNeeded.
	failing  bool
	watching bool
	wakeup   chan struct{}
	// cancelWatch holds the cancel functions of the running watches; refreshDue has the waits
	// of the next watches that are to be short.
	cancelWatch map[Kind]context.CancelFunc
	refreshDue  map[Kind]time.Duration
	// readPending means that all kinds are to be read once the configuration was.
	readPending bool
	// unconfirmed are the kinds whose state comes from a list that may be old, until a
	// call to the store, of this daemon or of one whose view was fetched since, has
	// confirmed it or brought what is newer. Daemons that do not watch the store do not
	// call it for that before confirmAfter.
	unconfirmed  map[Kind]bool
	confirmAfter time.Time
	// era is the latest known era of the store, from its answers or other daemons.
	era uint64
	// retained are objects that prevail over what the store shows since it came back from
	// a copy, or over what a later copy may show.
	retained map[Kind]map[string]Retained
	// daemonsListed is closed once the daemons were listed.
	daemonsListed chan struct{}
	// registerRequests asks KeepRegistered to write the daemon's entry again.
	registerRequests chan struct{}
}

// FollowerConfig holds the parameters of a Follower.
type FollowerConfig struct {
	Store   Store
	Decoder Decoder
	Post    func(gateway.Event)
	// OnInvalid is called for objects that cannot be decoded, for panics while a kind
	// is followed, and for daemons whose entry could not be removed.
	OnInvalid func(kind Kind, name string, err error)
	// Turn returns this daemon's turn among those that watch the store.
	Turn func() gateway.WatchTurn
	// Kinds are those that are followed; nil means Kinds.
	Kinds []Kind
	// Lag returns the longest time for which bytes that are read now may have waited in
	// this daemon; nil if that is not measured.
	Lag func() time.Duration
}

// NewFollower returns a Follower that knows no kind yet.
func NewFollower(c FollowerConfig) *Follower {
	if c.Lag == nil {
		c.Lag = func() time.Duration { return 0 }
	}
	return &Follower{
		store: c.Store, decoder: panicSafeDecoder{c.Decoder}, post: c.Post, onInvalid: c.OnInvalid, turn: c.Turn, lag: c.Lag, reads: newReadLog(c.Kinds),
		view: map[Kind]KindState{}, relistDue: map[Kind]bool{}, wakeup: make(chan struct{}), cancelWatch: map[Kind]context.CancelFunc{}, refreshDue: map[Kind]time.Duration{}, unconfirmed: map[Kind]bool{}, retained: map[Kind]map[string]Retained{},
		daemonsListed: make(chan struct{}), registerRequests: make(chan struct{}, 1),
	}
}

// Follow keeps one kind up to date until ctx ends: by watching the store if this daemon
// is to watch it, otherwise from the views of other daemons.
func (f *Follower) Follow(ctx context.Context, kind Kind) error {
	if err := catchPanic(func() error { return f.listAtStart(ctx, kind) }); err != nil {
		f.reportFailure(kind, err)
	}
	f.observeEra(f.store.Era(), true)
	backoff := initialBackoff
	for f.awaitSyncNeeded(ctx, kind) {
		err := catchPanic(func() error { return f.syncOnce(ctx, kind) })
		f.observeEra(f.store.Era(), true)
		switch {
		case ctx.Err() != nil:
		case err == nil:
			backoff = initialBackoff
			if kind == KindServers {
				sleep(ctx, leafWatchPause)
			}
		case errors.Is(err, ErrHistoryGone):
			f.requestRelist(kind)
		default:
			f.reportFailure(kind, err)
			if kind != KindConfig {
				f.retryConfigNow()
			}
			sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
		}
	}
	return ctx.Err()
}

// listAtStart lists a kind when the daemon starts. The list may be seconds old, which
// is cheap for the store while many daemons of a fleet start. The lists of leafs,
// evacuations and roll-outs are confirmed afterwards, by a short watch or by the view of a daemon that
// has done that: revisions of other daemons do not show that a list lacks a deletion,
// since a list does not say what was deleted before it.
func (f *Follower) listAtStart(ctx context.Context, kind Kind) error {
	if kind == KindServers || kind == KindEvacuations || kind == KindRollouts {
		f.requestConfirmation(kind)
	}
	return f.listKind(ctx, kind, true)
}

// reportFailure reports the error of a list or watch. A panic is a fault of this daemon
// and does not count as a failed call to the store.
func (f *Follower) reportFailure(kind Kind, err error) {
	if errors.Is(err, ErrPanic) {
		f.onInvalid(kind, "", err)
		return
	}
	f.recordStoreCall(kind, err)
}

// syncOnce lists the kind if it is not known, otherwise waits for its next changes.
func (f *Follower) syncOnce(ctx context.Context, kind Kind) error {
	// turn takes the reducer's lock. It must not be called while f.mu is held: effects
	// take f.mu while the reducer's lock is held.
	turn := f.turn()
	era := f.store.Era()
	f.mu.Lock()
	known, ok := f.view[kind]
	ok = ok && !f.relistDue[kind] && known.Era >= era
	wait := f.watchWait(kind, turn)
	if !ok {
		f.mu.Unlock()
		return f.listKind(ctx, kind, false)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	f.cancelWatch[kind] = cancel
	f.mu.Unlock()
	defer cancel()
	changes, at, err := f.store.Watch(ctx, kind, known.position(), wait)
	if err != nil {
		if f.isRefreshDue(kind) {
			return nil
		}
		return err
	}
	if at.Era < known.Era {
		return fmt.Errorf("%w: watch %s: answered in era %d, %d is known", ErrStore, kind, at.Era, known.Era)
	}
	answered := time.Now().Add(-f.lag())
	f.recordStoreCall(kind, nil)
	if at.Era > known.Era {
		return nil
	}
	f.applyChanges(kind, changes, at, sourceWatch, f.afterOutage())
	f.confirm(kind)
	f.recordRead(kind, answered, at.Era)
	return nil
}

func (f *Follower) listKind(ctx context.Context, kind Kind, mayBeStale bool) error {
	return callStore(ctx, func(ctx context.Context) error {
		sent := time.Now()
		objects, at, err := f.store.List(ctx, kind, mayBeStale)
		if err != nil {
			return err
		}
		f.recordStoreCall(kind, nil)
		source := sourceList
		if mayBeStale {
			source = sourceOldList
		}
		f.replaceState(kind, newKindState(objects, at), source, f.afterOutage())
		if !mayBeStale && at.Era == f.store.Era() {
			f.confirm(kind)
			f.recordRead(kind, sent, at.Era)
		}
		return nil
	})
}

// callStore makes a call to the store and uses its answer. It returns after callTimeout, so
// that the call is tried again: it may have been sent on a connection that is dead. The call
// itself goes on until lateCallTimeout, since a store that answers no call within callTimeout
// would otherwise never be heard.
func callStore(ctx context.Context, call func(ctx context.Context) error) error {
	ended := make(chan error, 1)
	callCtx, cancel := context.WithTimeout(ctx, lateCallTimeout)
	go func() {
		defer cancel()
		ended <- catchPanic(func() error { return call(callCtx) })
	}()
	timeout := time.NewTimer(callTimeout)
	defer timeout.Stop()
	select {
	case err := <-ended:
		return err
	case <-timeout.C:
		return fmt.Errorf("%w: no answer within %v", ErrStore, callTimeout)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// requestRelist makes the next syncOnce list the kind, because the store no longer has
// its changes.
func (f *Follower) requestRelist(kind Kind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relistDue[kind] = true
}

// objectsOf maps kinds to what the reducer tells apart.
var objectsOf = map[Kind]gateway.StoreObjects{KindConfig: gateway.ConfigObjects, KindServers: gateway.ServerObjects}

// recordStoreCall records and posts whether a call to the store about a kind worked.
// Invariant: the reducer is told of each change from working to failing and back.
func (f *Follower) recordStoreCall(kind Kind, err error) {
	ok := err == nil
	f.mu.Lock()
	if !ok {
		f.lastFailure = time.Now()
		f.confirmAfter = f.lastFailure.Add(confirmPause/2 + rand.N(confirmPause))
	}
	recovered := ok && f.failing
	read := f.readPending && kind == KindConfig
	if read {
		f.readPending = false
	}
	if f.failing == ok {
		f.failing = !ok
		f.wakeLoops()
	}
	f.mu.Unlock()
	if ok && (read || recovered) {
		f.interruptWatches(readWait, f.reads.others(kind)...)
	}
	if recovered && kind != KindDaemons {
		// A watch that began while the store gave no answer gets none any more.
		f.interruptWatches(readWait, KindDaemons)
	}
	event := gateway.StoreReached{OK: ok, Objects: objectsOf[kind]}
	if err != nil {
		event.Cause = err.Error()
	}
	f.post(event)
}

// afterOutage reports whether a call to the store failed within the last
// outageGracePeriod.
func (f *Follower) afterOutage() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.lastFailure.IsZero() && time.Since(f.lastFailure) < outageGracePeriod
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
