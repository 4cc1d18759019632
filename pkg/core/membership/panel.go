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

// pauseLimit is the time without any event after which a panel member takes it
// that it was paused and did not see the renewals sent meanwhile. Fencing later
// is always safe.
const pauseLimit = 700 * time.Millisecond

// lease is what a panel member granted to one incarnation.
type lease struct {
	member model.Member
	// until is the end of the grant on the panel member's clock.
	until model.Time
	// seen is when it last sent a heartbeat, granted or not, 0 if never.
	seen     model.Time
	resigned bool
}

// closing is an epoch in which this panel member grants and fences nothing more.
type closing struct {
	number uint64
	at     model.Time
	fenced []model.MemberRef
}

// panel is the state of a panel member. A new incarnation starts with none.
type panel struct {
	// leases has the members of the epoch and the other daemons heard of.
	leases map[model.MemberRef]*lease
	// fenced are the promises of the present epoch.
	fenced []model.MemberRef
	closed *closing
	// members are the incarnations that have to be fenced when their lease
	// ends; empty when this daemon is not on the panel.
	members []model.MemberRef
	// nextEnd is not later than the next end of a member's lease. Leases are
	// only ever prolonged, so it is computed again only when it is reached.
	nextEnd model.Time
}

func newPanel() panel {
	return panel{leases: make(map[model.MemberRef]*lease), nextEnd: model.Never}
}

// open starts the panel's work for epoch e and closes the one before it.
func (p *panel) open(e *model.Epoch, before *epochView, self model.MemberRef, now model.Time) {
	if refIndex(e.PreviousPanel, self) >= 0 {
		p.closed = &closing{number: e.Number - 1, at: now}
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

// afterPause gives all holders the time to renew their leases.
func (p *panel) afterPause(now model.Time) {
	for _, l := range p.leases {
		l.until = max(l.until, now.Add(LeaseDuration))
	}
}

func (p *panel) isFenced(ref model.MemberRef) bool { return slices.Contains(p.fenced, ref) }

// firstEnd returns when the next lease of a member ends.
func (p *panel) firstEnd() model.Time {
	wake := model.Never
	for _, ref := range p.members {
		if l := p.leases[ref]; l != nil && !p.isFenced(ref) {
			wake = min(wake, l.until)
		}
	}
	return wake
}

// heard reports whether the incarnation sent a heartbeat lately.
func (p *panel) heard(ref model.MemberRef, now model.Time) bool {
	l := p.leases[ref]
	return l != nil && l.seen > 0 && now.Sub(l.seen) <= overdue
}

// visitors returns the daemons that hold a lease but are not members, by VM.
func (p *panel) visitors(now model.Time) []model.Member {
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

// fenceExpired fences the members whose leases ended.
func (s *State) fenceExpired(m event.Meta, out *effect.List) {
	if m.Now < s.panel.nextEnd {
		return
	}
	for _, ref := range s.panel.members {
		l := s.panel.leases[ref]
		if m.Now < l.until || s.panel.isFenced(ref) {
			continue
		}
		s.fence(ref, "lease ended", out)
	}
	for ref, l := range s.panel.leases {
		if m.Now >= l.until && !slices.Contains(s.panel.members, ref) {
			delete(s.panel.leases, ref)
		}
	}
	s.panel.nextEnd = s.panel.firstEnd()
}

func (s *State) fence(ref model.MemberRef, reason string, out *effect.List) {
	s.panel.fenced = append(s.panel.fenced, ref)
	out.Log(logevent.MemberFenced, logevent.Str("member", ref.String()),
		logevent.Int("epoch", s.Epoch()), logevent.Str("reason", reason))
}

// HeartbeatArrived answers a request for a lease.
func (s *State) HeartbeatArrived(m event.Meta, e event.HeartbeatArrived, out *effect.List) {
	s.arrive(m)
	if l := s.panel.leases[e.Header.From]; l != nil {
		l.seen = m.Now
	}
	result := s.decide(m, e, out)
	out.Add(effect.ReplyHeartbeat{
		Token:  e.Token,
		Header: s.Header(),
		Result: result,
		Fenced: slices.Clone(s.panel.fenced),
		Closed: s.closedEpochs(m.Now),
		Uptime: m.Now.Sub(s.born),
	})
}

func (s *State) decide(m event.Meta, e event.HeartbeatArrived, out *effect.List) model.LeaseResult {
	ref := e.Header.From
	bundle, controls := s.view.Versions()
	switch {
	case !s.OnPanel():
		return model.LeaseNotPanel
	case e.Header.Epoch != s.Epoch():
		return model.LeaseWrongEpoch
	case e.Resign:
		s.resign(m.Now, e, out)
		return model.LeaseFenced
	case s.panel.isFenced(ref):
		return model.LeaseFenced
	case e.Header.BundleVersion < bundle || e.Header.ControlsVersion < controls:
		return model.LeaseStaleVersion
	}
	s.renew(m.Now, e)
	return model.LeaseGranted
}

func (s *State) renew(now model.Time, e event.HeartbeatArrived) {
	l := s.panel.leases[e.Header.From]
	if l == nil {
		l = &lease{}
		s.panel.leases[e.Header.From] = l
	}
	l.member = e.Member
	l.member.MemberRef = e.Header.From
	l.until = now.Add(LeaseDuration)
	l.seen = now
}

// resign fences a daemon that says that it stopped acting for good.
func (s *State) resign(now model.Time, e event.HeartbeatArrived, out *effect.List) {
	s.renew(now, e)
	s.panel.leases[e.Header.From].resigned = true
	if slices.Contains(s.panel.members, e.Header.From) && !s.panel.isFenced(e.Header.From) {
		s.fence(e.Header.From, "resigned", out)
	}
}

func (s *State) closedEpochs(now model.Time) []event.ClosedEpoch {
	c := s.panel.closed
	if c == nil {
		return nil
	}
	return []event.ClosedEpoch{{Number: c.number, Age: now.Sub(c.at), Fenced: slices.Clone(c.fenced)}}
}
