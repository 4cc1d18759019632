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
	// vmListInterval is the time between two reads of the VM list.
	vmListInterval = 2 * time.Second
	// vmListTimeout is how long a read of the VM list without an answer blocks
	// the next one.
	vmListTimeout = 20 * time.Second
	// panelSilenceLimit is the time without any answer from the panel after
	// which a daemon outside the panel reads the VM list itself.
	panelSilenceLimit = 3 * time.Second
	// activationTimeout is the time after which a daemon outside the panel
	// reads the VM list because the epoch is not active yet: members of the
	// previous panel may be gone.
	activationTimeout = 2 * time.Second
)

// vmList is the platform's VM list as last read.
type vmList struct {
	next model.Time
	// askedAt is when the pending read was started, 0 if none is pending.
	askedAt model.Time
	loaded  bool
	states  map[model.VM]model.VMState
}

func (l *vmList) wake(now model.Time) model.Time {
	if l.askedAt != 0 {
		return l.askedAt.Add(vmListTimeout)
	}
	if l.next <= now {
		return model.Never
	}
	return l.next
}

// isLive reports whether the list shows the VM as live.
func (l *vmList) isLive(vm model.VM) bool { return l.states[vm] == model.VMLive }

func (l *vmList) isLeaving(vm model.VM) bool { return l.states[vm] == model.VMLeaving }

// EpochArrived handles an epoch from a peer or the platform. objectVersion is
// 0 if it came from a peer. A nil epoch means that the platform has none.
func (s *State) EpochArrived(m event.Meta, e *model.Epoch, objectVersion uint64, out *effect.List) {
	s.recordEvent(m)
	switch {
	case e == nil:
		s.writer.epochMissing = true
	case e.Region != s.cfg.Region:
		return
	case e.Number > s.Epoch():
		s.adoptEpoch(m, e, objectVersion, out)
	case e.Number == s.Epoch() && objectVersion > 0:
		s.writer.setObjectVersion(m.Now, objectVersion)
	}
	s.runDueWork(m, out)
}

// adoptEpoch makes e the current epoch.
func (s *State) adoptEpoch(m event.Meta, e *model.Epoch, objectVersion uint64, out *effect.List) {
	before := s.cur
	s.prev = nil
	if before != nil && before.epoch.Number+1 == e.Number {
		// The writer of e saw the previous epoch active, so no lease of the
		// epoch before that is valid.
		before.active = true
		s.prev = before
	}
	s.cur = newEpochView(e, s.self, m.Now, s.cfg.Owners)
	s.panel.openEpoch(e, before, s.self, m.Now)
	s.writer.reset(objectVersion)
	s.handovers = make(map[model.ServerName]*handover)
	s.leave.confirmedBy = 0
	s.logged.dirty = true
	out.Log(logevent.EpochLearned, logevent.Int("epoch", e.Number), logevent.Int("members", len(e.Members)), logevent.Int("panel", len(e.Panel)))
	if c := s.panel.closed; c != nil && c.at == m.Now {
		out.Log(logevent.EpochClosed, logevent.Int("epoch", c.number))
	}
	s.updateTargets(m.Now)
	s.makeHeartbeatsDue(m.Now)
	if s.OnPanel() {
		s.vms.next = min(s.vms.next, m.Now.Add(1))
	} else {
		s.vms.next = min(s.vms.next, m.Now.Add(activationTimeout))
	}
}

// updateEpoch carries ownership over from the previous epoch and marks the
// current one as active when it becomes so.
func (s *State) updateEpoch(m event.Meta, out *effect.List) {
	if s.cur == nil || s.cur.active {
		return
	}
	s.carryOver(m)
	if m.Now < s.cur.activeFrom() {
		return
	}
	s.cur.active = true
	s.logged.dirty = true
	s.updateTargets(m.Now)
	out.Log(logevent.EpochActive, logevent.Int("epoch", s.cur.epoch.Number))
}

