package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/quota"
	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/tenant"
)

// newQuotaHarness returns a harness of a single daemon in which a tenant "a" may send four
// requests in a window; "free" has no limit.
func newQuotaHarness(t *testing.T) *harness {
	h := newHarnessWith(t, Options{Quota: quota.Bounds{Window: 5 * time.Second}})
	h.now = h.now.Add(time.Second)
	h.listLeafs(2, "s", "x", "y")
	public := plainRoute("/p/", "s")
	public.Public = true
	h.configureTenants(1, []*tenant.Tenant{limitedTenant("a", 0.4, 2), keyHolder("free", "free")}, plainRoute("/a/", "s"), shardedRoute("/q/", 0.5, "x", "y"), plainRoute("/n/", "none"), public)
	h.step(Registered{First: true})
	return h
}

// finish ends all attempts of a request with success.
func (h *harness) finish(q QueryID) {
	for _, c := range h.calls(q) {
		h.finishCall(c, OutcomeSucceeded)
	}
}

// Guards against requests over the quota that run, against ones that count though they
// belong to no limited tenant, and against a query over shards that counts more than once.
func TestQuotaCountsRequestsOfTenant(t *testing.T) {
	h := newQuotaHarness(t)
	for i, x := range []struct{ path, key, refusal string }{
		{"/q/", "a", ""}, {"/p/", "a", ""}, {"/a/", "free", ""}, {"/a/", "a", ""}, {"/a/", "wrong", "unauthorized"}, {"/a/", "", "unauthorized"},
		{"/none/", "a", "no_route"}, {"/q/", "a", ""}, {"/a/", "a", ""}, {"/a/", "a", "quota"}, {"/q/", "a", "quota"},
		{"/none/", "a", "no_route"}, {"/a/", "wrong", "unauthorized"}, {"/p/", "a", ""}, {"/a/", "free", ""},
	} {
		q := h.requestWithKey(x.path, x.key, time.Second)
		if got := h.refusal(q); got != x.refusal {
			t.Fatalf("request %d, %s with key %q: refusal %q, want %q", i, x.path, x.key, got, x.refusal)
		}
		if r, ok := h.answers[q].(Refuse); ok && x.refusal == "quota" && (r.RetryAfter <= 0 || !r.Reason.NotRun() || len(h.calls(q)) > 0) {
			t.Errorf("refusal %+v, calls %v", r, h.calls(q))
		}
		h.finish(q)
	}
	if n := h.countLogs(LogQuotaExceeded); n != 1 {
		t.Errorf("%d log lines about the quota, want 1", n)
	}
}

// Guards against a request that costs a part of the quota although no leaf got it, and
// against one that a leaf got and that is given back.
func TestQuotaIsReturnedForRequestsNotSent(t *testing.T) {
	h := newQuotaHarness(t)
	h.holdCalls = true
	for range 3 {
		if q := h.requestWithKey("/n/", "a", time.Second); h.refusal(q) != "no_server" {
			t.Fatalf("answer %+v", h.answers[q])
		}
		q := h.requestWithKey("/a/", "a", time.Second)
		unsent := h.calls(q)[0]
		h.step(CallerGone{Query: q})
		h.finishCall(unsent, OutcomeCancelled)
		late := h.requestWithKey("/a/", "a", time.Microsecond)
		if h.refusal(late) != "too_late" {
			t.Fatalf("answer %+v", h.answers[late])
		}
	}
	var got []string
	for i := range 5 {
		q := h.requestWithKey("/a/", "a", time.Second)
		if h.refusal(q) == "" {
			c := h.calls(q)[0]
			h.s.BeginCall(h.now, c.Call)
			// Of a request that a leaf got, it does not matter whether it ran.
			h.finishCall(c, []Outcome{OutcomeSucceeded, OutcomeLost, OutcomeFailed, OutcomeSucceeded, OutcomeSucceeded}[i])
			h.step(CallerGone{Query: q})
		}
		got = append(got, h.refusal(q))
	}
	if !slices.Equal(got, []string{"", "", "", "", "quota"}) {
		t.Errorf("refusals %q", got)
	}
}

