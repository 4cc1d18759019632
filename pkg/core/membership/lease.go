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
	// heartbeatTimeout ends before the next heartbeat is due.
	heartbeatTimeout = 400 * time.Millisecond
	// heartbeatRetry is the wait after a failed heartbeat and after an answer
	// from a panel member with an older epoch, which then fetches ours.
	heartbeatRetry = 100 * time.Millisecond
	// staleRetry is the wait for the newer document that a panel member named.
	staleRetry = 50 * time.Millisecond
)

// target is a panel member to which this daemon sends heartbeats.
type target struct {
	vm      model.VM
	address string
	next    model.Time
	// pendingUntil is not 0 while a heartbeat is under way.
	pendingUntil model.Time
}

func (t *target) wake() model.Time { return max(t.next, t.pendingUntil) }

// HasLease reports whether a majority of the panel of the present epoch, or of
// the one before it, grants this daemon a lease at now.
func (s *State) HasLease(now model.Time) bool {
	return slices.ContainsFunc(s.views(), func(v *epochView) bool { return now < v.until })
}

// LeaseUntil returns the earliest end of the leases under which this daemon may
// be acting at now, and 0 if there are none. Work that ends by then has ended
// before another daemon owns its server.
func (s *State) LeaseUntil(now model.Time) model.Time {
	until := model.Time(0)
	for _, v := range s.views() {
		if now < v.until && !v.retired && (until == 0 || v.until < until) {
			until = v.until
		}
	}
	return until
}

// retarget sends heartbeats to the panel and, until the epoch is active, to the
// previous panel.
func (s *State) retarget(now model.Time) {
	refs := slices.Clone(s.cur.epoch.Panel)
	if !s.cur.active {
		refs = append(refs, s.cur.epoch.PreviousPanel...)
	}
	old := s.targets
	s.targets = nil
	for _, ref := range refs {
		if s.target(ref.VM) != nil {
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

// panelAddress returns the peer address of a VM of the present or the previous
// panel, empty if it is not known.
func (s *State) panelAddress(vm model.VM) string {
	if a := s.address(vm); a != "" {
		return a
	}
	i := vmIndex(s.cur.epoch.PreviousPanel, vm)
	if i < 0 || i >= len(s.cur.epoch.PreviousAddresses) {
		return ""
	}
	return s.cur.epoch.PreviousAddresses[i]
}

func (s *State) target(vm model.VM) *target {
	i := slices.IndexFunc(s.targets, func(t *target) bool { return t.vm == vm })
	if i < 0 {
		return nil
	}
	return s.targets[i]
}

// hurry makes all heartbeats due.
func (s *State) hurry(now model.Time) {
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
			Member:   s.member(),
			Resign:   s.leave.resigned,
			Timeout:  heartbeatTimeout,
		})
	}
}

// HeartbeatAnswered takes a panel member's answer.
func (s *State) HeartbeatAnswered(m event.Meta, e event.HeartbeatAnswered, out *effect.List) {
	s.arrive(m)
	t := s.target(e.Header.From.VM)
	// An answer to an earlier incarnation or epoch says nothing about this one.
	// In particular, only requests sent after the epoch was learned prove that
	// an unknown incarnation of a panel VM is newer than the one named.
	if t == nil || e.SentAt < s.born || e.ForEpoch != s.Epoch() {
		return
	}
	t.pendingUntil = 0
	t.next = s.nextHeartbeat(m.Now, e)
	s.learnPanel(m, e, out)
	s.learnPreviousPanel(m, e, out)
	if i := vmIndex(s.cur.epoch.Panel, t.vm); i >= 0 && s.leave.resigned && e.Result == model.LeaseFenced {
		s.leave.confirmed = s.leave.confirmed.with(i)
	}
	if s.cur.fenced(s.self) && !s.leave.resigned {
		s.becomeNew(m, out)
	}
	s.step(m, out)
}

