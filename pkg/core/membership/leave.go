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
	// handoverRetryDelay is the wait after a handover that was not accepted.
	handoverRetryDelay = 100 * time.Millisecond
	// handoverTimeout is the time after which a handover without an answer is
	// repeated.
	handoverTimeout = 500 * time.Millisecond
	// handoverLimit ends the attempts to hand over a server. Its next owner
	// then gets it when this daemon is fenced.
	handoverLimit = 5 * time.Second
	// leavingHandoverLimit is the same limit, counted from the first attempt,
	// if the next owner leaves as well and may have ended already.
	leavingHandoverLimit = 500 * time.Millisecond
	// inFlightPollInterval is how often a server with running work is checked
	// again.
	inFlightPollInterval = 10 * time.Millisecond
	// resignLimit is how long a leaving daemon waits for the panel to confirm
	// its resignation; the panel fences it anyway when its lease ends.
	resignLimit = time.Second
)

// handover is a server for which this daemon starts no more work and which it
// hands over to the next owner.
type handover struct {
	// fromEpoch is the epoch in which this daemon alone may act for the
	// server.
	fromEpoch   *epochView
	created     model.Time
	nextAttempt model.Time
	// firstSent is when the handover was first sent, after all work had ended;
	// 0 before.
	firstSent model.Time
}

// expired reports whether to give up the handover. That is always safe: nobody
// acts for the server until this daemon is fenced.
func (h *handover) expired(now model.Time, leaving bool) bool {
	return now >= h.created.Add(handoverLimit) || leaving && h.firstSent != 0 && now >= h.firstSent.Add(leavingHandoverLimit)
}

// leaveState is the state of this daemon's graceful leave.
type leaveState struct {
	announced bool
	// started means that this daemon acts for no server any more, in any
	// epoch.
	started bool
	// resigned means that this daemon asks the panel to fence it and that its
	// leases no longer count.
	resigned    bool
	resignBy    model.Time
	confirmedBy panelSet
}

// AnnounceLeaving tells the peers that this daemon is going to leave. The
// daemon keeps serving and owning servers until another daemon takes over or
// Leave is called.
func (s *State) AnnounceLeaving(m event.Meta, out *effect.List) {
	s.recordEvent(m)
	s.leave.announced = true
	s.exchange.scheduleBurst(m.Now)
	s.makeHeartbeatsDue(m.Now)
	s.runDueWork(m, out)
}

// Leave hands over the owned servers and then resigns, that is, asks the panel
// to fence this daemon.
func (s *State) Leave(m event.Meta, out *effect.List) {
	s.recordEvent(m)
	if s.leave.started {
		return
	}
	s.leave.announced = true
	for _, name := range s.Owned(m.Now) {
		if s.cur.owns(name) && s.handovers[name] == nil {
			s.handovers[name] = &handover{fromEpoch: s.cur, created: m.Now}
		}
	}
	s.leave.started = true
	s.logged.dirty = true
	s.exchange.scheduleBurst(m.Now)
	out.Log(logevent.LeaveStarted, logevent.Int("servers", len(s.handovers)))
	s.runDueWork(m, out)
}

// Handed reports whether this daemon has finished leaving and owns nothing any
// more.
func (s *State) Handed() bool {
	if !s.leave.resigned {
		return s.leave.started && s.cur == nil
	}
	return s.lastEvent >= s.leave.resignBy || s.leave.confirmedBy.majorityOf(len(s.cur.epoch.Panel))
}

// updateLeave hands over servers that a leaving daemon got by carry-over, and
// resigns once nothing is left to hand over.
func (s *State) updateLeave(m event.Meta) {
	if !s.leave.started || s.leave.resigned || s.cur == nil {
		return
	}
	for _, h := range s.cur.epoch.Servers {
		if s.cur.entitled[h.Server] && s.cur.owns(h.Server) && s.handovers[h.Server] == nil {
			s.handovers[h.Server] = &handover{fromEpoch: s.cur, created: m.Now}
		}
	}
	if len(s.handovers) > 0 || s.awaitsCarryOver(m.Now) {
		return
	}
	s.leave.resigned = true
	s.leave.resignBy = m.Now.Add(resignLimit)
	for _, v := range s.views() {
		v.clearLease()
	}
	s.makeHeartbeatsDue(m.Now)
}