// carryOver continues ownership in the current epoch before it is active. It
// is called until the epoch is active, because the members of the previous
// panel report in any order that they closed the previous epoch, and the
// fences that they report can make this daemon the owner there. It needs a
// valid lease of the previous epoch, and a majority that closed it without
// having fenced this daemon. With these, no other daemon can ever act for the
// server in the previous epoch.
func (s *State) carryOver(m event.Meta) {
	if s.prev == nil || m.Now >= s.prev.leaseEnd || !s.cur.hasUnfencedMajority() {
		return
	}
	for _, h := range s.prev.epoch.Servers {
		if s.handovers[h.Server] != nil || s.cur.entitled[h.Server] || !s.prev.owns(h.Server) {
			continue
		}
		o, ok := s.cur.firstOwner(h.Server)
		switch {
		case !ok:
		case o.MemberRef == s.self:
			s.cur.entitled[h.Server] = true
			s.logged.dirty = true
		default:
			s.handovers[h.Server] = &handover{fromEpoch: s.prev, created: m.Now}
		}
	}
	s.prev.retired = m.Now < s.cur.leaseEnd
}

// readVMList reads the VM list regularly on the daemons that need it.
func (s *State) readVMList(m event.Meta, out *effect.List) {
	l := &s.vms
	if l.askedAt != 0 && m.Now < l.askedAt.Add(vmListTimeout) {
		return
	}
	if m.Now < l.next {
		return
	}
	l.next = m.Now.Add(vmListInterval)
	if !s.needsVMList(m.Now) {
		return
	}
	l.askedAt = m.Now
	out.Add(effect.ReadVMList{})
}

// needsVMList limits the number of readers: panel members and daemons without
// an epoch always read the list, other daemons only while they cannot proceed
// without it.
func (s *State) needsVMList(now model.Time) bool {
	if s.cur == nil || s.OnPanel() {
		return true
	}
	if !s.cur.active && now.Sub(s.cur.learnedAt) >= activationTimeout {
		return true
	}
	return now.Sub(max(s.writer.panelHeardAt, s.cur.learnedAt)) >= panelSilenceLimit
}

// VMListRead handles a VM list. A panel member is gone if its VM is missing
// from a list that was requested after the epoch was learned, because the VM
// was in the list that the epoch's writer read.
func (s *State) VMListRead(m event.Meta, e event.VMListRead, out *effect.List) {
	s.recordEvent(m)
	askedAt := s.vms.askedAt
	s.vms.askedAt = 0
	s.vms.next = m.Now.Add(vmListInterval)
	if e.Err == "" {
		s.vms.loaded = true
		s.vms.states = make(map[model.VM]model.VMState, len(e.VMs))
		for _, v := range e.VMs {
			s.vms.states[v.VM] = v.State
		}
		if s.cur != nil && askedAt > s.cur.learnedAt {
			s.recordGoneVMs(m, out)
		}
	}
	s.runDueWork(m, out)
}

// recordGoneVMs records the members of the current and the previous panel
// whose VM is not in the list.
func (s *State) recordGoneVMs(m event.Meta, out *effect.List) {
	for i, ref := range s.cur.epoch.Panel {
		if _, ok := s.vms.states[ref.VM]; !ok {
			s.recordLostPanelMember(i, logevent.PanelMemberGone, out)
		}
	}
	for i, ref := range s.cur.epoch.PreviousPanel {
		if _, ok := s.vms.states[ref.VM]; !ok {
			s.cur.recordGrantsEnd(i, m.Now.Add(LeaseDuration))
		}
	}
}

// ToldToLeave reports whether the current epoch marks this daemon as leaving.
func (s *State) ToldToLeave() bool {
	return s.cur != nil && slices.ContainsFunc(s.cur.epoch.Members, func(m model.Member) bool {
		return m.MemberRef == s.self && m.Leaving
	})
}
