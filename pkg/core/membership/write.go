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

const (
	// epochInterval bounds the rate of new epochs.
	epochInterval = time.Second
	// writerCheck is how often a panel member looks whether a new epoch is due.
	writerCheck = 200 * time.Millisecond
	// rankDelay is what each place in the panel adds to the wait, so that the
	// first live panel member writes and the others rarely race it.
	rankDelay = 600 * time.Millisecond
	// strangerDelay is the least wait of a daemon outside a lost panel, and
	// the range of the random part added to it.
	strangerDelay = time.Second
	// overdue is the time without a heartbeat of a member that is not fenced
	// yet after which no epoch is written until it renews or is fenced. A new
	// epoch restarts the lease of a dead member and so delays its successor.
	overdue = 700 * time.Millisecond
	// writeTimeout lets a write be given up whose outcome never arrives.
	writeTimeout = 20 * time.Second
	// writeBackoffMax bounds the wait after failed writes.
	writeBackoffMax = 8 * time.Second
)

// writer writes the next epoch to the platform.
type writer struct {
	// missing: the platform says that there is no epoch object.
	missing bool
	// objectVersion is that of the object holding the present epoch, 0 if not
	// known.
	objectVersion uint64
	// reading: a write waits for a read of the object's version.
	reading bool
	// pending is the epoch that is being written, since asked.
	pending *model.Epoch
	asked   model.Time
	next    model.Time
	// needed is since when a new epoch is due, 0 if none is; wait is the delay
	// from then on.
	needed  model.Time
	wait    time.Duration
	backoff time.Duration
	// panelHeard is when a panel member last answered.
	panelHeard model.Time
}

// adopted resets what belonged to the epoch before.
func (w *writer) adopted(objectVersion uint64) {
	w.objectVersion = objectVersion
	w.missing = false
	w.needed = 0
	w.backoff = 0
}

// read takes the version of the object that holds the present epoch. A write
// that waited only for it follows at once; the wait after a failed write stays.
func (w *writer) read(now model.Time, objectVersion uint64) {
	w.objectVersion = objectVersion
	if w.reading {
		w.reading = false
		w.next = min(w.next, now)
	}
}

func (w *writer) failed(now model.Time) {
	w.backoff = min(max(2*w.backoff, epochInterval), writeBackoffMax)
	w.next = now.Add(w.backoff)
	w.objectVersion = 0
	w.missing = false
	w.reading = false
}

func (s *State) wakeWriter() model.Time {
	if s.writer.pending != nil {
		return s.writer.asked.Add(writeTimeout)
	}
	if s.cur != nil && !s.OnPanel() && !s.panelLost() {
		return model.Never
	}
	return s.writer.next
}

// updateWriter writes a new epoch when one is due and it is this daemon's turn.
func (s *State) updateWriter(m event.Meta, out *effect.List) {
	w := &s.writer
	if w.pending != nil && m.Now < w.asked.Add(writeTimeout) || m.Now < w.next {
		return
	}
	w.next = m.Now.Add(writerCheck)
	next := s.propose(m.Now)
	if next == nil {
		w.needed = 0
		return
	}
	if w.needed == 0 {
		w.needed, w.wait = m.Now, s.writeDelay(m)
	}
	if m.Now < w.needed.Add(w.wait) {
		return
	}
	s.write(m, next, out)
}

// write sends the conditional update, or first reads the object's version.
func (s *State) write(m event.Meta, next *model.Epoch, out *effect.List) {
	w := &s.writer
	if w.objectVersion == 0 && next.Number > 1 {
		out.Add(effect.ReadDocument{Kind: event.DocumentEpoch})
		w.failed(m.Now)
		w.reading = true
		return
	}
	w.pending, w.asked = next, m.Now
	out.Log(logevent.EpochProposed, logevent.Int("epoch", next.Number),
		logevent.Int("members", len(next.Members)), logevent.Int("panel", len(next.Panel)))
	out.Add(effect.WriteEpoch{Epoch: next, ObjectVersion: w.objectVersion})
}

