package gateway

import (
	"testing"
	"time"
)

// Guards against leafs that are given more time than the caller has left: the time that
// a request waits unread, for its body, in a queue or for a connection counts against
// the caller's timeout.
func TestLeafTimeExcludesTimeAlreadySpent(t *testing.T) {
	const wait, unread, body, connect = time.Second, 200 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond
	h := newHarness(t)
	h.configure(1, nil, shardedRoute("/a/", 0.5, "x", "y"))
	h.listLeafs(1, "x", "y")
	h.holdCalls = true
	at := h.now
	h.advance(body)
	h.lastQuery++
	h.step(RequestArrived{At: at, MaxUnread: unread, Query: h.lastQuery, RequestID: "q", Host: "h", Path: "/a/", CallerTimeout: wait})
	h.advance(connect)
	left := h.s.BeginCall(h.now, h.sent[0].Call)
	if limit := wait - unread - body - connect; left <= 0 || left > limit {
		t.Errorf("a leaf gets %v, the caller has %v left", left, limit)
	}
	h.advance(wait)
	if left := h.s.BeginCall(h.now, h.sent[1].Call); left > 0 {
		t.Errorf("a leaf gets %v after the deadline", left)
	}
}

// Guards against a leaf that gets a request which is already answered, and against a
// leaf that counts as slow although nothing was sent to it.
func TestNothingSentAfterAnswer(t *testing.T) {
	h := newHarness(t)
	h.configure(1, nil, shardedRoute("/a/", 0.5, "x", "y"))
	h.listLeafs(1, "x", "y")
	h.holdCalls = true
	q := h.request("/a/", 2*time.Second)
	calls := h.calls(q)
	if h.s.BeginCall(h.now, calls[0].Call) <= 0 {
		t.Fatal("the first attempt may not be sent")
	}
	h.finishCall(calls[0], OutcomeSucceeded)
	h.advance(250 * time.Millisecond)
	if _, ok := h.answers[q].(MergeAnswer); !ok {
		t.Fatalf("final answer %+v, want a merged one", h.answers[q])
	}
	if h.s.BeginCall(h.now, calls[1].Call) > 0 {
		t.Error("the second attempt may be sent after the answer")
	}
	h.advance(2 * time.Second)
	h.finishCall(calls[1], OutcomeCancelled)
	if relativeLatency := h.s.servers[calls[1].Server].relativeLatency; relativeLatency > 1 {
		t.Errorf("relative latency %v of a leaf to which nothing was sent", relativeLatency)
	}
}

// Guards against a request that waited too long to be served and is still sent to all
// its leafs. It is refused at once as not run.
func TestRequestWithoutTimeLeftIsNotSent(t *testing.T) {
	h := newHarness(t)
	h.configure(1, nil, shardedRoute("/a/", 0.5, "x", "y"))
	h.listLeafs(1, "x", "y")
	h.lastQuery++
	h.step(RequestArrived{At: h.now, MaxUnread: 490 * time.Millisecond, Query: h.lastQuery, RequestID: "q", Host: "h", Path: "/a/", CallerTimeout: 500 * time.Millisecond})
	got, ok := h.answers[h.lastQuery].(Refuse)
	if !ok || got.Reason != RefusalTooLate || !got.Reason.NotRun() || got.RetryAfter <= 0 || len(h.sent) > 0 {
		t.Errorf("final answer %+v after %d attempts, want a refusal as too late without any", h.answers[h.lastQuery], len(h.sent))
	}
}

// Guards against open requests that get no answer because the process ends. One that
// may run at a leaf must not be refused as not run; one that was not sent must be.
func TestShutdownEndAnswersAllRequests(t *testing.T) {
	h := newHarness(t)
	order := plainRoute("/order/", "x")
	order.Idempotent = false
	h.configure(1, nil, shardedRoute("/all/", 0.5, "x", "y"), order)
	h.listLeafs(1, "x", "y")
	h.step(StopRequested{})
	partial := h.request("/all/", 5*time.Second)
	h.finishCall(h.calls(partial)[0], OutcomeSucceeded)
	running := h.request("/order/", 5*time.Second)
	h.holdCalls = true
	waiting := h.request("/order/", 5*time.Second)
	h.step(StopEnding{})
	if m, ok := h.answers[partial].(MergeAnswer); !ok || m.Missing != 1 {
		t.Errorf("a query with half of its shards: %+v", h.answers[partial])
	}
	if r, ok := h.answers[running].(Refuse); !ok || r.Reason.NotRun() {
		t.Errorf("a request that may run: %+v", h.answers[running])
	}
	if r, ok := h.answers[waiting].(Refuse); !ok || !r.Reason.NotRun() {
		t.Errorf("a request that was not sent: %+v", h.answers[waiting])
	}
	if n := h.s.OpenQueries(); n != 0 {
		t.Errorf("%d requests without an answer", n)
	}
}
