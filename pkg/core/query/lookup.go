package query

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// LookupMaxAge is how long a caller may use a lookup answer.
	LookupMaxAge = 1500 * time.Millisecond
	// maxLookupAddresses bounds the addresses in a lookup answer.
	maxLookupAddresses = 8
)

// LookupArrived answers with the daemons that a caller should use, in an order
// that spreads the callers over them.
func (s *State) LookupArrived(m event.Meta, e event.LookupArrived, out *effect.List) {
	c := s.beginEvent(m, out)
	if refusal := s.checkLookup(c, &e); refusal != nil {
		s.refuseLookup(c, &e, refusal)
		return
	}
	peers := s.lookupPeers(c, e.Caller)
	if len(peers) == 0 {
		s.refuseLookup(c, &e, notRunRefusal(c, "no daemon takes work now"))
		return
	}
	addresses := make([]effect.LookupAddress, len(peers))
	for i, p := range peers {
		addresses[i] = effect.LookupAddress{
			VM:              p.VM,
			FailureDomain:   p.FailureDomain,
			Address:         p.CallerAddress,
			RequestIDPrefix: requestIDPrefix(p.MemberRef, m.Wall, m.Rand),
		}
	}
	out.Log(logevent.LookupAnswered,
		logevent.Str("service", e.Service),
		logevent.Str("caller", e.Caller),
		logevent.Str("first", peers[0].VM),
		logevent.Int("addresses", len(peers)))
	out.Add(effect.ReplyLookup{
		Token:         e.Token,
		Addresses:     addresses,
		MaxAge:        LookupMaxAge,
		BundleVersion: s.view.Bundle().Version,
		Epoch:         s.view.Epoch(),
	})
}

func (s *State) checkLookup(c *eventContext, e *event.LookupArrived) *model.Refusal {
	b := s.view.Bundle()
	if b == nil {
		return notRunRefusal(c, "no bundle is in effect yet")
	}
	// A daemon cut off from the others would name daemons that have left.
	if !s.view.HasLease(c.Now) {
		return notRunRefusal(c, "no lease: cannot confirm which daemons take work")
	}
	svc, ok := b.Service(e.Service)
	if !ok {
		return invalidRefusal("unknown service " + string(e.Service))
	}
	if _, ok := svc.Caller(e.Caller); !ok {
		return invalidRefusal("unknown caller " + string(e.Caller))
	}
	return nil
}

func (s *State) refuseLookup(c *eventContext, e *event.LookupArrived, refusal *model.Refusal) {
	c.out.Log(logevent.LookupRefused,
		logevent.Str("service", e.Service),
		logevent.Str("caller", e.Caller),
		logevent.Str("reason", refusal.Reason))
	c.out.Add(effect.ReplyLookup{Token: e.Token, Refusal: refusal})
}

// lookupPeers returns the daemons that take work. The order differs between
// lookups, because a service has few callers, and a fixed order per caller
// would concentrate the load on few daemons.
func (s *State) lookupPeers(c *eventContext, caller model.CallerName) []model.MemberReport {
	hash := xxhash.Sum64String(string(caller)) ^ c.Rand
	var peers []model.MemberReport
	self := s.view.Self()
	admits, _ := s.view.Admits(c.Meta)
	for _, p := range s.view.Peers() {
		if p.MemberRef == self && !admits {
			continue
		}
		if p.Serving && !p.Leaving && !s.view.Controls().DomainOut(p.FailureDomain, c.Wall) {
			peers = append(peers, p)
		}
	}
	slices.SortFunc(peers, func(a, b model.MemberReport) int {
		return cmp.Or(
			cmp.Compare(rendezvous(hash, model.ServerName(a.VM)), rendezvous(hash, model.ServerName(b.VM))),
			cmp.Compare(a.VM, b.VM))
	})
	return peers[:min(len(peers), maxLookupAddresses)]
}
