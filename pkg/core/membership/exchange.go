package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// With exchangeInterval and exchangeFanout every report reaches all
	// daemons in a few intervals, at a constant cost per daemon.
	exchangeInterval = 500 * time.Millisecond
	exchangeFanout   = 2
	// burstFanout is the number of peers that are told at once of a change of
	// ownership, a gained lease or the start of a leave.
	burstFanout = 8
	// minBurstInterval bounds the rate of bursts.
	minBurstInterval = 50 * time.Millisecond
	// fullExchangeEvery is the number of exchanges per full list.
	fullExchangeEvery = 20
	// changeForwardTime is how long a changed report is passed on to peers.
	changeForwardTime = 10 * time.Second
	// reportRenewInterval is how often a daemon renews its report on itself
	// without a change. memberMaxAge is the age at which a report that is not
	// renewed is dropped.
	reportRenewInterval = 3 * time.Second
	memberMaxAge        = 15 * time.Second
	// Limits on the reports in one message, or in one full list
	// (maxFullReports). The reports that changed last come first.
	maxServersPerMessage = 32
	maxMembersPerMessage = 24
	maxFullReports       = 1000
)

// serverEntry is the newest report on a backend server.
type serverEntry struct {
	model.ServerReport
	// changed is when its sequence or owner last changed here.
	changed model.Time
}

// memberEntry is the newest report of a daemon on itself.
type memberEntry struct {
	model.MemberReport
	changed model.Time
}

// exchange distributes what daemons know of backend servers and of each other
// by gossip.
type exchange struct {
	next      model.Time
	sentCount uint64
	// informed means that this daemon has the reports of a peer, or has no
	// peers.
	informed bool
	// burstDue makes the next exchange go to burstFanout peers.
	burstDue bool
	lastSent model.Time
	servers  map[model.ServerName]*serverEntry
	members  map[model.VM]*memberEntry
	// lastOwn is this daemon's last report on itself.
	lastOwn     model.MemberReport
	sequence    uint64
	lastRenewed model.Time
}

func newExchange() exchange {
	return exchange{
		servers: make(map[model.ServerName]*serverEntry),
		members: make(map[model.VM]*memberEntry),
	}
}

// scheduleBurst makes an exchange with burstFanout peers due, at least
// minBurstInterval after the last exchange.
func (x *exchange) scheduleBurst(now model.Time) {
	x.burstDue = true
	x.next = min(x.next, max(now, x.lastSent.Add(minBurstInterval)))
}

// Informed reports whether this daemon knows the state of the backend servers
// from a peer. Before that it cannot choose snapshots and replicas.
func (s *State) Informed() bool { return s.exchange.informed }

// recentMembers returns the reports that were renewed within memberMaxAge,
// ordered by VM.
func (x *exchange) recentMembers(now model.Time) []model.MemberReport {
	list := make([]model.MemberReport, 0, len(x.members))
	for _, h := range x.members {
		if now.Sub(h.changed) < memberMaxAge {
			list = append(list, h.MemberReport)
		}
	}
	slices.SortFunc(list, func(a, b model.MemberReport) int { return cmp.Compare(a.VM, b.VM) })
	return list
}

// Report returns the newest report on the server.
func (s *State) Report(server model.ServerName) (model.ServerReport, bool) {
	h, ok := s.exchange.servers[server]
	if !ok {
		return model.ServerReport{}, false
	}
	return h.ServerReport, true
}

// Peers returns the known daemons ordered by VM, including this one. A member
// that has sent no report yet is not Serving.
func (s *State) Peers() []model.MemberReport {
	list := []model.MemberReport{s.ownReport()}
	for _, p := range s.exchange.recentMembers(s.lastEvent) {
		if s.cur == nil || !s.cur.fenced(p.MemberRef) {
			list = append(list, p)
		}
	}
	if s.cur != nil {
		for _, m := range s.cur.epoch.Members {
			if m.VM != s.self.VM && s.exchange.members[m.VM] == nil && !s.cur.fenced(m.MemberRef) {
				list = append(list, model.MemberReport{Member: m})
			}
		}
	}
	slices.SortFunc(list, func(a, b model.MemberReport) int { return cmp.Compare(a.VM, b.VM) })
	return list
}

