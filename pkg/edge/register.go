package edge

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
)

// KeepRegistered writes the daemon's own entry, and again after each RegisterAgain,
// until ctx ends. It calls onRegistered each time the entry is in the store.
func (f *Follower) KeepRegistered(ctx context.Context, entry gateway.DaemonEntry, onRegistered func()) error {
	known := f.isListed(ctx, entry)
	for {
		created := false
		if !known {
			var err error
			if created, err = f.registerWithRetries(ctx, entry); err != nil {
				return err
			}
		}
		known = false
		f.post(gateway.Registered{First: created})
		onRegistered()
		select {
		case <-f.registerRequests:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// daemonListTimeout is how long a starting daemon waits for the first list of daemons
// before it writes its entry without having seen that list.
const daemonListTimeout = 300 * time.Millisecond

// isListed reports whether the first list of daemons has exactly this entry. After most
// starts it has, and each call to the store has a price. If that list was too old and
// the entry is gone, the next list leads to RegisterAgain.
func (f *Follower) isListed(ctx context.Context, entry gateway.DaemonEntry) bool {
	select {
	case <-f.daemonsListed:
	case <-time.After(daemonListTimeout):
		return false
	case <-ctx.Done():
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var known gateway.DaemonEntry
	o, ok := f.view[KindDaemons].Objects[entry.Name]
	return ok && json.Unmarshal(o.Value, &known) == nil && known == entry
}

// RegisterAgain makes KeepRegistered write the entry again.
func (f *Follower) RegisterAgain() {
	select {
	case f.registerRequests <- struct{}{}:
	default:
		// It is about to be written.
	}
}

// registerWithRetries writes the entry until that succeeds or ctx ends. It reports whether
// there was no entry of the daemon before.
func (f *Follower) registerWithRetries(ctx context.Context, entry gateway.DaemonEntry) (created bool, err error) {
	backoff := initialBackoff
	// registered receives the result of the first call that succeeds, also of a late one.
	registered := make(chan bool, 1)
	for ctx.Err() == nil {
		err := callStore(ctx, func(ctx context.Context) error {
			created, err := f.register(ctx, entry)
			if err == nil {
				select {
				case registered <- created:
				default:
				}
			}
			return err
		})
		f.observeEra(f.store.Era(), true)
		if err == nil {
			return <-registered, nil
		}
		if errors.Is(err, ErrEraChanged) {
			// The next attempt reads the entry back.
			continue
		}
		f.recordStoreCall(KindDaemons, err)
		pause := backoff/2 + rand.N(backoff)
		backoff = min(2*backoff, maxBackoff)
		select {
		case created := <-registered:
			return created, nil
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	return false, ctx.Err()
}

func (f *Follower) register(ctx context.Context, entry gateway.DaemonEntry) (created bool, err error) {
	old, err := f.store.Create(ctx, KindDaemons, entry.Name, entry)
	if !errors.Is(err, ErrConflict) {
		return err == nil, err
	}
	var known gateway.DaemonEntry
	if json.Unmarshal(old.Value, &known) == nil && known == entry {
		return false, nil
	}
	return false, f.store.Replace(ctx, KindDaemons, old, entry)
}

// RemoveDaemon deletes the entry of a daemon in the background.
func (f *Follower) RemoveDaemon(name string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		if err := catchPanic(func() error { return f.store.Remove(ctx, KindDaemons, name) }); err != nil {
			f.onInvalid(KindDaemons, name, err)
		}
	}()
}
