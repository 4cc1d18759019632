package membership

import (
	"slices"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// MayAct reports whether this daemon owns the server and has a valid lease at
// now.
func (s *State) MayAct(now model.Time, server model.ServerName) bool {
	if s.leave.started || s.handovers[server] != nil || s.cur == nil {
		return false
	}
	return s.cur.mayAct(now, server) || s.prev != nil && s.prev.mayAct(now, server)
}

// Owned returns the servers for which MayAct is true, ordered by name.
func (s *State) Owned(now model.Time) []model.ServerName {
	var names []model.ServerName
	for _, v := range s.views() {
		for _, h := range v.epoch.Servers {
			if s.MayAct(now, h.Server) {
				names = append(names, h.Server)
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Owner returns the server's owner as far as this daemon can know. Until the
// current epoch is active, that is the owner in the previous epoch, unless the
// new owner already reports on the server.
func (s *State) Owner(server model.ServerName) (model.Member, bool) {
	if s.cur == nil {
		return model.Member{}, false
	}
	next, ok := s.expectedOwner(s.cur, server)
	if s.cur.active || s.prev == nil {
		return next, ok
	}
	if r, known := s.exchange.servers[server]; ok && known && r.Owner == next.MemberRef {
		return next, true
	}
	if last, had := s.expectedOwner(s.prev, server); had {
		return last, true
	}
	return next, ok
}

// expectedOwner returns the first owner that is not fenced, passing over those
// that leave once a later owner reports on the server.
func (s *State) expectedOwner(v *epochView, server model.ServerName) (model.Member, bool) {
	order := v.owners(server)
	for i := v.firstOwnerIndex(server); i >= 0; i = v.nextOwnerIndex(server, i) {
		o := order[i]
		if r, ok := s.exchange.members[o.VM]; ok && r.Incarnation == o.Incarnation && r.Leaving && s.reportedByLaterOwner(v, server, i) {
			continue
		}
		return o, true
	}
	return model.Member{}, false
}

// reportedByLaterOwner reports whether an owner after index i in the order
// reports on the server. A leaving owner serves it until the handover.
func (s *State) reportedByLaterOwner(v *epochView, server model.ServerName, i int) bool {
	r, ok := s.exchange.servers[server]
	if !ok {
		return false
	}
	at := slices.IndexFunc(v.owners(server), func(m model.Member) bool { return m.MemberRef == r.Owner })
	return at > i
}

// HandoverArrived takes over servers from the daemon that alone may act for
// them and has stopped for good. Wherever the sender is in the order, every
// member before this daemon is then fenced or has stopped in that epoch. If
// the epoch changes while the message is on its way, this daemon takes the
// server over in the previous epoch, and carry-over continues from there.
func (s *State) HandoverArrived(m event.Meta, e event.HandoverArrived, out *effect.List) {
	s.recordEvent(m)
	i := slices.IndexFunc(s.views(), func(v *epochView) bool { return v.epoch.Number == e.Header.Epoch })
	accepted := i >= 0 && s.views()[i].isMember() && !s.leave.resigned
	if accepted {
		s.takeOverServers(m, s.views()[i], e, out)
	}
	out.Add(effect.ReplyHandover{Token: e.Token, Header: s.Header(), Accepted: accepted})
	s.runDueWork(m, out)
}

func (s *State) takeOverServers(m event.Meta, v *epochView, e event.HandoverArrived, out *effect.List) {
	for _, name := range e.Servers {
		if v.released[name] {
			continue
		}
		v.entitled[name] = true
		// A server of the previous epoch is handed over only after carry-over.
		if s.leave.started && v == s.cur && s.handovers[name] == nil {
			s.handovers[name] = &handover{fromEpoch: s.cur, created: m.Now}
		}
	}
	s.logged.dirty = true
	s.exchange.scheduleBurst(m.Now)
	out.Log(logevent.HandoverReceived, logevent.Str("from", e.Header.From.String()), logevent.Int("servers", len(e.Servers)))
}

// loggedState is what was last logged, so that only changes are logged.
type loggedState struct {
	lease bool
	owned []model.ServerName
	// dirty means that ownership may have changed other than by the lease.
	dirty bool
}

func (s *State) logChanges(m event.Meta, out *effect.List) {
	if has := s.HasLease(m.Now); has != s.logged.lease {
		s.logged.lease, s.logged.dirty = has, true
		id := logevent.LeaseLost
		if has {
			id = logevent.LeaseGained
			// Peers name this daemon to callers only once they know that it
			// has a lease.
			s.exchange.scheduleBurst(m.Now)
		}
		out.Log(id, logevent.Int("epoch", s.Epoch()), logevent.Str("self", s.self.String()))
	}
	if !s.logged.dirty {
		return
	}
	s.logged.dirty = false
	owned := s.Owned(m.Now)
	s.logOwnership(logevent.OwnershipLost, s.logged.owned, owned, out)
	if s.logOwnership(logevent.OwnershipGained, owned, s.logged.owned, out) {
		s.exchange.scheduleBurst(m.Now)
	}
	s.logged.owned = owned
}

// logOwnership logs the servers in list that are not in other, and reports
// whether there were any.
func (s *State) logOwnership(id logevent.ID, list, other []model.ServerName, out *effect.List) bool {
	any := false
	for _, name := range list {
		if _, ok := slices.BinarySearch(other, name); !ok {
			out.Log(id, logevent.Str("server", name), logevent.Int("epoch", s.Epoch()))
			any = true
		}
	}
	return any
}
