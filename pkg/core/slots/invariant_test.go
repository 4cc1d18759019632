package slots

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// closing is how long a server needs to notice a closed connection.
const closing = 3 * time.Millisecond

// command is one random step; its numbers choose among what is possible.
type command struct{ kind, a, b, c int }

var commands = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) command {
	number := rapid.IntRange(0, 999)
	return command{rapid.IntRange(0, 12).Draw(t, "kind"), number.Draw(t, "a"), number.Draw(t, "b"), number.Draw(t, "c")}
}), 40, 300)

var outcomes = []model.Outcome{
	model.OutcomeOK, model.OutcomeOK, model.OutcomeOK, model.OutcomeOK, model.OutcomeTimeout, model.OutcomeCanceled,
	model.OutcomeOK, model.OutcomeOK, model.OutcomeOK, model.OutcomeOK, model.OutcomeTimeout, model.OutcomeCanceled,
	model.OutcomeShed, model.OutcomeFailed, model.OutcomeUnreachable, model.OutcomeDrained, model.OutcomeVersionGone,
}

func (w *world) run(c command) {
	server := w.facts.bundle.Servers[c.a%len(w.facts.bundle.Servers)].Name
	switch c.kind {
	case 0, 1, 2:
		w.ask(1+c.b%4, model.SubRequest{
			Server: server, Class: model.Class(c.c % int(model.NumClasses)), Caller: []model.CallerName{"x", "y", "z"}[c.b%3],
			Deadline: w.now.Add(time.Duration(c.c*c.c) * time.Millisecond / 10),
		})
	case 3, 4, 5:
		if held, i, outcome := w.holds(c); held {
			w.held[w.calls[i].sub.Server]++
			w.cutOff(i, outcome)
		} else if len(w.calls) > 0 {
			w.answer(c.a%len(w.calls), outcomes[c.b%len(outcomes)], c.c%5 == 0)
		}
	case 6:
		w.step(func(m event.Meta, out *effect.List) {
			w.state.CancelArrived(m, event.CancelArrived{From: entry, Attempts: []model.AttemptID{model.AttemptID(c.a), w.attempt}}, out)
		})
	case 7:
		id := event.Stream{From: entry, ID: event.StreamID(max(0, int(w.attempt)-c.a%8))}
		w.step(func(m event.Meta, out *effect.List) { w.state.ExecuteGone(m, event.ExecuteGone{Stream: id}, out) })
		delete(w.last, id)
	case 8:
		w.facts.owned[server] = c.b%3 > 0
		w.facts.lease = time.Duration(min(c.a, 1)*(c.c+1)) * time.Millisecond
		if c.c%2 == 0 { // Otherwise the change is only seen at the send.
			w.step(w.state.Refresh)
		}
	case 9:
		w.facts.controls.Drains = nil
		if c.b%2 == 0 {
			d := model.Drain{Server: server}
			d.Until = int64(w.now)/1e6 + int64(c.c)
			w.facts.controls.Drains = []model.Drain{d}
		}
		w.step(w.state.Refresh)
	case 10:
		w.status(event.BackendStatus{Server: server, Draining: c.b%4 == 0, Cold: c.c%3 == 0})
	case 11:
		w.advance(time.Duration(c.b%10*c.c) * 100 * time.Microsecond)
	case 12:
		if w.held[server] > 0 {
			w.held[server]--
			w.released(server, true)
		}
	}
}

// holds reports whether a command cuts off a call of which the server tells
// when it has ended it, and which call and outcome that is.
func (w *world) holds(c command) (held bool, call int, outcome model.Outcome) {
	if len(w.calls) == 0 {
		return false, 0, 0
	}
	outcome = outcomes[c.b%len(outcomes)]
	cut := outcome == model.OutcomeCanceled || outcome == model.OutcomeTimeout
	return cut && c.c%2 == 0, c.a % len(w.calls), outcome
}

