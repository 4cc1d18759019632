package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Guards against a large fleet in which each leaf has too many connections, or in which
// callers are sent to small VMs or to a single failure domain.
func TestActiveDaemonsBySizeAndDomain(t *testing.T) {
	for _, count := range []int{6, 30, 90, 560} {
		h := newLargeFleet(t, count)
		got := h.s.Directory("h", "")
		if want := min(count, minActiveDaemons); len(got) != want {
			t.Errorf("%d daemons: %d are named, want %d", count, len(got), want)
		}
		domains := map[string]int{}
		for _, e := range h.s.active(nil) {
			domains[e.FailureDomain]++
			if count > 30 && e.Cores < 0.4 {
				t.Errorf("%d daemons: a VM of %v cores is active", count, e.Cores)
			}
		}
		if count >= 30 && (len(domains) != 3 || domains["a"] < domains["c"]) {
			t.Errorf("%d daemons: active by failure domain %v", count, domains)
		}
		all := 0.0
		for _, e := range h.s.readyDaemons() {
			all += h.s.quotaShareOf(e.Name, h.s.active(nil))
		}
		if all > 1.001 || all < 0.999 {
			t.Errorf("%d daemons: their shares sum up to %v, want 1", count, all)
		}
	}
}

// Guards against a number of active daemons that does not grow with the load.
func TestActiveDaemonsFollowLoad(t *testing.T) {
	h := newLargeFleet(t, 90)
	for _, d := range h.s.daemons {
		d.CallsPerSecond = 400
	}
	got := h.s.active(nil)
	cores := 0.0
	for _, e := range got {
		cores += e.Cores
	}
	if cores*targetCallsPerCore < 400*89 || len(got) == 90 {
		t.Errorf("%d active daemons with %v cores for %d calls a second", len(got), cores, 400*89)
	}
}

// Guards against a daemon that hears no other one and takes over the quotas of all.
func TestQuotaShareOfIsolatedDaemon(t *testing.T) {
	h := newLargeFleet(t, 90)
	h.advance(2 * inactiveSilence)
	if got := h.s.quotaShare(); got > activeQuotaShare/minActiveDaemons {
		t.Errorf("share %v of a daemon that hears no other one", got)
	}
}

// activeAndNext returns the daemons that callers are sent to and those next in line.
func activeAndNext(h *harness) []DaemonEntry {
	chosen, spare := h.s.activeAndSpare(nil)
	return append(chosen, spare...)
}

// Guards against a large fleet in which callers are sent to a daemon that is gone, or
// in which the active daemons change because other daemons are heard of rarely.
func TestActiveDaemonsStayUntilSilent(t *testing.T) {
	h := newLargeFleet(t, 300)
	before := h.s.Directory("h", "")
	counter := uint64(3)
	for range 12 {
		// Only the active daemons and those next in line are heard often, since gossip
		// sends their entries first.
		var entries []DaemonEntry
		for _, e := range activeAndNext(h) {
			e.Counter = counter
			entries = append(entries, e)
		}
		h.step(GossipReceived{Daemons: entries})
		counter++
		h.advance(500 * time.Millisecond)
	}
	if got := h.s.Directory("h", ""); !slices.Equal(got, before) {
		t.Errorf("active daemons changed from %v to %v", before, got)
	}
	gone := h.s.active(nil)[3]
	if gone.Name == h.s.opt.Self.Name {
		gone = h.s.active(nil)[4]
	}
	for range 8 {
		var entries []DaemonEntry
		for _, e := range activeAndNext(h) {
			if e.Name != gone.Name {
				e.Counter = counter
				entries = append(entries, e)
			}
		}
		h.step(GossipReceived{Daemons: entries})
		counter++
		h.advance(500 * time.Millisecond)
	}
	// It must be gone 3 s after contact is lost; Options.MaxSilence is 0.4 of that.
	if got := h.s.Directory("h", ""); contains(got, gone.CallerAddress) || len(got) < minActiveDaemons {
		t.Errorf("4 s after %s fell silent callers are sent to %v", gone.Name, got)
	}
}

// Guards against callers that are sent to small VMs which cannot handle as many
// requests as the large ones: callers use all addresses equally often.
func TestActiveDaemonsPreferLargeVMs(t *testing.T) {
	const calls = 6000
	for largeVMs, want := range map[int]int{6: 6, 8: 8, 15: 8} {
		h := newHarness(t)
		var entries []DaemonEntry
		for i := range 90 {
			e := DaemonEntry{
				Name: fmt.Sprintf("e%d", i), Incarnation: 1, Counter: 1, CallerAddress: fmt.Sprintf("10.0.0.%d:80", i+2), PeerAddress: "10.0.0.2:70",
				FailureDomain: string(rune('a' + i%3)), State: DaemonReady, Cores: 0.192, CallsPerSecond: calls / 90,
			}
			if i < largeVMs {
				e.Cores = 0.8
			}
			entries = append(entries, e)
		}
		h.step(GossipReceived{Daemons: entries})
		active := h.s.active(nil)
		for _, e := range active {
			if e.Cores < 0.8 {
				t.Errorf("%d large VMs: %s with %v cores is active", largeVMs, e.Name, e.Cores)
			}
		}
		if len(active) != want {
			t.Errorf("%d large VMs: %d are active, want %d", largeVMs, len(active), want)
		}
		// All large VMs but three leave.
		h.advance(time.Second)
		sent := 0
		for i := range entries {
			entries[i].Counter++
			if i < largeVMs-3 {
				entries[i].State = DaemonLeaving
			} else {
				sent += entries[i].CallsPerSecond
			}
		}
		h.step(GossipReceived{Daemons: entries})
		active = h.s.active(nil)
		for _, e := range active {
			if got := float64(sent) / float64(len(active)) / e.Cores; got > targetCallsPerCore {
				t.Errorf("%d large VMs, three left: %v attempts a second and core at one of %d daemons", largeVMs, got, len(active))
			}
		}
	}
}

// Guards against a daemon of a large fleet that is cut off from all others and goes on to
// send requests to a version whose roll-out was stopped meanwhile.
func TestContactEndsInLargeFleet(t *testing.T) {
	// orderWithin is how long an order takes to be known at most.
	const orderWithin = 5 * time.Second
	h := newLargeFleet(t, 300)
	if !h.s.contact() {
		t.Error("no contact while others are heard")
	}
	for end := h.s.now.Add(orderWithin); h.s.now < end; {
		h.advance(100 * time.Millisecond)
		h.step(StoreReached{})
	}
	if h.s.contact() {
		t.Errorf("in contact %v after anything was heard", orderWithin)
	}
}
