package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/tenant"
)

func keyHolder(name string, keys ...string) *tenant.Tenant {
	t := &tenant.Tenant{Name: name}
	for _, key := range keys {
		t.Keys = append(t.Keys, tenant.HashKey(key))
	}
	return t
}

// requestWithKey sends a request with a key; none if it is empty.
func (h *harness) requestWithKey(path, key string, wait time.Duration) QueryID {
	h.t.Helper()
	h.lastQuery++
	e := RequestArrived{At: h.now, Query: h.lastQuery, RequestID: fmt.Sprintf("q%d", h.lastQuery), Host: "h", Path: path, CallerTimeout: wait}
	if key != "" {
		e.Credential = tenant.Credential{Key: tenant.HashKey(key), Present: true}
	}
	h.step(e)
	return h.lastQuery
}

func (h *harness) configureTenants(version uint64, tenants []*tenant.Tenant, routes ...*Route) {
	h.t.Helper()
	services := map[string]ServiceConfig{"s": {MaxConnections: 2}}
	h.step(ConfigSeen{Config: &Config{Version: version, Routes: routes, Services: services, Tenants: tenants}, Source: ViewSource{Call: "test"}})
}

// refusal returns why a request was refused; "" if it was not.
func (h *harness) refusal(q QueryID) string {
	if r, ok := h.answers[q].(Refuse); ok {
		return r.Reason.String()
	}
	return ""
}

func (h *harness) tenantOf(q QueryID) string {
	h.t.Helper()
	calls := h.calls(q)
	if len(calls) == 0 {
		h.t.Fatalf("request %d was not sent: %+v", q, h.answers[q])
	}
	return h.s.CallIdentity(calls[0].Call).Name()
}

// Guards against requests that run without a key, under a tenant that does not hold it, or
// that are denied although the configuration allows them; and against a 401 where no route
// matches or no configuration is known.
func TestKeysDecideWhoseRequestRuns(t *testing.T) {
	h := newHarness(t)
	if q := h.requestWithKey("/a/", "k1", time.Second); h.refusal(q) != "no_configuration" {
		t.Errorf("without a configuration: %q", h.refusal(q))
	}
	public := plainRoute("/p/", "s")
	public.Public = true
	h.listLeafs(4, "s")
	h.configureTenants(1, []*tenant.Tenant{keyHolder("a", "k1"), keyHolder("b", "k2"), keyHolder("none")}, plainRoute("/a/", "s"), public)
	for _, x := range []struct{ path, key, refusal, tenant string }{
		{"/a/", "k1", "", "a"}, {"/a/", "k2", "", "b"}, {"/a/", "k3", "unauthorized", ""}, {"/a/", "", "unauthorized", ""},
		{"/p/", "", "", ""}, {"/p/", "k1", "", ""}, {"/p/", "k3", "", ""}, {"/none/", "k3", "no_route", ""}, {"/none/", "k1", "no_route", ""},
	} {
		q := h.requestWithKey(x.path, x.key, time.Second)
		if got := h.refusal(q); got != x.refusal {
			t.Errorf("%s with key %q: refusal %q, want %q", x.path, x.key, got, x.refusal)
		}
		if x.refusal != "" {
			if r := h.answers[q].(Refuse); r.RetryAfter != 0 {
				t.Errorf("%s with key %q: retry after %v", x.path, x.key, r.RetryAfter)
			}
			continue
		}
		c := h.calls(q)[0]
		identity := h.s.CallIdentity(c.Call)
		if !identity.Checked || identity.Name() != x.tenant {
			t.Errorf("%s with key %q: identity %+v, tenant %q", x.path, x.key, identity, identity.Name())
		}
		h.finishCall(c, OutcomeSucceeded)
	}
}

// Guards against a deployment without tenants whose requests need keys or whose headers
// are changed.
func TestWithoutTenantsNoKeyIsChecked(t *testing.T) {
	h := newHarness(t)
	h.listLeafs(4, "s")
	h.configureTenants(1, nil, plainRoute("/a/", "s"))
	for _, key := range []string{"", "k"} {
		q := h.requestWithKey("/a/", key, time.Second)
		if identity := h.s.CallIdentity(h.calls(q)[0].Call); identity != (tenant.Identity{}) {
			t.Errorf("key %q: identity %+v", key, identity)
		}
	}
	if n := h.countLogs(LogTenantsChanged); n != 0 {
		t.Errorf("%d log lines about tenants", n)
	}
}

