package query

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// oracle knows what happened to each sub-request, independent of the State.
type oracle struct {
	*harness
	rt *rapid.T
	// twin gets the same events; its effects must be the same.
	twin *State
	// attempts are all sub-requests by request id, outcomes how they ended.
	attempts map[model.RequestID][]sent
	outcomes map[model.AttemptID]model.Outcome
	open     []sent
	tokens   map[event.Token]model.Request
	gone     map[event.Token]bool
}

// step runs one event on both states and checks the effects.
func (o *oracle) step(run func(s *State, out *effect.List)) {
	var twin effect.List
	o.do(func() { run(o.s, &o.out) })
	run(o.twin, &twin)
	if len(twin.Effects) != len(o.out.Effects) || len(twin.Effects) > 0 && !reflect.DeepEqual(o.out, twin) {
		o.rt.Fatalf("effects differ:\n%+v\n%+v", o.out, twin)
	}
	for _, x := range o.subs() {
		o.started(x)
	}
	for _, e := range o.out.Effects {
		if reply, ok := e.(effect.ReplyQuery); ok {
			o.replied(reply)
		}
	}
}

// started checks that a non-idempotent shard has no attempt that may have left.
func (o *oracle) started(x sent) {
	snapshots := map[model.Snapshot]bool{x.sub.Snapshot: true}
	for _, y := range o.attempts[x.sub.RequestID] {
		snapshots[y.sub.Snapshot] = true
		if !x.sub.Idempotent && y.sub.Shard == x.sub.Shard && !o.outcomes[y.sub.Attempt].NotSent() {
			o.rt.Fatalf("%s of %s started again after %v", x.sub.Shard, x.sub.RequestID, o.outcomes[y.sub.Attempt])
		}
	}
	if x.sub.Idempotent && len(snapshots) > 2 {
		o.rt.Fatalf("%s moved twice: %v", x.sub.RequestID, snapshots)
	}
	o.attempts[x.sub.RequestID] = append(o.attempts[x.sub.RequestID], x)
	o.open = append(o.open, x)
}

func (o *oracle) replied(e effect.ReplyQuery) {
	req, ok := o.tokens[e.Token]
	if !ok || o.gone[e.Token] {
		o.rt.Fatalf("unexpected reply to %d", e.Token)
	}
	delete(o.tokens, e.Token)
	if e.Answer != nil {
		o.checkAnswer(req, e.Answer)
		return
	}
	if e.Refusal.Kind == model.MayHaveRun && req.Idempotent {
		o.rt.Fatalf("may_have_run for an idempotent query")
	}
	for _, x := range o.attempts[req.ID] {
		if e.Refusal.Kind != model.MayHaveRun && !o.outcomes[x.sub.Attempt].NotSent() {
			o.rt.Fatalf("%s, but attempt %d ended %v", e.Refusal.Kind, x.sub.Attempt, o.outcomes[x.sub.Attempt])
		}
	}
}

// checkAnswer compares an answer with the results that were delivered for it.
func (o *oracle) checkAnswer(req model.Request, a *model.Answer) {
	shards := map[string]bool{}
	for _, it := range a.Items {
		parts := strings.Split(it.ID, "@")
		if parts[1] != fmt.Sprint(a.Snapshot.IndexVersion) || shards[parts[0]] {
			o.rt.Fatalf("item %s in an answer of %v", it.ID, a.Snapshot)
		}
		shards[parts[0]] = true
		delivered := slices.ContainsFunc(o.attempts[req.ID], func(x sent) bool {
			return string(x.sub.Shard) == parts[0] && x.sub.Snapshot == a.Snapshot &&
				o.outcomes[x.sub.Attempt] == model.OutcomeOK
		})
		if !delivered {
			o.rt.Fatalf("item %s was not delivered", it.ID)
		}
	}
	for _, m := range a.Missing {
		if m.Reason == "" || shards[string(m.Shard)] {
			o.rt.Fatalf("missing %+v of %+v", m, a)
		}
	}
	for _, x := range o.attempts[req.ID] {
		out := o.outcomes[x.sub.Attempt]
		if !req.Idempotent && !a.Complete && !out.NotRun() && out != model.OutcomeOK {
			o.rt.Fatalf("answer, but attempt %d ended %v", x.sub.Attempt, out)
		}
	}
	if len(shards) != a.Answered || a.Asked != a.Answered+len(a.Missing) || a.Complete != (a.Asked == a.Answered) {
		o.rt.Fatalf("coverage of %+v", a)
	}
	if a.Attempts > len(o.attempts[req.ID]) {
		o.rt.Fatalf("%d attempts claimed, %d made", a.Attempts, len(o.attempts[req.ID]))
	}
}

func (o *oracle) arrive() {
	o.token++
	n := rapid.IntRange(0, 5).Draw(o.rt, "id")
	req := model.Request{ID: model.RequestID(fmt.Sprintf("vm0.a.%x-1.%d", 1_000_000, n)),
		Service: "arhiv", Caller: "bench", TopK: 100,
		Deadline: o.meta.Now.Add(time.Duration(rapid.IntRange(1, 400).Draw(o.rt, "deadline")) * ms)}
	if req.Idempotent = n < 3; req.Idempotent {
		req.ID = model.RequestID(fmt.Sprint("q", o.token))
	}
	o.tokens[o.token] = req
	o.step(func(s *State, out *effect.List) {
		s.QueryArrived(o.meta, event.QueryArrived{Token: o.token, Request: req}, out)
	})
}

