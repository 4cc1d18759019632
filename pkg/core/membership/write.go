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
	// writerCheckInterval is how often a panel member checks whether a new
	// epoch is due.
	writerCheckInterval = 200 * time.Millisecond
	// rankDelay is the additional wait per place in the panel, so that the
	// first live panel member writes and the others rarely compete with it.
	rankDelay = 600 * time.Millisecond
	// outsiderDelay is the least wait of a daemon outside a panel that lost
	// its majority, and the range of the random part added to it.
	outsiderDelay = time.Second
	// maxHeartbeatAge is the time without a heartbeat from a member after
	// which no epoch is written until the member renews its lease or is
	// fenced. A new epoch restarts the lease of a dead member and so delays
	// its successor.
	maxHeartbeatAge = 700 * time.Millisecond
	// writeTimeout is how long a write without an outcome blocks the next one.
	writeTimeout = 20 * time.Second
	// writeBackoffMax bounds the wait after failed writes.
	writeBackoffMax = 8 * time.Second
)

// writer writes the next epoch to the platform.
type writer struct {
	// epochMissing means that the platform has no epoch object.
	epochMissing bool
	// objectVersion is the version of the object that holds the current epoch,
	// 0 if it is not known.
	objectVersion uint64
	// awaitingRead means that a write waits for a read of the object's
	// version.
	awaitingRead bool
	// pending is the epoch whose write was started at askedAt, nil if no write
	// is pending.
	pending *model.Epoch
	askedAt model.Time
	next    model.Time
	// neededSince is when the need for a new epoch was first seen, 0 if there
	// is none. The write waits for delay after it.
	neededSince model.Time
	delay       time.Duration
	backoff     time.Duration
	// panelHeardAt is when a panel member last answered.
	panelHeardAt model.Time
}

// reset clears the state that belongs to the previous epoch.
func (w *writer) reset(objectVersion uint64) {
	w.objectVersion = objectVersion
	w.epochMissing = false
	w.neededSince = 0
	w.backoff = 0
}

// setObjectVersion records the version of the object that holds the current
// epoch. A write that waited only for it follows at once; the wait after a
// failed write stays.
func (w *writer) setObjectVersion(now model.Time, objectVersion uint64) {
	w.objectVersion = objectVersion
	if w.awaitingRead {
		w.awaitingRead = false
		w.next = min(w.next, now)
	}
}

// delayNextWrite doubles the wait before the next write, and requires the
// object's version to be read again.
func (w *writer) delayNextWrite(now model.Time) {
	w.backoff = min(max(2*w.backoff, epochInterval), writeBackoffMax)
	w.next = now.Add(w.backoff)
	w.objectVersion = 0
	w.epochMissing = false
	w.awaitingRead = false
}

func (s *State) wakeWriter() model.Time {
	if s.writer.pending != nil {
		return s.writer.askedAt.Add(writeTimeout)
	}
	if s.cur != nil && !s.OnPanel() && !s.panelMajorityLost() {
		return model.Never
	}
	return s.writer.next
}

// updateWriter writes a new epoch when one is due and it is this daemon's turn.
func (s *State) updateWriter(m event.Meta, out *effect.List) {
	w := &s.writer
	if w.pending != nil && m.Now < w.askedAt.Add(writeTimeout) || m.Now < w.next {
		return
	}
	w.next = m.Now.Add(writerCheckInterval)
	next := s.proposeEpoch(m.Now)
	if next == nil {
		w.neededSince = 0
		return
	}
	if w.neededSince == 0 {
		w.neededSince, w.delay = m.Now, s.writeDelay(m)
	}
	if m.Now < w.neededSince.Add(w.delay) {
		return
	}
	s.writeEpoch(m, next, out)
}

// writeEpoch sends the conditional update, or first reads the object's version
// if it is not known.
func (s *State) writeEpoch(m event.Meta, next *model.Epoch, out *effect.List) {
	w := &s.writer
	if w.objectVersion == 0 && next.Number > 1 {
		out.Add(effect.ReadDocument{Kind: event.DocumentEpoch})
		w.delayNextWrite(m.Now)
		w.awaitingRead = true
		return
	}
	w.pending, w.askedAt = next, m.Now
	out.Log(logevent.EpochProposed, logevent.Int("epoch", next.Number),
		logevent.Int("members", len(next.Members)), logevent.Int("panel", len(next.Panel)))
	out.Add(effect.WriteEpoch{Epoch: next, ObjectVersion: w.objectVersion})
}

