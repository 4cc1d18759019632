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
	// vmListTimeout lets a read be repeated whose answer is missing.
	vmListTimeout = 20 * time.Second
	// panelQuiet is the time without any answer of the panel after which a
	// daemon reads the VM list itself.
	panelQuiet = 3 * time.Second
	// activeLate is the time after which an epoch that is not active yet makes
	// a daemon read the VM list: members of the previous panel may be gone.
	activeLate = 2 * time.Second
)

// vmList is the platform's VM list as last read.
type vmList struct {
	next model.Time
	// asked is when the pending read was issued, 0 if none is pending.
	asked model.Time
	read  bool
	state map[model.VM]model.VMState
}

func (l *vmList) wake(now model.Time) model.Time {
	if l.asked != 0 {
		return l.asked.Add(vmListTimeout)
	}
	if l.next <= now {
		return model.Never
	}
	return l.next
}

// live reports whether the list shows the VM as live.
func (l *vmList) live(vm model.VM) bool { return l.state[vm] == model.VMLive }

func (l *vmList) leaving(vm model.VM) bool { return l.state[vm] == model.VMLeaving }

// EpochArrived takes an epoch from a peer or the platform; objectVersion is 0
// from a peer. A nil epoch means that the platform has none.
func (s *State) EpochArrived(m event.Meta, e *model.Epoch, objectVersion uint64, out *effect.List) {
	s.arrive(m)
	switch {
	case e == nil:
		s.writer.missing = true
	case e.Region != s.cfg.Region:
		return
	case e.Number > s.Epoch():
		s.adopt(m, e, objectVersion, out)
	case e.Number == s.Epoch() && objectVersion > 0:
		s.writer.read(m.Now, objectVersion)
	}
	s.step(m, out)
}

// adopt makes e the present epoch.
func (s *State) adopt(m event.Meta, e *model.Epoch, objectVersion uint64, out *effect.List) {
	before := s.cur
	s.prev = nil
	if before != nil && before.epoch.Number+1 == e.Number {
		// Its writer saw the epoch before active, so that one's predecessor
		// has no valid lease left.
		before.active = true
		s.prev = before
	}
	s.cur = newEpochView(e, s.self, m.Now, s.cfg.Owners)
	s.panel.open(e, before, s.self, m.Now)
	s.writer.adopted(objectVersion)
	s.passes = make(map[model.ServerName]*pass)
	s.leave.confirmed = 0
	s.logged.dirty = true
	out.Log(logevent.EpochLearned, logevent.Int("epoch", e.Number), logevent.Int("members", len(e.Members)), logevent.Int("panel", len(e.Panel)))
	if c := s.panel.closed; c != nil && c.at == m.Now {
		out.Log(logevent.EpochClosed, logevent.Int("epoch", c.number))
	}
	s.retarget(m.Now)
	s.hurry(m.Now)
	if s.OnPanel() {
		s.vms.next = min(s.vms.next, m.Now.Add(1))
	} else {
		s.vms.next = min(s.vms.next, m.Now.Add(activeLate))
	}
}

// updateEpoch carries ownership over from the epoch before and notices that
// the present epoch became active.
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
	s.retarget(m.Now)
	out.Log(logevent.EpochActive, logevent.Int("epoch", s.cur.epoch.Number))
}

// carryOver continues ownership under the present epoch before it is active.
// The closed answers may arrive in any order, and the fences they bring can
// make this daemon the owner in the epoch before, so it runs until the epoch
// is active. It needs the lease of the epoch before, still valid, and the
// majority of closed answers without a fence for this daemon: with these this
// daemon alone may act for the server in the epoch before, for ever.
func (s *State) carryOver(m event.Meta) {
	if s.prev == nil || m.Now >= s.prev.until || !s.cur.alone() {
		return
	}
	for _, h := range s.prev.epoch.Servers {
		if s.passes[h.Server] != nil || s.cur.entitled[h.Server] || !s.prev.owns(h.Server) {
			continue
		}
		o, ok := s.cur.firstOwner(h.Server)
		switch {
		case !ok:
		case o.MemberRef == s.self:
			s.cur.entitled[h.Server] = true
			s.logged.dirty = true
		default:
			s.passes[h.Server] = &pass{from: s.prev, created: m.Now}
		}
	}
	s.prev.retired = m.Now < s.cur.until
}

// readVMList keeps the VM list fresh at the daemons that need it.
func (s *State) readVMList(m event.Meta, out *effect.List) {
	l := &s.vms
	if l.asked != 0 && m.Now < l.asked.Add(vmListTimeout) {
		return
	}
	if m.Now < l.next {
		return
	}
	l.next = m.Now.Add(vmListInterval)
	if !s.needsVMList(m.Now) {
		return
	}
	l.asked = m.Now
	out.Add(effect.ReadVMList{})
}

// needsVMList keeps the number of readers small: panel members read the list
// and others only while they cannot go on without it.
func (s *State) needsVMList(now model.Time) bool {
	if s.cur == nil || s.OnPanel() {
		return true
	}
	if !s.cur.active && now.Sub(s.cur.learned) >= activeLate {
		return true
	}
	return now.Sub(max(s.writer.panelHeard, s.cur.learned)) >= panelQuiet
}

// VMListRead takes the VM list. A panel member's VM that is missing from a list
// which was asked for after the epoch was learned is gone, because it was in
// the list that the epoch's writer read.
func (s *State) VMListRead(m event.Meta, e event.VMListRead, out *effect.List) {
	s.arrive(m)
	asked := s.vms.asked
	s.vms.asked = 0
	s.vms.next = m.Now.Add(vmListInterval)
	if e.Err == "" {
		s.vms.read = true
		s.vms.state = make(map[model.VM]model.VMState, len(e.VMs))
		for _, v := range e.VMs {
			s.vms.state[v.VM] = v.State
		}
		if s.cur != nil && asked > s.cur.learned {
			s.countGone(m, out)
		}
	}
	s.step(m, out)
}

func (s *State) countGone(m event.Meta, out *effect.List) {
	for i, ref := range s.cur.epoch.Panel {
		if _, ok := s.vms.state[ref.VM]; !ok {
			s.loseVoter(i, logevent.PanelMemberGone, out)
		}
	}
	for i, ref := range s.cur.epoch.PreviousPanel {
		if _, ok := s.vms.state[ref.VM]; !ok {
			s.cur.drain(i, m.Now.Add(LeaseDuration))
		}
	}
}

// ToldToLeave reports whether the present epoch marks this daemon as leaving.
func (s *State) ToldToLeave() bool {
	return s.cur != nil && slices.ContainsFunc(s.cur.epoch.Members, func(m model.Member) bool {
		return m.MemberRef == s.self && m.Leaving
	})
}
