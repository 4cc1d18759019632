package objectapi

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Bounds of the random pause after failed calls. Its upper limit doubles with
// each failure.
const (
	// minBackoff is the upper limit of the first pause.
	minBackoff = 50 * time.Millisecond
	// maxBackoff is long enough to keep a daemon's share of the load after an
	// outage small, and short enough to find the platform again within seconds.
	maxBackoff = 5 * time.Second
)

// backoff is one pause shared by all calls of a client, so that the many
// pending calls of a daemon don't each retry on their own after an outage.
type backoff struct {
	mu       sync.Mutex
	failures int
	until    time.Time
}

// recordFailure starts a pause, longer after each failure in a row. Failures
// that are recorded while the pause lasts do not lengthen it.
func (b *backoff) recordFailure(now time.Time) {
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

// recordSuccess ends the pause and resets its length.
func (b *backoff) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = 0
	b.until = time.Time{}
}

// remaining returns how long the pause still lasts; 0 or less if it has ended.
func (b *backoff) remaining(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.until.Sub(now)
}

// wait returns at the end of the pause or with the context's error.
func (b *backoff) wait(ctx context.Context) error {
	for {
		d := b.remaining(time.Now())
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
