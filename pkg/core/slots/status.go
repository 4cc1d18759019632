package slots

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// statusTrust is how long after an answer to a call the lagging status is not
// asked whether the server is cold.
const statusTrust = 2 * time.Second

// BackendStatus takes in a status read. Status reports lag and can be wrong:
// they close the gate, reopen it after its hold, and lower the limit, but
// never raise the limit.
func (s *State) BackendStatus(m event.Meta, e event.BackendStatus, out *effect.List) {
	v, ok := s.servers[e.Server]
	if !ok {
		return
	}
	v.poll.pending = false
	if !v.owned {
		return
	}
	if e.Err != "" {
		out.Log(logevent.SlotsPollFailed, logevent.Str("server", v.name), logevent.Str("error", e.Err))
		s.addFailure(v, out)
		return
	}
	v.signOfLife(m.Now)
	s.clearFailures(v, out)
	s.statusDraining(m, v, e.Draining, out)
	s.statusCold(m, v, e.Cold, out)
	s.setServes(m, v, e.Serves)
	s.pump(m, v, out)
}

func (s *State) statusDraining(m event.Meta, v *server, draining bool, out *effect.List) {
	if draining && !v.gate.byServer {
		v.gate.byServer = true
		s.closeGate(m, v, "server", out)
	}
	if !draining && v.gate.byServer && m.Now >= v.gate.held {
		v.gate.byServer = false
		s.openGate(v, out)
	}
}

func (s *State) statusCold(m event.Meta, v *server, cold bool, out *effect.List) {
	turned := cold && !v.statusCold
	v.statusCold = cold
	if turned && (!v.known || m.Now >= v.lastAnswer.Add(statusTrust)) {
		s.restartRamp(v, "status", out)
	}
}

// closeGate refuses waiting work; running work goes on.
func (s *State) closeGate(m event.Meta, v *server, reason string, out *effect.List) {
	out.Log(logevent.SlotsClosed, logevent.Str("server", v.name), logevent.Str("reason", reason))
	s.refuseAll(m, v, model.OutcomeDrained, out)
	s.updateReport(v)
}

// openGate lets work through again once no reason to stop it is left. The
// server counts as cold.
func (s *State) openGate(v *server, out *effect.List) {
	if v.gate.closed() {
		return
	}
	out.Log(logevent.SlotsReopened, logevent.Str("server", v.name))
	s.restartRamp(v, "reopened", out)
	s.updateReport(v)
}

// sendPoll reads the server's status unless a read is under way.
func (s *State) sendPoll(m event.Meta, v *server, out *effect.List) {
	if v.poll.pending && m.Now < v.poll.sentAt.Add(pollTimeout) {
		return
	}
	v.poll.pending, v.poll.sentAt = true, m.Now
	out.Add(effect.PollBackend{Server: v.name, Address: v.def.Address})
}

// setServes stores what the server says it serves, less the versions that it
// has refused since.
func (s *State) setServes(m event.Meta, v *server, serves []model.Serving) {
	v.gone = slices.DeleteFunc(v.gone, func(g goneVersion) bool { return g.until <= m.Now })
	kept := make([]model.Serving, 0, len(serves))
	for _, sv := range serves {
		sv.Versions = v.withoutGone(sv)
		if len(sv.Versions) > 0 {
			kept = append(kept, sv)
		}
	}
	v.serves = kept
	s.updateReport(v)
}

func (v *server) withoutGone(sv model.Serving) []uint64 {
	versions := make([]uint64, 0, len(sv.Versions))
	for _, n := range sv.Versions {
		g := goneVersion{layout: sv.Layout, shard: sv.Shard, version: n}
		if !slices.ContainsFunc(v.gone, g.same) {
			versions = append(versions, n)
		}
	}
	return versions
}

// updateReport gives the report a new number if what it says has changed. The
// load alone does not count here; the periodic work refreshes it.
func (s *State) updateReport(v *server) {
	r := &v.report
	limit := min(v.ramp.limit, max(1, v.def.Slots))
	if r.Sequence > 0 && r.Usable == v.usable() && r.Limit == limit && sameServes(r.Serves, v.serves) {
		return
	}
	s.newReport(v, limit)
}

func (s *State) newReport(v *server, limit int) {
	s.sequence++
	v.report = model.ServerReport{
		Server: v.name, Owner: s.view.Self(), Sequence: s.sequence,
		Usable: v.usable(), Limit: limit, Load: v.load(), Serves: v.serves,
	}
}

// refreshLoad renews the report when the load has changed.
func (s *State) refreshLoad(v *server) {
	if v.load() != v.report.Load {
		s.newReport(v, v.report.Limit)
	}
}

func (v *server) load() int { return v.running + v.queue.length }

func sameServes(a, b []model.Serving) bool {
	return slices.EqualFunc(a, b, func(x, y model.Serving) bool {
		return x.Layout == y.Layout && x.Shard == y.Shard && slices.Equal(x.Versions, y.Versions)
	})
}

// jitter spreads the polls of servers that were gained together over half an
// interval.
func jitter(m event.Meta, name model.ServerName) time.Duration {
	return time.Duration((m.Rand ^ xxhash.Sum64String(string(name))) % uint64(PollInterval/2))
}
