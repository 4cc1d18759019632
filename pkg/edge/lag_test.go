package edge

import (
	"testing"
	"time"
)

// Guards against a daemon that does not notice how long requests wait unread. The lag
// must show a byte that is not read yet, one that was read late a moment ago, and one
// that could not be sent in time.
func TestLagProbe(t *testing.T) {
	p, err := NewLagProbe()
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	at := time.Unix(1000, 0)
	p.now = func() time.Time { return at }
	pass := func(d time.Duration) { at = at.Add(d) }
	check := func(what string, want time.Duration) {
		t.Helper()
		if got := p.Lag(); got != want {
			t.Errorf("%s: lag %v, want %v", what, got, want)
		}
	}
	check("before the first byte", 0)
	// The test calls sendScheduled in place of the timer.
	p.timer.Stop()
	p.timer = time.NewTimer(time.Hour)
	check("just begun", 0)
	pass(5 * time.Millisecond)
	check("a byte on its way", 0)
	pass(400 * time.Millisecond)
	check("a byte unread", 405*time.Millisecond)
	p.recordRead(1)
	check("just after a late byte", 405*time.Millisecond)
	p.sendScheduled()
	p.recordRead(1)
	pass(lagHoldTime)
	check("prompt again", 0)
	pass(3 * lagInterval)
	check("the next byte is overdue", 3*lagInterval)
	for range 2 * maxUnreadLagBytes {
		p.sendScheduled()
	}
	if len(p.sentAt) > maxUnreadLagBytes {
		t.Errorf("%d bytes unread", len(p.sentAt))
	}
	p.recordRead(2 * maxUnreadLagBytes)
	p.recordRead(1)
	pass(lagHoldTime)
	check("all read", 0)
	for range 2 * lagIdleTimeout / lagInterval {
		pass(lagInterval)
		p.sendScheduled()
		p.recordRead(1)
	}
	if len(p.sentAt) != 0 || !p.nextSend.IsZero() {
		t.Error("the probe goes on sending though Lag is not called")
	}
	check("after a pause", 0)
	if len(p.sentAt) != 1 {
		t.Error("the probe does not send again after a call of Lag")
	}
	p.recordRead(1)
	pass(lagInterval + 6*time.Second)
	p.sendScheduled()
	check("the timer fired late", 6*time.Second)
	p.recordRead(1)
	check("the byte that was sent late is read at once", 6*time.Second)
	pass(lagHoldTime)
	check("prompt after a late timer", 0)
}

// Guards against a probe that does not measure with its real pipe and timer, or does
// not stop after Close.
func TestLagProbeRuns(t *testing.T) {
	p, err := NewLagProbe()
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- p.Run() }()
	p.Lag()
	time.Sleep(5 * lagInterval)
	p.mu.Lock()
	read := !p.lastLagAt.IsZero() && len(p.sentAt) <= 1
	p.mu.Unlock()
	if !read {
		t.Error("no byte was read")
	}
	if err := p.Close(); err != nil {
		t.Error(err)
	}
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("Run did not return within 1 s of Close")
	}
}