// Guards against a removed key that is accepted later, also when an older configuration is
// read again, and against an added or moved one that is not accepted at once.
func TestKeysFollowConfiguration(t *testing.T) {
	h := newHarness(t)
	h.listLeafs(4, "s")
	route := plainRoute("/a/", "s")
	check := func(key, refusal, name string) {
		t.Helper()
		q := h.requestWithKey("/a/", key, time.Second)
		if got := h.refusal(q); got != refusal {
			t.Fatalf("key %q: refusal %q, want %q", key, got, refusal)
		}
		if refusal == "" {
			if got := h.tenantOf(q); got != name {
				t.Fatalf("key %q: tenant %q, want %q", key, got, name)
			}
			h.finishCall(h.calls(q)[0], OutcomeSucceeded)
		}
	}
	first := []*tenant.Tenant{keyHolder("a", "k1", "k2")}
	h.configureTenants(1, first, route)
	check("k1", "", "a")
	h.configureTenants(2, []*tenant.Tenant{keyHolder("a", "k2"), keyHolder("b", "k3")}, route)
	check("k1", "unauthorized", "")
	check("k3", "", "b")
	h.configureTenants(1, first, route)
	check("k1", "unauthorized", "")
	h.configureTenants(3, []*tenant.Tenant{keyHolder("a"), keyHolder("b", "k2", "k3")}, route)
	check("k2", "", "b")
}

// Guards against a request that runs after its key was removed while it waited for a
// connection, and against a 401 for one whose key is still held.
func TestWaitingRequestsLoseRemovedKeys(t *testing.T) {
	h := newHarness(t)
	h.listLeafs(1, "s")
	route := plainRoute("/a/", "s")
	route.Idempotent = false
	h.configureTenants(1, []*tenant.Tenant{keyHolder("a", "k1"), keyHolder("b", "k2", "k3")}, route)
	running := h.requestWithKey("/a/", "k1", time.Second)
	if len(h.calls(running)) != 1 {
		t.Fatal("the leaf took no request")
	}
	removed, kept, moved := h.requestWithKey("/a/", "k1", time.Second), h.requestWithKey("/a/", "k2", time.Second), h.requestWithKey("/a/", "k3", time.Second)
	h.configureTenants(2, []*tenant.Tenant{keyHolder("a"), keyHolder("b", "k2"), keyHolder("c", "k3")}, route)
	if h.refusal(removed) != "unauthorized" || h.answers[kept] != nil || h.answers[moved] != nil || h.answers[running] != nil {
		t.Fatalf("answers %v", h.answers)
	}
	h.finishCall(h.calls(running)[0], OutcomeSucceeded)
	if _, ok := h.answers[running].(ForwardAnswer); !ok {
		t.Errorf("the request that ran got %+v", h.answers[running])
	}
	// The leaf takes one request at a time, in the order of arrival.
	for _, x := range []struct {
		query  QueryID
		tenant string
	}{{kept, "b"}, {moved, "c"}} {
		if got := h.tenantOf(x.query); got != x.tenant {
			t.Errorf("request %d runs under %q, want %q", x.query, got, x.tenant)
		}
		h.finishCall(h.calls(x.query)[0], OutcomeSucceeded)
	}
	if len(h.calls(removed)) != 0 || h.countLogs(LogKeysRevoked) != 1 {
		t.Errorf("the refused request was sent, or %d lines were logged", h.countLogs(LogKeysRevoked))
	}
}

// Guards against an attempt that waits for a connection when the key is removed and is sent
// afterwards.
func TestUnsentAttemptsLoseRemovedKeys(t *testing.T) {
	h := newHarness(t)
	h.holdCalls = true
	h.listLeafs(1, "s")
	h.configureTenants(1, []*tenant.Tenant{keyHolder("a", "k1")}, plainRoute("/a/", "s"))
	q := h.requestWithKey("/a/", "k1", time.Second)
	c := h.calls(q)[0]
	h.configureTenants(2, []*tenant.Tenant{keyHolder("a")}, plainRoute("/a/", "s"))
	if h.refusal(q) != "unauthorized" || !h.wasCancelled(c.Call) {
		t.Errorf("answer %+v, cancelled %v", h.answers[q], h.wasCancelled(c.Call))
	}
	if h.s.BeginCall(h.now, c.Call) != 0 {
		t.Error("the attempt is sent after the refusal")
	}
}

