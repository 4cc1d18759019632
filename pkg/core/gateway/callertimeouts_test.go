package gateway

import (
	"testing"
	"time"
)

// partialAnswerTime sends a query of which one shard never answers, and returns how
// long after the query's arrival the partial answer was given.
func (h *harness) partialAnswerTime(wait time.Duration) time.Duration {
	h.t.Helper()
	begin := h.now
	q := h.request("/a/", wait)
	for len(h.calls(q)) > 1 {
		h.finishCall(h.calls(q)[0], OutcomeSucceeded)
	}
	h.advance(wait)
	if _, ok := h.answers[q].(MergeAnswer); !ok {
		h.t.Fatalf("final answer %+v, want a partial one", h.answers[q])
	}
	for _, c := range h.calls(q) {
		h.finishCall(c, OutcomeCancelled)
	}
	return h.answeredAt[q].Sub(begin)
}

func newShardedHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.configure(1, nil, shardedRoute("/a/", 0.5, numberedNames("s", 4)...))
	h.listLeafs(1, numberedNames("s", 4)...)
	return h
}

// Guards against partial answers that reach their callers just after the latency target
// because the callers looked up an address and connected first.
func TestPartialAnswerEarlierForCallersWithTimeSpent(t *testing.T) {
	const target, wait, roundTrip, lookup = 200 * time.Millisecond, 800 * time.Millisecond, 7 * time.Millisecond, 15 * time.Millisecond
	h := newShardedHarness(t)
	if got := h.partialAnswerTime(wait); got > target-assumedMargin+time.Millisecond {
		t.Errorf("first partial answer after %v", got)
	}
	for i := range 40 {
		h.partialAnswerTime(wait - roundTrip)
		h.partialAnswerTime(wait - lookup)
		if i%2 == 0 {
			h.partialAnswerTime(wait)
		}
	}
	for _, spent := range []time.Duration{lookup, roundTrip, 0} {
		got := h.partialAnswerTime(wait - spent)
		if latest := target - spent - roundTrip - 2*time.Millisecond; got > latest {
			t.Errorf("spent %v before: answered after %v, want %v at most", spent, got, latest)
		}
		if earliest := target - spent - maxMargin; got < earliest {
			t.Errorf("spent %v before: answered after %v, want %v at least", spent, got, earliest)
		}
	}
}

// Guards against answers that are given too early because a few callers wait longer
// than the others, or repeat requests with the time that they have left.
func TestPartialAnswerUnaffectedByRareTimeouts(t *testing.T) {
	const target, wait = 200 * time.Millisecond, 800 * time.Millisecond
	h := newShardedHarness(t)
	for i := range 300 {
		h.partialAnswerTime(wait)
		if i%10 == 0 {
			h.partialAnswerTime(2 * wait)
			h.partialAnswerTime(wait - 300*time.Millisecond)
		}
	}
	for _, x := range []time.Duration{wait, 2 * wait, wait - 300*time.Millisecond} {
		if got := h.partialAnswerTime(x); got < target-maxMargin || got > target {
			t.Errorf("a caller with a timeout of %v is answered after %v", x, got)
		}
	}
}
