package gateway

import (
	"testing"
	"time"
)

// partialAt sends a query of which one shard never answers, and returns when the
// partial answer was given, after its arrival.
func (w *world) partialAt(wait time.Duration) time.Duration {
	w.t.Helper()
	begin := w.now
	q := w.request("/a/", wait)
	for len(w.calls(q)) > 1 {
		w.done(w.calls(q)[0], OutcomeSucceeded)
	}
	w.pass(wait)
	if _, ok := w.final[q].(MergeAnswer); !ok {
		w.t.Fatalf("final %+v", w.final[q])
	}
	for _, c := range w.calls(q) {
		w.done(c, OutcomeCancelled)
	}
	return w.finalAt[q].Sub(begin)
}

func newScatterWorld(t *testing.T) *world {
	w := newWorld(t)
	w.configure(1, nil, scatter("/a/", 0.5, names("s", 4)...))
	w.leafs(1, names("s", 4)...)
	return w
}

// Guards against partial answers that reach their callers just after the latency
// target, because these looked an address up and connected first.
func TestAnswerTimeOfCallersThatSpentTime(t *testing.T) {
	const target, wait, trip, lookup = 200 * time.Millisecond, 800 * time.Millisecond, 7 * time.Millisecond, 15 * time.Millisecond
	w := newScatterWorld(t)
	if got := w.partialAt(wait); got > target-assumedMargin+time.Millisecond {
		t.Errorf("first answer after %v", got)
	}
	for i := range 40 {
		w.partialAt(wait - trip)
		w.partialAt(wait - lookup)
		if i%2 == 0 {
			w.partialAt(wait)
		}
	}
	for _, spent := range []time.Duration{lookup, trip, 0} {
		got := w.partialAt(wait - spent)
		if latest := target - spent - trip - 2*time.Millisecond; got > latest {
			t.Errorf("spent %v before: answered after %v, want %v at most", spent, got, latest)
		}
		if earliest := target - spent - maxMargin; got < earliest {
			t.Errorf("spent %v before: answered after %v, want %v at least", spent, got, earliest)
		}
	}
}

// Guards against answers that come early because a few callers wait longer than
// the others, and because callers repeat requests with the time that is left.
func TestAnswerTimeOfOtherWaits(t *testing.T) {
	const target, wait = 200 * time.Millisecond, 800 * time.Millisecond
	w := newScatterWorld(t)
	for i := range 300 {
		w.partialAt(wait)
		if i%10 == 0 {
			w.partialAt(2 * wait)
			w.partialAt(wait - 300*time.Millisecond)
		}
	}
	for _, x := range []time.Duration{wait, 2 * wait, wait - 300*time.Millisecond} {
		if got := w.partialAt(x); got < target-maxMargin || got > target {
			t.Errorf("a caller that waits %v is answered after %v", x, got)
		}
	}
}
