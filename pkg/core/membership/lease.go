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
	// heartbeatTimeout is shorter than HeartbeatInterval, so that a heartbeat
	// has ended before the next one is due.
	heartbeatTimeout = 400 * time.Millisecond
	// heartbeatRetryDelay is the wait after a failed heartbeat, and after an
	// answer from a panel member with an older epoch, which fetches the newer
	// epoch from this daemon meanwhile.
	heartbeatRetryDelay = 100 * time.Millisecond
	// staleVersionRetryDelay is the wait after a panel member refused a lease
	// because this daemon's bundle or controls are old. This daemon fetches
	// the newer version meanwhile.
	staleVersionRetryDelay = 50 * time.Millisecond
)

// target is a panel member to which this daemon sends heartbeats.
type target struct {
	vm      model.VM
	address string
	next    model.Time
	// pendingUntil is when the pending heartbeat times out, 0 if none is
	// pending.
	pendingUntil model.Time
}

func (t *target) wake() model.Time { return max(t.next, t.pendingUntil) }

// HasLease reports whether a majority of the panel of the current or the
// previous epoch grants this daemon a lease at now.
func (s *State) HasLease(now model.Time) bool {
	return slices.ContainsFunc(s.views(), func(v *epochView) bool { return now < v.leaseEnd })
}

// LeaseUntil returns the earliest end of the leases under which this daemon
// may act at now, 0 if there are none. Work that ends by then has ended before
// another daemon owns its server.
func (s *State) LeaseUntil(now model.Time) model.Time {
	until := model.Time(0)
	for _, v := range s.views() {
		if now < v.leaseEnd && !v.retired && (until == 0 || v.leaseEnd < until) {
			until = v.leaseEnd
		}
	}
	return until
}

// updateTargets sets the heartbeat targets to the panel and, until the epoch
// is active, the previous panel.
func (s *State) updateTargets(now model.Time) {
	refs := slices.Clone(s.cur.epoch.Panel)
	if !s.cur.active {
		refs = append(refs, s.cur.epoch.PreviousPanel...)
	}
	old := s.targets
	s.targets = nil
	for _, ref := range refs {
		if s.findTarget(ref.VM) != nil {
			continue
		}
		t := &target{vm: ref.VM, next: now}
		if i := slices.IndexFunc(old, func(o *target) bool { return o.vm == ref.VM }); i >= 0 {
			t = old[i]
		}
		if a := s.panelAddress(ref.VM); a != "" {
			t.address = a
		}
		if t.address != "" {
			s.targets = append(s.targets, t)
		}
	}
}

// panelAddress returns the peer address of a VM of the current or the previous
// panel, empty if it is not known.
func (s *State) panelAddress(vm model.VM) string {
	if a := s.peerAddress(vm); a != "" {
		return a
	}
	i := vmIndex(s.cur.epoch.PreviousPanel, vm)
	if i < 0 || i >= len(s.cur.epoch.PreviousAddresses) {
		return ""
	}
	return s.cur.epoch.PreviousAddresses[i]
}

func (s *State) findTarget(vm model.VM) *target {
	i := slices.IndexFunc(s.targets, func(t *target) bool { return t.vm == vm })
	if i < 0 {
		return nil
	}
	return s.targets[i]
}

// makeHeartbeatsDue makes the heartbeats to all targets due now.
func (s *State) makeHeartbeatsDue(now model.Time) {
	for _, t := range s.targets {
		t.next, t.pendingUntil = now, 0
	}
}

func (s *State) sendHeartbeats(m event.Meta, out *effect.List) {
	for _, t := range s.targets {
		if m.Now < t.wake() {
			continue
		}
		t.next = m.Now.Add(HeartbeatInterval)
		t.pendingUntil = m.Now.Add(heartbeatTimeout)
		out.Add(effect.SendHeartbeat{
			Peer:     t.vm,
			Address:  t.address,
			ForEpoch: s.cur.epoch.Number,
			Header:   s.Header(),
			Member:   s.ownMember(),
			Resign:   s.leave.resigned,
			Timeout:  heartbeatTimeout,
		})
	}
}

// HeartbeatAnswered handles a panel member's answer.
func (s *State) HeartbeatAnswered(m event.Meta, e event.HeartbeatAnswered, out *effect.List) {
	s.recordEvent(m)
	t := s.findTarget(e.Header.From.VM)
	// An answer to a request of an earlier incarnation or epoch does not count.
	// In particular, only the answer to a request that was sent after the epoch
	// was learned proves that an unknown incarnation on a panel VM is newer than
	// the one that the epoch names.
	if t == nil || e.SentAt < s.startedAt || e.ForEpoch != s.Epoch() {
		return
	}
	t.pendingUntil = 0
	t.next = s.nextHeartbeat(m.Now, e)
	s.handlePanelAnswer(m, e, out)
	s.handlePreviousPanelAnswer(m, e, out)
	if i := vmIndex(s.cur.epoch.Panel, t.vm); i >= 0 && s.leave.resigned && e.Result == model.LeaseFenced {
		s.leave.confirmedBy = s.leave.confirmedBy.with(i)
	}
	if s.cur.fenced(s.self) && !s.leave.resigned {
		s.startNewIncarnation(m, out)
	}
	s.runDueWork(m, out)
}

