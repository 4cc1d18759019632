package gateway

import (
	"testing"
	"time"
)

// Guards against callers that are told to retry before anything can have changed: a
// daemon that has just started waits for the store, and after an outage it takes some
// time until all leafs have registered again.
func TestRetryAfterCoversOutage(t *testing.T) {
	h := newHarness(t)
	retryAfter := func(path string) time.Duration {
		t.Helper()
		q := h.request(path, 2*time.Second)
		refused, ok := h.answers[q].(Refuse)
		if !ok || !refused.Reason.NotRun() || h.answeredAt[q] != h.now {
			t.Fatalf("final answer %+v, want an immediate refusal as not run", h.answers[q])
		}
		return refused.RetryAfter
	}
	if got := retryAfter("/all/"); got >= retryAfterOutage {
		t.Errorf("retry after %v before the first call to the store has ended", got)
	}
	h.step(StoreReached{OK: false, Cause: "down"})
	if got := retryAfter("/all/"); got < retryAfterOutage {
		t.Errorf("retry after %v while the store cannot be reached", got)
	}
	h.step(StoreReached{OK: true})
	services := numberedNames("s", 10)
	h.configure(1, nil, shardedRoute("/all/", 0.9, services...), plainRoute("/one/", "s9"))
	h.listLeafs(1, services[:8]...)
	h.advance(100 * time.Millisecond)
	for _, path := range []string{"/all/", "/one/"} {
		if got, want := retryAfter(path), lapsedGracePeriod-100*time.Millisecond; got < want {
			t.Errorf("%s: retry after %v, all leafs have registered again in %v", path, got, want)
		}
	}
	h.advance(lapsedGracePeriod)
	if got := retryAfter("/all/"); got < retryAfterNoServer || got > 2*retryAfterNoServer {
		t.Errorf("retry after %v long after the outage", got)
	}
	h.listLeafs(1, services...)
	q := h.request("/all/", 2*time.Second)
	if _, ok := h.answers[q]; ok {
		t.Errorf("final answer %+v though all shards have a leaf", h.answers[q])
	}
}
