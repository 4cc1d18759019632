package gateway

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/quota"
	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/tenant"
)

// explainedMachine is a stateMachine with tenants, quotas and roll-outs.
func explainedMachine(t *rapid.T) *stateMachine {
	m := newStateMachine()
	m.s = New(Options{
		Self:     DaemonEntry{Name: "d1", Incarnation: 1, PeerAddress: "d1:70", CallerAddress: "d1:80", FailureDomain: "a"},
		RegionOf: map[string]string{"a": "north", "b": "south"}, RetryRatio: 0.2, RetrySlack: 20, MaxSilence: time.Second, Seed: rapid.Uint64().Draw(t, "seed"),
		Quota:   quota.Bounds{Window: 5 * time.Second, Overshoot: 0.1},
		Rollout: &RolloutLimits{Share: 0.1, Slack: 50, OrderWithin: time.Second},
	})
	return m
}

// configureTenants applies a configuration with tenants, whose limits are soon reached, and
// with a route at home in one region.
func (m *stateMachine) configureTenants(t *rapid.T) {
	m.version++
	c := &Config{Version: m.version, Services: map[string]ServiceConfig{}, Tenants: []*tenant.Tenant{
		{Name: "t1", Keys: []tenant.KeyHash{tenant.HashKey("k1")}, Priority: 1, HasPriority: true},
		{Name: "t2", Keys: []tenant.KeyHash{tenant.HashKey("k2")}, RatePerSecond: 0.2},
	}}
	for path, r := range invariantRoutes {
		route := *r
		route.Public = path == "/t/"
		if path == "/u/" {
			route.HomeRegions = []string{"north"}
		}
		c.Routes = append(c.Routes, &route)
	}
	for _, name := range numberedNames("s", 3) {
		c.Services[name] = ServiceConfig{MaxConnections: 2, WarmUp: time.Second, WarmUpPerSecond: 2}
	}
	m.step(t, ConfigSeen{Config: c})
	m.step(t, Registered{First: true})
}

// reportLoads ends the open attempts with answers that report how fast the leafs' VMs are.
func (m *stateMachine) reportLoads(t *rapid.T) {
	for _, id := range slices.Sorted(maps.Keys(m.open)) {
		if !m.begun[id] {
			continue
		}
		delete(m.open, id)
		m.outcomes[id] = OutcomeSucceeded
		load := Load{Running: rapid.IntRange(0, 3).Draw(t, "running"), Slots: 2, Slowdown: rapid.SampledFrom([]float64{0, 1, 2.5}).Draw(t, "slowdown")}
		m.step(t, CallDone{Call: id, Outcome: OutcomeSucceeded, HasLoad: true, Load: load})
	}
}

func (m *stateMachine) startRollout(t *rapid.T) {
	m.step(t, RolloutsListed{Orders: []RolloutOrder{{Service: "s0", Target: "v2", Duration: 10 * time.Second, Created: 5, Revision: 5}}})
	m.step(t, ServerChanged{Server: Server{ID: "i0", Service: "s0", Address: "10.1.0.1:80", FailureDomain: "a", Slots: 2, Version: "v2"}})
	// Only a daemon that hears others samples the new version.
	m.step(t, GossipReceived{Daemons: []DaemonEntry{{Name: "d2", Incarnation: 1, Counter: 1, CallerAddress: "d2:80", PeerAddress: "d2:70", FailureDomain: "b", State: DaemonReady, Cores: 0.4}}})
}