// EpochWritten handles the outcome of a write. If the outcome is not known,
// the object is read back and never written again blindly.
func (s *State) EpochWritten(m event.Meta, e event.EpochWritten, out *effect.List) {
	s.recordEvent(m)
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
			// The platform works, but this daemon had read an old copy. Longer
			// waits would only keep a region whose panel is lost without a new
			// epoch.
			w.backoff = 0
		}
		w.delayNextWrite(m.Now)
		out.Log(logevent.EpochWriteFailed, logevent.Int("epoch", e.Number), logevent.Str("error", e.Err))
		s.runDueWork(m, out)
		return
	}
	out.Log(logevent.EpochWritten, logevent.Int("epoch", e.Number))
	s.EpochArrived(m, next, e.ObjectVersion, out)
}

// writeDelay returns how long this daemon leaves the write to other daemons.
func (s *State) writeDelay(m event.Meta) time.Duration {
	if s.cur == nil {
		return 0
	}
	rank := refIndex(s.cur.epoch.Panel, s.self)
	if rank < 0 {
		return outsiderDelay + time.Duration(m.Rand%uint64(outsiderDelay))
	}
	return time.Duration(rank) * rankDelay
}

// panelMajorityLost reports whether a majority of the panel restarted or is
// gone. Only then can an epoch that is written by a daemon outside the panel
// become active without the panel.
func (s *State) panelMajorityLost() bool { return s.cur.lost.majorityOf(len(s.cur.epoch.Panel)) }

// proposeEpoch returns the epoch that should follow, nil if none is due or
// another daemon has to write it. Only a daemon that saw the current epoch
// active may propose.
func (s *State) proposeEpoch(now model.Time) *model.Epoch {
	if s.cur == nil {
		return s.firstEpoch()
	}
	if !s.cur.active || now < s.cur.learnedAt.Add(epochInterval) || !s.vms.loaded {
		return nil
	}
	// A panel without a majority can fence nobody, so its remaining members
	// also rely on the reports of peers.
	if s.panelMajorityLost() {
		if s.leave.announced {
			return nil
		}
		return s.nextEpoch(now, s.outsiderMembers(now))
	}
	if !s.OnPanel() || s.heartbeatOverdue(now) {
		return nil
	}
	return s.nextEpoch(now, s.panelMembers(now))
}

// firstEpoch returns the first epoch of a region, with this daemon as the only
// member; nil if it is not known that the region has no epoch, or if this
// daemon may not join.
func (s *State) firstEpoch() *model.Epoch {
	if !s.writer.epochMissing || !s.vms.isLive(s.self.VM) || s.leave.announced {
		return nil
	}
	return &model.Epoch{
		Region:  s.cfg.Region,
		Number:  1,
		Members: []model.Member{s.ownMember()},
		Panel:   []model.MemberRef{s.self},
		Servers: regionServers(s.view.Bundle(), s.cfg.Region),
	}
}

// heartbeatOverdue reports whether a member that is not fenced has sent no
// heartbeat for maxHeartbeatAge.
func (s *State) heartbeatOverdue(now model.Time) bool {
	return slices.ContainsFunc(s.panel.members, func(ref model.MemberRef) bool {
		seen := max(s.panel.leases[ref].lastHeartbeat, s.cur.learnedAt)
		return now.Sub(seen) > maxHeartbeatAge && !s.panel.isFenced(ref)
	})
}

// nextEpoch returns the next epoch with the given members, nil if there is no
// need for it.
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
		next.Servers = regionServers(b, s.cfg.Region)
	}
	next.Panel = s.nextPanel(members)
	if len(next.Panel) == 0 {
		return nil
	}
	// Live members that were fenced by too many panel members to get a lease
	// get one again in a new epoch.
	someCannotGetLease := slices.ContainsFunc(cur.Members, func(m model.Member) bool { return s.cur.cannotGetLease(m.MemberRef) })
	if !someCannotGetLease && slices.Equal(next.Members, cur.Members) && slices.Equal(next.Servers, cur.Servers) && slices.Equal(next.Panel, cur.Panel) {
		return nil
	}
	return next
}

