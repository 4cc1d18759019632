package slots

import (
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// warmServer has a limit of all its slots from the start.
var warmServer = model.BackendServer{Slots: 2, Cold: model.ColdStart{Slots: 2, Requests: 1}}

// coldServer starts with a limit of one of its four slots.
var coldServer = model.BackendServer{Slots: 4, Cold: model.ColdStart{Slots: 1, Requests: 2}}

// Guards against bulk work that starves behind urgent work, and against bulk
// work that gets more than its guaranteed starts.
func TestBulkGetsOneStartInTen(t *testing.T) {
	h := newHarness(t, testBundle(model.RoutingOwned, 100, model.BackendServer{Slots: 1}))
	h.execute(20, model.SubRequest{Class: model.Bulk, Deadline: model.Never})
	h.execute(1, model.SubRequest{Class: model.Urgent, Deadline: model.Never})
	bulk := 0
	for range 100 {
		h.execute(1, model.SubRequest{Class: model.Urgent, Deadline: model.Never})
		h.answer(0, model.OutcomeOK, false)
		if h.calls[0].sub.Class == model.Bulk {
			bulk++
		}
	}
	if bulk != 10 {
		t.Errorf("%d of 100 starts were bulk, want 10", bulk)
	}
}

// Guards against a caller that fills the queue at the expense of another, and
// against urgent work that is refused because bulk work is queued.
func TestFullQueueRefusesCallerOverItsShare(t *testing.T) {
	h := newHarness(t, testBundle(model.RoutingOwned, 10, model.BackendServer{Slots: 1}))
	greedy := h.execute(11, model.SubRequest{Caller: "x"})
	modest := h.execute(1, model.SubRequest{Caller: "y"})
	if got := h.outcome(greedy); got != model.OutcomeQueueFull {
		t.Errorf("newest task of the greedy caller: outcome %v, want queue_full", got)
	}
	if again := h.execute(1, model.SubRequest{Caller: "x"}); h.outcome(again) != model.OutcomeQueueFull {
		t.Errorf("next task of the greedy caller: outcome %v, want queue_full", h.outcome(again))
	}
	h.answer(0, model.OutcomeOK, false)
	h.answer(0, model.OutcomeOK, false)
	if got := h.calls[0].sub.Attempt; got != modest {
		t.Errorf("second start is attempt %d, want the modest caller's %d", got, modest)
	}

	h = newHarness(t, testBundle(model.RoutingOwned, 10, model.BackendServer{Slots: 1}))
	bulk := h.execute(11, model.SubRequest{Class: model.Bulk})
	urgent := h.execute(10, model.SubRequest{Class: model.Urgent})
	if got := h.outcome(bulk); got != model.OutcomeQueueFull {
		t.Errorf("newest bulk task: outcome %v, want queue_full", got)
	}
	if h.outcome(urgent-1) != model.OutcomeUnknown || h.outcome(urgent) != model.OutcomeQueueFull {
		t.Errorf("ninth urgent task: outcome %v, want unknown (still queued); tenth: %v, want queue_full", h.outcome(urgent-1), h.outcome(urgent))
	}
	if n := h.state.servers["b1"].queue.classes[model.Bulk].length; n != 1 {
		t.Errorf("%d bulk tasks are queued, want only the reserved one", n)
	}
}

// Guards against new work for a drained server, including work that is already
// queued, and against a lagging status that reopens a server that has just
// refused work.
func TestDrainedServerGetsNoWork(t *testing.T) {
	h := newHarness(t, testBundle(model.RoutingOwned, 10, warmServer))
	waiting := h.execute(3, model.SubRequest{})
	h.view.controls.Drains = []model.Drain{{Server: "b1"}}
	h.step(h.state.Refresh)
	refused := h.execute(1, model.SubRequest{})
	if h.outcome(waiting) != model.OutcomeDrained || h.outcome(refused) != model.OutcomeDrained {
		t.Errorf("queued task: outcome %v, new task: %v, want drained for both", h.outcome(waiting), h.outcome(refused))
	}
	if len(h.calls) != 2 || h.state.Reports()[0].Usable {
		t.Errorf("%d calls go on, want 2; report %+v, want not usable", len(h.calls), h.state.Reports()[0])
	}
	h.view.controls.Drains[0].Until = int64(h.now)/1e6 + 1000
	h.answer(0, model.OutcomeOK, false)
	h.answer(0, model.OutcomeOK, false)
	h.advance(2100 * time.Millisecond)
	if h.execute(1, model.SubRequest{}); len(h.calls) != 1 {
		t.Fatal("the drain did not end by itself")
	}
	h.answer(0, model.OutcomeDrained, false)
	h.reportStatus(event.BackendStatus{Draining: false})
	if late := h.execute(1, model.SubRequest{}); h.outcome(late) != model.OutcomeDrained {
		t.Errorf("after the server refused work as draining: outcome %v, want drained", h.outcome(late))
	}
	h.advance(minDrainHold)
	h.reportStatus(event.BackendStatus{Draining: false})
	if h.execute(1, model.SubRequest{}); len(h.calls) != 1 {
		t.Error("no work was sent after the status reported the end of the drain")
	}
}

// Guards against work for a server that was drained before this daemon first
// sent to it or learned that it owns it.
func TestDrainBeforeTheFirstSend(t *testing.T) {
	for _, routing := range []model.Routing{model.RoutingOwned, model.RoutingDirect} {
		h := newHarness(t, testBundle(routing, 10, warmServer))
		h.state = New(&Config{View: h.view})
		h.view.controls.TakeOuts = []model.TakeOut{{FailureDomain: "osijek-a"}}
		if a := h.execute(1, model.SubRequest{}); h.outcome(a) != model.OutcomeDrained {
			t.Errorf("routing %s: outcome %v, want drained", routing, h.outcome(a))
		}
	}
	h := newHarness(t, testBundle(model.RoutingOwned, 10, warmServer))
	h.state = New(&Config{View: h.view})
	waiting := h.execute(3, model.SubRequest{})
	h.view.controls.TakeOuts = []model.TakeOut{{FailureDomain: "osijek-a"}}
	h.step(h.state.Refresh)
	if got := h.outcome(waiting); got != model.OutcomeDrained {
		t.Errorf("queued work: outcome %v, want drained", got)
	}
}

// Guards against a limit that a status raises, that does not rise with
// successful answers, or that is not lowered for a shed request or a cold or
// slow server.
func TestRampFollowsAnswers(t *testing.T) {
	h := newHarness(t, testBundle(model.RoutingOwned, 10, coldServer))
	want := func(n int, why string) {
		t.Helper()
		if got := h.limit(); got != n {
			t.Fatalf("%s: limit %d, want %d", why, got, n)
		}
	}
	for range 10 {
		h.reportStatus(event.BackendStatus{Cold: false})
	}
	want(1, "status reports that the server is warm")
	h.serve(6, time.Millisecond)
	want(4, "six successful answers")
	h.execute(1, model.SubRequest{})
	h.answer(0, model.OutcomeShed, false)
	want(2, "shed")
	h.serve(4, time.Millisecond)
	want(4, "four successful answers")
	h.execute(2, model.SubRequest{})
	h.answer(0, model.OutcomeOK, true)
	want(1, "cold answer")
	h.answer(0, model.OutcomeOK, true)
	want(2, "the second answer of a server that stays cold")
	h.serve(40, time.Millisecond)
	h.serve(slowCount-1, 50*time.Millisecond)
	want(4, "a few stragglers")
	h.serve(1, 50*time.Millisecond)
	want(1, "a slow server")
	h.serve(6, time.Millisecond)
	h.advance(coldStatusIgnoreTime)
	h.reportStatus(event.BackendStatus{Cold: true})
	want(1, "a cold status without recent answers")
}

// Guards against a limit that is kept although it is out of date, and against
// a needless restart of the ramp after a short loss of ownership.
func TestLimitAfterRegainedOwnership(t *testing.T) {
	h := newHarness(t, testBundle(model.RoutingOwned, 10, coldServer))
	if h.warmConnections["b1"] != 4 || h.polls != 1 {
		t.Fatalf("after gaining the server: %d warm connections and %d status reads, want 4 and 1", h.warmConnections["b1"], h.polls)
	}
	h.serve(6, time.Millisecond)
	loseAndRegain := func(d time.Duration) {
		running := h.execute(5, model.SubRequest{Deadline: h.now.Add(10 * time.Second)}) - 4
		h.view.owned["b1"] = false
		h.step(h.state.Refresh)
		if h.warmConnections["b1"] != 0 || len(h.state.Reports()) != 0 || len(h.calls) != 4 {
			t.Fatalf("after losing the server: %d warm connections, reports %v, %d calls, want 0, none, 4", h.warmConnections["b1"], h.state.Reports(), len(h.calls))
		}
		if got := h.outcome(running + 4); got != model.OutcomeNotOwner {
			t.Fatalf("queued work after the loss: outcome %v, want not_owner", got)
		}
		for len(h.calls) > 0 {
			h.answer(0, model.OutcomeOK, false)
		}
		h.advance(d)
		h.view.owned["b1"] = true
		h.step(h.state.Refresh)
	}
	loseAndRegain(time.Second)
	if got := h.limit(); got != 4 {
		t.Errorf("limit %d after a short loss, want 4", got)
	}
	loseAndRegain(limitMaxAge)
	if got := h.limit(); got != 1 {
		t.Errorf("limit %d after a long loss, want cold.slots", got)
	}
}

// Guards against sending work that cannot end in time, and against an estimate
// from stragglers that refuses all work for ever.
func TestWorkThatMissesItsDeadlineIsNotSent(t *testing.T) {
	h := newHarness(t, testBundle(model.RoutingOwned, 10, model.BackendServer{Slots: 1}))
	h.serve(20, 20*time.Millisecond)
	h.execute(1, model.SubRequest{})
	short := h.execute(1, model.SubRequest{Deadline: h.now.Add(30 * time.Millisecond)})
	if got := h.outcome(short); got != model.OutcomeExpired {
		t.Errorf("40 ms of wait and service time with 30 ms to the deadline: outcome %v, want expired", got)
	}
	waiting := h.execute(1, model.SubRequest{Deadline: h.now.Add(50 * time.Millisecond)})
	h.advance(50 * time.Millisecond)
	if got := h.outcome(waiting); got != model.OutcomeExpired {
		t.Errorf("queued until the deadline passed: outcome %v, want expired", got)
	}
	h.answer(0, model.OutcomeOK, false)
	if h.execute(1, model.SubRequest{Deadline: h.now.Add(time.Millisecond)}); len(h.calls) != 1 {
		t.Error("an idle server got no work because of its estimated service time")
	}
	h.view.lease = 10 * time.Millisecond
	h.answer(0, model.OutcomeOK, false)
	h.execute(1, model.SubRequest{})
	if got := h.calls[0].until; got != h.now.Add(10*time.Millisecond) {
		t.Errorf("deadline of the call is %d, want the end of the lease", got)
	}
}

// Guards against work sent after the lease ended while the request was queued.
func TestNoStartWithoutTheLease(t *testing.T) {
	h := newHarness(t, testBundle(model.RoutingOwned, 10, model.BackendServer{Slots: 1}))
	h.execute(1, model.SubRequest{})
	waiting := h.execute(1, model.SubRequest{})
	h.view.lease = 0
	h.answer(0, model.OutcomeOK, false)
	if got := h.outcome(waiting); len(h.calls) != 0 || got != model.OutcomeNotOwner {
		t.Errorf("%d calls without a lease; queued work: outcome %v, want not_owner", len(h.calls), got)
	}
	if late := h.execute(1, model.SubRequest{}); h.outcome(late) != model.OutcomeNotOwner {
		t.Errorf("new work: outcome %v, want not_owner", h.outcome(late))
	}
}

// Guards against a server that fails at once and so attracts all work, and
// against one that is never tried again.
func TestFailingServerIsTriedRarely(t *testing.T) {
	h := newHarness(t, testBundle(model.RoutingOwned, 100, coldServer))
	tries := 0
	for range 1000 {
		h.execute(1, model.SubRequest{Deadline: h.now.Add(100 * time.Millisecond)})
		for len(h.calls) > 0 {
			tries++
			h.answer(0, model.OutcomeUnreachable, false)
		}
		h.advance(time.Millisecond)
	}
	if tries < unusableFailures+2 || tries > 20 {
		t.Errorf("%d tries in a second", tries)
	}
	h.advance(maxPause)
	h.serve(10, time.Millisecond)
	if got := h.state.Reports()[0]; !got.Usable || got.Limit != 4 {
		t.Errorf("report after successful answers: %+v, want usable with limit 4", got)
	}
}

// Guards against unequal conditions in the comparison of routings: those
// without an owner must not depend on ownership or on the owner's limit.
func TestRoutingsWithoutOwner(t *testing.T) {
	def := model.BackendServer{Slots: 16, Cold: model.ColdStart{Slots: 16, Requests: 1}}
	for routing, want := range map[model.Routing]int{
		model.RoutingOwned: 0, model.RoutingDirect: 40, model.RoutingShare: 2, model.RoutingAdaptive: 1,
	} {
		h := newHarness(t, testBundle(routing, 100, def))
		h.view.owned["b1"] = false
		h.step(h.state.Refresh)
		h.execute(40, model.SubRequest{})
		if len(h.calls) != want {
			t.Errorf("%s: %d calls, want %d", routing, len(h.calls), want)
		}
		if routing != model.RoutingAdaptive {
			continue
		}
		h.serve(30, time.Millisecond)
		grown := len(h.calls)
		h.answer(0, model.OutcomeTimeout, false)
		if v := h.state.servers["b1"]; grown < 4 || v.adaptive.value() >= grown {
			t.Errorf("adaptive routing: %d calls after 30 answers, want at least 4; limit %d after a timeout, want less than that", grown, v.adaptive.value())
		}
	}
}

// Guards against reports that peers would take for old ones, that list
// versions which the server refused, or that call a failing server usable.
func TestReportsFollowAnswersAndStatus(t *testing.T) {
	h := newHarness(t, testBundle(model.RoutingOwned, 10, warmServer))
	serves := []model.Serving{{Layout: "l", Shard: "s", Versions: []uint64{1, 2}}}
	before := h.state.Reports()[0].Sequence
	h.reportStatus(event.BackendStatus{Serves: serves})
	r := h.state.Reports()[0]
	if r.Sequence <= before || !sameServes(r.Serves, serves) {
		t.Fatalf("report %+v after a status with versions; previous sequence: %d", r, before)
	}
	h.execute(1, model.SubRequest{Shard: "s", Snapshot: model.Snapshot{Layout: "l", IndexVersion: 1}})
	h.answer(0, model.OutcomeVersionGone, false)
	h.reportStatus(event.BackendStatus{Serves: serves}) // Still lists version 1.
	if got := h.state.Reports()[0].Serves[0].Versions; len(got) != 1 || got[0] != 2 {
		t.Errorf("versions %v, want 2 only", got)
	}
	for range unusableFailures {
		h.execute(1, model.SubRequest{})
		h.answer(0, model.OutcomeUnreachable, false)
	}
	if h.state.Reports()[0].Usable {
		t.Error("usable after consecutive failures")
	}
	h.reportStatus(event.BackendStatus{Serves: serves})
	if !h.state.Reports()[0].Usable {
		t.Error("unusable after a successful status read")
	}
}

// Guards against calls to the old address of a server that moved, and against
// work left queued for a server that the bundle no longer has.
func TestMovedAndRemovedServers(t *testing.T) {
	h := newHarness(t, testBundle(model.RoutingOwned, 10, warmServer, warmServer))
	h.execute(2, model.SubRequest{Server: "b2"})
	waiting := h.execute(1, model.SubRequest{Server: "b2"})
	moved := testBundle(model.RoutingOwned, 10, warmServer)
	moved.Servers[0].Address = "127.0.0.1:9"
	h.view.bundle = moved
	moved.Servers[0].Cold.Slots = 1
	h.step(h.state.Refresh)
	if got := h.outcome(waiting); got != model.OutcomeNotOwner {
		t.Errorf("queued work of a removed server: outcome %v, want not_owner", got)
	}
	if got := h.limit(); got != 1 {
		t.Errorf("limit %d at the new address, want cold.slots", got)
	}
	h.answer(0, model.OutcomeOK, false)
	h.answer(0, model.OutcomeOK, false)
	h.execute(1, model.SubRequest{})
	for _, e := range h.effects[len(h.effects)-1:] {
		if c, ok := e.(effect.CallBackend); !ok || c.Address != "127.0.0.1:9" {
			t.Errorf("effect %+v, want a call to the new address", e)
		}
	}
	if got := h.state.Reports(); len(got) != 1 {
		t.Errorf("reports %+v, want one", got)
	}
}

// Measures the time per event on a daemon that owns 40 servers with full
// queues.
func BenchmarkEvents(b *testing.B) {
	defs := make([]model.BackendServer, 40)
	for i := range defs {
		defs[i] = model.BackendServer{Slots: 6, Cold: model.ColdStart{Slots: 6, Requests: 1}}
	}
	f := &fakeView{bundle: testBundle(model.RoutingOwned, 100, defs...), owned: map[model.ServerName]bool{}, lease: time.Second}
	for i := range defs {
		f.owned[f.bundle.Servers[i].Name] = true
	}
	s := New(&Config{View: f})
	out := &effect.List{}
	s.Refresh(event.Meta{}, out)
	var attempt, answered model.AttemptID
	var calls []model.AttemptID
	b.ReportAllocs()
	for b.Loop() {
		m := event.Meta{Now: model.Time(attempt) * 1000}
		attempt++
		out.Effects = out.Effects[:0]
		sub := model.SubRequest{Attempt: attempt, Caller: "x", Class: model.Class(attempt % 3), Deadline: m.Now.Add(time.Second), Server: f.bundle.Servers[attempt%40].Name}
		s.ExecuteArrived(m, event.ExecuteArrived{Stream: event.Stream{From: entry, ID: event.StreamID(attempt)}, Subs: []model.SubRequest{sub}}, out)
		if len(s.tasks) > 2000 {
			r := model.SubResult{Attempt: calls[0], Outcome: model.OutcomeOK, ServiceTime: time.Millisecond}
			calls = calls[1:]
			s.BackendAnswered(m, event.BackendAnswered{From: entry, Result: r}, out)
			answered++
		}
		if s.NextWake() <= m.Now {
			s.Tick(m, out)
		}
		for _, e := range out.Effects {
			if c, ok := e.(effect.CallBackend); ok {
				calls = append(calls, c.Sub.Attempt)
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(attempt+answered), "ns/event")
}

// Guards against a shard that is unusable until the new owners of its replicas
// have read their status.
func TestNewOwnerKeepsReportedVersions(t *testing.T) {
	h := newHarness(t, testBundle(model.RoutingOwned, 10, warmServer))
	h.view.owned["b1"] = false
	h.step(h.state.Refresh)
	serves := []model.Serving{{Layout: "l", Shard: "s", Versions: []uint64{3}}}
	h.view.reports = map[model.ServerName]model.ServerReport{"b1": {Server: "b1", Serves: serves}}
	h.view.owned["b1"] = true
	h.step(h.state.Refresh)
	if r := h.state.Reports()[0]; !r.Usable || !sameServes(r.Serves, serves) {
		t.Errorf("report before the first status: %+v, want usable with the versions reported before", r)
	}
}

// Guards against a frozen server that stays in use until three status reads
// have failed, and against a server taken to be silent although it answers
// status reads.
func TestSilentServerIsUnusable(t *testing.T) {
	for _, frozen := range []bool{true, false} {
		h := newHarness(t, testBundle(model.RoutingOwned, 10, warmServer))
		h.reportStatus(event.BackendStatus{})
		polls := h.polls
		for range 20 {
			h.advance(50 * time.Millisecond)
			id := h.execute(1, model.SubRequest{})
			h.advance(10 * time.Millisecond)
			cancel := event.CancelArrived{From: entry, Attempts: []model.AttemptID{id}}
			h.step(func(m event.Meta, out *effect.List) { h.state.CancelArrived(m, cancel, out) })
			if len(h.calls) > 0 {
				h.answer(0, model.OutcomeCanceled, false)
			}
			if !frozen && h.polls > polls {
				polls = h.polls
				h.reportStatus(event.BackendStatus{})
			}
		}
		if h.polls == polls && frozen {
			t.Error("the status of a silent server was not read")
		}
		if usable := h.state.Reports()[0].Usable; usable == frozen {
			t.Errorf("frozen %t: usable is %t after 1.2 s of canceled calls", frozen, usable)
		}
		h.reportStatus(event.BackendStatus{})
		if !h.state.Reports()[0].Usable {
			t.Error("unusable after the server answered a status read")
		}
	}
}
