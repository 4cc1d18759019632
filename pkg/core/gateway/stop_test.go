package gateway

import (
	"testing"
	"time"
)

// Guards against requests that a stopping daemon sends to a leaf, or keeps waiting for one,
// though it ends before an answer can be expected, and against refusals of requests that
// can still be answered or that may run already.
func TestRequestsThatOutlastAStopAreRefused(t *testing.T) {
	const untilEnd = 5 * time.Second
	stop := func(endsIn time.Duration) *harness {
		h := newHarness(t)
		order := plainRoute("/order/", "x")
		order.Idempotent = false
		h.configure(1, nil, order)
		h.listLeafs(1, "x")
		h.step(StopRequested{EndsIn: endsIn})
		return h
	}
	h := stop(untilEnd)
	target := h.s.config.Routes[0].LatencyTarget
	h.advance(untilEnd - target - time.Millisecond)
	early, short := h.request("/order/", 2*time.Second), h.request("/order/", target/2)
	h.holdCalls = true
	unsent := h.request("/order/", 2*time.Second)
	if len(h.sent) != 3 {
		t.Fatalf("%d attempts before the last moment, want 3", len(h.sent))
	}
	h.advance(2 * time.Millisecond)
	if r, ok := h.answers[unsent].(Refuse); !ok || r.Reason != RefusalStopping || !r.Reason.NotRun() || r.RetryAfter <= 0 {
		t.Errorf("a request that was not sent: %+v, want a refusal as not run", h.answers[unsent])
	}
	if h.answers[early] != nil || h.answers[short] != nil {
		t.Errorf("requests that may run: %+v, %+v, want no answer yet", h.answers[early], h.answers[short])
	}
	h.holdCalls = false
	late := h.request("/order/", 2*time.Second)
	if r, ok := h.answers[late].(Refuse); !ok || r.Reason != RefusalStopping || len(h.calls(late)) > 0 {
		t.Errorf("a request that arrives late: %+v, want a refusal as not run", h.answers[late])
	}
	if q := h.request("/order/", target/4); len(h.calls(q)) != 1 {
		t.Errorf("a request whose deadline comes before the end of the stop is not sent: %+v", h.answers[q])
	}
	h.advance(target)
	h.step(StopEnding{})
	if q := h.request("/order/", target/4); h.answers[q] == nil || len(h.calls(q)) > 0 {
		t.Errorf("a request after the last answers: %+v, want a refusal", h.answers[q])
	}
	h = stop(0)
	h.advance(untilEnd)
	if q := h.request("/order/", 2*time.Second); len(h.calls(q)) != 1 {
		t.Errorf("a stop of unknown length: %+v, want an attempt", h.answers[q])
	}
}
