package slots

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// noticeDelay is how long a server needs to notice a closed connection.
const noticeDelay = 3 * time.Millisecond

// command is one random step. kind selects the action; a, b and c select among
// the possible arguments.
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

func (h *harness) runCommand(c command) {
	server := h.view.bundle.Servers[c.a%len(h.view.bundle.Servers)].Name
	switch c.kind {
	case 0, 1, 2:
		h.execute(1+c.b%4, model.SubRequest{
			Server: server, Class: model.Class(c.c % int(model.NumClasses)), Caller: []model.CallerName{"x", "y", "z"}[c.b%3],
			Deadline: h.now.Add(time.Duration(c.c*c.c) * time.Millisecond / 10),
		})
	case 3, 4, 5:
		if held, i, outcome := h.cutsOffHeldCall(c); held {
			h.held[h.calls[i].sub.Server]++
			h.cutOff(i, outcome)
		} else if len(h.calls) > 0 {
			h.answer(c.a%len(h.calls), outcomes[c.b%len(outcomes)], c.c%5 == 0)
		}
	case 6:
		h.step(func(m event.Meta, out *effect.List) {
			h.state.CancelArrived(m, event.CancelArrived{From: entry, Attempts: []model.AttemptID{model.AttemptID(c.a), h.attempt}}, out)
		})
	case 7:
		id := event.Stream{From: entry, ID: event.StreamID(max(0, int(h.attempt)-c.a%8))}
		h.step(func(m event.Meta, out *effect.List) { h.state.ExecuteGone(m, event.ExecuteGone{Stream: id}, out) })
		delete(h.streamClosed, id)
	case 8:
		h.view.owned[server] = c.b%3 > 0
		h.view.lease = time.Duration(min(c.a, 1)*(c.c+1)) * time.Millisecond
		if c.c%2 == 0 { // Otherwise the change is first noticed when work is sent.
			h.step(h.state.Refresh)
		}
	case 9:
		h.view.controls.Drains = nil
		if c.b%2 == 0 {
			d := model.Drain{Server: server}
			d.Until = int64(h.now)/1e6 + int64(c.c)
			h.view.controls.Drains = []model.Drain{d}
		}
		h.step(h.state.Refresh)
	case 10:
		h.reportStatus(event.BackendStatus{Server: server, Draining: c.b%4 == 0, Cold: c.c%3 == 0})
	case 11:
		h.advance(time.Duration(c.b%10*c.c) * 100 * time.Microsecond)
	case 12:
		if h.held[server] > 0 {
			h.held[server]--
			h.slotReleased(server, true)
		}
	}
}

// cutsOffHeldCall reports whether the command cuts off a call whose slot stays
// held until the server reports that it has ended the call, and which call and
// outcome that is.
func (h *harness) cutsOffHeldCall(c command) (held bool, call int, outcome model.Outcome) {
	if len(h.calls) == 0 {
		return false, 0, 0
	}
	outcome = outcomes[c.b%len(outcomes)]
	cut := outcome == model.OutcomeCanceled || outcome == model.OutcomeTimeout
	return cut && c.c%2 == 0, c.a % len(h.calls), outcome
}

