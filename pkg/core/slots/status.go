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

// coldStatusIgnoreTime is how long after an answer to a call a status that
// says the server is cold does not restart the ramp, because the status lags.
const coldStatusIgnoreTime = 2 * time.Second

// BackendStatus handles the result of a status read. A status lags and can be
// wrong: it can start a drain, end one after its hold and lower the limit, but
// never raises the limit.
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
	v.recordContact(m.Now)
	s.clearFailures(v, out)
	s.statusDraining(m, v, e.Draining, out)
	s.statusCold(m, v, e.Cold, out)
	s.setServes(m, v, e.Serves)
	s.startQueued(m, v, out)
}

// statusDraining starts or ends the drain that the server's status reports.
func (s *State) statusDraining(m event.Meta, v *server, draining bool, out *effect.List) {
	if draining && !v.drain.byServer {
		v.drain.byServer = true
		s.startDrain(m, v, "server", out)
	}
	if !draining && v.drain.byServer && m.Now >= v.drain.holdUntil {
		v.drain.byServer = false
		s.endDrain(v, out)
	}
}

// statusCold restarts the ramp when the status turns to cold, unless an answer
// to a call is more recent evidence.
func (s *State) statusCold(m event.Meta, v *server, cold bool, out *effect.List) {
	turnedCold := cold && !v.statusCold
	v.statusCold = cold
	if turnedCold && (!v.hasAnswered || m.Now >= v.lastAnswer.Add(coldStatusIgnoreTime)) {
		s.restartRamp(v, "status", out)
	}
}

// startDrain refuses queued work; running work goes on.
func (s *State) startDrain(m event.Meta, v *server, reason string, out *effect.List) {
	out.Log(logevent.SlotsClosed, logevent.Str("server", v.name), logevent.Str("reason", reason))
	s.refuseAllQueued(m, v, model.OutcomeDrained, out)
	s.updateReport(v)
}

// endDrain allows new work again unless another reason for the drain remains.
// The server counts as cold.
func (s *State) endDrain(v *server, out *effect.List) {
	if v.drain.active() {
		return
	}
	out.Log(logevent.SlotsReopened, logevent.Str("server", v.name))
	s.restartRamp(v, "reopened", out)
	s.updateReport(v)
}

// sendPoll starts a status read of the server unless one is pending.
func (s *State) sendPoll(m event.Meta, v *server, out *effect.List) {
	if v.poll.pending && m.Now < v.poll.sentAt.Add(pollTimeout) {
		return
	}
	v.poll.pending, v.poll.sentAt = true, m.Now
	out.Add(effect.PollBackend{Server: v.name, Address: v.def.Address})
}

// setServes stores the index versions that the server's status lists, without
// those that the server has refused since.
func (s *State) setServes(m event.Meta, v *server, serves []model.Serving) {
	v.gone = slices.DeleteFunc(v.gone, func(g goneVersion) bool { return g.until <= m.Now })
	kept := make([]model.Serving, 0, len(serves))
	for _, sv := range serves {
		sv.Versions = v.availableVersions(sv)
		if len(sv.Versions) > 0 {
			kept = append(kept, sv)
		}
	}
	v.serves = kept
	s.updateReport(v)
}

func (v *server) availableVersions(sv model.Serving) []uint64 {
	versions := make([]uint64, 0, len(sv.Versions))
	for _, n := range sv.Versions {
		g := goneVersion{layout: sv.Layout, shard: sv.Shard, version: n}
		if !slices.ContainsFunc(v.gone, g.sameVersion) {
			versions = append(versions, n)
		}
	}
	return versions
}

// updateReport creates a new report if anything but the load has changed;
// refreshLoad updates the load periodically.
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

// refreshLoad creates a new report if the load has changed.
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

// pollJitter spreads the polls of servers that were gained together over half
// a poll interval.
func pollJitter(m event.Meta, name model.ServerName) time.Duration {
	return time.Duration((m.Rand ^ xxhash.Sum64String(string(name))) % uint64(PollInterval/2))
}