// EpochWritten takes the outcome of a write. When it is not known, the object
// is read back and never written again blindly.
func (s *State) EpochWritten(m event.Meta, e event.EpochWritten, out *effect.List) {
	s.arrive(m)
	w := &s.writer
	if w.pending == nil || w.pending.Number != e.Number {
		return
	}
	next := w.pending
	w.pending = nil
	// Also after a success: the read gives the encoded form for the peers.
	out.Add(effect.ReadDocument{Kind: event.DocumentEpoch})
	if e.Conflict || e.Err != "" {
		if e.Conflict {
			// The platform works, but the copy that it gave was old. Longer
			// waits would only keep a lost region without an epoch.
			w.backoff = 0
		}
		w.failed(m.Now)
		out.Log(logevent.EpochWriteFailed, logevent.Int("epoch", e.Number), logevent.Str("error", e.Err))
		s.step(m, out)
		return
	}
	out.Log(logevent.EpochWritten, logevent.Int("epoch", e.Number))
	s.EpochArrived(m, next, e.ObjectVersion, out)
}

// writeDelay returns how long this daemon leaves the write to others.
func (s *State) writeDelay(m event.Meta) time.Duration {
	if s.cur == nil {
		return 0
	}
	rank := refIndex(s.cur.epoch.Panel, s.self)
	if rank < 0 {
		return strangerDelay + time.Duration(m.Rand%uint64(strangerDelay))
	}
	return time.Duration(rank) * rankDelay
}

// panelLost reports whether a majority of the panel restarted or is gone. Only
// then can an epoch that a daemon outside the panel writes become active
// without the panel.
func (s *State) panelLost() bool { return s.cur.lost.majorityOf(len(s.cur.epoch.Panel)) }

// propose returns the epoch that should follow, nil if none is due or another
// daemon has to write it. Only a daemon that saw the present epoch active may.
func (s *State) propose(now model.Time) *model.Epoch {
	if s.cur == nil {
		return s.firstEpoch()
	}
	if !s.cur.active || now < s.cur.learned.Add(epochInterval) || !s.vms.read {
		return nil
	}
	// A lost panel can fence nobody any more, so also its remaining members go
	// by what peers report.
	if s.panelLost() {
		if s.leave.announced {
			return nil
		}
		return s.nextEpoch(now, s.strangerMembers(now))
	}
	if !s.OnPanel() || s.heartbeatOverdue(now) {
		return nil
	}
	return s.nextEpoch(now, s.panelMembers(now))
}

// firstEpoch starts a region that has no epoch with this daemon alone.
func (s *State) firstEpoch() *model.Epoch {
	if !s.writer.missing || !s.vms.live(s.self.VM) || s.leave.announced {
		return nil
	}
	return &model.Epoch{
		Region:  s.cfg.Region,
		Number:  1,
		Members: []model.Member{s.member()},
		Panel:   []model.MemberRef{s.self},
		Servers: homesOf(s.view.Bundle(), s.cfg.Region),
	}
}

func (s *State) heartbeatOverdue(now model.Time) bool {
	return slices.ContainsFunc(s.panel.members, func(ref model.MemberRef) bool {
		seen := max(s.panel.leases[ref].seen, s.cur.learned)
		return now.Sub(seen) > overdue && !s.panel.isFenced(ref)
	})
}

// nextEpoch returns the successor with the given members, nil if it would not
// differ.
func (s *State) nextEpoch(now model.Time, members []model.Member) *model.Epoch {
	cur := s.cur.epoch
	next := &model.Epoch{
		Region:            cur.Region,
		Number:            cur.Number + 1,
		Members:           members,
		PreviousPanel:     cur.Panel,
		PreviousAddresses: s.panelAddresses(),
		Servers:           cur.Servers,
	}
	if b := s.view.Bundle(); b != nil && s.HasLease(now) {
		next.Servers = homesOf(b, s.cfg.Region)
	}
	next.Panel = s.nextPanel(members)
	if len(next.Panel) == 0 {
		return nil
	}
	// A new epoch also gives a lease again to live members that so many panel
	// members fenced that no majority is left for them.
	barred := slices.ContainsFunc(cur.Members, func(m model.Member) bool { return s.cur.barred(m.MemberRef) })
	if !barred && slices.Equal(next.Members, cur.Members) && slices.Equal(next.Servers, cur.Servers) && slices.Equal(next.Panel, cur.Panel) {
		return nil
	}
	return next
}

