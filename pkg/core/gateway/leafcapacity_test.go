package gateway

import (
	"testing"
	"time"
)

// finishWithLoad ends an attempt with an answer that reports a load.
func (h *harness) finishWithLoad(c SendCall, load Load) {
	h.t.Helper()
	delete(h.unfinished, c.Call)
	h.step(CallDone{Call: c.Call, Outcome: OutcomeSucceeded, Load: load, HasLoad: true})
}

// serve sends n requests one after the other; each leaf takes the time that took returns and
// reports the slowdown. It returns how many requests each leaf got.
func (h *harness) serve(n int, took func(leaf string) (time.Duration, float64)) map[string]int {
	h.t.Helper()
	got := map[string]int{}
	for range n {
		q := h.request("/r/", time.Second)
		for _, c := range h.calls(q) {
			got[c.Server]++
			d, slowdown := took(c.Server)
			h.advance(d)
			if _, open := h.unfinished[c.Call]; open {
				h.finishWithLoad(c, Load{Slots: 4, Slowdown: slowdown})
			}
		}
		h.advance(10 * time.Millisecond)
	}
	return got
}

func capacityHarness(t *testing.T) *harness {
	h := newHarness(t)
	route := plainRoute("/r/", "s")
	route.MaxAttempts = 1
	h.configure(1, map[string]ServiceConfig{"s": {MaxConnections: 100}}, route)
	h.listLeafs(3, "s")
	return h
}

// Guards against changes for services whose leafs do not report the speed of their VM.
func TestNothingIsLearnedWithoutFourthFigure(t *testing.T) {
	h := capacityHarness(t)
	h.serve(100, func(leaf string) (time.Duration, float64) { return 20 * time.Millisecond, 0 })
	for _, l := range h.s.Leafs("s") {
		if l.Learned != nil {
			t.Errorf("%s: learned %+v", l.ID, l.Learned)
		}
	}
	if s := h.s.Status(); s.LearnedLeafs != 0 || len(h.s.LeafCapacities()) != 0 {
		t.Errorf("status %+v", s)
	}
}

// Guards against a leaf that gets as much work as the others although it reports that its VM is
// slow, and against one that gets none after it has recovered.
func TestReportedSlowdownMovesWork(t *testing.T) {
	h := capacityHarness(t)
	usual := func(string) (time.Duration, float64) { return 20 * time.Millisecond, 1 }
	h.serve(100, usual)
	const slow = "s-0"
	got := h.serve(60, func(leaf string) (time.Duration, float64) {
		if leaf == slow {
			return 80 * time.Millisecond, 4
		}
		return usual(leaf)
	})
	if got[slow] > 10 {
		t.Errorf("%d of 60 requests at a leaf that is four times slower: %v", got[slow], got)
	}
	h.advance(5 * time.Second)
	if got := h.serve(120, usual); got[slow] < 15 {
		t.Errorf("%d of 120 requests at a leaf that has recovered: %v", got[slow], got)
	}
}

// Guards against daemons that all send to the same leaf because all know that it is the
// fastest: a request for each of eight daemons at one moment must not use one leaf only.
func TestDaemonsDoNotAllChooseTheFastestLeaf(t *testing.T) {
	chosen := map[string]int{}
	for seed := range uint64(8) {
		h := newHarnessWith(t, Options{})
		h.s.rand.Uint64()
		for range seed {
			h.s.rand.Uint64()
		}
		route := plainRoute("/r/", "s")
		h.configure(1, map[string]ServiceConfig{"s": {MaxConnections: 100}}, route)
		h.listLeafs(3, "s")
		h.serve(100, func(leaf string) (time.Duration, float64) {
			if leaf == "s-0" {
				return 17 * time.Millisecond, 1
			}
			return 20 * time.Millisecond, 1
		})
		for range 4 {
			for _, c := range h.calls(h.request("/r/", time.Second)) {
				chosen[c.Server]++
			}
		}
	}
	for leaf, n := range chosen {
		if n > 24 {
			t.Errorf("%d of 32 requests at %s", n, leaf)
		}
	}
}

// Guards against a daemon that starts and learns anew what the others know, and against
// knowledge of another daemon that is taken for its own.
func TestStartsFromWhatAnotherDaemonHasLearned(t *testing.T) {
	other := capacityHarness(t)
	other.serve(200, func(leaf string) (time.Duration, float64) {
		if leaf == "s-0" {
			return 40 * time.Millisecond, 1
		}
		return 20 * time.Millisecond, 1
	})
	known := other.s.LeafCapacities()
	if len(known) == 0 {
		t.Fatal("nothing was learned")
	}
	h := capacityHarness(t)
	h.step(ViewFetched{Fetch: FetchView{Daemon: "d2"}, OK: true, Capacities: []LeafCapacity{{Leaf: "s-0", Limit: 3, BaseLatency: 2}}})
	h.step(GossipReceived{Daemons: []DaemonEntry{{Name: "d2", Incarnation: 1, Counter: 1, PeerAddress: "d2:70"}}})
	h.step(ViewFetched{Fetch: FetchView{Daemon: "d2"}, OK: true, Capacities: []LeafCapacity{{Leaf: "s-0", Limit: 3, BaseLatency: 2}}})
	got := h.serve(6, func(string) (time.Duration, float64) { return 20 * time.Millisecond, 1 })
	for _, l := range h.s.Leafs("s") {
		if l.ID == "s-0" && l.Learned != nil && l.Learned.BaseLatency < 1.2 {
			t.Errorf("%+v after %v", l.Learned, got)
		}
	}
	if list := h.s.LeafCapacities(); len(list) != 1 || list[0].BaseLatency != 2 {
		t.Errorf("handed on %+v, want what was heard", list)
	}
	if h.countLogs(LogCapacityStart) != 1 {
		t.Error("no log line")
	}
}
