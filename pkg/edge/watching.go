package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
)

// awaitSyncNeeded waits until the store is to be queried for the kind. It reports false
// when ctx has ended.
func (f *Follower) awaitSyncNeeded(ctx context.Context, kind Kind) bool {
	for ctx.Err() == nil {
		f.mu.Lock()
		wait := f.untilSync(kind)
		wakeup := f.wakeup
		f.mu.Unlock()
		if wait <= 0 {
			return true
		}
		recheck := time.NewTimer(wait)
		select {
		case <-wakeup:
		case <-recheck.C:
		case <-ctx.Done():
		}
		recheck.Stop()
	}
	return false
}

// untilSync returns the time until the store is to be queried for the kind, as far as is
// known. While calls fail, only the configuration is queried, to find out when the store
// works again. The caller holds the lock.
func (f *Follower) untilSync(kind Kind) time.Duration {
	unconfirmed := f.unconfirmed[kind]
	if f.failing {
		if kind != KindConfig {
			return unknownWait
		}
		unconfirmed = len(f.unconfirmed) > 0
	}
	switch {
	case f.watching || f.isShort(kind):
		return 0
	case unconfirmed:
		return time.Until(f.confirmAfter)
	}
	return unknownWait
}

// retryConfigNow interrupts the watch of the configuration: after a failure the loops
// of the other kinds wait until a call for the configuration works.
func (f *Follower) retryConfigNow() { f.interruptWatches(refreshWait, KindConfig) }

// interruptWatches ends the watches of kinds, which are then started again with a short
// wait.
func (f *Follower) interruptWatches(wait time.Duration, kinds ...Kind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, kind := range kinds {
		f.refreshDue[kind] = wait
		if cancel, ok := f.cancelWatch[kind]; ok {
			cancel()
		}
	}
	f.wakeLoops()
}

// wakeLoops makes the loops in awaitSyncNeeded check their condition again. The caller
// holds the lock.
func (f *Follower) wakeLoops() {
	close(f.wakeup)
	f.wakeup = make(chan struct{})
}

// SetWatching makes this daemon watch the store, or leave that to other daemons.
func (f *Follower) SetWatching(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if on && !f.watching {
		// The others rely on this daemon once it has read all kinds.
		for _, kind := range f.reads.kinds {
			f.refreshDue[kind] = readWait
		}
	}
	f.watching = on
	f.wakeLoops()
}

// requestConfirmation makes awaitSyncNeeded ask for a watch of the kind, later also if
// this daemon is not to watch the store. The loop of the configuration is woken because
// it tries again after failures on behalf of such kinds.
func (f *Follower) requestConfirmation(kind Kind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unconfirmed[kind] = true
	f.confirmAfter = time.Now().Add(confirmDelay + rand.N(confirmSpread))
	f.wakeLoops()
}

// confirm records that the state of a kind is as new as a call to the store that ended
// after this daemon's start.
func (f *Follower) confirm(kind Kind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.unconfirmed, kind)
}

// watchWait returns how long to wait for changes of a kind. The caller holds the lock.
func (f *Follower) watchWait(kind Kind, turn gateway.WatchTurn) time.Duration {
	if wait, ok := f.refreshDue[kind]; ok {
		delete(f.refreshDue, kind)
		return wait
	}
	if f.unconfirmed[kind] {
		return refreshWait
	}
	if kind == KindDaemons {
		return maxWatchWait
	}
	return untilTurn(time.Now(), turn)
}

func (f *Follower) isRefreshDue(kind Kind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isShort(kind)
}

// isShort reports whether the next watch of a kind is to be short. The caller holds the lock.
func (f *Follower) isShort(kind Kind) bool {
	_, short := f.refreshDue[kind]
	return short
}

// Refresh queries the store again because another daemon knows of a change that this
// daemon's watches did not deliver.
func (f *Follower) Refresh() {
	f.interruptWatches(refreshWait, KindConfig, KindServers, KindEvacuations, KindRollouts)
}