// ownReport returns this daemon's report on itself.
func (s *State) ownReport() model.MemberReport {
	return model.MemberReport{
		Member:   s.ownMember(),
		Sequence: s.exchange.sequence,
		Serving:  s.HasLease(s.lastEvent) && s.exchange.informed && !s.leave.started,
	}
}

// peerAddress returns the peer address of a VM, empty if it is not known.
func (s *State) peerAddress(vm model.VM) string {
	if vm == s.self.VM {
		return s.cfg.PeerAddress
	}
	for _, v := range s.views() {
		if m, ok := v.epoch.Member(vm); ok {
			return m.PeerAddress
		}
	}
	if h := s.exchange.members[vm]; h != nil {
		return h.PeerAddress
	}
	return ""
}

// sendExchanges exchanges reports with random peers.
func (s *State) sendExchanges(m event.Meta, out *effect.List) {
	x := &s.exchange
	if m.Now < x.next {
		return
	}
	fanout := exchangeFanout
	if x.burstDue {
		fanout = burstFanout
	}
	x.burstDue = false
	x.lastSent = m.Now
	x.next = m.Now.Add(exchangeInterval)
	s.refreshReports(m.Now)
	full := !x.informed || x.sentCount%fullExchangeEvery == 0
	x.sentCount++
	servers, members := s.selectReports(m.Now, full)
	peers := s.randomPeers(m.Rand, fanout)
	if len(peers) == 0 && s.HasLease(m.Now) {
		x.informed = true
	}
	for _, p := range peers {
		out.Add(effect.SendExchange{
			Peer: p.VM, Address: p.PeerAddress, Header: s.Header(),
			Servers: servers, Members: members, Full: full,
		})
	}
}

// randomPeers returns up to n other daemons, chosen by a partial shuffle.
// Different random numbers give different combinations, not only a different
// first peer.
func (s *State) randomPeers(random uint64, n int) []model.MemberReport {
	peers := slices.DeleteFunc(s.Peers(), func(p model.MemberReport) bool {
		return p.VM == s.self.VM || p.PeerAddress == ""
	})
	for i := range min(n, len(peers)) {
		left := uint64(len(peers) - i)
		j := i + int(random%left)
		peers[i], peers[j] = peers[j], peers[i]
		random = random/left ^ random<<32
	}
	return peers[:min(n, len(peers))]
}

// refreshReports stores this daemon's current reports, and drops reports by
// incarnations that may no longer own servers and by daemons whose report was
// not renewed.
func (s *State) refreshReports(now model.Time) {
	x := &s.exchange
	report := s.ownReport()
	if report != x.lastOwn || now.Sub(x.lastRenewed) >= reportRenewInterval {
		x.sequence++
		x.lastRenewed = now
		report.Sequence = x.sequence
		x.lastOwn = report
	}
	for _, r := range s.view.Reports() {
		r.Owner = s.self
		s.storeServer(now, r)
	}
	for name, h := range x.servers {
		if s.cur != nil && s.cur.active && !s.isCandidate(h.Owner) {
			delete(x.servers, name)
		}
	}
	for vm, h := range x.members {
		if now.Sub(h.changed) >= memberMaxAge {
			delete(x.members, vm)
		}
	}
}

// isCandidate reports whether the incarnation may own servers.
func (s *State) isCandidate(ref model.MemberRef) bool {
	return slices.ContainsFunc(s.views(), func(v *epochView) bool {
		m, ok := v.epoch.Member(ref.VM)
		return ok && m.MemberRef == ref && !v.fenced(ref)
	})
}