func (s *State) panelAddresses() []string {
	addresses := make([]string, len(s.cur.epoch.Panel))
	for i, ref := range s.cur.epoch.Panel {
		addresses[i] = s.address(ref.VM)
	}
	return addresses
}

// nextPanel keeps the present panel unless one of its members is unfit or it
// can grow.
func (s *State) nextPanel(members []model.Member) []model.MemberRef {
	fit := slices.DeleteFunc(slices.Clone(members), func(m model.Member) bool { return m.Leaving })
	if len(fit) == 0 {
		fit = members
	}
	isFit := func(ref model.MemberRef) bool {
		return s.vms.live(ref.VM) && slices.ContainsFunc(fit, func(m model.Member) bool { return m.MemberRef == ref })
	}
	var keep []model.MemberRef
	if s.panelLost() && isFit(s.self) && !s.OnPanel() {
		// The others may be gone as well.
		keep = append(keep, s.self)
	}
	for _, ref := range s.cur.epoch.Panel {
		if isFit(ref) {
			keep = append(keep, ref)
		}
	}
	chosen := s.cfg.Panel(fit, s.vms.live, keep, MaxPanel)
	if len(chosen) > 0 && len(chosen)%2 == 0 {
		// An even panel bears no more losses than one with a member less.
		chosen = s.cfg.Panel(fit, s.vms.live, keep, len(chosen)-1)
	}
	if slices.Equal(keep, s.cur.epoch.Panel) && len(chosen) <= len(keep) {
		return s.cur.epoch.Panel
	}
	return chosen
}

// panelMembers returns the next members as a panel member knows them: without
// the fenced ones and the dead ones that can get no lease any more, with the daemons that hold a lease but are not members. A
// restarted daemon waits until its former incarnation is fenced, because its
// successor can act as soon as that is so.
func (s *State) panelMembers(now model.Time) []model.Member {
	var members []model.Member
	for _, m := range s.cur.epoch.Members {
		if s.cur.fenced(m.MemberRef) || s.cur.barred(m.MemberRef) && !s.panel.heard(m.MemberRef, now) {
			continue
		}
		if l := s.panel.leases[m.MemberRef]; l != nil && l.member.Leaving {
			m.Leaving = true
		}
		m.Leaving = m.Leaving || s.vms.leaving(m.VM)
		members = append(members, m)
	}
	for _, v := range s.panel.visitors(now) {
		if !v.Leaving && !s.vms.leaving(v.VM) {
			members = addMember(members, v)
		}
	}
	slices.SortFunc(members, compareMembers)
	return members
}

// strangerMembers returns the next members as a daemon outside a lost panel
// knows them from reports of peers.
func (s *State) strangerMembers(now model.Time) []model.Member {
	members := []model.Member{s.member()}
	for _, p := range s.exchange.recent(now) {
		if !p.Leaving && !s.cur.fenced(p.MemberRef) {
			members = addMember(members, p.Member)
		}
	}
	for _, m := range s.cur.epoch.Members {
		i := vmIndex(s.cur.epoch.Panel, m.VM)
		if s.cur.barred(m.MemberRef) || s.isLeaving(m.MemberRef) || i >= 0 && s.cur.lost&(1<<i) != 0 {
			continue
		}
		members = addMember(members, m)
	}
	slices.SortFunc(members, compareMembers)
	return members
}

// addMember appends m unless its VM is in the list.
func addMember(members []model.Member, m model.Member) []model.Member {
	if slices.ContainsFunc(members, func(o model.Member) bool { return o.VM == m.VM }) {
		return members
	}
	return append(members, m)
}

// homesOf returns the servers that the region's daemons may own, by name.
func homesOf(b *model.Bundle, region string) []model.ServerHome {
	if b == nil {
		return nil
	}
	homes := make([]model.ServerHome, 0, len(b.Servers))
	for _, srv := range b.Servers {
		if srv.Region != "" && srv.Region != region {
			continue
		}
		homes = append(homes, model.ServerHome{Server: srv.Name, FailureDomain: srv.FailureDomain})
	}
	slices.SortFunc(homes, func(a, b model.ServerHome) int { return cmp.Compare(a.Server, b.Server) })
	return homes
}
