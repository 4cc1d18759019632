package gateway

import (
	"testing"
	"time"
)

// Guards against a cold leaf that gets more requests per second from all daemons
// together than it can handle.
func TestColdLeafRequestRate(t *testing.T) {
	const daemons, perSecond = 4, 8.0
	var entries []DaemonEntry
	for _, name := range numberedNames("e", daemons-1) {
		entries = append(entries, DaemonEntry{Name: name, PeerAddress: "10.0.0.2:70"})
	}
	h := newHarness(t)
	h.step(DaemonsListed{Daemons: entries})
	h.configure(1, map[string]ServiceConfig{"x": {WarmUp: 3 * time.Second, WarmUpPerSecond: perSecond}}, plainRoute("/r/", "x"))
	h.step(ServersListed{Servers: []Server{{ID: "x-0", Service: "x", Slots: 4, FailureDomain: "a", WarmUpLeft: 3 * time.Second}}})
	for second := range 3 {
		before := len(h.sent)
		for range 100 {
			h.request("/r/", 200*time.Millisecond)
			for _, c := range h.unfinished {
				h.finishCall(c, OutcomeSucceeded)
			}
			h.advance(10 * time.Millisecond)
		}
		// All daemons together may send 1.5 x the rate + 5; each of them keeps to a
		// quarter.
		if got := len(h.sent) - before; float64(got) > (1.5*perSecond+5)/daemons {
			t.Errorf("%d requests in second %d from one of %d daemons", got, second, daemons)
		}
	}
	h.advance(time.Second)
	before := len(h.sent)
	for range 10 {
		q := h.request("/r/", time.Second)
		h.finishCall(h.calls(q)[0], OutcomeSucceeded)
	}
	if got := len(h.sent) - before; got != 10 {
		t.Errorf("%d of 10 requests were sent to the warm leaf", got)
	}
}

// Guards against new work at leafs that drain, are gone, or are in an evacuated failure
// domain, and against leafs that do not count as cold when their domain returns.
func TestNoWorkForLeavingLeafs(t *testing.T) {
	h := newHarness(t)
	h.configure(1, map[string]ServiceConfig{"x": {WarmUp: time.Second, WarmUpPerSecond: 1}}, plainRoute("/r/", "x"))
	h.listLeafs(3, "x")
	h.step(ServerChanged{Server: Server{ID: "x-0", Service: "x", Address: "10.1.0.1:80", FailureDomain: "a", Slots: 4, Draining: true}})
	h.step(ServerRemoved{ID: "x-2"})
	h.step(EvacuationsListed{FailureDomains: []string{"b"}})
	if q := h.request("/r/", time.Second); h.answers[q].(Refuse).Reason != RefusalOverload || len(h.sent) != 0 {
		t.Errorf("final answer %+v after %d attempts", h.answers[q], len(h.sent))
	}
	h.step(EvacuationsListed{})
	h.advance(time.Second)
	for range 5 {
		h.request("/r/", 100*time.Millisecond)
	}
	if len(h.sent) != 1 {
		t.Errorf("%d requests at once to a leaf of a domain that has just returned, which can handle 1 a second", len(h.sent))
	}
}

// Guards against leafs whose entries expired in an outage of the store and that are
// dropped too early or too late: they are used for about two seconds after its return.
func TestLapsedEntriesUsedBriefly(t *testing.T) {
	h := newHarness(t)
	h.configure(1, nil, plainRoute("/r/", "x"))
	h.listLeafs(1, "x")
	h.step(ServersListed{AfterOutage: true})
	h.advance(1500 * time.Millisecond)
	if q := h.request("/r/", time.Second); len(h.calls(q)) != 1 {
		t.Errorf("final answer %+v while the entry may come back", h.answers[q])
	}
	h.advance(1500 * time.Millisecond)
	if q := h.request("/r/", time.Second); h.answers[q].(Refuse).Reason != RefusalNoServer {
		t.Errorf("final answer %+v after the entry is gone", h.answers[q])
	}
}

// Guards against more connections to a leaf than it accepts from all daemons together.
func TestConnectionLimitIsShared(t *testing.T) {
	h := newHarness(t)
	h.step(DaemonsListed{Daemons: []DaemonEntry{{Name: "d2", PeerAddress: "10.0.0.2:70"}}})
	h.configure(1, map[string]ServiceConfig{"x": {MaxConnections: 10}}, plainRoute("/r/", "x"))
	h.listLeafs(1, "x")
	var first QueryID
	for i := range 20 {
		q := h.request("/r/", time.Second)
		if i == 0 {
			first = q
		}
	}
	if len(h.sent) > 5 {
		t.Errorf("%d attempts at once at a leaf that accepts 10 connections from 2 daemons together", len(h.sent))
	}
	before := len(h.sent)
	h.finishCall(h.calls(first)[0], OutcomeSucceeded)
	if len(h.sent) != before+1 {
		t.Error("a waiting request was not sent when a connection was free")
	}
}

