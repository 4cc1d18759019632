package query

import (
	"slices"
	"strings"
	"testing"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Guards against merging results of two snapshots after a move.
func TestMoveDiscardsEarlierSnapshot(t *testing.T) {
	h := newHarness(t, 3)
	tok := h.query("a", nil)
	old := h.subs()
	if got := old[0].sub.Snapshot; got != (model.Snapshot{Layout: "l1", IndexVersion: 5}) {
		t.Fatalf("pinned %v", got)
	}
	h.post(old[0].result(model.OutcomeOK))
	for s := range h.v.reports {
		h.v.versions(s, 5, 6)
	}
	gone := old[1].result(model.OutcomeVersionGone)
	gone.Result.Versions = []uint64{6}
	h.post(gone)
	moved := h.subs()
	if len(moved) != 3 {
		t.Fatalf("moved %d shards, want all 3", len(moved))
	}
	if !slices.Contains(h.out.Effects, effect.Effect(effect.CloseExecute{Stream: old[2].stream})) {
		t.Error("attempts of the earlier snapshot were not canceled")
	}
	for s := range h.v.reports {
		h.v.versions(s, 6, 7)
	}
	h.post(moved[0].result(model.OutcomeVersionGone))
	moved = append(moved[1:], h.subs()...)
	if len(moved) != 3 {
		t.Fatalf("moved again: %+v", moved)
	}
	h.post(old[2].result(model.OutcomeOK))
	crossed := old[2].result(model.OutcomeOK)
	crossed.Stream = moved[2].stream
	h.post(crossed)
	for _, x := range moved {
		stale := x.result(model.OutcomeOK)
		stale.Result.Snapshot = old[0].sub.Snapshot
		h.post(stale)
		h.post(x.result(model.OutcomeOK))
	}
	a := h.answer(tok)
	if !a.Complete || a.Snapshot.IndexVersion != 6 || a.Attempts != 7 {
		t.Fatalf("answer %+v", a)
	}
	for _, it := range a.Items {
		if !strings.HasSuffix(it.ID, "@6") {
			t.Errorf("item %s is of another snapshot", it.ID)
		}
	}
	if h.s.Counts().Dropped != 5 {
		t.Errorf("dropped %d results, want 5", h.s.Counts().Dropped)
	}
	h.freed()
}

// Guards against missing a layout that becomes ready while a shard waits, and
// against using the shards of the layout that was left.
func TestMoveToFewerShards(t *testing.T) {
	h := newHarness(t, 4)
	h.v.repartition(false)
	tok := h.query("a", nil)
	for _, x := range h.subs() {
		h.post(x.result(model.OutcomeVersionGone))
	}
	for _, x := range h.subs() {
		h.post(x.result(model.OutcomeVersionGone))
	}
	svc := &h.v.bundle.Services[0]
	svc.Layouts = svc.Layouts[:1]
	h.v.repartition(true)
	h.advance(resolveDelay)
	for _, x := range h.subs() {
		h.post(x.result(model.OutcomeOK))
	}
	if a := h.answer(tok); !a.Complete || a.Asked != 2 || a.Snapshot.Layout != "l2" {
		t.Fatalf("answer %+v", a)
	}
	h.freed()
}

// Guards against moving to a snapshot that covers less, and more than once.
func TestVersionGoneWithoutNewerSnapshot(t *testing.T) {
	h := newHarness(t, 3)
	h.v.policy().Mode = model.TailFirst
	tok := h.query("a", nil)
	for _, x := range h.subs() {
		if x.sub.Shard != "sh00" {
			h.post(x.result(model.OutcomeOK))
			continue
		}
		gone := x.result(model.OutcomeVersionGone)
		gone.Result.Versions = []uint64{6}
		h.post(gone)
	}
	for _, x := range h.subs() {
		h.post(x.result(model.OutcomeVersionGone))
	}
	a := h.answer(tok)
	if a.Answered != 2 || a.Missing[0] != (model.MissingShard{Shard: "sh00", Reason: model.MissingVersionGone}) {
		t.Fatalf("answer %+v", a)
	}
}

// Guards against taking a result that is not the answer to a live attempt.
func TestBadResultsAreDropped(t *testing.T) {
	cases := map[string]func(e *event.SubResultArrived, other sent){
		"stream":    func(e *event.SubResultArrived, _ sent) { e.Stream += 100 },
		"attempt":   func(e *event.SubResultArrived, _ sent) { e.Result.Attempt += 100 },
		"crossed":   func(e *event.SubResultArrived, o sent) { e.Result.Attempt = o.sub.Attempt },
		"shard":     func(e *event.SubResultArrived, o sent) { e.Result.Shard = o.sub.Shard },
		"server":    func(e *event.SubResultArrived, o sent) { e.Result.Server = o.sub.Server },
		"layout":    func(e *event.SubResultArrived, _ sent) { e.Result.Snapshot.Layout = "l0" },
		"version":   func(e *event.SubResultArrived, _ sent) { e.Result.Snapshot.IndexVersion = 4 },
		"truncated": func(e *event.SubResultArrived, _ sent) { e.Result.Count++ },
		"not sent": func(e *event.SubResultArrived, o sent) {
			e.Result.Shard, e.Result.Outcome = o.sub.Shard, model.OutcomeNotOwner
		},
	}
	for name, spoil := range cases {
		h := newHarness(t, 2)
		tok := h.query("a", nil)
		subs := h.subs()
		bad := subs[0].result(model.OutcomeOK)
		spoil(&bad, subs[1])
		h.post(bad)
		h.post(subs[1].result(model.OutcomeOK))
		h.post(subs[1].result(model.OutcomeOK))
		if h.s.Counts().Dropped != 2 || len(h.replies) != 0 {
			t.Errorf("%s: dropped %d, replies %d", name, h.s.Counts().Dropped, len(h.replies))
		}
		h.advance(500 * ms)
		if a := h.answer(tok); a.Answered != 1 || a.Missing[0].Reason != model.MissingDeadline {
			t.Errorf("%s: answer %+v", name, a)
		}
		h.post(subs[0].result(model.OutcomeOK))
		retries := h.subs()
		if len(retries) == 1 != (name == "truncated") || len(retries) == 1 && retries[0].sub.Server == subs[0].sub.Server {
			t.Errorf("%s: retries %+v", name, retries)
		}
		h.freed()
	}
}

// Guards against wrong coverage and against not_run for a query of which a
// byte may have left.
func TestOutcomesOfLastShard(t *testing.T) {
	for o := model.OutcomeUnknown; o <= model.OutcomeLost; o++ {
		for variant := range 4 {
			testOutcome(t, o, variant&1 == 0, variant&2 == 0)
		}
	}
}

func testOutcome(t *testing.T, o model.Outcome, idempotent, others bool) {
	h := newHarness(t, 2)
	tok := h.query(h.id(1), func(e *event.QueryArrived) { e.Request.Idempotent = idempotent })
	var attempts int
	for deadline := h.meta.Now.Add(501 * ms); h.meta.Now < deadline; h.advance(10 * ms) {
		for _, x := range h.subs() {
			if attempts++; x.sub.Shard == "sh00" && others {
				h.post(x.result(model.OutcomeOK))
			} else {
				h.post(x.result(o))
			}
		}
	}
	ran := !o.NotRun() && o != model.OutcomeOK
	switch {
	case !idempotent && ran:
		h.refusal(tok, model.MayHaveRun)
	case o.NotSent() && !others:
		h.refusal(tok, model.NotRun)
	default:
		a := h.answer(tok)
		if a.Complete != (o == model.OutcomeOK) || !a.Complete && a.Missing[len(a.Missing)-1].Reason == "" {
			t.Errorf("%v: %+v", o, a)
		}
	}
	if !idempotent && !o.NotSent() && attempts != 2 {
		t.Errorf("%v: %d attempts of a non-idempotent query on 2 shards", o, attempts)
	}
	h.freed()
}

// Guards against calling attempts of a broken stream not sent when the peer
// has shown that it received the request.
func TestStreamEnds(t *testing.T) {
	h := newHarness(t, 1)
	tok := h.query(h.id(1), once)
	h.ended(h.subs()[0].stream, false)
	h.refusal(tok, model.MayHaveRun)

	tok = h.query(h.id(2), once)
	h.ended(h.subs()[0].stream, true)
	h.advance(20 * ms)
	retry := h.subs()
	if len(retry) != 1 {
		t.Fatalf("%d retries of an attempt that was not sent", len(retry))
	}
	h.post(retry[0].result(model.OutcomeOK))
	h.answer(tok)

	h = newHarness(t, 2)
	h.v.owners["s00a"], h.v.owners["s01a"] = h.v.owners["s00b"], h.v.owners["s01b"]
	tok = h.query(h.id(3), once)
	subs := h.subs()
	h.post(subs[0].result(model.OutcomeOK))
	h.ended(subs[0].stream, true)
	h.refusal(tok, model.MayHaveRun)
	h.freed()
}

// Guards against a retry after the sub-requests' deadline, whose failure would
// turn the reason of the missing shard into no_owner.
func TestNoRetryAfterDeadline(t *testing.T) {
	h := newHarness(t, 2)
	tok := h.query("late", nil)
	subs := h.subs()
	h.post(subs[0].result(model.OutcomeOK))
	h.advance(500*ms - replyReserve/2)
	h.post(subs[1].result(model.OutcomeTimeout))
	for _, x := range h.subs() {
		if x.sub.Attempt > subs[1].sub.Attempt && h.meta.Now.Sub(x.sub.Deadline) >= 0 {
			t.Errorf("attempt %d was sent after its deadline", x.sub.Attempt)
		}
	}
	a := h.answer(tok)
	if len(a.Missing) != 1 || a.Missing[0].Reason != model.MissingDeadline {
		t.Errorf("answer %+v", a)
	}
	h.freed()
}
