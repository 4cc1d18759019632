package query

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// warmUp runs queries until a latency estimate of 10 ms is known.
func (h *harness) warmUp(queries int) {
	for i := range queries {
		h.query(fmt.Sprintf("warm%d", i), nil)
		subs := h.takeSubs()
		h.advance(10 * ms)
		for _, x := range subs {
			h.deliver(x.result(model.OutcomeOK))
		}
	}
}

// Guards against more hedges than the budget allows, and against leaving the
// slower attempt running.
func TestHedgeBudget(t *testing.T) {
	h := newHarness(t, 10)
	h.view.policy().HedgePercentile = 50
	h.warmUp(20)
	tok := h.query("slow", nil)
	subs := h.takeSubs()
	for _, x := range subs[1:] {
		h.deliver(x.result(model.OutcomeOK))
	}
	h.advance(12 * ms)
	hedges := h.takeSubs()
	if len(hedges) != 1 || hedges[0].sub.Server == subs[0].sub.Server || hedges[0].sub.Shard != subs[0].sub.Shard {
		t.Fatalf("unexpected hedges: %+v", hedges)
	}
	h.deliver(hedges[0].result(model.OutcomeOK))
	if !h.wantAnswer(tok).Complete {
		t.Error("hedge did not complete the answer")
	}
	if !slices.ContainsFunc(h.out.Effects, func(e effect.Effect) bool {
		c, ok := e.(effect.SendCancel)
		return ok && c.Attempts[0] == subs[0].sub.Attempt
	}) {
		t.Error("losing attempt was not canceled")
	}
	for i := range 100 {
		h.query(fmt.Sprint("stuck", i), nil)
		subs := h.takeSubs()
		h.advance(10 * ms)
		for _, x := range subs[4:] {
			h.deliver(x.result(model.OutcomeOK))
		}
		h.advance(time.Second)
		h.takeSubs()
	}
	c := h.state.Counts()
	if limit := uint64(0.05 * float64(c.FirstAttempts)); c.Hedges > limit || c.Hedges < limit/2 {
		t.Errorf("%d hedges of %d first attempts", c.Hedges, c.FirstAttempts)
	}
	h.checkFreed()
}

// Guards against hedging non-idempotent queries and queries with direct
// routing, and against retries instead of hedges with adaptive routing, which
// uses no owners.
func TestHedgeOnlyWhereAllowed(t *testing.T) {
	h := newHarness(t, 2)
	h.warmUp(60)
	h.query(h.requestID(1), nonIdempotent)
	h.advance(time.Second)
	h.view.policy().Routing = model.RoutingDirect
	h.query("direct", nil)
	if n := len(h.sentSubs); h.sentSubs[n-1].peer != self.VM || h.sentSubs[n-1].stream != h.sentSubs[n-2].stream {
		t.Errorf("direct routing opened %+v", h.sentSubs[n-2:])
	}
	h.advance(time.Second)
	if h.state.Counts().Hedges != 0 {
		t.Errorf("%d hedges of queries that must not be hedged", h.state.Counts().Hedges)
	}

	h.view.policy().Routing = model.RoutingAdaptive
	h.takeSubs()
	h.query("adaptive", nil)
	h.advance(15 * ms)
	if c := h.state.Counts(); c.Hedges != 2 || c.Retries != 0 {
		t.Errorf("without owners: %d hedges and %d retries, want 2 and 0", c.Hedges, c.Retries)
	}
}

// Guards against a retry storm when every server fails or sheds.
func TestRetryBudget(t *testing.T) {
	for _, o := range []model.Outcome{model.OutcomeFailed, model.OutcomeShed, model.OutcomeQueueFull} {
		h := newHarness(t, 10)
		for i := range 50 {
			tok := h.query(fmt.Sprint(i), nil)
			for h.replies[tok].Token == 0 {
				for _, x := range h.takeSubs() {
					h.deliver(x.result(o))
				}
				h.advance(25 * ms)
			}
		}
		c := h.state.Counts()
		if limit := uint64(0.1*float64(c.FirstAttempts)) + retryBurst; c.Retries > limit || c.Retries < limit/2 {
			t.Errorf("%v: %d retries of %d first attempts", o, c.Retries, c.FirstAttempts)
		}
		h.checkFreed()
	}
}

