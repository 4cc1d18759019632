package query

import (
	"slices"
	"strings"
	"testing"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Guards against merging results of two snapshots after a query moved to the
// second.
func TestMoveDiscardsEarlierSnapshot(t *testing.T) {
	h := newHarness(t, 3)
	tok := h.query("a", nil)
	old := h.takeSubs()
	if got := old[0].sub.Snapshot; got != (model.Snapshot{Layout: "l1", IndexVersion: 5}) {
		t.Fatalf("pinned %v", got)
	}
	h.deliver(old[0].result(model.OutcomeOK))
	for s := range h.view.reports {
		h.view.setVersions(s, 5, 6)
	}
	gone := old[1].result(model.OutcomeVersionGone)
	gone.Result.Versions = []uint64{6}
	h.deliver(gone)
	moved := h.takeSubs()
	if len(moved) != 3 {
		t.Fatalf("moved %d shards, want all 3", len(moved))
	}
	if !slices.Contains(h.out.Effects, effect.Effect(effect.CloseExecute{Stream: old[2].stream})) {
		t.Error("attempts of the earlier snapshot were not canceled")
	}
	for s := range h.view.reports {
		h.view.setVersions(s, 6, 7)
	}
	h.deliver(moved[0].result(model.OutcomeVersionGone))
	moved = append(moved[1:], h.takeSubs()...)
	if len(moved) != 3 {
		t.Fatalf("moved again: %+v", moved)
	}
	h.deliver(old[2].result(model.OutcomeOK))
	crossed := old[2].result(model.OutcomeOK)
	crossed.Stream = moved[2].stream
	h.deliver(crossed)
	for _, x := range moved {
		stale := x.result(model.OutcomeOK)
		stale.Result.Snapshot = old[0].sub.Snapshot
		h.deliver(stale)
		h.deliver(x.result(model.OutcomeOK))
	}
	a := h.wantAnswer(tok)
	if !a.Complete || a.Snapshot.IndexVersion != 6 || a.Attempts != 7 {
		t.Fatalf("wrong answer: %+v", a)
	}
	for _, it := range a.Items {
		if !strings.HasSuffix(it.ID, "@6") {
			t.Errorf("item %s is of another snapshot", it.ID)
		}
	}
	if h.state.Counts().DroppedResults != 5 {
		t.Errorf("dropped %d results, want 5", h.state.Counts().DroppedResults)
	}
	h.checkFreed()
}

// Guards against overlooking a layout that becomes ready while a shard waits,
// and against using the shards of the previous layout after the move.
func TestMoveToFewerShards(t *testing.T) {
	h := newHarness(t, 4)
	h.view.addLayout(false)
	tok := h.query("a", nil)
	for _, x := range h.takeSubs() {
		h.deliver(x.result(model.OutcomeVersionGone))
	}
	for _, x := range h.takeSubs() {
		h.deliver(x.result(model.OutcomeVersionGone))
	}
	svc := &h.view.bundle.Services[0]
	svc.Layouts = svc.Layouts[:1]
	h.view.addLayout(true)
	h.advance(retryInterval)
	for _, x := range h.takeSubs() {
		h.deliver(x.result(model.OutcomeOK))
	}
	if a := h.wantAnswer(tok); !a.Complete || a.Asked != 2 || a.Snapshot.Layout != "l2" {
		t.Fatalf("wrong answer: %+v", a)
	}
	h.checkFreed()
}

// Guards against moving to a snapshot that covers fewer shards, and against
// moving more than once.
func TestVersionGoneWithoutNewerSnapshot(t *testing.T) {
	h := newHarness(t, 3)
	h.view.policy().Mode = model.TailFirst
	tok := h.query("a", nil)
	for _, x := range h.takeSubs() {
		if x.sub.Shard != "sh00" {
			h.deliver(x.result(model.OutcomeOK))
			continue
		}
		gone := x.result(model.OutcomeVersionGone)
		gone.Result.Versions = []uint64{6}
		h.deliver(gone)
	}
	for _, x := range h.takeSubs() {
		h.deliver(x.result(model.OutcomeVersionGone))
	}
	a := h.wantAnswer(tok)
	if a.Answered != 2 || a.Missing[0] != (model.MissingShard{Shard: "sh00", Reason: model.MissingVersionGone}) {
		t.Fatalf("wrong answer: %+v", a)
	}
}

// Guards against accepting a result that does not belong to a live attempt.
func TestBadResultsAreDropped(t *testing.T) {
	cases := map[string]func(e *event.SubResultArrived, other sentSubRequest){
		"stream":    func(e *event.SubResultArrived, _ sentSubRequest) { e.Stream += 100 },
		"attempt":   func(e *event.SubResultArrived, _ sentSubRequest) { e.Result.Attempt += 100 },
		"crossed":   func(e *event.SubResultArrived, o sentSubRequest) { e.Result.Attempt = o.sub.Attempt },
		"shard":     func(e *event.SubResultArrived, o sentSubRequest) { e.Result.Shard = o.sub.Shard },
		"server":    func(e *event.SubResultArrived, o sentSubRequest) { e.Result.Server = o.sub.Server },
		"layout":    func(e *event.SubResultArrived, _ sentSubRequest) { e.Result.Snapshot.Layout = "l0" },
		"version":   func(e *event.SubResultArrived, _ sentSubRequest) { e.Result.Snapshot.IndexVersion = 4 },
		"truncated": func(e *event.SubResultArrived, _ sentSubRequest) { e.Result.Count++ },
		"not sent": func(e *event.SubResultArrived, o sentSubRequest) {
			e.Result.Shard, e.Result.Outcome = o.sub.Shard, model.OutcomeNotOwner
		},
	}
	for name, spoil := range cases {
		h := newHarness(t, 2)
		tok := h.query("a", nil)
		subs := h.takeSubs()
		bad := subs[0].result(model.OutcomeOK)
		spoil(&bad, subs[1])
		h.deliver(bad)
		h.deliver(subs[1].result(model.OutcomeOK))
		h.deliver(subs[1].result(model.OutcomeOK))
		if h.state.Counts().DroppedResults != 2 || len(h.replies) != 0 {
			t.Errorf("%s: dropped %d, replies %d", name, h.state.Counts().DroppedResults, len(h.replies))
		}
		h.advance(500 * ms)
		if a := h.wantAnswer(tok); a.Answered != 1 || a.Missing[0].Reason != model.MissingDeadline {
			t.Errorf("%s: wrong answer: %+v", name, a)
		}
		h.deliver(subs[0].result(model.OutcomeOK))
		retries := h.takeSubs()
		if len(retries) == 1 != (name == "truncated") || len(retries) == 1 && retries[0].sub.Server == subs[0].sub.Server {
			t.Errorf("%s: unexpected retries: %+v", name, retries)
		}
		h.checkFreed()
	}
}

// Guards against wrong coverage, and against not_run for a query of which a
// byte may have left for a backend server.
func TestOutcomesOfLastShard(t *testing.T) {
	for o := model.OutcomeUnknown; o <= model.OutcomeLost; o++ {
		for variant := range 4 {
			testOutcome(t, o, variant&1 == 0, variant&2 == 0)
		}
	}
}

func testOutcome(t *testing.T, o model.Outcome, idempotent, others bool) {
	h := newHarness(t, 2)
	tok := h.query(h.requestID(1), func(e *event.QueryArrived) { e.Request.Idempotent = idempotent })
	var attempts int
	for deadline := h.meta.Now.Add(501 * ms); h.meta.Now < deadline; h.advance(10 * ms) {
		for _, x := range h.takeSubs() {
			if attempts++; x.sub.Shard == "sh00" && others {
				h.deliver(x.result(model.OutcomeOK))
			} else {
				h.deliver(x.result(o))
			}
		}
	}
	ran := !o.NotRun() && o != model.OutcomeOK
	switch {
	case !idempotent && ran:
		h.wantRefusal(tok, model.MayHaveRun)
	case o.NotSent() && !others:
		h.wantRefusal(tok, model.NotRun)
	default:
		a := h.wantAnswer(tok)
		if a.Complete != (o == model.OutcomeOK) || !a.Complete && a.Missing[len(a.Missing)-1].Reason == "" {
			t.Errorf("%v: wrong answer: %+v", o, a)
		}
	}
	if !idempotent && !o.NotSent() && attempts != 2 {
		t.Errorf("%v: %d attempts of a non-idempotent query on 2 shards", o, attempts)
	}
	h.checkFreed()
}

// Guards against treating the attempts of a broken stream as not sent although
// a result shows that the peer received the request.
func TestStreamEnds(t *testing.T) {
	h := newHarness(t, 1)
	tok := h.query(h.requestID(1), nonIdempotent)
	h.endStream(h.takeSubs()[0].stream, false)
	h.wantRefusal(tok, model.MayHaveRun)

	tok = h.query(h.requestID(2), nonIdempotent)
	h.endStream(h.takeSubs()[0].stream, true)
	h.advance(20 * ms)
	retry := h.takeSubs()
	if len(retry) != 1 {
		t.Fatalf("%d retries of an attempt that was not sent", len(retry))
	}
	h.deliver(retry[0].result(model.OutcomeOK))
	h.wantAnswer(tok)

	h = newHarness(t, 2)
	h.view.owners["s00a"], h.view.owners["s01a"] = h.view.owners["s00b"], h.view.owners["s01b"]
	tok = h.query(h.requestID(3), nonIdempotent)
	subs := h.takeSubs()
	h.deliver(subs[0].result(model.OutcomeOK))
	h.endStream(subs[0].stream, true)
	h.wantRefusal(tok, model.MayHaveRun)
	h.checkFreed()
}

// Guards against a retry after the sub-requests' deadline. Its failure would
// change the reason of the missing shard to no_owner.
func TestNoRetryAfterDeadline(t *testing.T) {
	h := newHarness(t, 2)
	tok := h.query("late", nil)
	subs := h.takeSubs()
	h.deliver(subs[0].result(model.OutcomeOK))
	h.advance(500*ms - replyReserve/2)
	h.deliver(subs[1].result(model.OutcomeTimeout))
	for _, x := range h.takeSubs() {
		if x.sub.Attempt > subs[1].sub.Attempt && h.meta.Now.Sub(x.sub.Deadline) >= 0 {
			t.Errorf("attempt %d was sent after its deadline", x.sub.Attempt)
		}
	}
	a := h.wantAnswer(tok)
	if len(a.Missing) != 1 || a.Missing[0].Reason != model.MissingDeadline {
		t.Errorf("wrong answer: %+v", a)
	}
	h.checkFreed()
}