func simulate(t *testing.T, rt *rapid.T, cs []command) *harness {
	h := newHarness(t, testBundle(model.RoutingOwned, 6,
		model.BackendServer{Slots: 2, Cold: model.ColdStart{Slots: 2, Requests: 2}},
		model.BackendServer{Slots: 6, Cold: model.ColdStart{Slots: 2, Requests: 3}}))
	h.t = rt
	// cutOffUntil holds, per server, the times at which it notices calls that
	// were cut off.
	cutOffUntil := map[model.ServerName][]model.Time{}
	h.onCall = func(c call) {
		def, _ := h.view.bundle.Server(c.sub.Server)
		running := 1
		for _, o := range h.calls {
			if o.sub.Server == c.sub.Server {
				running++
			}
		}
		running += h.held[c.sub.Server]
		for _, at := range cutOffUntil[c.sub.Server] {
			if h.now < at {
				running++
			}
		}
		if running > def.Slots {
			rt.Fatalf("%d calls run at %s, which has %d slots", running, def.Name, def.Slots)
		}
		if !h.view.MayAct(h.now, def.Name) {
			rt.Fatalf("sent to %s without owning it", def.Name)
		}
		if h.view.controls.ServerOut(def, int64(h.now)/1e6) {
			rt.Fatalf("sent to %s, which is drained", def.Name)
		}
		if c.until > h.view.LeaseUntil(h.now) || c.until > c.sub.Deadline || c.until <= h.now {
			rt.Fatalf("call with deadline %d sent at %d, lease until %d", c.until, h.now, h.view.LeaseUntil(h.now))
		}
	}
	for _, c := range cs {
		before := h.calls
		held, _, _ := h.cutsOffHeldCall(c)
		h.runCommand(c)
		if !held && c.kind >= 3 && c.kind <= 5 && len(before) > 0 {
			ended := before[c.a%len(before)]
			switch outcomes[c.b%len(outcomes)] {
			case model.OutcomeCanceled, model.OutcomeTimeout, model.OutcomeFailed:
				cutOffUntil[ended.sub.Server] = append(cutOffUntil[ended.sub.Server], h.now.Add(noticeDelay))
			}
		}
	}
	for len(h.calls) > 0 {
		h.answer(0, model.OutcomeOK, false)
	}
	for _, server := range h.view.bundle.Servers {
		for ; h.held[server.Name] > 0; h.slotReleased(server.Name, true) {
			h.held[server.Name]--
		}
	}
	h.advance(5 * time.Second)
	for len(h.calls) > 0 {
		h.answer(0, model.OutcomeOK, false)
	}
	// Slots of silent servers stay taken until the server responds.
	for _, server := range h.view.bundle.Servers {
		h.reportStatus(event.BackendStatus{Server: server.Name})
	}
	h.advance(defaultReleaseDelay)
	for len(h.calls) > 0 {
		h.answer(0, model.OutcomeOK, false)
	}
	for stream, closed := range h.streamClosed {
		if !closed {
			rt.Fatalf("stream %v has results but was not closed", stream)
		}
	}
	if n := h.state.Running(); n != 0 {
		rt.Fatalf("%d sub-requests left after all calls were answered", n)
	}
	if len(h.state.streams) != 0 || len(h.state.deadlines) != 0 {
		rt.Fatalf("left after all calls were answered: %d streams, %d deadlines", len(h.state.streams), len(h.state.deadlines))
	}
	return h
}

// Guards, under any order of events, against: more calls than slots (including
// calls that the server has not yet noticed as canceled), calls sent without
// ownership or past the lease, lost, duplicate or wrong results, and a replay
// of the same events that has different effects.
func TestInvariantSlotsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cs := commands.Draw(rt, "commands")
		simulate(t, rt, cs).requireSameEffects(simulate(t, rt, cs))
	})
}

// Guards against load that a cold server cannot handle. The simulated server
// fails if more requests run than cold.slots plus one per cold.requests that
// it has served.
func TestInvariantColdServerIsNotOverloaded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		def := model.BackendServer{Slots: 6, Cold: model.ColdStart{Slots: rapid.IntRange(1, 3).Draw(rt, "slots"), Requests: rapid.IntRange(1, 5).Draw(rt, "requests")}}
		h := newHarness(t, testBundle(model.RoutingOwned, 100, def))
		served := 0
		capacity := func() int { return min(def.Slots, def.Cold.Slots+served/def.Cold.Requests) }
		h.onCall = func(call) {
			if running := len(h.calls) + 1; running > capacity() {
				rt.Fatalf("%d calls run on a server that can handle %d after %d answers", running, capacity(), served)
			}
		}
		for range rapid.IntRange(1, 60).Draw(rt, "rounds") {
			h.execute(rapid.IntRange(0, 5).Draw(rt, "subs"), model.SubRequest{})
			if rapid.IntRange(0, 9).Draw(rt, "stale") == 0 {
				h.reportStatus(event.BackendStatus{Cold: false})
			}
			h.advance(2 * time.Millisecond)
			if len(h.calls) == 0 {
				continue
			}
			served++
			h.answer(rapid.IntRange(0, len(h.calls)-1).Draw(rt, "which"), model.OutcomeOK, capacity() < def.Slots)
		}
	})
}
