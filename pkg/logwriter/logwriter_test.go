package logwriter

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"

	"github.com/pistachiousher/pistachiousher/pkg/logevent"
)

// blockedWriter blocks in Write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// Guards against a stalled log output stopping the event loop.
func TestLogDropsInsteadOfBlocking(t *testing.T) {
	out := blockedWriter{make(chan struct{})}
	w := New(out, log.DebugLevel, nil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- w.Run(ctx) }()
	const lines = 3 * defaultQueueSize
	start := time.Now()
	for range lines {
		w.Write(logevent.RuntimeExit, []logevent.Field{logevent.Str("reason", "a reason long enough to fill the output buffer soon")})
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("writing %d lines took %v", lines, took)
	}
	if w.Dropped() == 0 {
		t.Error("no line was counted as dropped")
	}
	close(out.release)
	cancel()
	<-done
}

// Guards against a process that cannot end because nobody reads its output.
func TestRunEndsWithBlockedOutput(t *testing.T) {
	out := blockedWriter{make(chan struct{})}
	defer close(out.release)
	w := New(out, log.DebugLevel, nil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	w.Write(logevent.RuntimeExit, nil)
	time.Sleep(2 * flushInterval)
	cancel()
	select {
	case <-done:
	case <-time.After(drainTimeout + time.Second):
		t.Error("Run still waits for the blocked output after ctx ended")
	}
}
