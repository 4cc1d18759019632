package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/quota"
	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/tenant"
)

const (
	// quotaGossipInterval is the least time between two messages because the demand of a
	// tenant has changed.
	quotaGossipInterval = 100 * time.Millisecond
	// minQuotaHolders is the least number of daemons that hold shares of quotas, if there
	// are as many. It is minLargeVMs if the next daemons are on smaller VMs. Large fleets
	// have a holder for each daemonsPerHolder daemons, on the largest VMs.
	minQuotaHolders  = minActiveDaemons
	daemonsPerHolder = 8
	// maxUnheardHolder is how long a daemon holds a share that neither hears others nor
	// reaches the store. It is less than daemonRetention, after which others delete its
	// entry and divide its share.
	maxUnheardHolder = daemonRetention - 10*time.Second
)

func limitsOf(t *tenant.Tenant) (quota.Limits, bool) {
	if t == nil || t.RatePerSecond <= 0 {
		return quota.Limits{}, false
	}
	return quota.Limits{RatePerSecond: t.RatePerSecond, Burst: t.Burst}, true
}

// limitsByName returns the limits of a tenant of the configuration in use.
func (s *State) limitsByName(name string) (quota.Limits, bool) {
	if s.config == nil {
		return quota.Limits{}, false
	}
	return limitsOf(s.config.directory.Named(name))
}

// admitQuota counts a request against the quota of its tenant. It reports false if it has
// refused the request.
func (s *State) admitQuota(e RequestArrived, route *Route, t *tenant.Tenant) bool {
	limits, limited := limitsOf(t)
	if !limited {
		return true
	}
	d := s.quota.Admit(s.now, t.Name, limits)
	if d.OK {
		return true
	}
	if d.Report {
		s.emit(Log{Kind: LogQuotaExceeded, Subject: t.Name, Number: int64(s.quota.Usage(s.now, t.Name, limits).Limit)})
	}
	s.refuseWith(e, QueryReport{Route: route.Name, Tenant: t.Name}, RefusalQuota, d.RetryAfter)
	return false
}

// returnQuota gives back the count of a request that ends before any leaf got it.
func (s *State) returnQuota(q *query) {
	if q.quotaTenant == "" || q.reachedLeaf() {
		return
	}
	s.quota.Return(s.now, q.quotaTenant, q.admittedAt)
	q.quotaTenant = ""
}

// reachedLeaf reports whether a leaf may have got the request, also if it did not run it.
func (q *query) reachedLeaf() bool {
	for i := range q.parts {
		for _, c := range q.parts[i].calls {
			if c.begun && !(c.ended && c.outcome == OutcomeNotSent) {
				return true
			}
		}
	}
	return false
}

// quotaEnabled reports whether the configuration limits the requests of any tenant.
func (s *State) quotaEnabled() bool { return s.config != nil && s.config.limitsTenants }

// registered records that this daemon's entry is in the store. A daemon whose entry was not
// there before has no earlier process that could have used its share of quotas.
func (s *State) registered(e Registered) {
	// A store that has come back from a copy may have lost the entry of an earlier process.
	if e.First && !s.members.registeredBefore && s.storeEra == 0 {
		s.quota.Fresh()
	}
	s.members.registeredBefore, s.members.registered = true, true
	s.updateQuotaHolding()
}

// updateQuotaHolding determines which share of the quotas this daemon holds. It depends
// only on which daemons have an entry, not on which of them are heard: a partition of the
// fleet divides the shares between its sides.
func (s *State) updateQuotaHolding() {
	if !s.quotaEnabled() {
		return
	}
	if s.quota.SetHolding(s.quotaHolding()) {
		h := s.quota.Holding()
		s.emit(Log{Kind: LogQuotaHolding, Number: int64(h.Holders), Detail: holdingText(h)})
	}
}

func holdingText(h quota.Holding) string {
	if h.Index < 0 {
		return "none"
	}
	return "share"
}

func (s *State) quotaHolding() quota.Holding {
	holders := s.quotaHolders()
	out := quota.Holding{Holders: len(holders), Index: slices.Index(holders, s.opt.Self.Name)}
	if !s.members.registered || len(s.daemons) > 0 && s.unheardFor() >= maxUnheardHolder {
		out.Index = -1
	}
	return out
}

// unheardFor returns for how long this daemon has neither heard another one nor reached the
// store.
func (s *State) unheardFor() time.Duration {
	last := s.viewConfirmedAt
	for _, d := range s.daemons {
		last = max(last, d.heardAt)
	}
	return s.now.Sub(last)
}