// Guards against an explanation that differs from the decision on the same request, and
// against one that changes the state. A state is compared with a copy made before.
func TestExplainAgreesWithDecision(t *testing.T) {
	states, refused, queued, sent := 0, map[string]int{}, 0, 0
	requests := 15
	if testing.Short() {
		// rapid makes a fifth of the checks.
		requests *= 5
	}
	check := func(t *rapid.T, configured bool) {
		m := explainedMachine(t)
		if configured {
			m.configure(t)
		}
		for range 4 {
			m.changeServer(t)
		}
		actions := map[string]func(*rapid.T){
			"request": m.sendRequest, "request2": m.sendRequest, "callDone": m.finishCall, "begin": m.beginAnyCall, "pass": m.advance,
			"server": m.changeServer, "evacuate": m.evacuate, "callerGone": m.callerGone,
		}
		if m.version > 0 {
			t.Repeat(actions)
		}
		m.reportLoads(t)
		if rapid.Bool().Draw(t, "tenants") {
			m.configureTenants(t)
		}
		if rapid.Bool().Draw(t, "rollout") {
			m.startRollout(t)
		}
		for i := range requests {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			key := rapid.SampledFrom([]string{"", "k1", "k2", "k2", "k2", "unknown"}).Draw(t, "key")
			path := rapid.SampledFrom([]string{"/r/", "/u/", "/t/", "/a/", "/none/"}).Draw(t, "path")
			timeout := time.Duration(rapid.SampledFrom([]int{5, 100, 400, 900}).Draw(t, "wait")) * time.Millisecond
			r := ExplainRequest{Host: "h", Path: path, TimeoutMS: timeout.Milliseconds()}
			e := RequestArrived{At: m.now, Query: QueryID(1e6 + i), Host: "h", Path: path, CallerTimeout: timeout}
			if key != "" {
				r.KeyHash = tenant.HashKey(key).String()
				e.Credential = tenant.Credential{Key: tenant.HashKey(key), Present: true}
			}
			before := m.s.Copy()
			got := m.s.Copy().Explain(m.now, r)
			if !reflect.DeepEqual(before, m.s) {
				t.Fatalf("the state has changed by an explanation of %+v", r)
			}
			states++
			checkExplained(t, got, m.s.Step(m.now, e), e.Query)
			if q, ok := m.s.queries[e.Query]; ok {
				queued, missing := q.unsentParts()
				if !reflect.DeepEqual(got.Decision.Queued, queued) || !reflect.DeepEqual(got.Decision.Missing, missing) {
					t.Fatalf("explained as %+v, queued %v, missing %v", got.Decision, queued, missing)
				}
			}
			refused[got.Decision.Reason]++
			queued += len(got.Decision.Queued)
			sent += len(got.Decision.Attempts)
		}
	}
	rapid.Check(t, func(t *rapid.T) { check(t, rapid.IntRange(0, 9).Draw(t, "configured") > 0) })
	// Drawn among the others, daemons without a configuration are missed by few checks.
	rapid.Check(t, func(t *rapid.T) { check(t, false) })
	t.Logf("%d states; refused %v, %d parts queued, %d attempts", states, refused, queued, sent)
	if states < 1000 || queued == 0 || sent == 0 {
		t.Errorf("%d states with %d parts queued and %d attempts, want 1,000 with some of each", states, queued, sent)
	}
	for _, reason := range []Refusal{RefusalNoConfig, RefusalNoRoute, RefusalUnauthorized, RefusalQuota, RefusalNoServer} {
		if refused[reason.String()] == 0 {
			t.Errorf("no state in which a request is refused as %v", reason)
		}
	}
}

// checkExplained compares an explanation with the effects of the request's arrival.
func checkExplained(t *rapid.T, got Explanation, effects []Effect, id QueryID) {
	var attempts []PlannedAttempt
	for _, effect := range effects {
		switch x := effect.(type) {
		case SendCall:
			if x.Query == id {
				attempts = append(attempts, PlannedAttempt{x.Service, x.Server})
			}
		case Refuse:
			if x.Query != id {
				continue
			}
			reason, refused := got.Decision.Refusal()
			if !refused || reason != x.Reason || got.Decision.RetryAfterMS != milliseconds(x.RetryAfter) {
				t.Fatalf("refused as %v with Retry-After %v, explained as %+v", x.Reason, x.RetryAfter, got.Decision)
			}
			return
		}
	}
	if !got.Decision.Admitted || !slices.Equal(got.Decision.Attempts, attempts) {
		t.Fatalf("sent as %v, explained as %+v", attempts, got.Decision)
	}
	for _, svc := range got.Services {
		for _, leaf := range svc.Leafs {
			planned := slices.Contains(attempts, PlannedAttempt{svc.Name, leaf.ID})
			if leaf.Chosen != planned || (leaf.Reason == "") != planned || planned && (leaf.Draining || leaf.Evacuated) {
				t.Fatalf("leaf %+v of %s, attempts %v", leaf, svc.Name, attempts)
			}
		}
	}
}

