package logwriter

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
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

// failingWriter fails while broken is set.
type failingWriter struct {
	broken atomic.Bool
	mu     sync.Mutex
	text   strings.Builder
}

// Write implements io.Writer.
func (w *failingWriter) Write(p []byte) (int, error) {
	if w.broken.Load() {
		return 0, errors.New("no space left on device")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func (w *failingWriter) contains(text string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Contains(w.text.String(), text)
}

// Guards against a log that stays empty for good after its output failed once, as on a full disk.
func TestLogGoesOnAfterFailedWrite(t *testing.T) {
	out := &failingWriter{}
	out.broken.Store(true)
	w := New(out, log.InfoLevel, nil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = w.Run(ctx)
	}()
	defer func() { cancel(); <-ended }()
	w.Write(logevent.EdgeStarted, []logevent.Field{logevent.Str("vm", "while-broken")})
	for begin := time.Now(); w.Dropped() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Since(begin) > 5*time.Second {
			t.Fatal("the failed write is not counted")
		}
	}
	out.broken.Store(false)
	for begin := time.Now(); !out.contains("afterwards"); time.Sleep(10 * time.Millisecond) {
		if time.Since(begin) > 5*time.Second {
			t.Fatal("nothing is written after the output works again")
		}
		w.Write(logevent.EdgeStarted, []logevent.Field{logevent.Str("vm", "afterwards")})
	}
}