// quotaHolders returns the names of the daemons that hold shares of quotas: those on the
// largest VMs, from all failure domains in turn. They are mostly the active ones.
func (s *State) quotaHolders() []string {
	known := []DaemonEntry{s.opt.Self}
	for _, d := range s.daemons {
		known = append(known, d.DaemonEntry)
	}
	slices.SortFunc(known, func(a, b DaemonEntry) int {
		return cmp.Or(cmp.Compare(sizeClass(b), sizeClass(a)), cmp.Compare(a.FailureDomain, b.FailureDomain), compareByHash(a, b))
	})
	// turns is the place of each daemon within its class and failure domain.
	turns := make(map[string]int, len(known))
	for i, e := range known {
		if i > 0 && sizeClass(known[i-1]) == sizeClass(e) && known[i-1].FailureDomain == e.FailureDomain {
			turns[e.Name] = turns[known[i-1].Name] + 1
		}
	}
	slices.SortStableFunc(known, func(a, b DaemonEntry) int {
		return cmp.Or(cmp.Compare(sizeClass(b), sizeClass(a)), cmp.Compare(turns[a.Name], turns[b.Name]))
	})
	most := max(minQuotaHolders, len(known)/daemonsPerHolder)
	enough := max(minLargeVMs, len(known)/(2*daemonsPerHolder))
	var out []string
	for i, e := range known {
		if len(out) >= most || i > 0 && len(out) >= enough && sizeClass(e) < sizeClass(known[i-1]) {
			break
		}
		out = append(out, e.Name)
	}
	return out
}

// ownDemands returns the demands of tenants that this daemon tells the others: those that
// exceed what it holds.
func (s *State) ownDemands() []TenantDemand {
	if !s.quotaEnabled() {
		return nil
	}
	var out []TenantDemand
	for _, c := range s.quota.Claims(s.now) {
		out = append(out, TenantDemand{Tenant: c.Tenant, ArrivalsPerSecond: c.ArrivalsPerSecond, WantedShare: c.Share})
	}
	return out
}

// quotaReceived applies what another daemon tells of quotas.
func (s *State) quotaReceived(sender DaemonEntry, sections Sections) {
	if !s.quotaEnabled() {
		return
	}
	m := quota.Message{Loans: sections.QuotaLoans, Echo: sections.QuotaEcho}
	for _, d := range sections.Quota {
		if d.WantedShare > 0 {
			m.Claims = append(m.Claims, quota.Claim{Tenant: d.Tenant, ArrivalsPerSecond: d.ArrivalsPerSecond, Share: d.WantedShare})
		}
	}
	s.quota.Received(s.now, sender.Name, sender.Incarnation, sender.Counter, quota.Echo{Incarnation: s.opt.Self.Incarnation}, m)
}

// emitGossip sends a message to daemons. Those that need only this daemon's sections get its
// own entry with them. Those that have asked for shares of quotas get a message of their
// own with what this daemon lends them.
func (s *State) emitGossip(to []string, entries []DaemonEntry, sections Sections) {
	direct := s.directTargets(to, sections)
	if s.quotaEnabled() {
		for _, address := range s.answerBorrowers(s.quota.Borrowers(s.now), sections) {
			isAnswered := func(other string) bool { return other == address }
			to, direct = slices.DeleteFunc(to, isAnswered), slices.DeleteFunc(direct, isAnswered)
		}
	}
	if len(to) > 0 {
		s.emit(Gossip{To: to, Daemons: entries, Sections: sections})
	}
	if len(direct) > 0 {
		s.emit(Gossip{To: direct, Daemons: entries[:1], Sections: sections})
	}
}

// answerBorrowers sends daemons what this one lends them and returns the addresses of those
// that it lends something.
func (s *State) answerBorrowers(borrowers []string, sections Sections) []string {
	s.quota.Sent(s.now, s.members.counter)
	var out []string
	for _, name := range borrowers {
		d, ok := s.daemons[name]
		if !ok {
			continue
		}
		sections.QuotaLoans, sections.QuotaEcho = s.quota.LoansTo(s.now, name, s.limitsByName)
		if len(sections.QuotaLoans) > 0 {
			s.emit(Gossip{To: []string{d.PeerAddress}, Daemons: []DaemonEntry{s.self()}, Sections: sections})
			out = append(out, d.PeerAddress)
		}
	}
	return out
}

// quotaUrgent reports whether others should be told soon that the demand of a tenant has
// changed, or what they are lent.
func (s *State) quotaUrgent() bool {
	if !s.quotaEnabled() {
		return false
	}
	toAll, waiting := s.quota.Urgent()
	return toAll || len(waiting) > 0
}

// gossipQuota sends what quotaUrgent has reported, between two full messages.
func (s *State) gossipQuota() {
	s.members.lastGossipAt = s.now
	s.members.counter++
	toAll, waiting := s.quota.Urgent()
	sections := s.ownSections()
	switch {
	case !toAll:
		s.answerBorrowers(waiting, sections)
	case s.largeFleet():
		s.emitGossip(nil, []DaemonEntry{s.self()}, sections)
	default:
		s.emitGossip(s.gossipTargets(), []DaemonEntry{s.self()}, sections)
	}
}