// Guards against a tail_first answer after its target, against one that claims
// shards it lacks, and against ending a non-idempotent query at the target.
func TestTailFirst(t *testing.T) {
	h := newHarness(t, 2)
	h.view.policy().Mode, h.view.policy().Target = model.TailFirst, 60*ms
	tok := h.query("a", nil)
	subs := h.takeSubs()
	h.deliver(subs[0].result(model.OutcomeOK))
	h.advance(60*ms - 1)
	if len(h.replies) != 0 {
		t.Fatal("answered before the target")
	}
	h.advance(1)
	if a := h.wantAnswer(tok); a.Answered != 1 || a.Missing[0].Reason != model.MissingDeadline {
		t.Errorf("wrong answer: %+v", a)
	}
	if _, ok := h.out.Effects[len(h.out.Effects)-1].(effect.CloseExecute); !ok {
		t.Error("the straggler's stream was not closed")
	}
	h.checkFreed()

	tok = h.query(h.requestID(1), nonIdempotent)
	h.advance(499 * ms)
	if _, early := h.replies[tok]; early {
		t.Error("gave up a non-idempotent query before its deadline")
	}
	h.advance(ms)
	h.wantRefusal(tok, model.MayHaveRun)
}

// Guards against sending to drained or unusable servers, and against giving up
// a shard whose server gets an owner in time.
func TestReplicaChoice(t *testing.T) {
	h := newHarness(t, 10)
	h.view.policy().Mode = model.TailFirst
	h.view.controls.Drains = []model.Drain{{Server: "s00a"}, {Server: "s03a"}, {Server: "s03b"}}
	for _, s := range []model.ServerName{"s01a", "s04a", "s05a", "s06a", "s07a", "s08a", "s09a"} {
		h.view.reports[s] = model.ServerReport{Server: s, Serves: h.view.reports[s].Serves}
	}
	h.view.reports["s02a"] = model.ServerReport{Server: "s02a", Usable: true, Limit: 2, Load: 8, Serves: h.view.reports["s02a"].Serves}
	owner := h.view.owners["s00b"]
	delete(h.view.owners, "s00b")
	tok := h.query("a", nil)
	for _, x := range h.takeSubs() {
		if want := model.ServerName("s" + string(x.sub.Shard[2:]) + "b"); x.sub.Server != want {
			t.Errorf("sent to %s, want %s", x.sub.Server, want)
		}
		h.deliver(x.result(model.OutcomeOK))
	}
	h.advance(60 * ms)
	h.view.owners["s00b"] = owner
	h.advance(retryInterval)
	h.deliver(h.takeSubs()[0].result(model.OutcomeOK))
	a := h.wantAnswer(tok)
	if a.Answered != 9 || a.Missing[0] != (model.MissingShard{Shard: "sh03", Reason: model.MissingDrained}) {
		t.Errorf("wrong answer: %+v", a)
	}
}

// Guards against waiting until the deadline for an owner that died without
// closing its connections.
func TestRetryAtNewOwner(t *testing.T) {
	h := newHarness(t, 2)
	tok := h.query("a", nil)
	subs := h.takeSubs()
	h.deliver(subs[0].result(model.OutcomeOK))
	dead := subs[1].sub.Server
	successor := member("vm3", "d1")
	h.view.owners[dead] = successor
	h.advance(ownerCheckInterval)
	retry := h.takeSubs()
	if len(retry) != 1 || h.state.Counts().Retries != 1 {
		t.Fatalf("unexpected retries: %+v", retry)
	}
	h.deliver(subs[1].result(model.OutcomeOK))
	h.deliver(retry[0].result(model.OutcomeOK))
	if a := h.wantAnswer(tok); !a.Complete || h.state.Counts().DroppedResults != 1 {
		t.Errorf("wrong answer: %+v", a)
	}
	if slices.Contains(h.out.Effects, effect.Effect(effect.CloseExecute{Stream: subs[1].stream})) {
		t.Error("closed a stream that had delivered everything")
	}
	h.checkFreed()
}

// Guards against choosing a snapshot of which fewer shards are served than of
// another.
func TestSnapshotChoice(t *testing.T) {
	h := newHarness(t, 3)
	svc := &h.view.bundle.Services[0]
	expect := func(key, want string) {
		t.Helper()
		p, known := h.state.chooseSnapshot(&eventContext{Meta: h.meta, out: &h.out}, &snapshotRequest{bundle: h.view.bundle, service: svc, key: key})
		if got := fmt.Sprintf("%s %d %v", p.snapshot.Layout, p.snapshot.IndexVersion, known); got != want {
			t.Errorf("pinned %s, want %s", got, want)
		}
	}
	h.view.setVersions("s00a", 5, 6)
	h.view.setVersions("s01b", 4, 5, 6)
	expect("", "l1 5 true")
	h.view.setVersions("s02a", 6)
	expect("", "l1 6 true")
	h.view.setVersions("s02a", 4)
	h.view.setVersions("s02b", 4)
	expect("", "l1 4 true")
	h.view.setVersions("s00b", 5)
	expect("", "l1 6 true")
	expect("02x", "l1 4 true")
	clear(h.view.reports)
	expect("", "l1 0 false")
	h.wantRefusal(h.query("a", nil), model.NotRun)
}