// Guards against an explanation that leaves out why a leaf or a route is not taken, what a
// tenant may use, or what the daemon does not know.
func TestExplanationGivesReasons(t *testing.T) {
	h := newHarnessWith(t, Options{Quota: quota.Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}})
	other := plainRoute("/", "other")
	home := plainRoute("/a/", "x")
	home.HomeRegions = []string{"north"}
	h.step(ConfigSeen{Config: &Config{Version: 7, Routes: []*Route{other, home}, Services: map[string]ServiceConfig{"x": {MaxConnections: 10, WarmUp: time.Second, WarmUpPerSecond: 1}}, Tenants: []*tenant.Tenant{
		{Name: "t1", Keys: []tenant.KeyHash{tenant.HashKey("k1")}, Priority: 3, HasPriority: true, RatePerSecond: 10, Burst: 5},
	}}})
	server := func(id, domain string) Server {
		return Server{ID: id, Service: "x", Address: "10.1.0.1:80", FailureDomain: domain, Slots: 4, Version: "v1"}
	}
	draining, cold := server("draining", "a"), server("cold", "a")
	draining.Draining, cold.WarmUpLeft = true, 10*time.Second
	h.step(ServersListed{Servers: []Server{server("good", "a"), server("evacuated", "b"), server("far", "c"), draining, cold}})
	h.step(EvacuationsListed{FailureDomains: []string{"b"}, Held: []string{"b"}})
	h.step(Registered{First: true})
	e := h.s.Copy().Explain(h.now, ExplainRequest{Host: "h:80", Path: "/a/b?c", Tenant: "t1", TimeoutMS: 500})
	if e.Route != home || e.ConfigVersion != 7 || len(e.OtherRoutes) != 1 || e.OtherRoutes[0].Name != "/" || e.OtherRoutes[0].Reason == "" {
		t.Errorf("route %+v, others %+v", e.Route, e.OtherRoutes)
	}
	if x := e.Tenant; x == nil || x.Name != "t1" || x.Priority != 3 || !x.OwnPriority || x.Quota == nil || x.Quota.Left != x.Quota.Limit-x.Quota.Admitted || x.Quota.FleetAllowance < 55 {
		t.Errorf("tenant %+v", x)
	}
	if !e.Decision.Admitted || len(e.Decision.Attempts) != 1 || e.Decision.Attempts[0].Leaf != "good" {
		t.Errorf("decision %+v", e.Decision)
	}
	reasons := map[string]string{}
	for _, leaf := range e.Services[0].Leafs {
		reasons[leaf.ID] = leaf.Reason
	}
	want := map[string]string{
		"good": "", "evacuated": "its failure domain is evacuated", "far": "it is outside of the route's home regions",
		"draining": "it drains, or another leaf has its address", "cold": "it is cold and has got this daemon's share of requests",
	}
	if !reflect.DeepEqual(reasons, want) {
		t.Errorf("reasons %v, want %v", reasons, want)
	}
	if e.Services[0].Leafs[0].ID != "good" || e.Services[0].Leafs[1].ID != "cold" {
		t.Errorf("order of preference: %+v", e.Services[0].Leafs)
	}
	if len(e.Unknown) < 2 {
		t.Errorf("unknown: %v", e.Unknown)
	}
	if e := h.s.Copy().Explain(h.now, ExplainRequest{Host: "h", Path: "/a/", KeyHash: tenant.HashKey("k9").String()}); e.Decision.Admitted || e.Decision.Reason != "unauthorized" || e.Tenant != nil {
		t.Errorf("unknown key: %+v", e.Decision)
	}
}