func (s *State) nextHeartbeat(now model.Time, e event.HeartbeatAnswered) model.Time {
	regular := e.SentAt.Add(HeartbeatInterval)
	switch {
	case e.Result == model.LeaseStaleVersion:
		return min(regular, now.Add(staleRetry))
	case e.Header.Epoch < s.Epoch():
		return min(regular, now.Add(heartbeatRetry))
	}
	return max(regular, now)
}

// learnPanel takes what a member of the present panel says.
func (s *State) learnPanel(m event.Meta, e event.HeartbeatAnswered, out *effect.List) {
	i := vmIndex(s.cur.epoch.Panel, e.Header.From.VM)
	if i < 0 {
		return
	}
	if s.cur.epoch.Panel[i] != e.Header.From {
		s.loseVoter(i, logevent.PanelMemberRestarted, out)
		return
	}
	s.writer.panelHeard = m.Now
	if e.Header.Epoch != s.cur.epoch.Number {
		return
	}
	for _, ref := range e.Fenced {
		s.cur.fence(i, ref)
	}
	if e.Result == model.LeaseGranted && !s.leave.resigned && e.SentAt >= s.leasesFrom {
		s.cur.grant(i, e.SentAt.Add(LeaseDuration-clockMargin))
	}
}

// learnPreviousPanel takes what a member of the previous panel says.
func (s *State) learnPreviousPanel(m event.Meta, e event.HeartbeatAnswered, out *effect.List) {
	i := vmIndex(s.cur.epoch.PreviousPanel, e.Header.From.VM)
	if i < 0 {
		return
	}
	if s.cur.epoch.PreviousPanel[i] != e.Header.From {
		s.cur.drain(i, m.Now.Add(max(0, LeaseDuration-e.Uptime)))
		return
	}
	for _, c := range e.Closed {
		if c.Number+1 != s.cur.epoch.Number {
			continue
		}
		s.cur.closedBefore(i, m.Now, c)
		s.learnClosedFences(i, c)
	}
}

// learnClosedFences takes the final list of fences of the epoch before, so that
// a successor in it is known even when the closing was faster than the news.
func (s *State) learnClosedFences(i int, c event.ClosedEpoch) {
	if s.prev == nil {
		return
	}
	for _, ref := range c.Fenced {
		s.prev.fence(i, ref)
	}
}

// loseVoter records that a panel member grants nothing more.
func (s *State) loseVoter(i int, id logevent.ID, out *effect.List) {
	if s.cur.lost&(1<<i) != 0 {
		return
	}
	s.cur.lost = s.cur.lost.with(i)
	out.Log(id, logevent.Str("panel_member", s.cur.epoch.Panel[i].String()), logevent.Int("epoch", s.cur.epoch.Number))
}

// HeartbeatFailed plans the next heartbeat.
func (s *State) HeartbeatFailed(m event.Meta, e event.HeartbeatFailed, out *effect.List) {
	s.arrive(m)
	if t := s.target(e.To); t != nil {
		t.pendingUntil = 0
		t.next = min(t.next, m.Now.Add(heartbeatRetry))
	}
	s.step(m, out)
}

// becomeNew continues as a new incarnation, which owns nothing. Its panel
// membership, promises and earlier leases belong to the old one.
func (s *State) becomeNew(m event.Meta, out *effect.List) {
	old := s.self
	s.self.Incarnation = NewIncarnation(m.Wall, m.Rand)
	if s.self == old {
		s.self.Incarnation++
	}
	s.born = m.Now
	s.prev = nil
	s.cur.setSelf(s.self)
	s.panel = newPanel()
	s.passes = make(map[model.ServerName]*pass)
	s.exchange.sequence = 0
	s.logged.dirty = true
	out.Log(logevent.IncarnationFenced, logevent.Str("old", old.String()), logevent.Str("new", s.self.String()))
	s.hurry(m.Now)
}
