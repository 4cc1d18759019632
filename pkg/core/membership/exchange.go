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
	// exchangeInterval and exchangeFanout: every report reaches all daemons in
	// a few intervals at a constant cost per daemon.
	exchangeInterval = 500 * time.Millisecond
	exchangeFanout   = 2
	// burstFanout is the number of peers told at once of a change of
	// ownership or the start of a leave.
	burstFanout = 8
	// burstPause bounds the rate of bursts.
	burstPause = 50 * time.Millisecond
	// fullEvery is the number of exchanges from one full list to the next.
	fullEvery = 20
	// recentChange is how long a changed report is passed on.
	recentChange = 10 * time.Second
	// refreshAfter is how often a daemon renews its own report without a
	// change, and memberMaxAge when a report that is not renewed is dropped.
	refreshAfter = 3 * time.Second
	memberMaxAge = 15 * time.Second
	// maxServers and maxMembers bound a message, maxFull a full list, in
	// reports; the ones that changed last come first.
	maxServers = 32
	maxMembers = 24
	maxFull    = 1000
)

type heardServer struct {
	model.ServerReport
	// changed is when its sequence or owner last changed here.
	changed model.Time
}

type heardMember struct {
	model.MemberReport
	changed model.Time
}

// exchange spreads what daemons know of backend servers and of each other.
type exchange struct {
	next  model.Time
	count uint64
	// informed: this daemon has the reports of a peer, or has no peers.
	informed bool
	// bursting makes the next exchange go to more peers.
	bursting bool
	lastSent model.Time
	servers  map[model.ServerName]*heardServer
	members  map[model.VM]*heardMember
	// own is this daemon's last report of itself.
	own      model.MemberReport
	sequence uint64
	renewed  model.Time
}

func newExchange() exchange {
	return exchange{
		servers: make(map[model.ServerName]*heardServer),
		members: make(map[model.VM]*heardMember),
	}
}

// burst makes an exchange with several peers due.
func (x *exchange) burst(now model.Time) {
	x.bursting = true
	x.next = min(x.next, max(now, x.lastSent.Add(burstPause)))
}

// Informed reports whether this daemon knows the backend servers' states from a
// peer. Before that it cannot choose snapshots and replicas.
func (s *State) Informed() bool { return s.exchange.informed }

// recent returns the reports that were renewed lately, by VM.
func (x *exchange) recent(now model.Time) []model.MemberReport {
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

// Peers returns the known daemons by VM, this one included. A member that has
// sent no report yet is not Serving.
func (s *State) Peers() []model.MemberReport {
	list := []model.MemberReport{s.ownReport()}
	for _, p := range s.exchange.recent(s.seen) {
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

// ownReport returns this daemon's report of itself.
func (s *State) ownReport() model.MemberReport {
	return model.MemberReport{
		Member:   s.member(),
		Sequence: s.exchange.sequence,
		Serving:  s.HasLease(s.seen) && s.exchange.informed && !s.leave.started,
	}
}

// address returns the peer address of a VM, empty if it is not known.
func (s *State) address(vm model.VM) string {
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
	if x.bursting {
		fanout = burstFanout
	}
	x.bursting = false
	x.lastSent = m.Now
	x.next = m.Now.Add(exchangeInterval)
	s.refreshReports(m.Now)
	full := !x.informed || x.count%fullEvery == 0
	x.count++
	servers, members := s.reports(m.Now, full)
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

// randomPeers returns up to n other daemons, starting at a random one; any two
// calls with other random numbers choose other pairs.
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

// refreshReports takes this daemon's own reports and drops those of gone owners
// and daemons.
func (s *State) refreshReports(now model.Time) {
	x := &s.exchange
	report := s.ownReport()
	if report != x.own || now.Sub(x.renewed) >= refreshAfter {
		x.sequence++
		x.renewed = now
		report.Sequence = x.sequence
		x.own = report
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

// reports returns what to send: what changed lately, or all of it.
func (s *State) reports(now model.Time, full bool) ([]model.ServerReport, []model.MemberReport) {
	x := &s.exchange
	servers := make([]*heardServer, 0, len(x.servers))
	for _, h := range x.servers {
		if full || now.Sub(h.changed) < recentChange {
			servers = append(servers, h)
		}
	}
	slices.SortFunc(servers, func(a, b *heardServer) int {
		return cmp.Or(cmp.Compare(b.changed, a.changed), cmp.Compare(a.Server, b.Server))
	})
	members := make([]*heardMember, 0, len(x.members))
	for _, h := range x.members {
		if full || now.Sub(h.changed) < recentChange {
			members = append(members, h)
		}
	}
	slices.SortFunc(members, func(a, b *heardMember) int {
		return cmp.Or(cmp.Compare(b.changed, a.changed), cmp.Compare(a.VM, b.VM))
	})
	serverLimit, memberLimit := maxServers, maxMembers
	if full {
		serverLimit, memberLimit = maxFull, maxFull
	}
	outServers := make([]model.ServerReport, 0, min(len(servers), serverLimit))
	for _, h := range servers[:min(len(servers), serverLimit)] {
		outServers = append(outServers, h.ServerReport)
	}
	outMembers := []model.MemberReport{x.own}
	for _, h := range members[:min(len(members), memberLimit)] {
		outMembers = append(outMembers, h.MemberReport)
	}
	return outServers, outMembers
}

// ExchangeArrived takes a peer's reports and answers with ours.
func (s *State) ExchangeArrived(m event.Meta, e event.ExchangeArrived, out *effect.List) {
	s.arrive(m)
	s.store(m.Now, e.Servers, e.Members)
	s.refreshReports(m.Now)
	servers, members := s.reports(m.Now, e.Full)
	out.Add(effect.ReplyExchange{Token: e.Token, Header: s.Header(), Servers: servers, Members: members})
}

// ExchangeAnswered takes the reports of a peer.
func (s *State) ExchangeAnswered(m event.Meta, e event.ExchangeAnswered, _ *effect.List) {
	s.arrive(m)
	if len(e.Servers) > 0 {
		s.exchange.informed = true
	}
	s.store(m.Now, e.Servers, e.Members)
}

func (s *State) store(now model.Time, servers []model.ServerReport, members []model.MemberReport) {
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
		s.exchange.members[r.VM] = &heardMember{MemberReport: r, changed: now}
	}
}

func (s *State) storeServer(now model.Time, r model.ServerReport) {
	known := s.exchange.servers[r.Server]
	if known != nil && !s.supersedes(r, known.ServerReport) {
		return
	}
	s.exchange.servers[r.Server] = &heardServer{ServerReport: r, changed: now}
}

// supersedes reports whether r is newer than known. Sequences of two owners
// cannot be compared; the epoch, fences and leaves tell which one came later.
func (s *State) supersedes(r, known model.ServerReport) bool {
	if r.Owner == known.Owner {
		return r.Sequence > known.Sequence
	}
	switch {
	case r.Owner == s.self:
		return true
	case known.Owner == s.self && s.MayAct(s.seen, r.Server):
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

// isLeaving reports whether the daemon said that it leaves.
func (s *State) isLeaving(ref model.MemberRef) bool {
	if m, ok := s.cur.epoch.Member(ref.VM); ok && m.MemberRef == ref && m.Leaving {
		return true
	}
	h := s.exchange.members[ref.VM]
	return h != nil && h.Incarnation == ref.Incarnation && h.Leaving
}
