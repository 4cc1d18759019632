package slots

import (
	"cmp"
	"slices"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Refresh takes in a changed bundle, changed controls or changed ownership.
func (s *State) Refresh(m event.Meta, out *effect.List) {
	b := s.view.Bundle()
	if b == nil {
		return
	}
	if b != s.bundle {
		s.rebuild(m, b, out)
	}
	for i := range b.Servers {
		name := b.Servers[i].Name
		if s.view.MayAct(m.Now, name) {
			s.gain(m, s.serverFor(m, name), out)
		}
	}
	for _, v := range s.sorted {
		if v.owned && !s.view.MayAct(m.Now, v.name) {
			s.lose(m, v, out)
		}
		s.applyControls(m, v, out)
		s.pump(m, v, out)
	}
	s.refreshAt = m.Now.Add(refreshInterval)
}

// Tick does the work that is due by time.
func (s *State) Tick(m event.Meta, out *effect.List) {
	s.settleSlots(m, out)
	s.resume(m, out)
	s.expire(m, out)
	if m.Now >= s.refreshAt {
		s.Refresh(m, out)
		s.periodic(m, out)
	}
	if m.Now >= s.pollAt {
		s.pollDue(m, out)
	}
}

// expire refuses waiting tasks whose deadline has passed.
func (s *State) expire(m event.Meta, out *effect.List) {
	for t := s.expiring.first(); t != nil && t.sub.Deadline <= m.Now; t = s.expiring.first() {
		s.refuseQueued(m, t, model.OutcomeExpired, out)
	}
}

// periodic renews reports, logs what was counted, and reopens servers that this
// daemon sends to without polling them.
func (s *State) periodic(m event.Meta, out *effect.List) {
	for _, v := range s.sorted {
		if v.owned {
			s.refreshLoad(v)
		}
		if !v.owned && v.gate.byServer && m.Now >= v.gate.held {
			v.gate.byServer = false
			s.openGate(v, out)
		}
		v.logCounts(out)
	}
}

// pollDue reads the status of the servers whose turn it is.
func (s *State) pollDue(m event.Meta, out *effect.List) {
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

// logCounts writes one line for all refusals of a kind since the last time, so
// that overload does not flood the log.
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

// serverFor returns the state of a server of the bundle, nil if there is none.
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
	v.gate.byOperator = s.view.Controls().ServerOut(def, m.Wall)
	s.servers[name] = v
	at, _ := slices.BinarySearchFunc(s.sorted, name, func(v *server, n model.ServerName) int { return cmp.Compare(v.name, n) })
	s.sorted = slices.Insert(s.sorted, at, v)
	if s.refreshAt == model.Never {
		s.refreshAt = 0
	}
	return v
}

// rebuild takes definitions from a new bundle and drops servers that are no
// longer in it once their work has ended.
func (s *State) rebuild(m event.Meta, b *model.Bundle, out *effect.List) {
	s.bundle = b
	for _, v := range s.sorted {
		def, ok := b.Server(v.name)
		if !ok {
			s.remove(m, v, out)
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
		idle := v.removed && v.taken() == 0
		if idle {
			delete(s.servers, v.name)
		}
		return idle
	})
}

// remove ends the use of a server that the bundle no longer has.
func (s *State) remove(m event.Meta, v *server, out *effect.List) {
	if v.owned {
		s.lose(m, v, out)
	}
	s.refuseAll(m, v, model.OutcomeNotOwner, out)
	v.logCounts(out)
	v.removed = true
}

// gain makes this daemon the owner. The limit found before stays valid for
// knowledgeAge, since the former limit is this daemon's own measurement;
// without it the server counts as cold.
func (s *State) gain(m event.Meta, v *server, out *effect.List) {
	if v.owned {
		return
	}
	v.owned = true
	if !v.known || m.Now >= v.lastAnswer.Add(knowledgeAge) {
		v.ramp.restart(v.def)
	}
	v.failures = 0
	s.inheritServes(v)
	out.Log(logevent.SlotsGained, logevent.Str("server", v.name), logevent.Int("limit", v.ramp.limit))
	out.Add(effect.WarmConnections{Server: v.name, Address: v.def.Address, Count: v.def.Slots})
	v.poll = poll{next: m.Now.Add(PollInterval/2 + jitter(m, v.name))}
	s.pollAt = min(s.pollAt, v.poll.next)
	s.sendPoll(m, v, out)
	s.updateReport(v)
}

// inheritServes takes what the former owner reported until the status has been
// read. A report without versions would take the server out of use for that
// time, and a shard with it whose replicas change owners one soon after the
// other.
func (s *State) inheritServes(v *server) {
	if len(v.serves) > 0 {
		return
	}
	if r, ok := s.view.Report(v.name); ok {
		v.serves = r.Serves
	}
}

// lose ends the ownership: waiting work is refused, running work goes on.
func (s *State) lose(m event.Meta, v *server, out *effect.List) {
	v.owned = false
	if v.needsOwner() {
		s.refuseAll(m, v, model.OutcomeNotOwner, out)
	}
	out.Log(logevent.SlotsLost, logevent.Str("server", v.name), logevent.Int("running", v.running))
	out.Add(effect.WarmConnections{Server: v.name, Address: v.def.Address, Count: 0})
	v.logCounts(out)
	s.updateReport(v)
}

// applyControls closes or opens the gate as the operators' controls say now.
func (s *State) applyControls(m event.Meta, v *server, out *effect.List) {
	if v.removed {
		return
	}
	outNow := s.view.Controls().ServerOut(v.def, m.Wall)
	if outNow == v.gate.byOperator {
		return
	}
	v.gate.byOperator = outNow
	if outNow {
		s.closeGate(m, v, "operator", out)
		return
	}
	s.openGate(v, out)
}