func simulate(t *testing.T, rt *rapid.T, cs []command) *world {
	w := newWorld(t, testBundle(model.RoutingOwned, 6,
		model.BackendServer{Slots: 2, Cold: model.ColdStart{Slots: 2, Requests: 2}},
		model.BackendServer{Slots: 6, Cold: model.ColdStart{Slots: 2, Requests: 3}}))
	w.t = rt
	// stopping holds the times at which servers notice calls that were cut off.
	stopping := map[model.ServerName][]model.Time{}
	w.onCall = func(c call) {
		def, _ := w.facts.bundle.Server(c.sub.Server)
		running := 1
		for _, o := range w.calls {
			if o.sub.Server == c.sub.Server {
				running++
			}
		}
		running += w.held[c.sub.Server]
		for _, at := range stopping[c.sub.Server] {
			if w.now < at {
				running++
			}
		}
		if running > def.Slots {
			rt.Fatalf("%d run at %s with %d slots", running, def.Name, def.Slots)
		}
		if !w.facts.MayAct(w.now, def.Name) {
			rt.Fatalf("sent to %s without its ownership", def.Name)
		}
		if w.facts.controls.ServerOut(def, int64(w.now)/1e6) {
			rt.Fatalf("sent to %s, which is drained", def.Name)
		}
		if c.until > w.facts.LeaseUntil(w.now) || c.until > c.sub.Deadline || c.until <= w.now {
			rt.Fatalf("deadline %d at %d, lease until %d", c.until, w.now, w.facts.LeaseUntil(w.now))
		}
	}
	for _, c := range cs {
		before := w.calls
		held, _, _ := w.holds(c)
		w.run(c)
		if !held && c.kind >= 3 && c.kind <= 5 && len(before) > 0 {
			ended := before[c.a%len(before)]
			switch outcomes[c.b%len(outcomes)] {
			case model.OutcomeCanceled, model.OutcomeTimeout, model.OutcomeFailed:
				stopping[ended.sub.Server] = append(stopping[ended.sub.Server], w.now.Add(closing))
			}
		}
	}
	for len(w.calls) > 0 {
		w.answer(0, model.OutcomeOK, false)
	}
	for _, server := range w.facts.bundle.Servers {
		for ; w.held[server.Name] > 0; w.released(server.Name, true) {
			w.held[server.Name]--
		}
	}
	w.advance(5 * time.Second)
	for len(w.calls) > 0 {
		w.answer(0, model.OutcomeOK, false)
	}
	// Slots of servers without a sign of life wait for one.
	for _, server := range w.facts.bundle.Servers {
		w.status(event.BackendStatus{Server: server.Name})
	}
	w.advance(defaultSettle)
	for len(w.calls) > 0 {
		w.answer(0, model.OutcomeOK, false)
	}
	for stream, closed := range w.last {
		if !closed {
			rt.Fatalf("stream %v has results but no last one", stream)
		}
	}
	if n := w.state.Running(); n != 0 {
		rt.Fatalf("%d sub-requests left", n)
	}
	if len(w.state.streams) != 0 || len(w.state.expiring) != 0 {
		rt.Fatalf("left: %d streams, %d deadlines", len(w.state.streams), len(w.state.expiring))
	}
	return w
}

// Guards, under any order of events, against more calls than slots (those that
// a server has not yet noticed as canceled included), sends without ownership
// or past the lease, lost, doubled or untrue results, and effects that differ
// when the same events are replayed.
func TestInvariantSlotsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cs := commands.Draw(rt, "commands")
		simulate(t, rt, cs).same(simulate(t, rt, cs))
	})
}

// Guards against load that a cold server cannot bear: one that fails every
// request above cold.slots plus one per cold.requests it has served.
func TestInvariantColdServerIsNotOverloaded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		def := model.BackendServer{Slots: 6, Cold: model.ColdStart{Slots: rapid.IntRange(1, 3).Draw(rt, "slots"), Requests: rapid.IntRange(1, 5).Draw(rt, "requests")}}
		w := newWorld(t, testBundle(model.RoutingOwned, 100, def))
		served := 0
		bears := func() int { return min(def.Slots, def.Cold.Slots+served/def.Cold.Requests) }
		w.onCall = func(call) {
			if running := len(w.calls) + 1; running > bears() {
				rt.Fatalf("%d run on a server that bears %d after %d answers", running, bears(), served)
			}
		}
		for range rapid.IntRange(1, 60).Draw(rt, "rounds") {
			w.ask(rapid.IntRange(0, 5).Draw(rt, "subs"), model.SubRequest{})
			if rapid.IntRange(0, 9).Draw(rt, "stale") == 0 {
				w.status(event.BackendStatus{Cold: false})
			}
			w.advance(2 * time.Millisecond)
			if len(w.calls) == 0 {
				continue
			}
			served++
			w.answer(rapid.IntRange(0, len(w.calls)-1).Draw(rt, "which"), model.OutcomeOK, bears() < def.Slots)
		}
	})
}
