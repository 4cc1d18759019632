package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// pauseLimit is the time without any event after which a panel member assumes
// that it was paused and missed renewals that were sent meanwhile. Fencing
// later is always safe.
const pauseLimit = 700 * time.Millisecond

// lease is what a panel member granted to one incarnation.
type lease struct {
	member model.Member
	// until is the end of the grant on the panel member's clock.
	until model.Time
	// lastHeartbeat is when the incarnation last sent a heartbeat, granted or
	// not; 0 if it never did.
	lastHeartbeat model.Time
	resigned      bool
}

// closedEpoch is an epoch in which this panel member grants and fences nothing
// more. fenced is its final list of fences.
type closedEpoch struct {
	number uint64
	at     model.Time
	fenced []model.MemberRef
}

// panelState is the state of this daemon as a panel member. A new incarnation
// starts with an empty one.
type panelState struct {
	// leases has the members of the epoch and the other daemons that were
	// granted a lease or resigned.
	leases map[model.MemberRef]*lease
	// fenced are the incarnations that this panel member fenced in the current
	// epoch.
	fenced []model.MemberRef
	closed *closedEpoch
	// members are the incarnations to fence when their lease ends; empty if
	// this daemon is not on the panel.
	members []model.MemberRef
	// nextEnd is not later than the next end of a member's lease. Leases are
	// only ever prolonged, so it is recomputed only when it is reached.
	nextEnd model.Time
}

func newPanel() panelState {
	return panelState{leases: make(map[model.MemberRef]*lease), nextEnd: model.Never}
}

// openEpoch closes the previous epoch if this daemon was on its panel, and
// starts work as a panel member of epoch e if it is on that panel.
func (p *panelState) openEpoch(e *model.Epoch, before *epochView, self model.MemberRef, now model.Time) {
	if refIndex(e.PreviousPanel, self) >= 0 {
		p.closed = &closedEpoch{number: e.Number - 1, at: now}
		if before != nil && before.epoch.Number == e.Number-1 {
			p.closed.fenced = p.fenced
		}
	}
	p.fenced, p.members = nil, nil
	p.nextEnd = model.Never
	if refIndex(e.Panel, self) < 0 {
		clear(p.leases)
		return
	}
	for _, m := range e.Members {
		p.members = append(p.members, m.MemberRef)
		l := p.leases[m.MemberRef]
		if l == nil {
			l = &lease{member: m}
			p.leases[m.MemberRef] = l
		}
		l.until = now.Add(LeaseDuration)
		p.nextEnd = l.until
	}
}

// extendAfterPause gives all holders time to renew their leases after this
// daemon was paused.
func (p *panelState) extendAfterPause(now model.Time) {
	for _, l := range p.leases {
		l.until = max(l.until, now.Add(LeaseDuration))
	}
}

func (p *panelState) isFenced(ref model.MemberRef) bool { return slices.Contains(p.fenced, ref) }

// earliestEnd returns the earliest end of the lease of a member that is not
// fenced.
func (p *panelState) earliestEnd() model.Time {
	wake := model.Never
	for _, ref := range p.members {
		if l := p.leases[ref]; l != nil && !p.isFenced(ref) {
			wake = min(wake, l.until)
		}
	}
	return wake
}

// heardRecently reports whether the incarnation sent a heartbeat within
// maxHeartbeatAge.
func (p *panelState) heardRecently(ref model.MemberRef, now model.Time) bool {
	l := p.leases[ref]
	return l != nil && l.lastHeartbeat > 0 && now.Sub(l.lastHeartbeat) <= maxHeartbeatAge
}

// nonMemberHolders returns the daemons that hold a lease but are not members
// of the epoch, ordered by VM.
func (p *panelState) nonMemberHolders(now model.Time) []model.Member {
	var list []model.Member
	for ref, l := range p.leases {
		if now < l.until && !l.resigned && !slices.Contains(p.members, ref) {
			list = append(list, l.member)
		}
	}
	slices.SortFunc(list, compareMembers)
	return list
}

func compareMembers(a, b model.Member) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
}

// fenceExpired fences the members whose leases have ended.
func (s *State) fenceExpired(m event.Meta, out *effect.List) {
	if m.Now < s.panel.nextEnd {
		return
	}
	for _, ref := range s.panel.members {
		l := s.panel.leases[ref]
		if m.Now < l.until || s.panel.isFenced(ref) {
			continue
		}
		s.fenceMember(ref, "lease ended", out)
	}
	for ref, l := range s.panel.leases {
		if m.Now >= l.until && !slices.Contains(s.panel.members, ref) {
			delete(s.panel.leases, ref)
		}
	}
	s.panel.nextEnd = s.panel.earliestEnd()
}

// fenceMember fences an incarnation for the rest of the epoch.
func (s *State) fenceMember(ref model.MemberRef, reason string, out *effect.List) {
	s.panel.fenced = append(s.panel.fenced, ref)
	out.Log(logevent.MemberFenced, logevent.Str("member", ref.String()),
		logevent.Int("epoch", s.Epoch()), logevent.Str("reason", reason))
}

// HeartbeatArrived answers a request for a lease.
func (s *State) HeartbeatArrived(m event.Meta, e event.HeartbeatArrived, out *effect.List) {
	s.recordEvent(m)
	if l := s.panel.leases[e.Header.From]; l != nil {
		l.lastHeartbeat = m.Now
	}
	result := s.decideLease(m, e, out)
	out.Add(effect.ReplyHeartbeat{
		Token:  e.Token,
		Header: s.Header(),
		Result: result,
		Fenced: slices.Clone(s.panel.fenced),
		Closed: s.closedEpochs(m.Now),
		Uptime: m.Now.Sub(s.startedAt),
	})
}

// decideLease grants or refuses the lease that a heartbeat requests.
func (s *State) decideLease(m event.Meta, e event.HeartbeatArrived, out *effect.List) model.LeaseResult {
	ref := e.Header.From
	bundle, controls := s.view.Versions()
	switch {
	case !s.OnPanel():
		return model.LeaseNotPanel
	case e.Header.Epoch != s.Epoch():
		return model.LeaseWrongEpoch
	case e.Resign:
		s.recordResignation(m.Now, e, out)
		return model.LeaseFenced
	case s.panel.isFenced(ref):
		return model.LeaseFenced
	case e.Header.BundleVersion < bundle || e.Header.ControlsVersion < controls:
		return model.LeaseStaleVersion
	}
	s.renewLease(m.Now, e)
	return model.LeaseGranted
}

func (s *State) renewLease(now model.Time, e event.HeartbeatArrived) {
	l := s.panel.leases[e.Header.From]
	if l == nil {
		l = &lease{}
		s.panel.leases[e.Header.From] = l
	}
	l.member = e.Member
	l.member.MemberRef = e.Header.From
	l.until = now.Add(LeaseDuration)
	l.lastHeartbeat = now
}

// recordResignation fences a daemon that says that it has stopped acting for
// good.
func (s *State) recordResignation(now model.Time, e event.HeartbeatArrived, out *effect.List) {
	s.renewLease(now, e)
	s.panel.leases[e.Header.From].resigned = true
	if slices.Contains(s.panel.members, e.Header.From) && !s.panel.isFenced(e.Header.From) {
		s.fenceMember(e.Header.From, "resigned", out)
	}
}

func (s *State) closedEpochs(now model.Time) []event.ClosedEpoch {
	c := s.panel.closed
	if c == nil {
		return nil
	}
	return []event.ClosedEpoch{{Number: c.number, Age: now.Sub(c.at), Fenced: slices.Clone(c.fenced)}}
}
