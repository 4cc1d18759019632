package edge

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	// lagInterval is the time between two bytes that a LagProbe sends to itself.
	lagInterval = 100 * time.Millisecond
	// lagIdleTimeout is the time without a call of Lag after which a LagProbe sends
	// nothing.
	lagIdleTimeout = time.Second
	// lagHoldTime is how long after a late byte Lag reports its delay: other bytes that
	// are read in that time may have waited as long.
	lagHoldTime = 100 * time.Millisecond
	// minLag is the lag below which Lag reports 0.
	minLag = 20 * time.Millisecond
	// maxUnreadLagBytes bounds the bytes that are sent and not read yet.
	maxUnreadLagBytes = 64
)

// LagProbe measures how long bytes wait in this process before they are read: at
// intervals it sends itself a byte through a pipe, which the Go runtime polls like the
// connections of callers. A daemon that is short of processor time reads requests late
// and cannot see from them how long they have waited. A probe whose Lag was not called
// for lagIdleTimeout sends nothing.
type LagProbe struct {
	in, out *os.File
	now     func() time.Time

	mu sync.Mutex
	// sentAt are the send times of the bytes that were not read yet, the oldest first.
	sentAt []time.Time
	// nextSend is when the next byte is to be sent, zero while none is sent; lastCall
	// is when Lag was last called.
	nextSend time.Time
	lastCall time.Time
	timer    *time.Timer
	// lastLag is the delay of a byte that was read, or sent, late at lastLagAt.
	lastLag   time.Duration
	lastLagAt time.Time
}

// NewLagProbe returns a probe that measures while Run runs.
func NewLagProbe() (*LagProbe, error) {
	in, out, err := os.Pipe()
	if err != nil {
		return nil, fmt.Errorf("edge: lag probe: %w", err)
	}
	return &LagProbe{in: in, out: out, now: time.Now}, nil
}

// Run reads the probe's bytes until Close.
func (p *LagProbe) Run() error {
	buffer := make([]byte, maxUnreadLagBytes)
	for {
		n, err := p.in.Read(buffer)
		if err != nil {
			return fmt.Errorf("edge: lag probe: %w", err)
		}
		p.recordRead(n)
	}
}

// Close ends Run.
func (p *LagProbe) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.timer != nil {
		p.timer.Stop()
	}
	return errors.Join(p.out.Close(), p.in.Close())
}

// sendScheduled sends a byte and schedules the next one, unless Lag was not called for
// lagIdleTimeout.
func (p *LagProbe) sendScheduled() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if !p.nextSend.IsZero() {
		p.recordDelay(now, now.Sub(p.nextSend))
	}
	if now.Sub(p.lastCall) > lagIdleTimeout {
		p.nextSend = time.Time{}
		return
	}
	p.sendByte(now)
}

// sendByte sends a byte, unless too many are unread, and schedules the next one. The
// caller holds the lock.
func (p *LagProbe) sendByte(now time.Time) {
	p.nextSend = now.Add(lagInterval)
	if p.timer == nil {
		p.timer = time.AfterFunc(lagInterval, p.sendScheduled)
	} else {
		p.timer.Reset(lagInterval)
	}
	if len(p.sentAt) >= maxUnreadLagBytes {
		return
	}
	// The pipe does not block with at most maxUnreadLagBytes unread; an error means
	// that the probe was closed.
	if _, err := p.out.Write([]byte{0}); err == nil {
		p.sentAt = append(p.sentAt, now)
	}
}

// recordRead records that n bytes were read.
func (p *LagProbe) recordRead(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n = min(n, len(p.sentAt))
	if n == 0 {
		return
	}
	now := p.now()
	p.recordDelay(now, now.Sub(p.sentAt[0]))
	p.sentAt = append(p.sentAt[:0], p.sentAt[n:]...)
}

// recordDelay records that the process did something late, which Lag reports for lagHoldTime
// unless it reports a longer delay. The caller holds the lock.
func (p *LagProbe) recordDelay(now time.Time, delay time.Duration) {
	if delay >= p.lastLag || now.Sub(p.lastLagAt) >= lagHoldTime {
		p.lastLag, p.lastLagAt = delay, now
	}
}

// Lag returns the longest time for which bytes that are read now may have waited, 0 if
// that is below minLag or the probe has just started. It counts a timer that fired late: the
// bytes that came while the process did not run are read after it.
func (p *LagProbe) Lag() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.lastCall = now
	lag := time.Duration(0)
	if now.Sub(p.lastLagAt) < lagHoldTime {
		lag = p.lastLag
	}
	if p.nextSend.IsZero() {
		p.sendByte(now)
	} else {
		lag = max(lag, now.Sub(p.nextSend))
	}
	if len(p.sentAt) > 0 {
		lag = max(lag, now.Sub(p.sentAt[0]))
	}
	if lag < minLag {
		return 0
	}
	return lag
}