// panelAddresses returns the peer addresses of the current panel.
func (s *State) panelAddresses() []string {
	addresses := make([]string, len(s.cur.epoch.Panel))
	for i, ref := range s.cur.epoch.Panel {
		addresses[i] = s.peerAddress(ref.VM)
	}
	return addresses
}

// nextPanel returns the current panel, unless one of its members is no longer
// eligible or the panel can grow.
func (s *State) nextPanel(members []model.Member) []model.MemberRef {
	eligible := slices.DeleteFunc(slices.Clone(members), func(m model.Member) bool { return m.Leaving })
	if len(eligible) == 0 {
		eligible = members
	}
	isEligible := func(ref model.MemberRef) bool {
		return s.vms.isLive(ref.VM) && slices.ContainsFunc(eligible, func(m model.Member) bool { return m.MemberRef == ref })
	}
	var keep []model.MemberRef
	if s.panelMajorityLost() && isEligible(s.self) && !s.OnPanel() {
		// The others may be gone as well.
		keep = append(keep, s.self)
	}
	for _, ref := range s.cur.epoch.Panel {
		if isEligible(ref) {
			keep = append(keep, ref)
		}
	}
	chosen := s.cfg.Panel(eligible, s.vms.isLive, keep, MaxPanel)
	if len(chosen) > 0 && len(chosen)%2 == 0 {
		// An even panel tolerates no more losses than one with a member less.
		chosen = s.cfg.Panel(eligible, s.vms.isLive, keep, len(chosen)-1)
	}
	if slices.Equal(keep, s.cur.epoch.Panel) && len(chosen) <= len(keep) {
		return s.cur.epoch.Panel
	}
	return chosen
}

// panelMembers returns the next members as a panel member knows them. It
// leaves out the fenced ones and those that can get no lease and send no
// heartbeats, and adds the daemons that hold a lease but are not members. A
// restarted daemon joins only after its former incarnation is fenced; that
// incarnation's successor can act as soon as this is so.
func (s *State) panelMembers(now model.Time) []model.Member {
	var members []model.Member
	for _, m := range s.cur.epoch.Members {
		if s.cur.fenced(m.MemberRef) || s.cur.cannotGetLease(m.MemberRef) && !s.panel.heardRecently(m.MemberRef, now) {
			continue
		}
		if l := s.panel.leases[m.MemberRef]; l != nil && l.member.Leaving {
			m.Leaving = true
		}
		m.Leaving = m.Leaving || s.vms.isLeaving(m.VM)
		members = append(members, m)
	}
	for _, v := range s.panel.nonMemberHolders(now) {
		if !v.Leaving && !s.vms.isLeaving(v.VM) {
			members = addMember(members, v)
		}
	}
	slices.SortFunc(members, compareMembers)
	return members
}

// outsiderMembers returns the next members as known from the reports of peers,
// when the panel has lost its majority.
func (s *State) outsiderMembers(now model.Time) []model.Member {
	members := []model.Member{s.ownMember()}
	for _, p := range s.exchange.recentMembers(now) {
		if !p.Leaving && !s.cur.fenced(p.MemberRef) {
			members = addMember(members, p.Member)
		}
	}
	for _, m := range s.cur.epoch.Members {
		i := vmIndex(s.cur.epoch.Panel, m.VM)
		if s.cur.cannotGetLease(m.MemberRef) || s.isLeaving(m.MemberRef) || i >= 0 && s.cur.lost&(1<<i) != 0 {
			continue
		}
		members = addMember(members, m)
	}
	slices.SortFunc(members, compareMembers)
	return members
}

// addMember appends m unless the list has its VM already.
func addMember(members []model.Member, m model.Member) []model.Member {
	if slices.ContainsFunc(members, func(o model.Member) bool { return o.VM == m.VM }) {
		return members
	}
	return append(members, m)
}

// regionServers returns the servers that the region's daemons may own, ordered
// by name.
func regionServers(b *model.Bundle, region string) []model.ServerHome {
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