// Guards against daemons without traffic whose idle connections use up all that a leaf
// accepts, so that none is left for daemons with traffic.
func TestNoIdleConnectionsBeyondTheShare(t *testing.T) {
	const daemons, limit = 195, 120
	h := newHarness(t)
	var entries []DaemonEntry
	for _, name := range numberedNames("e", daemons-1) {
		entries = append(entries, DaemonEntry{Name: name, PeerAddress: "10.0.0.2:70", CallerAddress: "10.0.0.2:80", FailureDomain: "a", Incarnation: 1, Counter: 1, State: DaemonReady, Cores: 1})
	}
	h.step(DaemonsListed{Daemons: entries})
	for i := range entries {
		entries[i].Counter++
	}
	h.step(GossipReceived{Daemons: entries})
	h.configure(1, map[string]ServiceConfig{"x": {MaxConnections: limit}}, plainRoute("/r/", "x"))
	h.listLeafs(1, "x")
	h.advance(time.Second)
	active := len(h.s.active(nil))
	h.request("/r/", time.Second)
	// All daemons except the active ones keep as many as this one.
	if kept := h.sent[0].MaxIdle; contains(h.s.Directory("h", ""), "10.0.0.1:80") || kept*(daemons-active) > limit/10 {
		t.Errorf("each of %d daemons without traffic keeps %d of %d connections", daemons-active, kept, limit)
	}
}

// Guards against requests to leafs outside the home regions of a route.
func TestOnlyHomeRegionsServeRoute(t *testing.T) {
	h := newHarness(t)
	r := plainRoute("/r/", "x")
	r.HomeRegions = []string{"south"}
	h.configure(1, nil, r)
	h.step(ServersListed{Servers: []Server{
		{ID: "x-0", Service: "x", FailureDomain: "a", Slots: 1}, {ID: "x-1", Service: "x", FailureDomain: "c", Slots: 1},
	}})
	for range 20 {
		q := h.request("/r/", time.Second)
		for _, c := range h.calls(q) {
			if c.Server != "x-1" {
				t.Fatalf("sent to %s, which is outside the home regions", c.Server)
			}
			h.finishCall(c, OutcomeSucceeded)
		}
	}
	if got := h.s.Directory("h", "north"); len(got) != 1 {
		t.Errorf("directory for a caller of this daemon's region: %v", got)
	}
	if got := h.s.Directory("h", "west"); len(got) != 0 {
		t.Errorf("directory names daemons outside the home regions: %v", got)
	}
}

// Guards against a slow or failing leaf that gets as much work as others.
func TestSlowOrFailingLeafGetsLessWork(t *testing.T) {
	for _, x := range []struct {
		name    string
		latency time.Duration
		outcome Outcome
	}{{"slow", 400 * time.Millisecond, OutcomeSucceeded}, {"failing", 5 * time.Millisecond, OutcomeFailed}} {
		h := newHarness(t)
		r := plainRoute("/r/", "x")
		r.Idempotent = false
		h.configure(1, nil, r)
		h.listLeafs(2, "x")
		badLeafCalls := 0
		for range 400 {
			q := h.request("/r/", time.Second)
			c := h.calls(q)[0]
			if c.Server == "x-0" {
				badLeafCalls++
				h.advance(x.latency)
				h.finishCall(c, x.outcome)
				continue
			}
			h.advance(20 * time.Millisecond)
			h.finishCall(c, OutcomeSucceeded)
		}
		if badLeafCalls > 400/10 {
			t.Errorf("%d of 400 requests at the %s leaf", badLeafCalls, x.name)
		}
	}
}

// Guards against a daemon that cannot reach enough leafs and holds queries until their
// deadline: while no connection may be tried it must refuse them at once and send
// nothing.
func TestRefusalWhenTooFewLeafsReachable(t *testing.T) {
	h := newHarness(t)
	h.holdCalls = true
	h.configure(1, nil, shardedRoute("/a/", 0.7, numberedNames("s", 4)...))
	h.listLeafs(1, numberedNames("s", 4)...)
	first := h.request("/a/", time.Second)
	for _, c := range h.calls(first) {
		if c.Service == "s0" || c.Service == "s1" {
			h.finishCall(c, OutcomeNotSent)
		}
	}
	q := h.request("/a/", time.Second)
	r, ok := h.answers[q].(Refuse)
	if !ok || r.Reason != RefusalUnreachable || !r.Reason.NotRun() || r.RetryAfter <= 0 || len(h.calls(q)) > 0 {
		t.Fatalf("final answer %+v, %d attempts", h.answers[q], len(h.calls(q)))
	}
	h.advance(maxConnectBackoff)
	if q = h.request("/a/", time.Second); len(h.calls(q)) != 4 {
		t.Errorf("%d attempts after the pause, want 4", len(h.calls(q)))
	}
}

// Guards against queries that are refused although enough shards can be reached.
func TestQueryRunsWhenEnoughLeafsReachable(t *testing.T) {
	h := newHarness(t)
	h.holdCalls = true
	h.configure(1, nil, shardedRoute("/a/", 0.7, numberedNames("s", 4)...))
	h.listLeafs(1, numberedNames("s", 4)...)
	first := h.request("/a/", time.Second)
	h.finishCall(h.calls(first)[0], OutcomeNotSent)
	if q := h.request("/a/", time.Second); h.answers[q] != nil || len(h.calls(q)) < 3 {
		t.Errorf("final answer %+v, %d attempts", h.answers[q], len(h.calls(q)))
	}
}