// Guards against a daemon that uses a share of quotas which others divide: before it is
// registered, after its entry was deleted, or when nobody may know of it any more.
func TestQuotaNeedsAnEntry(t *testing.T) {
	h := newQuotaHarness(t)
	self := h.s.opt.Self
	other := DaemonEntry{Name: "d2", Incarnation: 1, PeerAddress: "10.0.0.2:70", FailureDomain: "b"}
	limit := func() int { return h.s.Tenants()[0].Quota.Limit }
	if got := limit(); got != 4 {
		t.Errorf("limit %d of a single daemon", got)
	}
	h.step(DaemonsListed{Daemons: []DaemonEntry{self, other}})
	h.step(StoreReached{OK: true})
	if got := limit(); got != 2 {
		t.Errorf("limit %d with another daemon", got)
	}
	h.step(DaemonsListed{Daemons: []DaemonEntry{other}})
	if got := limit(); got != 0 {
		t.Errorf("limit %d without an entry", got)
	}
	h.step(Registered{First: true})
	if got := limit(); got != 2 {
		t.Errorf("limit %d with an entry again", got)
	}
	h.advance(maxUnheardHolder + time.Second)
	if got := limit(); got != 0 {
		t.Errorf("limit %d of a daemon that others may have removed", got)
	}
	h.step(StoreReached{OK: true})
	h.advance(time.Second)
	if got := limit(); got != 2 {
		t.Errorf("limit %d after contact", got)
	}
}

// Guards against daemons that differ in who holds shares of quotas, and against holders that
// callers are not sent to.
func TestQuotaHolders(t *testing.T) {
	for _, x := range []struct{ large, small, want int }{{1, 0, 1}, {3, 0, 3}, {8, 0, 8}, {12, 0, 8}, {6, 66, 6}, {5, 67, 9}, {0, 72, 9}, {200, 360, 70}, {30, 530, 70}, {36, 524, 36}} {
		var entries []DaemonEntry
		for i := range x.large + x.small {
			cores := 0.8
			if i >= x.large {
				cores = 0.192
			}
			entries = append(entries, DaemonEntry{Name: fmt.Sprintf("d%d", i), Incarnation: 1, PeerAddress: "10.0.0.1:70", FailureDomain: []string{"a", "b", "c"}[i%3], Cores: cores})
		}
		var first []string
		for _, self := range []int{0, len(entries) - 1} {
			h := newHarnessWith(t, Options{Self: entries[self]})
			h.step(DaemonsListed{Daemons: entries})
			holders := h.s.quotaHolders()
			if len(holders) != x.want {
				t.Errorf("%d large and %d small: %d holders, want %d", x.large, x.small, len(holders), x.want)
			}
			if first == nil {
				first = holders
			}
			if !slices.Equal(holders, first) {
				t.Errorf("%d large and %d small: daemons differ: %v and %v", x.large, x.small, first, holders)
			}
		}
	}
}

// Guards against gossip that a deployment without limits of tenants did not have, and
// against a change of demand that reaches the others late.
func TestQuotaGossip(t *testing.T) {
	for _, limited := range []bool{false, true} {
		h := newHarnessWith(t, Options{Quota: quota.Bounds{Window: 5 * time.Second}})
		h.now = h.now.Add(time.Second)
		h.listLeafs(2, "s")
		route, tenants := plainRoute("/a/", "s"), []*tenant.Tenant{keyHolder("a", "a")}
		if limited {
			tenants = []*tenant.Tenant{limitedTenant("a", 0.4, 2)}
		}
		h.configureTenants(1, tenants, route)
		h.step(DaemonsListed{Daemons: []DaemonEntry{h.s.opt.Self, {Name: "d2", Incarnation: 1, PeerAddress: "10.0.0.2:70", FailureDomain: "b"}}})
		h.step(Registered{First: true})
		h.advance(2*time.Second + 50*time.Millisecond)
		h.otherEffects = nil
		for range 6 {
			h.finish(h.requestWithKey("/a/", "a", time.Second))
		}
		h.advance(quotaGossipInterval)
		told := false
		for _, e := range h.otherEffects {
			if g, ok := e.(Gossip); ok {
				told = told || len(g.Sections.Quota) > 0 && g.Sections.Quota[0].WantedShare > 0
				if !limited && !g.Sections.empty() {
					t.Errorf("sections %+v", g.Sections)
				}
			}
		}
		if told != limited {
			t.Errorf("limited %v: told %v", limited, told)
		}
	}
}