func (s *State) nextHeartbeat(now model.Time, e event.HeartbeatAnswered) model.Time {
	regular := e.SentAt.Add(HeartbeatInterval)
	switch {
	case e.Result == model.LeaseStaleVersion:
		return min(regular, now.Add(staleVersionRetryDelay))
	case e.Header.Epoch < s.Epoch():
		return min(regular, now.Add(heartbeatRetryDelay))
	}
	return max(regular, now)
}

// handlePanelAnswer records what a member of the current panel answered.
func (s *State) handlePanelAnswer(m event.Meta, e event.HeartbeatAnswered, out *effect.List) {
	i := vmIndex(s.cur.epoch.Panel, e.Header.From.VM)
	if i < 0 {
		return
	}
	if s.cur.epoch.Panel[i] != e.Header.From {
		s.recordLostPanelMember(i, logevent.PanelMemberRestarted, out)
		return
	}
	s.writer.panelHeardAt = m.Now
	if e.Header.Epoch != s.cur.epoch.Number {
		return
	}
	for _, ref := range e.Fenced {
		s.cur.recordFence(i, ref)
	}
	if e.Result == model.LeaseGranted && !s.leave.resigned && e.SentAt >= s.grantsValidFrom {
		s.cur.recordGrant(i, e.SentAt.Add(LeaseDuration-clockMargin))
	}
}

// handlePreviousPanelAnswer records what a member of the previous panel
// answered.
func (s *State) handlePreviousPanelAnswer(m event.Meta, e event.HeartbeatAnswered, out *effect.List) {
	i := vmIndex(s.cur.epoch.PreviousPanel, e.Header.From.VM)
	if i < 0 {
		return
	}
	if s.cur.epoch.PreviousPanel[i] != e.Header.From {
		s.cur.recordGrantsEnd(i, m.Now.Add(max(0, LeaseDuration-e.Uptime)))
		return
	}
	for _, c := range e.Closed {
		if c.Number+1 != s.cur.epoch.Number {
			continue
		}
		s.cur.recordClosed(i, m.Now, c)
		s.recordClosedFences(i, c)
	}
}

// recordClosedFences records the final fences of the previous epoch. This
// daemon may not have received all of them before the epoch was closed, and
// its successors there depend on them.
func (s *State) recordClosedFences(i int, c event.ClosedEpoch) {
	if s.prev == nil {
		return
	}
	for _, ref := range c.Fenced {
		s.prev.recordFence(i, ref)
	}
}

// recordLostPanelMember records that a panel member restarted or is gone and
// so grants nothing more in the epoch.
func (s *State) recordLostPanelMember(i int, id logevent.ID, out *effect.List) {
	if s.cur.lost&(1<<i) != 0 {
		return
	}
	s.cur.lost = s.cur.lost.with(i)
	out.Log(id, logevent.Str("panel_member", s.cur.epoch.Panel[i].String()), logevent.Int("epoch", s.cur.epoch.Number))
}

// HeartbeatFailed schedules the next heartbeat after a failed one.
func (s *State) HeartbeatFailed(m event.Meta, e event.HeartbeatFailed, out *effect.List) {
	s.recordEvent(m)
	if t := s.findTarget(e.To); t != nil {
		t.pendingUntil = 0
		t.next = min(t.next, m.Now.Add(heartbeatRetryDelay))
	}
	s.runDueWork(m, out)
}

// startNewIncarnation continues as a new incarnation, which owns nothing. The
// leases, the place on the panel and the fences given there belong to the old
// incarnation.
func (s *State) startNewIncarnation(m event.Meta, out *effect.List) {
	old := s.self
	s.self.Incarnation = NewIncarnation(m.Wall, m.Rand)
	if s.self == old {
		s.self.Incarnation++
	}
	s.startedAt = m.Now
	s.prev = nil
	s.cur.setSelf(s.self)
	s.panel = newPanel()
	s.handovers = make(map[model.ServerName]*handover)
	s.exchange.sequence = 0
	s.logged.dirty = true
	out.Log(logevent.IncarnationFenced, logevent.Str("old", old.String()), logevent.Str("new", s.self.String()))
	s.makeHeartbeatsDue(m.Now)
}
