package gateway

import (
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/tenant"
)

// admissionHarness has one service with a leaf that accepts few connections, and tenants a, b
// and c.
func admissionHarness(t *testing.T, connections int) (h *harness, request func(tenant string) QueryID) {
	h = newHarness(t)
	route := plainRoute("/r/", "s")
	var tenants []*tenant.Tenant
	for _, name := range []string{"a", "b", "c"} {
		tenants = append(tenants, &tenant.Tenant{Name: name, Keys: []tenant.KeyHash{tenant.HashKey(name)}})
	}
	h.step(ConfigSeen{Config: &Config{Version: 1, Routes: []*Route{route}, Services: map[string]ServiceConfig{"s": {MaxConnections: connections}}, Tenants: tenants}, Source: ViewSource{Call: "test"}})
	h.listLeafs(1, "s")
	return h, func(name string) QueryID {
		h.lastQuery++
		h.step(RequestArrived{
			At: h.now, Query: h.lastQuery, RequestID: "q", Host: "h", Path: "/r/", CallerTimeout: 2 * time.Second,
			Credential: tenant.Credential{Key: tenant.HashKey(name), Present: true},
		})
		return h.lastQuery
	}
}

func (h *harness) refusedWith(q QueryID) (Refusal, bool) {
	r, ok := h.answers[q].(Refuse)
	return r.Reason, ok
}

// Guards against a queue in which one tenant's requests keep the others out, or that grows
// without bound.
func TestQueueIsBoundedPerTenant(t *testing.T) {
	h, request := admissionHarness(t, 2)
	refused := 0
	for range 40 {
		if reason, ok := h.refusedWith(request("a")); ok {
			if reason != RefusalThrottled {
				t.Fatalf("refused as %v", reason)
			}
			refused++
		}
	}
	// One request has a connection.
	if want := 40 - 1 - maxQueuedPerTenant; refused != want {
		t.Errorf("%d requests refused, want %d", refused, want)
	}
	if reason, ok := h.refusedWith(request("b")); ok {
		t.Errorf("a request of another tenant was refused: %v", reason)
	}
}

// Guards against second attempts of one tenant that take the place of first attempts of
// another one that wait.
func TestExtraAttemptDoesNotTakeAPlace(t *testing.T) {
	h, request := admissionHarness(t, 2)
	h.listLeafs(2, "s")
	first, second := request("a"), request("b")
	free, busy := h.calls(first)[0], h.calls(second)[0]
	// The leaf rejects the first request: its retry waits for the other leaf.
	h.finishCall(free, OutcomeNotExecuted)
	third := request("c")
	fourth := request("b")
	if len(h.calls(first)) != 0 || len(h.calls(third)) != 1 || len(h.calls(fourth)) != 0 {
		t.Fatal("want a retry and a first attempt that wait, and a request at each leaf")
	}
	h.finishCall(busy, OutcomeSucceeded)
	if len(h.calls(fourth)) != 1 || len(h.calls(first)) != 0 {
		t.Fatalf("%d first attempts and %d retries were sent to the free leaf", len(h.calls(fourth)), len(h.calls(first)))
	}
	h.finishCall(h.calls(fourth)[0], OutcomeSucceeded)
	if len(h.calls(first)) != 1 {
		t.Error("the retry was not sent when no other tenant waited")
	}
}

// Guards against retries and hedges that are sent at once while the first attempt of another
// tenant waits, and against ones that wait for their own tenant or without tenants.
func TestFirstAttemptsOfOtherTenantsComeFirst(t *testing.T) {
	h, request := admissionHarness(t, 2)
	a, b := request("a"), request("b")
	svc := h.s.service("s")
	if !h.s.firstAttemptsWait(h.s.queries[a], svc) || h.s.firstAttemptsWait(h.s.queries[b], svc) {
		t.Error("want the extra attempts of tenant a to wait and those of b not to")
	}
	h.s.queries[a].identity = tenant.Identity{}
	if h.s.firstAttemptsWait(h.s.queries[a], svc) {
		t.Error("an extra attempt waits although the configuration has no tenants")
	}
}

// overload keeps the leaf busy with requests of tenant a, which end late, and returns how many
// requests of each tenant were refused in the end.
func overload(h *harness, request func(string) QueryID) map[string]int {
	refused := map[string]int{}
	for i := range 600 {
		name := "a"
		if i%20 == 0 {
			name = "b"
		}
		q := request(name)
		if _, ok := h.refusedWith(q); ok && i >= 200 {
			refused[name]++
		}
		h.advance(5 * time.Millisecond)
		for id, c := range h.unfinished {
			if h.now.Sub(h.s.calls[id].sentAt) >= 250*time.Millisecond {
				delete(h.unfinished, id)
				h.step(CallDone{Call: c.Call, Outcome: OutcomeSucceeded, Load: Load{Running: 4, Waiting: 20, Slots: 4}, HasLoad: true})
			}
		}
	}
	return refused
}

// Guards against overload in which a tenant that sends little pays for one that sends nearly
// everything, and against refusals without a time to come back.
func TestOverloadIsPaidByTheTenantThatCausesIt(t *testing.T) {
	h, request := admissionHarness(t, 200)
	refused := overload(h, request)
	if refused["a"] < 50 {
		t.Errorf("%d requests of the tenant that causes the overload were refused", refused["a"])
	}
	if refused["b"] > 2 {
		t.Errorf("%d of 20 requests of the other tenant were refused", refused["b"])
	}
	if h.countLogs(LogAdmissionLimited) == 0 || h.s.Status().LimitedPools != 1 {
		t.Error("the limit is not shown")
	}
	for q, e := range h.answers {
		if r, ok := e.(Refuse); ok && r.Reason == RefusalThrottled && r.RetryAfter < retryAfterOverload {
			t.Errorf("request %d may come back after %v", q, r.RetryAfter)
		}
	}
	var own Sections
	for range 20 {
		h.advance(100 * time.Millisecond)
		for i := range 20 {
			request([]string{"a", "b"}[i/19])
		}
		if h.s.Status().LimitedPools > 0 {
			own = h.s.ownSections()
		}
	}
	if len(own.Quota) == 0 || own.Quota[0].Tenant != "a" || own.Quota[0].WorkPerSecond <= 0 {
		t.Errorf("told other daemons %+v", own.Quota)
	}
	h.configure(2, map[string]ServiceConfig{"t": {}}, plainRoute("/r/", "t"))
	if len(h.s.admission.pools) != 0 {
		t.Error("the pool of a service that is not asked any more is kept")
	}
}
