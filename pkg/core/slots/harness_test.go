package slots

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// TestMain fixes the seed of the property tests, so that runs can be
// reproduced.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fakeView is a View whose values are set by the test.
type fakeView struct {
	bundle   *model.Bundle
	controls model.Controls
	owned    map[model.ServerName]bool
	lease    time.Duration
	daemons  int
	reports  map[model.ServerName]model.ServerReport
}

func (f *fakeView) Self() model.MemberRef     { return model.MemberRef{VM: "owner", Incarnation: 1} }
func (f *fakeView) Bundle() *model.Bundle     { return f.bundle }
func (f *fakeView) Controls() *model.Controls { return &f.controls }
func (f *fakeView) Daemons() int              { return f.daemons }
func (f *fakeView) Report(s model.ServerName) (model.ServerReport, bool) {
	r, ok := f.reports[s]
	return r, ok
}
func (f *fakeView) MayAct(_ model.Time, s model.ServerName) bool {
	return f.owned[s] && f.lease > 0
}
func (f *fakeView) LeaseUntil(now model.Time) model.Time { return now.Add(f.lease) }

// call is a CallBackend effect that has no answer yet.
type call struct {
	from  model.MemberRef
	sub   model.SubRequest
	until model.Time
}

// harness drives a State, records the effects and checks the calls and the
// results of every stream.
type harness struct {
	t interface {
		Helper()
		Fatalf(string, ...any)
	}
	view            *fakeView
	state           *State
	now             model.Time
	calls           []call
	polls           int
	warmConnections map[model.ServerName]int
	results         map[attemptKey]model.SubResult
	sent            map[attemptKey]bool
	// answered has the outcomes of the calls that ended.
	answered map[attemptKey]model.Outcome
	canceled map[attemptKey]bool
	// streamClosed says for each stream with results whether its last result
	// was sent.
	streamClosed map[event.Stream]bool
	attempt      model.AttemptID
	// held counts calls that were cut off and that their server has not ended
	// yet.
	held    map[model.ServerName]int
	effects []effect.Effect
	// onCall is called with each call before it is added to calls.
	onCall func(call)
}

var entry = model.MemberRef{VM: "entry", Incarnation: 7}

func testBundle(routing model.Routing, queue int, servers ...model.BackendServer) *model.Bundle {
	sh := model.Shard{Name: "s"}
	for i := range servers {
		servers[i].Name = model.ServerName(fmt.Sprintf("b%d", i+1))
		servers[i].Address = fmt.Sprintf("127.0.0.1:%d", 8001+i)
		servers[i].FailureDomain = "osijek-a"
		sh.Replicas = append(sh.Replicas, servers[i].Name)
	}
	b := &model.Bundle{Version: 1, Servers: servers, Services: []model.Service{{
		Name:    "narudzbe-1",
		Policy:  model.Policy{Routing: routing, QueueLimit: queue},
		Callers: []model.Caller{{Name: "x", Share: 0.5}, {Name: "y", Share: 0.5}},
		Layouts: []model.Layout{{Name: "l", Shards: []model.Shard{sh}}},
	}}}
	b.Index()
	return b
}

func newHarness(t *testing.T, b *model.Bundle) *harness {
	h := &harness{
		t: t, now: 1,
		view:            &fakeView{bundle: b, owned: map[model.ServerName]bool{}, lease: 1500 * time.Millisecond, daemons: 8},
		warmConnections: map[model.ServerName]int{},
		results:         map[attemptKey]model.SubResult{},
		sent:            map[attemptKey]bool{},
		streamClosed:    map[event.Stream]bool{},

		answered: map[attemptKey]model.Outcome{},
		canceled: map[attemptKey]bool{},
		held:     map[model.ServerName]int{},
	}
	h.state = New(&Config{View: h.view})
	for i := range b.Servers {
		h.view.owned[b.Servers[i].Name] = true
	}
	h.step(h.state.Refresh)
	return h
}

// step handles one event and applies its effects.
func (h *harness) step(f func(event.Meta, *effect.List)) {
	h.t.Helper()
	var out effect.List
	f(event.Meta{Now: h.now, Wall: int64(h.now) / 1e6}, &out)
	for _, e := range out.Effects {
		h.applyEffect(e)
	}
	h.effects = append(h.effects, out.Effects...)
	wake := h.state.NextWake()
	for _, t := range h.state.tasks {
		if t.state == taskQueued && t.sub.Deadline < wake {
			h.t.Fatalf("next wake at %d, after the deadline %d of attempt %d", wake, t.sub.Deadline, t.sub.Attempt)
		}
	}
}