// largeState is the state of a daemon of the planned size.
func largeState(leafs, daemons int) *State {
	s := New(Options{Self: DaemonEntry{Name: "d", PeerAddress: "d:70"}, MaxSilence: time.Second, Rollout: &RolloutLimits{Share: 0.1, Slack: 50, OrderWithin: time.Second}})
	c := &Config{Version: 1, Services: map[string]ServiceConfig{}}
	var all []Server
	var shards []string
	for i := range leafs {
		name := fmt.Sprintf("s%d", i/3)
		if i%3 == 0 {
			shards = append(shards, name)
			c.Services[name] = ServiceConfig{MaxConnections: 40}
		}
		all = append(all, Server{ID: fmt.Sprintf("i%d", i), Service: name, Address: "10.1.0.1:80", FailureDomain: "a", Slots: 2, Version: "v1"})
	}
	for i := range 30 {
		c.Routes = append(c.Routes, shardedRoute(fmt.Sprintf("/%d/", i), 0.9, shards...))
	}
	s.Step(1, ConfigSeen{Config: c})
	s.Step(1, ServersListed{Servers: all})
	for i := range daemons {
		name := fmt.Sprintf("d%d", i)
		s.Step(2, GossipReceived{Daemons: []DaemonEntry{{Name: name, Incarnation: 1, Counter: 1, CallerAddress: name + ":80", PeerAddress: name + ":70", FailureDomain: "a", State: DaemonReady, Cores: 0.4}}})
	}
	for i := range 20 {
		s.Step(3, RequestArrived{Query: QueryID(i + 1), Host: "h", Path: fmt.Sprintf("/%d/", i), CallerTimeout: time.Second})
	}
	return s
}

// BenchmarkCopy shows for how long a daemon stops deciding while its state is copied.
func BenchmarkCopy(b *testing.B) {
	for name, s := range map[string]*State{"270 leafs, 82 daemons": largeState(270, 82), "2300 leafs, 560 daemons": largeState(2300, 560)} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				s.Copy()
			}
		})
	}
}

// Guards against an explanation that does not tell that a leaf waits for a roll-out.
func TestExplanationShowsRollout(t *testing.T) {
	h := newHarnessWith(t, Options{Rollout: &RolloutLimits{Share: 0.1, Slack: 50, OrderWithin: 5 * time.Second}})
	h.configure(7, map[string]ServiceConfig{"x": {MaxConnections: 10}}, plainRoute("/a/", "x"))
	server := func(id, version string) Server {
		return Server{ID: id, Service: "x", Address: "10.1.0.1:80", FailureDomain: "a", Slots: 4, Version: version}
	}
	h.step(ServersListed{Servers: []Server{server("old", "v1")}})
	h.advance(10 * time.Second)
	h.step(ServerChanged{Server: server("new", "v2")})
	h.step(RolloutsListed{Orders: []RolloutOrder{{Service: "x", Target: "v2", Duration: 10 * time.Second, Created: 5, Revision: 5}}})
	sampled := h.s.Copy().Explain(h.now, ExplainRequest{Host: "h", Path: "/a/"})
	if attempts := sampled.Decision.Attempts; len(attempts) != 1 || attempts[0].Leaf != "new" {
		t.Errorf("attempts %+v, want one at the sampled leaf", attempts)
	}
	// Without contact nothing is sampled.
	h.step(StoreReached{Cause: "down"})
	e := h.s.Copy().Explain(h.now, ExplainRequest{Host: "h", Path: "/a/"})
	svc := e.Services[0]
	if svc.Rollout == nil || svc.Rollout.Target != "v2" || svc.Rollout.State != "running" {
		t.Errorf("roll-out %+v", svc.Rollout)
	}
	if len(svc.Leafs) != 2 || svc.Leafs[0].ID != "old" || !svc.Leafs[0].Chosen || svc.Leafs[1].Reason != "its version gets no requests, or only sampled ones" {
		t.Errorf("leafs %+v", svc.Leafs)
	}
}
