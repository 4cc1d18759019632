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

// oracle records what happened to each sub-request, independently of the State,
// and checks the effects against it.
type oracle struct {
	*harness
	rt *rapid.T
	// twin receives the same events as the harness's State and must return the
	// same effects.
	twin *State
	// attempts holds all sub-requests by request id, outcomes how they ended.
	attempts map[model.RequestID][]sentSubRequest
	outcomes map[model.AttemptID]model.Outcome
	// openSubs holds the sub-requests that may still get a result, openQueries
	// the requests without a reply, abandoned the tokens whose callers are
	// gone.
	openSubs    []sentSubRequest
	openQueries map[event.Token]model.Request
	abandoned   map[event.Token]bool
}

// applyBoth applies one event to both states and checks the effects.
func (o *oracle) applyBoth(run func(s *State, out *effect.List)) {
	var twin effect.List
	o.apply(func() { run(o.state, &o.out) })
	run(o.twin, &twin)
	if len(twin.Effects) != len(o.out.Effects) || len(twin.Effects) > 0 && !reflect.DeepEqual(o.out, twin) {
		o.rt.Fatalf("effects differ:\n%+v\n%+v", o.out, twin)
	}
	for _, x := range o.takeSubs() {
		o.checkStarted(x)
	}
	for _, e := range o.out.Effects {
		if reply, ok := e.(effect.ReplyQuery); ok {
			o.checkReply(reply)
		}
	}
}

// checkStarted checks that no earlier attempt at the shard of a non-idempotent
// query may have left, and that a query moves to another snapshot at most once.
func (o *oracle) checkStarted(x sentSubRequest) {
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
	o.openSubs = append(o.openSubs, x)
}

func (o *oracle) checkReply(e effect.ReplyQuery) {
	req, ok := o.openQueries[e.Token]
	if !ok || o.abandoned[e.Token] {
		o.rt.Fatalf("unexpected reply to %d", e.Token)
	}
	delete(o.openQueries, e.Token)
	if e.Answer != nil {
		o.checkAnswer(req, e.Answer)
		return
	}
	if e.Refusal.Kind == model.MayHaveRun && req.Idempotent {
		o.rt.Fatalf("may_have_run for an idempotent query")
	}
	for _, x := range o.attempts[req.ID] {
		if e.Refusal.Kind != model.MayHaveRun && !o.outcomes[x.sub.Attempt].NotSent() {
			o.rt.Fatalf("refused with %s, but attempt %d ended %v", e.Refusal.Kind, x.sub.Attempt, o.outcomes[x.sub.Attempt])
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
		delivered := slices.ContainsFunc(o.attempts[req.ID], func(x sentSubRequest) bool {
			return string(x.sub.Shard) == parts[0] && x.sub.Snapshot == a.Snapshot &&
				o.outcomes[x.sub.Attempt] == model.OutcomeOK
		})
		if !delivered {
			o.rt.Fatalf("item %s was not delivered", it.ID)
		}
	}
	for _, m := range a.Missing {
		if m.Reason == "" || shards[string(m.Shard)] {
			o.rt.Fatalf("wrong missing shard %+v in %+v", m, a)
		}
	}
	for _, x := range o.attempts[req.ID] {
		out := o.outcomes[x.sub.Attempt]
		if !req.Idempotent && !a.Complete && !out.NotRun() && out != model.OutcomeOK {
			o.rt.Fatalf("answered, but attempt %d ended %v", x.sub.Attempt, out)
		}
	}
	if len(shards) != a.Answered || a.Asked != a.Answered+len(a.Missing) || a.Complete != (a.Asked == a.Answered) {
		o.rt.Fatalf("wrong coverage: %+v", a)
	}
	if a.Attempts > len(o.attempts[req.ID]) {
		o.rt.Fatalf("%d attempts claimed, %d made", a.Attempts, len(o.attempts[req.ID]))
	}
}

func (o *oracle) sendQuery() {
	o.token++
	n := rapid.IntRange(0, 5).Draw(o.rt, "id")
	req := model.Request{ID: model.RequestID(fmt.Sprintf("vm0.a.%x-1.%d", 1_000_000, n)),
		Service: "arhiv", Caller: "bench", TopK: 100,
		Deadline: o.meta.Now.Add(time.Duration(rapid.IntRange(1, 400).Draw(o.rt, "deadline")) * ms)}
	if req.Idempotent = n < 3; req.Idempotent {
		req.ID = model.RequestID(fmt.Sprint("q", o.token))
	}
	o.openQueries[o.token] = req
	o.applyBoth(func(s *State, out *effect.List) {
		s.QueryArrived(o.meta, event.QueryArrived{Token: o.token, Request: req}, out)
	})
}

func (o *oracle) abandonQuery() {
	if o.token == 0 {
		return
	}
	t := event.Token(rapid.IntRange(1, int(o.token)).Draw(o.rt, "token"))
	delete(o.openQueries, t)
	o.abandoned[t] = true
	o.applyBoth(func(s *State, out *effect.List) { s.QueryAbandoned(o.meta, event.QueryAbandoned{Token: t}, out) })
}

// result delivers the outcome of an attempt, or a message that must be ignored.
func (o *oracle) result() {
	if len(o.openSubs) == 0 {
		return
	}
	i := rapid.IntRange(0, len(o.openSubs)-1).Draw(o.rt, "attempt")
	x := o.openSubs[i]
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
		y := o.openSubs[rapid.IntRange(0, len(o.openSubs)-1).Draw(o.rt, "crossed")]
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
			o.openSubs = slices.Delete(o.openSubs, i, i+1)
		}
	}
	o.applyBoth(func(s *State, out *effect.List) { s.SubResultArrived(o.meta, e, out) })
}

