package gateway

import (
	"testing"
	"time"
)

// countThrottled sends n requests to a service whose leafs answer every attempt with
// the outcome, and returns how many were refused on arrival.
func (h *harness) countThrottled(n int, o Outcome, pause time.Duration) (refused int) {
	h.t.Helper()
	for range n {
		q := h.request("/r/", time.Second)
		if r, ok := h.answers[q].(Refuse); ok && r.Reason == RefusalThrottled {
			if len(h.calls(q)) > 0 || r.RetryAfter <= 0 || !r.Reason.NotRun() {
				h.t.Fatalf("a throttled request was sent, or is not told when to retry: %+v", r)
			}
			refused++
		}
		for len(h.calls(q)) > 0 {
			h.finishCall(h.calls(q)[0], o)
		}
		h.advance(pause)
	}
	return refused
}

// Guards against leafs that are kept busy by requests that will fail: while leafs
// reject nearly all attempts, most requests must be refused on arrival, and almost none
// once leafs have had capacity again for the 4 s after which the users' rules count a
// disruption as over.
func TestThrottleUnderOverload(t *testing.T) {
	h := newHarness(t)
	h.configure(1, nil, plainRoute("/r/", "s"))
	h.listLeafs(2, "s")
	h.countThrottled(200, OutcomeNotExecuted, 5*time.Millisecond)
	if n := h.countThrottled(200, OutcomeNotExecuted, 5*time.Millisecond); n < 100 {
		t.Errorf("%d of 200 requests were refused on arrival while leafs rejected everything", n)
	}
	if h.s.Status().Throttle < 0.5 {
		t.Errorf("the status shows a throttle of %.2f", h.s.Status().Throttle)
	}
	h.countThrottled(400, OutcomeSucceeded, 10*time.Millisecond)
	if n := h.countThrottled(200, OutcomeSucceeded, 10*time.Millisecond); n > 10 {
		t.Errorf("%d of 200 requests were refused after the overload", n)
	}
}

// Guards against requests that are refused on arrival because leafs fail: unless leafs
// reject requests for lack of capacity, a failure is no sign of overload.
func TestNoThrottleOnFailures(t *testing.T) {
	for _, o := range []Outcome{OutcomeLost, OutcomeFailed, OutcomeNotSent} {
		h := newHarness(t)
		h.configure(1, nil, plainRoute("/r/", "s"))
		h.listLeafs(3, "s")
		if n := h.countThrottled(300, o, 5*time.Millisecond); n > 0 {
			t.Errorf("%v: %d of 300 requests were refused on arrival", o, n)
		}
	}
}

// Guards against a daemon with little traffic that refuses requests after a few
// failures.
func TestNoThrottleOnFewRequests(t *testing.T) {
	h := newHarness(t)
	h.configure(1, nil, plainRoute("/r/", "s"))
	h.listLeafs(2, "s")
	if n := h.countThrottled(100, OutcomeNotExecuted, 300*time.Millisecond); n > 0 {
		t.Errorf("%d of 100 requests, three a second, were refused on arrival", n)
	}
}
