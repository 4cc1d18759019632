package objectapi

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Limits of the pause after failed calls.
const (
	// minBackoff is the upper bound of the first pause.
	minBackoff = 50 * time.Millisecond
	// maxBackoff keeps a daemon's share of the load after an outage small and
	// still finds the platform again within seconds.
	maxBackoff = 5 * time.Second
)

// backoff is one pause shared by all calls of a client, so that a daemon with
// many pending calls returns after an outage as one.
type backoff struct {
	mu       sync.Mutex
	failures int
	until    time.Time
}

// failed lengthens the pause. Failures of calls that began before the pause
// ended do not lengthen it again.
func (b *backoff) failed(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(b.until) {
		return
	}
	limit := maxBackoff
	if b.failures < 16 {
		limit = min(maxBackoff, minBackoff<<b.failures)
	}
	b.failures++
	b.until = now.Add(limit/2 + rand.N(limit/2))
}

// worked ends the pause.
func (b *backoff) worked() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = 0
	b.until = time.Time{}
}

// pause returns how long to wait from now on.
func (b *backoff) pause(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.until.Sub(now)
}

// wait returns at the end of the pause or with the context's error.
func (b *backoff) wait(ctx context.Context) error {
	for {
		d := b.pause(time.Now())
		if d <= 0 {
			return ctx.Err()
		}
		timer := time.NewTimer(d)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}