// breakStream ends the stream of a random open sub-request.
func (o *oracle) breakStream() {
	if len(o.openSubs) == 0 {
		return
	}
	e := event.ExecuteEnded{Stream: rapid.SampledFrom(o.openSubs).Draw(o.rt, "ended").stream}
	e.NotSent = rapid.Bool().Draw(o.rt, "not sent") &&
		!slices.ContainsFunc(o.openSubs, func(x sentSubRequest) bool { return x.stream == e.Stream && o.outcomes[x.sub.Attempt] != 0 })
	o.openSubs = slices.DeleteFunc(o.openSubs, func(x sentSubRequest) bool {
		if x.stream == e.Stream && o.outcomes[x.sub.Attempt] == 0 {
			o.outcomes[x.sub.Attempt] = model.OutcomeLost
			if e.NotSent && o.state.streams[e.Stream] != nil && o.state.streams[e.Stream].received == 0 {
				o.outcomes[x.sub.Attempt] = model.OutcomeUnreachable
			}
		}
		return x.stream == e.Stream
	})
	o.applyBoth(func(s *State, out *effect.List) { s.ExecuteEnded(o.meta, e, out) })
}

func (o *oracle) advanceClock() {
	o.setNow(o.meta.Now.Add(time.Duration(rapid.IntRange(1, 80).Draw(o.rt, "ms")) * ms))
	o.runTimers()
}

func (o *oracle) runTimers() {
	for o.state.NextWake() <= o.meta.Now {
		o.applyBoth(func(s *State, out *effect.List) { s.Tick(o.meta, out) })
	}
}

// changeView changes an owner, versions, a server's health or the drains.
func (o *oracle) changeView() {
	server := model.ServerName(fmt.Sprintf("s%02d%s", rapid.IntRange(0, 3).Draw(o.rt, "shard"),
		rapid.SampledFrom([]string{"a", "b"}).Draw(o.rt, "replica")))
	switch rapid.IntRange(0, 5).Draw(o.rt, "change") {
	case 0:
		delete(o.view.owners, server)
	case 1:
		o.view.owners[server] = member("vm1", "d1")
	case 2:
		o.view.setVersions(server, 5, 6)
	case 3:
		r := o.view.reports[server]
		r.Usable = !r.Usable
		o.view.reports[server] = r
	case 4:
		o.view.setVersions(server, 4)
		if svc := &o.view.bundle.Services[0]; len(svc.Layouts) > 1 {
			svc.Layouts = svc.Layouts[:1]
			o.view.addLayout(true)
		}
	case 5:
		o.view.controls = &model.Controls{Drains: []model.Drain{{Server: server}}}
	}
}

// Guards the invariants under random orders of events: a non-idempotent shard
// runs at most once, refusals and coverage are true, an answer is of one
// snapshot, every query gets one reply, no state is left behind, and the same
// events have the same effects.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t, 4)
		h.view.policy().Target = 60 * ms
		if rapid.Bool().Draw(rt, "tail_first") {
			h.view.policy().Mode = model.TailFirst
		}
		if rapid.Bool().Draw(rt, "repartitioned") {
			h.view.addLayout(rapid.Bool().Draw(rt, "ready"))
		}
		o := &oracle{harness: h, rt: rt, twin: New(Config{View: h.view}),
			attempts: map[model.RequestID][]sentSubRequest{}, outcomes: map[model.AttemptID]model.Outcome{},
			openQueries: map[event.Token]model.Request{}, abandoned: map[event.Token]bool{}}
		actions := []func(){o.sendQuery, o.result, o.result, o.result, o.result, o.breakStream, o.advanceClock, o.changeView, o.abandonQuery}
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			rapid.SampledFrom(actions).Draw(rt, "do")()
		}
		o.setNow(o.meta.Now.Add(2 * time.Second))
		o.runTimers()
		if len(o.openQueries) != 0 {
			rt.Fatalf("no reply to %v", o.openQueries)
		}
		h.checkFreed()
	})
}