// Guards against callers that exceed a limit, and against callers that do not
// get their guaranteed share.
func TestAdmission(t *testing.T) {
	h := newHarness(t, 1)
	h.view.policy().MaxInFlight = 8
	as := func(c model.CallerName) func(*event.QueryArrived) {
		return func(e *event.QueryArrived) { e.Request.Caller = c }
	}
	admitted := func(c model.CallerName) bool {
		_, refused := h.replies[h.query("x", as(c))]
		return !refused
	}
	for i := range 6 {
		if !admitted("batch") {
			t.Fatalf("query %d of 6 refused", i)
		}
	}
	if admitted("batch") || !admitted("bench") || !admitted("bench") || admitted("bench") {
		t.Error("caller shares are not kept")
	}
	for tok := range h.state.runs {
		h.state.QueryAbandoned(h.meta, event.QueryAbandoned{Token: tok}, &h.out)
	}
	h.checkFreed()
	h.wantRefusal(h.query("x", as("nobody")), model.Invalid)
	h.wantRefusal(h.query("x", func(e *event.QueryArrived) { e.Request.TopK = -1 }), model.Invalid)
	h.wantRefusal(h.query("x", func(e *event.QueryArrived) { e.Request.Key = "99" }), model.Invalid)
	h.wantRefusal(h.query("x", func(e *event.QueryArrived) { e.Request.Deadline = h.meta.Now }), model.NotRun)
	h.checkFreed()
}

// Guards against lookups that name daemons which take no work.
func TestLookup(t *testing.T) {
	h := newHarness(t, 1)
	lookup := func() (r effect.ReplyLookup) {
		e := event.LookupArrived{Token: 1, Service: "arhiv", Caller: "bench"}
		h.apply(func() { h.state.LookupArrived(h.meta, e, &h.out) })
		return h.out.Effects[len(h.out.Effects)-1].(effect.ReplyLookup)
	}
	r := lookup()
	if len(r.Addresses) != 3 {
		t.Fatalf("unexpected reply to a lookup: %+v", r)
	}
	for _, a := range r.Addresses {
		id, err := parseRequestID(model.RequestID(a.RequestIDPrefix + ".17"))
		if err != nil || id.member.VM != a.VM || id.issued != h.meta.Wall {
			t.Errorf("prefix %s: %+v %v", a.RequestIDPrefix, id, err)
		}
	}
	h.view.controls.TakeOuts = []model.TakeOut{{FailureDomain: "d2"}}
	h.view.peers[1].Leaving = true
	if r = lookup(); len(r.Addresses) != 1 || r.Addresses[0].VM != "vm0" {
		t.Errorf("unexpected reply to a lookup: %+v", r)
	}
	h.view.noLease = true
	if r = lookup(); r.Refusal == nil || r.Refusal.Kind != model.NotRun {
		t.Errorf("unexpected reply to a lookup without a lease: %+v", r)
	}
	h.view.noLease = false
	h.view.peers[0].Serving = false
	if r = lookup(); r.Refusal == nil || r.Refusal.Kind != model.NotRun {
		t.Errorf("unexpected reply to a lookup: %+v", r)
	}
}

// Guards against wrong order, lost items and duplicate ids in the merge.
func TestMergeTop(t *testing.T) {
	item := func(id string, score float64) model.Item { return model.Item{ID: id, Score: score} }
	shards := []shardRun{
		{items: []model.Item{item("b", 1), item("a", 3), item("d", 2)}},
		{},
		{items: []model.Item{item("c", 3), item("a", 2.5), item("e", 0)}},
	}
	for _, k := range []int{3, 5, 40} {
		var got []string
		for _, it := range mergeTop(shards, k) {
			got = append(got, fmt.Sprint(it.ID, it.Score))
		}
		want := []string{"a3", "c3", "d2", "b1", "e0"}
		if !slices.Equal(got, want[:min(k, len(want))]) {
			t.Errorf("top %d: %v", k, got)
		}
	}
}
