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

// TestMain fixes the seed of the property tests, so that a run can be repeated.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// facts is a View whose facts the test sets.
type facts struct {
	bundle   *model.Bundle
	controls model.Controls
	owned    map[model.ServerName]bool
	lease    time.Duration
	daemons  int
	reports  map[model.ServerName]model.ServerReport
}

func (f *facts) Self() model.MemberRef     { return model.MemberRef{VM: "owner", Incarnation: 1} }
func (f *facts) Bundle() *model.Bundle     { return f.bundle }
func (f *facts) Controls() *model.Controls { return &f.controls }
func (f *facts) Daemons() int              { return f.daemons }
func (f *facts) Report(s model.ServerName) (model.ServerReport, bool) {
	r, ok := f.reports[s]
	return r, ok
}
func (f *facts) MayAct(_ model.Time, s model.ServerName) bool {
	return f.owned[s] && f.lease > 0
}
func (f *facts) LeaseUntil(now model.Time) model.Time { return now.Add(f.lease) }

// call is a CallBackend without an answer.
type call struct {
	from  model.MemberRef
	sub   model.SubRequest
	until model.Time
}

// world runs a State against an oracle: it records what the servers were
// asked to do and checks the results of every stream.
type world struct {
	t interface {
		Helper()
		Fatalf(string, ...any)
	}
	facts   *facts
	state   *State
	now     model.Time
	calls   []call
	polls   int
	warm    map[model.ServerName]int
	results map[attemptKey]model.SubResult
	sent    map[attemptKey]bool
	// answered has the outcomes with which calls ended.
	answered map[attemptKey]model.Outcome
	canceled map[attemptKey]bool
	// last tells for each stream with results whether it was closed.
	last    map[event.Stream]bool
	attempt model.AttemptID
	// held counts calls that were cut off and not yet ended by their server.
	held   map[model.ServerName]int
	record []effect.Effect
	// onCall sees each call before it is recorded.
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

func newWorld(t *testing.T, b *model.Bundle) *world {
	w := &world{
		t: t, now: 1,
		facts:   &facts{bundle: b, owned: map[model.ServerName]bool{}, lease: 1500 * time.Millisecond, daemons: 8},
		warm:    map[model.ServerName]int{},
		results: map[attemptKey]model.SubResult{},
		sent:    map[attemptKey]bool{},
		last:    map[event.Stream]bool{},

		answered: map[attemptKey]model.Outcome{},
		canceled: map[attemptKey]bool{},
		held:     map[model.ServerName]int{},
	}
	w.state = New(&Config{View: w.facts})
	for i := range b.Servers {
		w.facts.owned[b.Servers[i].Name] = true
	}
	w.step(w.state.Refresh)
	return w
}

// step runs one event and takes in its effects.
func (w *world) step(f func(event.Meta, *effect.List)) {
	w.t.Helper()
	var out effect.List
	f(event.Meta{Now: w.now, Wall: int64(w.now) / 1e6}, &out)
	for _, e := range out.Effects {
		w.take(e)
	}
	w.record = append(w.record, out.Effects...)
	wake := w.state.NextWake()
	for _, t := range w.state.tasks {
		if t.state == taskQueued && t.sub.Deadline < wake {
			w.t.Fatalf("next wake at %d, after the deadline %d of attempt %d", wake, t.sub.Deadline, t.sub.Attempt)
		}
	}
}

func (w *world) take(e effect.Effect) {
	w.t.Helper()
	switch e := e.(type) {
	case effect.CallBackend:
		key := attemptKey{e.From, e.Sub.Attempt}
		if w.sent[key] {
			w.t.Fatalf("attempt %v sent twice", key)
		}
		w.sent[key] = true
		c := call{from: e.From, sub: e.Sub, until: e.Deadline}
		if w.onCall != nil {
			w.onCall(c)
		}
		w.calls = append(w.calls, c)
	case effect.SendSubResult:
		key := attemptKey{e.Stream.From, e.Result.Attempt}
		if r, ok := w.results[key]; ok {
			w.t.Fatalf("second result %v after %v", e.Result, r)
		}
		if answered, ok := w.answered[key]; w.sent[key] != ok || ok && e.Result.Outcome != answered {
			w.t.Fatalf("outcome %v, sent: %t, the call's outcome: %v", e.Result.Outcome, w.sent[key], answered)
		}
		if w.last[e.Stream] {
			w.t.Fatalf("result on the closed stream %v", e.Stream)
		}
		w.results[key], w.last[e.Stream] = e.Result, e.Last
	case effect.CancelBackend:
		key := attemptKey{e.From, e.Attempt}
		if w.canceled[key] || !w.sent[key] {
			w.t.Fatalf("cancel of %v, which was canceled before or never sent", key)
		}
		w.canceled[key] = true
	case effect.PollBackend:
		w.polls++
	case effect.WarmConnections:
		w.warm[e.Server] = e.Count
	}
}

// ask sends one stream of sub-requests like the given one.
func (w *world) ask(n int, sub model.SubRequest) model.AttemptID {
	w.t.Helper()
	e := event.ExecuteArrived{Stream: event.Stream{From: entry, ID: event.StreamID(w.attempt + 1)}}
	sub.Service = "narudzbe-1"
	if sub.Server == "" {
		sub.Server = "b1"
	}
	if sub.Caller == "" {
		sub.Caller = "x"
	}
	if sub.Deadline == 0 {
		sub.Deadline = w.now.Add(time.Second)
	}
	for range n {
		w.attempt++
		sub.Attempt = w.attempt
		e.Subs = append(e.Subs, sub)
	}
	w.step(func(m event.Meta, out *effect.List) { w.state.ExecuteArrived(m, e, out) })
	return w.attempt
}

// answer ends the i-th open call.
func (w *world) answer(i int, outcome model.Outcome, cold bool) {
	w.t.Helper()
	w.end(i, outcome, cold, false)
}

// cutOff ends the i-th open call, at which the server may still work.
func (w *world) cutOff(i int, outcome model.Outcome) {
	w.t.Helper()
	w.end(i, outcome, false, true)
}

// released tells how the wait for the slot of a call that was cut off ended.
func (w *world) released(server model.ServerName, ended bool) {
	w.t.Helper()
	w.step(func(m event.Meta, out *effect.List) {
		w.state.BackendReleased(m, event.BackendReleased{Server: server, Ended: ended}, out)
	})
}

func (w *world) end(i int, outcome model.Outcome, cold, held bool) {
	w.t.Helper()
	c := w.calls[i]
	w.calls = append(w.calls[:i:i], w.calls[i+1:]...)
	r := model.SubResult{Attempt: c.sub.Attempt, Shard: c.sub.Shard, Server: c.sub.Server, Snapshot: c.sub.Snapshot, Outcome: outcome}
	// A server that drains says so in an answer, so the request reached it.
	draining := outcome == model.OutcomeDrained
	if draining {
		r.Outcome = model.OutcomeShed
	}
	w.answered[attemptKey{c.from, c.sub.Attempt}] = r.Outcome
	w.step(func(m event.Meta, out *effect.List) {
		w.state.BackendAnswered(m, event.BackendAnswered{From: c.from, Result: r, Cold: cold, Draining: draining, SlotHeld: held}, out)
	})
}

// serve lets each open call take d and end well, n times over.
func (w *world) serve(n int, d time.Duration) {
	w.t.Helper()
	for range n {
		if len(w.calls) == 0 {
			w.ask(1, model.SubRequest{})
		}
		w.advance(d)
		w.answer(0, model.OutcomeOK, false)
	}
}

func (w *world) status(e event.BackendStatus) {
	w.t.Helper()
	if e.Server == "" {
		e.Server = "b1"
	}
	w.step(func(m event.Meta, out *effect.List) { w.state.BackendStatus(m, e, out) })
}

// advance moves the time and ticks whenever the state wants to wake.
func (w *world) advance(d time.Duration) {
	w.t.Helper()
	end := w.now.Add(d)
	for wake := w.state.NextWake(); wake <= end; wake = w.state.NextWake() {
		w.now = max(w.now, wake)
		w.step(w.state.Tick)
		if w.state.NextWake() <= wake {
			w.t.Fatalf("NextWake stays at %d after the tick at %d", wake, w.now)
		}
	}
	w.now = end
	for _, t := range w.state.tasks {
		if t.state == taskQueued && t.sub.Deadline <= w.now {
			w.t.Fatalf("attempt %d waits at %d, after its deadline %d", t.sub.Attempt, w.now, t.sub.Deadline)
		}
	}
}

func (w *world) limit() int { return w.state.Reports()[0].Limit }

func (w *world) outcome(a model.AttemptID) model.Outcome {
	return w.results[attemptKey{entry, a}].Outcome
}

// same fails if two runs of one event sequence had different effects.
func (w *world) same(other *world) {
	w.t.Helper()
	if !reflect.DeepEqual(w.record, other.record) {
		w.t.Fatalf("the same events gave different effects")
	}
}