// selectReports returns the reports to send: those that changed recently, or
// all if full is set, within the limits of a message.
func (s *State) selectReports(now model.Time, full bool) ([]model.ServerReport, []model.MemberReport) {
	x := &s.exchange
	servers := make([]*serverEntry, 0, len(x.servers))
	for _, h := range x.servers {
		if full || now.Sub(h.changed) < changeForwardTime {
			servers = append(servers, h)
		}
	}
	slices.SortFunc(servers, func(a, b *serverEntry) int {
		return cmp.Or(cmp.Compare(b.changed, a.changed), cmp.Compare(a.Server, b.Server))
	})
	members := make([]*memberEntry, 0, len(x.members))
	for _, h := range x.members {
		if full || now.Sub(h.changed) < changeForwardTime {
			members = append(members, h)
		}
	}
	slices.SortFunc(members, func(a, b *memberEntry) int {
		return cmp.Or(cmp.Compare(b.changed, a.changed), cmp.Compare(a.VM, b.VM))
	})
	serverLimit, memberLimit := maxServersPerMessage, maxMembersPerMessage
	if full {
		serverLimit, memberLimit = maxFullReports, maxFullReports
	}
	outServers := make([]model.ServerReport, 0, min(len(servers), serverLimit))
	for _, h := range servers[:min(len(servers), serverLimit)] {
		outServers = append(outServers, h.ServerReport)
	}
	outMembers := []model.MemberReport{x.lastOwn}
	for _, h := range members[:min(len(members), memberLimit)] {
		outMembers = append(outMembers, h.MemberReport)
	}
	return outServers, outMembers
}

// ExchangeArrived stores a peer's reports and answers with this daemon's
// reports.
func (s *State) ExchangeArrived(m event.Meta, e event.ExchangeArrived, out *effect.List) {
	s.recordEvent(m)
	s.storeReports(m.Now, e.Servers, e.Members)
	s.refreshReports(m.Now)
	servers, members := s.selectReports(m.Now, e.Full)
	out.Add(effect.ReplyExchange{Token: e.Token, Header: s.Header(), Servers: servers, Members: members})
}

// ExchangeAnswered stores the reports in a peer's answer.
func (s *State) ExchangeAnswered(m event.Meta, e event.ExchangeAnswered, _ *effect.List) {
	s.recordEvent(m)
	if len(e.Servers) > 0 {
		s.exchange.informed = true
	}
	s.storeReports(m.Now, e.Servers, e.Members)
}

func (s *State) storeReports(now model.Time, servers []model.ServerReport, members []model.MemberReport) {
	for _, r := range members {
		s.storeMember(now, r)
	}
	for _, r := range servers {
		if r.Owner.VM != s.self.VM {
			s.storeServer(now, r)
		}
	}
}

func (s *State) storeMember(now model.Time, r model.MemberReport) {
	if r.VM == s.self.VM || r.VM == "" {
		return
	}
	known := s.exchange.members[r.VM]
	newer := known == nil || r.Incarnation > known.Incarnation ||
		r.Incarnation == known.Incarnation && r.Sequence > known.Sequence
	if newer {
		s.exchange.members[r.VM] = &memberEntry{MemberReport: r, changed: now}
	}
}

func (s *State) storeServer(now model.Time, r model.ServerReport) {
	known := s.exchange.servers[r.Server]
	if known != nil && !s.supersedes(r, known.ServerReport) {
		return
	}
	s.exchange.servers[r.Server] = &serverEntry{ServerReport: r, changed: now}
}

// supersedes reports whether r is newer than known. Sequences of two owners
// cannot be compared; the epoch, fences and announced leaves decide which
// owner came later.
func (s *State) supersedes(r, known model.ServerReport) bool {
	if r.Owner == known.Owner {
		return r.Sequence > known.Sequence
	}
	switch {
	case r.Owner == s.self:
		return true
	case known.Owner == s.self && s.MayAct(s.lastEvent, r.Server):
		return false
	case s.cur != nil && !s.isCandidate(r.Owner):
		return false
	case s.cur == nil || !s.isCandidate(known.Owner):
		return true
	case s.isLeaving(r.Owner) != s.isLeaving(known.Owner):
		return s.isLeaving(known.Owner)
	}
	first, ok := s.cur.firstOwner(r.Server)
	return ok && first.MemberRef == r.Owner
}

// isLeaving reports whether the epoch or the daemon's own report says that the
// daemon leaves.
func (s *State) isLeaving(ref model.MemberRef) bool {
	if m, ok := s.cur.epoch.Member(ref.VM); ok && m.MemberRef == ref && m.Leaving {
		return true
	}
	h := s.exchange.members[ref.VM]
	return h != nil && h.Incarnation == ref.Incarnation && h.Leaving
}
