package membership

import (
	"slices"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// passRetry is the wait after a handover that was not accepted.
	passRetry = 100 * time.Millisecond
	// passTimeout is when a handover without an answer is repeated.
	passTimeout = 500 * time.Millisecond
	// passLimit ends attempts to hand over a server; its next owner then gets
	// it when this daemon is fenced.
	passLimit = 5 * time.Second
	// leavingPassLimit is the same, from the first attempt on, for a next owner
	// that leaves as well and may have ended already.
	leavingPassLimit = 500 * time.Millisecond
	// passPoll is how often a server with work in flight is looked at again.
	passPoll = 10 * time.Millisecond
	// resignLimit is how long a leaving daemon waits for the panel to note its
	// resignation; the panel fences it anyway when its lease ends.
	resignLimit = time.Second
)

// pass is a server that this daemon stopped starting work on and hands over.
type pass struct {
	// from is the epoch in which this daemon alone may act for the server.
	from    *epochView
	created model.Time
	next    model.Time
	// sent is when it was first sent, when no work was left; 0 before.
	sent model.Time
}

// late reports whether to give up the handover. That is always safe: nobody
// acts for the server until this daemon is fenced.
func (p *pass) late(now model.Time, leaving bool) bool {
	return now >= p.created.Add(passLimit) || leaving && p.sent != 0 && now >= p.sent.Add(leavingPassLimit)
}

// leave is the graceful leave of this daemon.
type leave struct {
	announced bool
	// started: acts for no server any more, whatever the epoch.
	started bool
	// resigned: asks the panel to fence it; its leases count no more.
	resigned  bool
	resignBy  model.Time
	confirmed voters
}

// AnnounceLeaving tells the peers that this daemon is going to leave. It goes
// on serving and owning until another daemon takes over or Leave is called.
func (s *State) AnnounceLeaving(m event.Meta, out *effect.List) {
	s.arrive(m)
	s.leave.announced = true
	s.exchange.burst(m.Now)
	s.hurry(m.Now)
	s.step(m, out)
}

// Leave hands over the owned servers and then resigns from the panel's leases.
func (s *State) Leave(m event.Meta, out *effect.List) {
	s.arrive(m)
	if s.leave.started {
		return
	}
	s.leave.announced = true
	for _, name := range s.Owned(m.Now) {
		if s.cur.owns(name) && s.passes[name] == nil {
			s.passes[name] = &pass{from: s.cur, created: m.Now}
		}
	}
	s.leave.started = true
	s.logged.dirty = true
	s.exchange.burst(m.Now)
	out.Log(logevent.LeaveStarted, logevent.Int("servers", len(s.passes)))
	s.step(m, out)
}

// Handed reports whether this daemon owns nothing any more after Leave.
func (s *State) Handed() bool {
	if !s.leave.resigned {
		return s.leave.started && s.cur == nil
	}
	return s.seen >= s.leave.resignBy || s.leave.confirmed.majorityOf(len(s.cur.epoch.Panel))
}

// updateLeave makes carried-over servers of a leaving daemon go on and resigns
// once nothing is left to hand over.
func (s *State) updateLeave(m event.Meta) {
	if !s.leave.started || s.leave.resigned || s.cur == nil {
		return
	}
	for _, h := range s.cur.epoch.Servers {
		if s.cur.entitled[h.Server] && s.cur.owns(h.Server) && s.passes[h.Server] == nil {
			s.passes[h.Server] = &pass{from: s.cur, created: m.Now}
		}
	}
	if len(s.passes) > 0 || s.awaitsCarryOver(m.Now) {
		return
	}
	s.leave.resigned = true
	s.leave.resignBy = m.Now.Add(resignLimit)
	for _, v := range s.views() {
		v.drop()
	}
	s.hurry(m.Now)
}

// awaitsCarryOver reports whether this daemon still holds servers of the epoch
// before that it may be able to hand over in the present one.
func (s *State) awaitsCarryOver(now model.Time) bool {
	if s.prev == nil || s.cur.active || now >= s.prev.until {
		return false
	}
	return slices.ContainsFunc(s.prev.epoch.Servers, func(h model.ServerHome) bool {
		return s.prev.owns(h.Server) && !s.cur.entitled[h.Server]
	})
}

func (s *State) wakePasses() model.Time {
	wake := model.Never
	for _, p := range s.passes {
		wake = min(wake, p.next)
	}
	if s.leave.resigned && s.seen < s.leave.resignBy {
		wake = min(wake, s.leave.resignBy)
	}
	return wake
}

// sendHandovers sends each server whose work has ended to its next owner.
func (s *State) sendHandovers(m event.Meta, out *effect.List) {
	type batch struct {
		to      model.Member
		servers []model.ServerName
	}
	var batches []batch
	for _, name := range s.passNames() {
		p := s.passes[name]
		to, ok := s.passTarget(name, p)
		if !ok || p.late(m.Now, s.isLeaving(to.MemberRef)) {
			s.endPass(name)
			continue
		}
		if m.Now < p.next {
			continue
		}
		if s.view.InFlight(name) > 0 {
			p.next = m.Now.Add(passPoll)
			continue
		}
		p.next = m.Now.Add(passTimeout)
		if p.sent == 0 {
			p.sent = m.Now
		}
		// From here on the receiver may act, whether its answer arrives or not.
		p.from.released[name] = true
		i := slices.IndexFunc(batches, func(b batch) bool { return b.to.MemberRef == to.MemberRef })
		if i < 0 {
			i = len(batches)
			batches = append(batches, batch{to: to})
		}
		batches[i].servers = append(batches[i].servers, name)
	}
	for _, b := range batches {
		out.Log(logevent.HandoverSent, logevent.Str("to", b.to.String()), logevent.Int("servers", len(b.servers)))
		out.Add(effect.SendHandover{Peer: b.to.VM, Address: b.to.PeerAddress, Header: s.Header(), Servers: b.servers})
	}
}

func (s *State) passNames() []model.ServerName {
	names := make([]model.ServerName, 0, len(s.passes))
	for name := range s.passes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// passTarget returns who is next to own the server in the present epoch. When
// the server comes from the epoch before, that is the first owner, until the
// epoch is active and the first owner needs no handover. Otherwise it is the
// next one in the order after this daemon. All between are fenced.
func (s *State) passTarget(name model.ServerName, p *pass) (model.Member, bool) {
	if p.from != s.cur {
		o, ok := s.cur.firstOwner(name)
		return o, ok && !s.cur.active && o.MemberRef != s.self
	}
	order := s.cur.owners(name)
	at := slices.IndexFunc(order, func(m model.Member) bool { return m.MemberRef == s.self })
	i := s.cur.after(name, at)
	if i < 0 {
		return model.Member{}, false
	}
	return order[i], true
}

// endPass ends a handover, accepted or given up. This daemon does not act for
// the server in that epoch again.
func (s *State) endPass(name model.ServerName) {
	s.passes[name].from.released[name] = true
	delete(s.passes, name)
	s.logged.dirty = true
}

// HandoverAnswered ends or repeats a handover.
func (s *State) HandoverAnswered(m event.Meta, e event.HandoverAnswered, out *effect.List) {
	s.arrive(m)
	for _, name := range e.Servers {
		p := s.passes[name]
		if p == nil || !p.from.released[name] {
			continue
		}
		if e.Accepted {
			s.endPass(name)
			continue
		}
		p.next = m.Now.Add(passRetry)
	}
	if !e.Accepted && e.Err != "" {
		out.Log(logevent.HandoverFailed, logevent.Str("to", e.To), logevent.Str("error", e.Err))
	}
	s.step(m, out)
}
