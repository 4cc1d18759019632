package slots

import (
	"cmp"
	"slices"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Refresh applies changes of the bundle, the controls and the ownership.
func (s *State) Refresh(m event.Meta, out *effect.List) {
	b := s.view.Bundle()
	if b == nil {
		return
	}
	if b != s.bundle {
		s.applyBundle(m, b, out)
	}
	for i := range b.Servers {
		name := b.Servers[i].Name
		if s.view.MayAct(m.Now, name) {
			s.gainOwnership(m, s.serverFor(m, name), out)
		}
	}
	for _, v := range s.sorted {
		if v.owned && !s.view.MayAct(m.Now, v.name) {
			s.loseOwnership(m, v, out)
		}
		s.applyControls(m, v, out)
		s.startQueued(m, v, out)
	}
	s.refreshAt = m.Now.Add(refreshInterval)
}

// Tick does the work that is due at m.Now.
func (s *State) Tick(m event.Meta, out *effect.List) {
	s.releaseDueSlots(m, out)
	s.resumePaused(m, out)
	s.expireQueued(m, out)
	if m.Now >= s.refreshAt {
		s.Refresh(m, out)
		s.runPeriodic(m, out)
	}
	if m.Now >= s.pollAt {
		s.pollDueServers(m, out)
	}
}

// expireQueued refuses queued tasks whose deadline has passed.
func (s *State) expireQueued(m event.Meta, out *effect.List) {
	for t := s.deadlines.first(); t != nil && t.sub.Deadline <= m.Now; t = s.deadlines.first() {
		s.refuseQueued(m, t, model.OutcomeExpired, out)
	}
}

// runPeriodic refreshes the load in reports, logs the refusal counts and ends
// the drain of servers that this daemon sends to without owning, and so
// without polling, them.
func (s *State) runPeriodic(m event.Meta, out *effect.List) {
	for _, v := range s.sorted {
		if v.owned {
			s.refreshLoad(v)
		}
		if !v.owned && v.drain.byServer && m.Now >= v.drain.holdUntil {
			v.drain.byServer = false
			s.endDrain(v, out)
		}
		v.logCounts(out)
	}
}

// pollDueServers reads the status of the servers whose poll is due.
func (s *State) pollDueServers(m event.Meta, out *effect.List) {
	s.pollAt = model.Never
	for _, v := range s.sorted {
		if !v.owned {
			continue
		}
		if m.Now >= v.poll.next {
			v.poll.next = m.Now.Add(PollInterval)
			s.sendPoll(m, v, out)
		}
		s.pollAt = min(s.pollAt, v.poll.next)
	}
}

// logCounts logs one line per kind of refusal since the last call, so that
// overload does not flood the log.
func (v *server) logCounts(out *effect.List) {
	for outcome, n := range v.refused {
		if n > 0 {
			out.Log(logevent.SlotsRefused, logevent.Str("server", v.name),
				logevent.Str("reason", model.Outcome(outcome).String()), logevent.Int("count", n))
		}
	}
	if v.shed > 0 {
		out.Log(logevent.SlotsShed, logevent.Str("server", v.name), logevent.Int("count", v.shed), logevent.Int("limit", v.ramp.limit))
	}
	v.refused, v.shed = refusalCounts{}, 0
}

// serverFor returns the state of a server of the bundle, creating it if
// needed; nil if the bundle does not have the server.
func (s *State) serverFor(m event.Meta, name model.ServerName) *server {
	if v, ok := s.servers[name]; ok {
		if v.removed {
			return nil
		}
		return v
	}
	b := s.view.Bundle()
	if b == nil {
		return nil
	}
	def, ok := b.Server(name)
	if !ok {
		return nil
	}
	v := &server{name: name, def: def}
	v.service, _ = b.ServiceOf(name)
	v.ramp.restart(def)
	v.drain.byOperator = s.view.Controls().ServerOut(def, m.Wall)
	s.servers[name] = v
	at, _ := slices.BinarySearchFunc(s.sorted, name, func(v *server, n model.ServerName) int { return cmp.Compare(v.name, n) })
	s.sorted = slices.Insert(s.sorted, at, v)
	if s.refreshAt == model.Never {
		s.refreshAt = 0
	}
	return v
}

// applyBundle updates the server definitions from a new bundle and drops
// servers that it no longer has, once their work has ended.
func (s *State) applyBundle(m event.Meta, b *model.Bundle, out *effect.List) {
	s.bundle = b
	for _, v := range s.sorted {
		def, ok := b.Server(v.name)
		if !ok {
			s.removeServer(m, v, out)
			continue
		}
		moved := v.removed || v.def.Address != def.Address
		resized := v.def.Slots != def.Slots
		v.def, v.removed = def, false
		v.service, _ = b.ServiceOf(v.name)
		if moved {
			s.restartRamp(v, "moved", out)
		}
		if v.owned && (moved || resized) {
			out.Add(effect.WarmConnections{Server: v.name, Address: def.Address, Count: def.Slots})
		}
		s.updateReport(v)
	}
	s.sorted = slices.DeleteFunc(s.sorted, func(v *server) bool {
		idle := v.removed && v.slotsInUse() == 0
		if idle {
			delete(s.servers, v.name)
		}
		return idle
	})
}

// removeServer stops using a server that the bundle no longer has.
func (s *State) removeServer(m event.Meta, v *server, out *effect.List) {
	if v.owned {
		s.loseOwnership(m, v, out)
	}
	s.refuseAllQueued(m, v, model.OutcomeNotOwner, out)
	v.logCounts(out)
	v.removed = true
}

// gainOwnership makes this daemon the owner of the server. The limit from an
// earlier ownership, which this daemon measured itself, stays valid for
// limitMaxAge; without it the server counts as cold.
func (s *State) gainOwnership(m event.Meta, v *server, out *effect.List) {
	if v.owned {
		return
	}
	v.owned = true
	if !v.hasAnswered || m.Now >= v.lastAnswer.Add(limitMaxAge) {
		v.ramp.restart(v.def)
	}
	v.failures = 0
	s.inheritServes(v)
	out.Log(logevent.SlotsGained, logevent.Str("server", v.name), logevent.Int("limit", v.ramp.limit))
	out.Add(effect.WarmConnections{Server: v.name, Address: v.def.Address, Count: v.def.Slots})
	v.poll = poll{next: m.Now.Add(PollInterval/2 + pollJitter(m, v.name))}
	s.pollAt = min(s.pollAt, v.poll.next)
	s.sendPoll(m, v, out)
	s.updateReport(v)
}

// inheritServes uses the index versions that the former owner reported until
// the status has been read. A report without versions would make the server
// unusable for that time, and a shard as well whose replicas change owners
// shortly after one another.
func (s *State) inheritServes(v *server) {
	if len(v.serves) > 0 {
		return
	}
	if r, ok := s.view.Report(v.name); ok {
		v.serves = r.Serves
	}
}

// loseOwnership ends the ownership: queued work is refused, running work goes
// on.
func (s *State) loseOwnership(m event.Meta, v *server, out *effect.List) {
	v.owned = false
	if v.needsOwner() {
		s.refuseAllQueued(m, v, model.OutcomeNotOwner, out)
	}
	out.Log(logevent.SlotsLost, logevent.Str("server", v.name), logevent.Int("running", v.running))
	out.Add(effect.WarmConnections{Server: v.name, Address: v.def.Address, Count: 0})
	v.logCounts(out)
	s.updateReport(v)
}

// applyControls starts or ends a drain according to the operators' controls.
func (s *State) applyControls(m event.Meta, v *server, out *effect.List) {
	if v.removed {
		return
	}
	outNow := s.view.Controls().ServerOut(v.def, m.Wall)
	if outNow == v.drain.byOperator {
		return
	}
	v.drain.byOperator = outNow
	if outNow {
		s.startDrain(m, v, "operator", out)
		return
	}
	s.endDrain(v, out)
}