func (o *oracle) abandon() {
	if o.token == 0 {
		return
	}
	t := event.Token(rapid.IntRange(1, int(o.token)).Draw(o.rt, "token"))
	delete(o.tokens, t)
	o.gone[t] = true
	o.step(func(s *State, out *effect.List) { s.QueryAbandoned(o.meta, event.QueryAbandoned{Token: t}, out) })
}

// result delivers the outcome of an attempt, or a message that must not count.
func (o *oracle) result() {
	if len(o.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(o.open)-1).Draw(o.rt, "attempt")
	x := o.open[i]
	outcome := model.OutcomeOK
	if rapid.Bool().Draw(o.rt, "fails") {
		outcome = model.Outcome(rapid.IntRange(1, int(model.OutcomeLost)).Draw(o.rt, "outcome"))
	}
	e := x.result(outcome)
	e.Result.Versions = []uint64{6}
	switch rapid.IntRange(0, 9).Draw(o.rt, "fault") {
	case 0:
		e.Result.Snapshot.IndexVersion++
	case 1:
		y := o.open[rapid.IntRange(0, len(o.open)-1).Draw(o.rt, "crossed")]
		if e.Stream = y.stream; y.stream == x.stream {
			e.Result.Shard += "x"
		}
	case 2:
		if e.Result.Outcome == model.OutcomeOK {
			e.Result.Count++
			outcome = model.OutcomeFailed
		}
		fallthrough
	default:
		if o.outcomes[x.sub.Attempt] == model.OutcomeUnknown {
			o.outcomes[x.sub.Attempt] = outcome
		}
		if rapid.IntRange(0, 9).Draw(o.rt, "again") > 0 {
			o.open = slices.Delete(o.open, i, i+1)
		}
	}
	o.step(func(s *State, out *effect.List) { s.SubResultArrived(o.meta, e, out) })
}

// end breaks the stream of a random attempt.
func (o *oracle) end() {
	if len(o.open) == 0 {
		return
	}
	e := event.ExecuteEnded{Stream: rapid.SampledFrom(o.open).Draw(o.rt, "ended").stream}
	e.NotSent = rapid.Bool().Draw(o.rt, "not sent") &&
		!slices.ContainsFunc(o.open, func(x sent) bool { return x.stream == e.Stream && o.outcomes[x.sub.Attempt] != 0 })
	o.open = slices.DeleteFunc(o.open, func(x sent) bool {
		if x.stream == e.Stream && o.outcomes[x.sub.Attempt] == 0 {
			o.outcomes[x.sub.Attempt] = model.OutcomeLost
			if e.NotSent && o.s.streams[e.Stream] != nil && o.s.streams[e.Stream].results == 0 {
				o.outcomes[x.sub.Attempt] = model.OutcomeUnreachable
			}
		}
		return x.stream == e.Stream
	})
	o.step(func(s *State, out *effect.List) { s.ExecuteEnded(o.meta, e, out) })
}

func (o *oracle) pass() {
	o.set(o.meta.Now.Add(time.Duration(rapid.IntRange(1, 80).Draw(o.rt, "ms")) * ms))
	o.tick()
}

func (o *oracle) tick() {
	for o.s.NextWake() <= o.meta.Now {
		o.step(func(s *State, out *effect.List) { s.Tick(o.meta, out) })
	}
}

// world changes owners, versions, health and drains.
func (o *oracle) world() {
	server := model.ServerName(fmt.Sprintf("s%02d%s", rapid.IntRange(0, 3).Draw(o.rt, "shard"),
		rapid.SampledFrom([]string{"a", "b"}).Draw(o.rt, "replica")))
	switch rapid.IntRange(0, 5).Draw(o.rt, "change") {
	case 0:
		delete(o.v.owners, server)
	case 1:
		o.v.owners[server] = member("vm1", "d1")
	case 2:
		o.v.versions(server, 5, 6)
	case 3:
		r := o.v.reports[server]
		r.Usable = !r.Usable
		o.v.reports[server] = r
	case 4:
		o.v.versions(server, 4)
		if svc := &o.v.bundle.Services[0]; len(svc.Layouts) > 1 {
			svc.Layouts = svc.Layouts[:1]
			o.v.repartition(true)
		}
	case 5:
		o.v.controls = &model.Controls{Drains: []model.Drain{{Server: server}}}
	}
}

// Guards the invariants under random orders of events: at most once, true
// refusals, true coverage, one snapshot, one reply, nothing left behind, and
// the same effects for the same events.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t, 4)
		h.v.policy().Target = 60 * ms
		if rapid.Bool().Draw(rt, "tail_first") {
			h.v.policy().Mode = model.TailFirst
		}
		if rapid.Bool().Draw(rt, "repartitioned") {
			h.v.repartition(rapid.Bool().Draw(rt, "ready"))
		}
		o := &oracle{harness: h, rt: rt, twin: New(Config{View: h.v}),
			attempts: map[model.RequestID][]sent{}, outcomes: map[model.AttemptID]model.Outcome{},
			tokens: map[event.Token]model.Request{}, gone: map[event.Token]bool{}}
		do := []func(){o.arrive, o.result, o.result, o.result, o.result, o.end, o.pass, o.world, o.abandon}
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			rapid.SampledFrom(do).Draw(rt, "do")()
		}
		o.set(o.meta.Now.Add(2 * time.Second))
		o.tick()
		if len(o.tokens) != 0 {
			rt.Fatalf("no reply to %v", o.tokens)
		}
		h.freed()
	})
}