// Guards against a query over shards that is partly sent when its key is removed and then
// reaches further leafs, or is refused as not run.
func TestPartlySentQueryStopsWhenKeyIsRemoved(t *testing.T) {
	h := newHarness(t)
	h.holdCalls = true
	h.listLeafs(2, "x", "y")
	route := shardedRoute("/q/", 0.5, "x", "y")
	h.configureTenants(1, []*tenant.Tenant{keyHolder("a", "k1")}, route)
	q := h.requestWithKey("/q/", "k1", time.Second)
	begun, unsent := h.calls(q)[0], h.calls(q)[1]
	if h.s.BeginCall(h.now, begun.Call) <= 0 {
		t.Fatal("the attempt may not be sent")
	}
	h.configureTenants(2, []*tenant.Tenant{keyHolder("a")}, route)
	if h.answers[q] != nil || !h.wasCancelled(unsent.Call) || h.wasCancelled(begun.Call) {
		t.Fatalf("answer %+v", h.answers[q])
	}
	sent := len(h.sent)
	h.finishCall(unsent, OutcomeCancelled)
	h.finishCall(begun, OutcomeFailed)
	h.advance(2 * time.Second)
	if len(h.sent) != sent {
		t.Errorf("%d further attempts were sent", len(h.sent)-sent)
	}
	if r, ok := h.answers[q].(Refuse); !ok || r.Reason.NotRun() {
		t.Errorf("answer %+v", h.answers[q])
	}
}

// Guards against a request that is refused because the tenants came after it, and against a
// key in the headers of one that was admitted with a key when the tenants are gone.
func TestTenantsComeAndGoWhileRequestsWait(t *testing.T) {
	h := newHarness(t)
	h.listLeafs(1, "s")
	route := plainRoute("/a/", "s")
	h.configureTenants(1, nil, route)
	h.requestWithKey("/a/", "", time.Second)
	open, keyed := h.requestWithKey("/a/", "", time.Second), h.requestWithKey("/a/", "k1", time.Second)
	h.configureTenants(2, []*tenant.Tenant{keyHolder("a", "k1")}, route)
	identity := func(q QueryID) tenant.Identity { return h.s.queries[q].identity }
	if h.answers[open] != nil || !identity(open).Checked || identity(open).Name() != "" || identity(keyed).Name() != "a" {
		t.Errorf("answer %+v, identities %+v, %+v", h.answers[open], identity(open), identity(keyed))
	}
	h.configureTenants(3, nil, route)
	if h.answers[keyed] != nil || !identity(keyed).Checked || identity(keyed).Name() != "a" {
		t.Errorf("answer %+v, identity %+v", h.answers[keyed], identity(keyed))
	}
}

// Guards against waiting requests that are sent in the order of their routes' priorities
// although their tenants' differ.
func TestTenantPriorityGoesBeforeThatOfRoute(t *testing.T) {
	h := newHarness(t)
	h.listLeafs(1, "s")
	urgent, slow := plainRoute("/u/", "s"), plainRoute("/s/", "s")
	urgent.Priority, slow.Priority = 0, 2
	first, second := keyHolder("first", "k1"), keyHolder("second", "k2")
	first.HasPriority, second.Priority, second.HasPriority = true, 1, true
	h.configureTenants(1, []*tenant.Tenant{first, second, keyHolder("plain", "k3")}, urgent, slow)
	running := h.requestWithKey("/u/", "k3", time.Second)
	for _, x := range [][2]string{{"/s/", "k3"}, {"/s/", "k2"}, {"/u/", "k2"}, {"/u/", "k3"}, {"/s/", "k1"}, {"/u/", "k1"}} {
		h.requestWithKey(x[0], x[1], time.Second)
	}
	h.finishCall(h.calls(running)[0], OutcomeSucceeded)
	// Requests of equal priority are sent in the order of their arrival.
	want := []string{"plain /u/", "first /u/", "first /s/", "second /u/", "second /s/", "plain /s/"}
	var got []string
	for range want {
		last := h.sent[len(h.sent)-1]
		q := h.s.calls[last.Call].query
		got = append(got, q.identity.Name()+" "+q.route.Name)
		h.finishCall(last, OutcomeSucceeded)
	}
	if !slices.Equal(got, want) {
		t.Errorf("order %q, want %q", got, want)
	}
}
