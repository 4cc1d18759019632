package membership

import (
	"slices"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// MayAct reports whether this daemon is the server's owner with a valid lease
// at now.
func (s *State) MayAct(now model.Time, server model.ServerName) bool {
	if s.leave.started || s.passes[server] != nil || s.cur == nil {
		return false
	}
	return s.cur.mayAct(now, server) || s.prev != nil && s.prev.mayAct(now, server)
}

// Owned returns the servers for which MayAct is true, by name.
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
// present epoch is active, the owner of the epoch before still acts unless the
// new one already reports on the server.
func (s *State) Owner(server model.ServerName) (model.Member, bool) {
	if s.cur == nil {
		return model.Member{}, false
	}
	next, ok := s.expected(s.cur, server)
	if s.cur.active || s.prev == nil {
		return next, ok
	}
	if r, known := s.exchange.servers[server]; ok && known && r.Owner == next.MemberRef {
		return next, true
	}
	if last, had := s.expected(s.prev, server); had {
		return last, true
	}
	return next, ok
}

// expected returns the first owner that is neither fenced nor leaving.
func (s *State) expected(v *epochView, server model.ServerName) (model.Member, bool) {
	order := v.owners(server)
	for i := v.first(server); i >= 0; i = v.after(server, i) {
		o := order[i]
		if r, ok := s.exchange.members[o.VM]; ok && r.Incarnation == o.Incarnation && r.Leaving && s.passedOn(v, server, i) {
			continue
		}
		return o, true
	}
	return model.Member{}, false
}

// passedOn reports whether a later owner reports on the server of a leaving
// one, which serves it until the handover.
func (s *State) passedOn(v *epochView, server model.ServerName, i int) bool {
	r, ok := s.exchange.servers[server]
	if !ok {
		return false
	}
	at := slices.IndexFunc(v.owners(server), func(m model.Member) bool { return m.MemberRef == r.Owner })
	return at > i
}

// HandoverArrived takes over servers from the daemon that alone may act for
// them and has stopped for good. Whatever the sender is in the order, everyone
// before this daemon is then fenced or stopped, in exactly this epoch. An epoch
// that changes while the message is under way leaves the server to this daemon
// in the epoch before, from which carry-over continues.
func (s *State) HandoverArrived(m event.Meta, e event.HandoverArrived, out *effect.List) {
	s.arrive(m)
	i := slices.IndexFunc(s.views(), func(v *epochView) bool { return v.epoch.Number == e.Header.Epoch })
	accepted := i >= 0 && s.views()[i].isMember() && !s.leave.resigned
	if accepted {
		s.takeOver(m, s.views()[i], e, out)
	}
	out.Add(effect.ReplyHandover{Token: e.Token, Header: s.Header(), Accepted: accepted})
	s.step(m, out)
}

func (s *State) takeOver(m event.Meta, v *epochView, e event.HandoverArrived, out *effect.List) {
	for _, name := range e.Servers {
		if v.released[name] {
			continue
		}
		v.entitled[name] = true
		// From the epoch before it is passed on only after carry-over.
		if s.leave.started && v == s.cur && s.passes[name] == nil {
			s.passes[name] = &pass{from: s.cur, created: m.Now}
		}
	}
	s.logged.dirty = true
	s.exchange.burst(m.Now)
	out.Log(logevent.HandoverReceived, logevent.Str("from", e.Header.From.String()), logevent.Int("servers", len(e.Servers)))
}

// logged is what the log last said, so that only changes are logged.
type logged struct {
	lease bool
	owned []model.ServerName
	// dirty is set when ownership may have changed other than by the lease.
	dirty bool
}

func (s *State) logChanges(m event.Meta, out *effect.List) {
	if has := s.HasLease(m.Now); has != s.logged.lease {
		s.logged.lease, s.logged.dirty = has, true
		id := logevent.LeaseLost
		if has {
			id = logevent.LeaseGained
			// The lease is what the others wait for before they name this
			// daemon to callers.
			s.exchange.burst(m.Now)
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
		s.exchange.burst(m.Now)
	}
	s.logged.owned = owned
}

// logOwnership logs the servers in list that are not in other.
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
