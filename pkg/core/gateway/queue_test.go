package gateway

import (
	"testing"
	"time"
)

// busyLeafs sets up a route over one shard with leafs x-0 and x-1 of four slots, on which
// an attempt takes 20 ms without load. x-1 is as much slower as slow says.
func busyLeafs(t *testing.T, slow float64) *harness {
	h := newHarness(t)
	h.configure(1, nil, shardedRoute("/a/", 1, "x"))
	h.listLeafs(2, "x")
	h.s.route(h.s.config.Routes[0]).unloadedTime = float64(20 * time.Millisecond)
	h.s.servers["x-1"].relativeLatency, h.s.servers["x-1"].relativeLatencyAt = slow, h.now
	return h
}

// fullLoad is a reported load of a leaf of four slots that still counts as full when half
// of it is forgotten.
const fullLoad = 2 * maxLoadPerSlot * 4

// report makes leafs report a load of other daemons.
func (h *harness) report(load float64, leafs ...string) {
	for _, id := range leafs {
		h.s.servers[id].othersLoad, h.s.servers[id].othersLoadAt = load, h.now
	}
}

// queued returns the number of parts that wait in the daemon.
func (h *harness) queued() int { return h.s.Status().Queued }

// Guards against long queues at leafs, in which urgent requests wait behind those that
// are late already.
func TestFullLeafsGetNoMore(t *testing.T) {
	h := busyLeafs(t, 1)
	h.report(fullLoad, "x-0", "x-1")
	q := h.request("/a/", 2*time.Second)
	if len(h.calls(q)) != 0 || h.queued() != 1 {
		t.Fatalf("%d attempts at full leafs, %d queued", len(h.calls(q)), h.queued())
	}
	h.report(0, "x-0")
	h.advance(2 * queueScanInterval)
	if len(h.calls(q)) != 1 {
		t.Error("not sent although a leaf has capacity")
	}
}

// Guards against requests that are sent to a slow leaf, where they are late for certain,
// while a fast one with some load would answer in time; and against slow leafs that stay
// idle while requests are late anyway.
func TestSlowLeafOnlyForLateRequests(t *testing.T) {
	h := busyLeafs(t, 12)
	h.report(fullLoad, "x-0")
	q := h.request("/a/", 2*time.Second)
	if n := len(h.calls(q)); n != 0 {
		t.Fatalf("%d attempts, want the part to wait for x-0", n)
	}
	for range 8 {
		h.advance(25 * time.Millisecond)
		h.report(fullLoad, "x-0")
	}
	if calls := h.calls(q); len(calls) != 1 || calls[0].Server != "x-1" {
		t.Errorf("attempts %v of a late request, want one at x-1", calls)
	}
}

// Guards against overload in which all requests are late: those that can be in time go
// first, and late ones get free slots only.
func TestTimelyRequestsGoFirst(t *testing.T) {
	h := busyLeafs(t, 1)
	h.report(fullLoad, "x-0", "x-1")
	old := h.request("/a/", 2*time.Second)
	for range 8 {
		h.advance(25 * time.Millisecond)
		h.report(fullLoad, "x-0", "x-1")
	}
	fresh := h.request("/a/", 2*time.Second)
	h.report(fullLoad, "x-1")
	h.report(4, "x-0")
	h.advance(1)
	if len(h.calls(fresh)) != 1 || len(h.calls(old)) != 0 {
		t.Fatalf("%d attempts of the new request, %d of the late one; want 1 and 0", len(h.calls(fresh)), len(h.calls(old)))
	}
	h.report(2, "x-0")
	h.advance(2 * queueScanInterval)
	if len(h.calls(old)) != 1 {
		t.Error("the late request gets no free slot")
	}
}

// Guards against requests that are each answered at some shards and complete at none:
// queues of all shards order requests alike, and late ones that lack least go first.
func TestQueueOrderIsTheSameAtAllShards(t *testing.T) {
	h := newHarness(t)
	h.configure(1, nil, shardedRoute("/a/", 1, "x", "y"))
	h.listLeafs(1, "x", "y")
	h.s.route(h.s.config.Routes[0]).unloadedTime = float64(time.Millisecond)
	h.report(fullLoad, "x-0", "y-0")
	for range 6 {
		h.request("/a/", 2*time.Second)
	}
	order := func(service string) []QueryID {
		svc := h.s.services[service]
		h.s.sortQueue(svc)
		var ids []QueryID
		for _, queued := range svc.queue {
			ids = append(ids, queued.query.id)
		}
		return ids
	}
	x, y := order("x"), order("y")
	for i := range x {
		if x[i] != y[i] {
			t.Fatalf("x orders %v, y orders %v", x, y)
		}
	}
	for range 10 {
		h.advance(25 * time.Millisecond)
		h.report(fullLoad, "x-0", "y-0")
	}
	last := h.s.queries[x[5]]
	last.answeredParts = 1
	if got := order("x"); got[0] != last.id {
		t.Errorf("late requests in the order %v, want %d first, which lacks one part", got, last.id)
	}
}

// Guards against routes without a latency target whose requests count as late on their
// arrival.
func TestNoTargetIsNeverLate(t *testing.T) {
	h := busyLeafs(t, 1)
	r := plainRoute("/p/", "x")
	r.LatencyTarget = 0
	h.configure(2, nil, r)
	h.report(fullLoad, "x-0", "x-1")
	q := h.request("/p/", 2*time.Second)
	h.advance(queueScanInterval)
	h.report(5, "x-0")
	h.advance(2 * queueScanInterval)
	if len(h.calls(q)) != 1 {
		t.Error("not sent to a leaf without free slots")
	}
}