// awaitsCarryOver reports whether this daemon still owns servers in the
// previous epoch that it may be able to hand over in the current one.
func (s *State) awaitsCarryOver(now model.Time) bool {
	if s.prev == nil || s.cur.active || now >= s.prev.leaseEnd {
		return false
	}
	return slices.ContainsFunc(s.prev.epoch.Servers, func(h model.ServerHome) bool {
		return s.prev.owns(h.Server) && !s.cur.entitled[h.Server]
	})
}

func (s *State) wakeHandovers() model.Time {
	wake := model.Never
	for _, h := range s.handovers {
		wake = min(wake, h.nextAttempt)
	}
	if s.leave.resigned && s.lastEvent < s.leave.resignBy {
		wake = min(wake, s.leave.resignBy)
	}
	return wake
}

// sendHandovers hands over each server whose work has ended to its next owner.
func (s *State) sendHandovers(m event.Meta, out *effect.List) {
	type batch struct {
		to      model.Member
		servers []model.ServerName
	}
	var batches []batch
	for _, name := range s.handoverNames() {
		h := s.handovers[name]
		to, ok := s.nextOwner(name, h)
		if !ok || h.expired(m.Now, s.isLeaving(to.MemberRef)) {
			s.endHandover(name)
			continue
		}
		if m.Now < h.nextAttempt {
			continue
		}
		if s.view.InFlight(name) > 0 {
			h.nextAttempt = m.Now.Add(inFlightPollInterval)
			continue
		}
		h.nextAttempt = m.Now.Add(handoverTimeout)
		if h.firstSent == 0 {
			h.firstSent = m.Now
		}
		// From here on the receiver may act, even if its answer is lost.
		h.fromEpoch.released[name] = true
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

func (s *State) handoverNames() []model.ServerName {
	names := make([]model.ServerName, 0, len(s.handovers))
	for name := range s.handovers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// nextOwner returns the daemon to hand the server to in the current epoch. For
// a server from the previous epoch that is the first owner; once the epoch is
// active, the first owner needs no handover. Otherwise it is the next owner
// after this daemon in the order; all between them are fenced.
func (s *State) nextOwner(name model.ServerName, h *handover) (model.Member, bool) {
	if h.fromEpoch != s.cur {
		o, ok := s.cur.firstOwner(name)
		return o, ok && !s.cur.active && o.MemberRef != s.self
	}
	order := s.cur.owners(name)
	at := slices.IndexFunc(order, func(m model.Member) bool { return m.MemberRef == s.self })
	i := s.cur.nextOwnerIndex(name, at)
	if i < 0 {
		return model.Member{}, false
	}
	return order[i], true
}

// endHandover ends a handover that was accepted or given up. This daemon does
// not act for the server in that epoch again.
func (s *State) endHandover(name model.ServerName) {
	s.handovers[name].fromEpoch.released[name] = true
	delete(s.handovers, name)
	s.logged.dirty = true
}

// HandoverAnswered ends a handover that was accepted and schedules a retry of
// one that was not.
func (s *State) HandoverAnswered(m event.Meta, e event.HandoverAnswered, out *effect.List) {
	s.recordEvent(m)
	for _, name := range e.Servers {
		h := s.handovers[name]
		if h == nil || !h.fromEpoch.released[name] {
			continue
		}
		if e.Accepted {
			s.endHandover(name)
			continue
		}
		h.nextAttempt = m.Now.Add(handoverRetryDelay)
	}
	if !e.Accepted && e.Err != "" {
		out.Log(logevent.HandoverFailed, logevent.Str("to", e.To), logevent.Str("error", e.Err))
	}
	s.runDueWork(m, out)
}