func (h *harness) applyEffect(e effect.Effect) {
	h.t.Helper()
	switch e := e.(type) {
	case effect.CallBackend:
		key := attemptKey{e.From, e.Sub.Attempt}
		if h.sent[key] {
			h.t.Fatalf("attempt %v was sent twice", key)
		}
		h.sent[key] = true
		c := call{from: e.From, sub: e.Sub, until: e.Deadline}
		if h.onCall != nil {
			h.onCall(c)
		}
		h.calls = append(h.calls, c)
	case effect.SendSubResult:
		key := attemptKey{e.Stream.From, e.Result.Attempt}
		if r, ok := h.results[key]; ok {
			h.t.Fatalf("second result %v of an attempt, after %v", e.Result, r)
		}
		if answered, ok := h.answered[key]; h.sent[key] != ok || ok && e.Result.Outcome != answered {
			h.t.Fatalf("result with outcome %v; call sent: %t, outcome of the call: %v", e.Result.Outcome, h.sent[key], answered)
		}
		if h.streamClosed[e.Stream] {
			h.t.Fatalf("result on the closed stream %v", e.Stream)
		}
		h.results[key], h.streamClosed[e.Stream] = e.Result, e.Last
	case effect.CancelBackend:
		key := attemptKey{e.From, e.Attempt}
		if h.canceled[key] || !h.sent[key] {
			h.t.Fatalf("cancel of attempt %v, which was canceled before or never sent", key)
		}
		h.canceled[key] = true
	case effect.PollBackend:
		h.polls++
	case effect.WarmConnections:
		h.warmConnections[e.Server] = e.Count
	}
}

// execute sends one stream with n sub-requests like sub and returns the last
// attempt.
func (h *harness) execute(n int, sub model.SubRequest) model.AttemptID {
	h.t.Helper()
	e := event.ExecuteArrived{Stream: event.Stream{From: entry, ID: event.StreamID(h.attempt + 1)}}
	sub.Service = "narudzbe-1"
	if sub.Server == "" {
		sub.Server = "b1"
	}
	if sub.Caller == "" {
		sub.Caller = "x"
	}
	if sub.Deadline == 0 {
		sub.Deadline = h.now.Add(time.Second)
	}
	for range n {
		h.attempt++
		sub.Attempt = h.attempt
		e.Subs = append(e.Subs, sub)
	}
	h.step(func(m event.Meta, out *effect.List) { h.state.ExecuteArrived(m, e, out) })
	return h.attempt
}

// answer ends the i-th open call with the server's answer.
func (h *harness) answer(i int, outcome model.Outcome, cold bool) {
	h.t.Helper()
	h.endCall(i, outcome, cold, false)
}

// cutOff ends the i-th open call while the server may still work on it, so
// that its slot is held.
func (h *harness) cutOff(i int, outcome model.Outcome) {
	h.t.Helper()
	h.endCall(i, outcome, false, true)
}

// slotReleased reports the end of the wait for the slot of a call that was cut
// off.
func (h *harness) slotReleased(server model.ServerName, ended bool) {
	h.t.Helper()
	h.step(func(m event.Meta, out *effect.List) {
		h.state.BackendReleased(m, event.BackendReleased{Server: server, Ended: ended}, out)
	})
}

func (h *harness) endCall(i int, outcome model.Outcome, cold, held bool) {
	h.t.Helper()
	c := h.calls[i]
	h.calls = append(h.calls[:i:i], h.calls[i+1:]...)
	r := model.SubResult{Attempt: c.sub.Attempt, Shard: c.sub.Shard, Server: c.sub.Server, Snapshot: c.sub.Snapshot, Outcome: outcome}
	// A draining server says so in an answer, so the request was sent.
	draining := outcome == model.OutcomeDrained
	if draining {
		r.Outcome = model.OutcomeShed
	}
	h.answered[attemptKey{c.from, c.sub.Attempt}] = r.Outcome
	h.step(func(m event.Meta, out *effect.List) {
		h.state.BackendAnswered(m, event.BackendAnswered{From: c.from, Result: r, Cold: cold, Draining: draining, SlotHeld: held}, out)
	})
}

// serve answers n calls successfully, each after the time d.
func (h *harness) serve(n int, d time.Duration) {
	h.t.Helper()
	for range n {
		if len(h.calls) == 0 {
			h.execute(1, model.SubRequest{})
		}
		h.advance(d)
		h.answer(0, model.OutcomeOK, false)
	}
}

func (h *harness) reportStatus(e event.BackendStatus) {
	h.t.Helper()
	if e.Server == "" {
		e.Server = "b1"
	}
	h.step(func(m event.Meta, out *effect.List) { h.state.BackendStatus(m, e, out) })
}

// advance moves the clock by d and ticks whenever the state is due to wake.
func (h *harness) advance(d time.Duration) {
	h.t.Helper()
	end := h.now.Add(d)
	for wake := h.state.NextWake(); wake <= end; wake = h.state.NextWake() {
		h.now = max(h.now, wake)
		h.step(h.state.Tick)
		if h.state.NextWake() <= wake {
			h.t.Fatalf("NextWake does not move past %d after the tick at %d", wake, h.now)
		}
	}
	h.now = end
	for _, t := range h.state.tasks {
		if t.state == taskQueued && t.sub.Deadline <= h.now {
			h.t.Fatalf("attempt %d is still queued at %d, after its deadline %d", t.sub.Attempt, h.now, t.sub.Deadline)
		}
	}
}

func (h *harness) limit() int { return h.state.Reports()[0].Limit }

func (h *harness) outcome(a model.AttemptID) model.Outcome {
	return h.results[attemptKey{entry, a}].Outcome
}

// requireSameEffects fails if two runs of the same events had different
// effects.
func (h *harness) requireSameEffects(other *harness) {
	h.t.Helper()
	if !reflect.DeepEqual(h.effects, other.effects) {
		h.t.Fatalf("the same events gave different effects")
	}
}
