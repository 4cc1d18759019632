package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// keepShare is the part of its share that a holder without demand does not lend, so
	// that the first requests of a tenant whose callers change daemons are served.
	keepShare = 0.2
	// lendRatio is what holders lend together, relative to what is asked for: some have
	// nothing to lend.
	lendRatio = 1.15
	// boostInterval is the time after which a daemon that got less than it needs asks for
	// more: lenders assume that most of them can lend.
	boostInterval = 200 * time.Millisecond
	boostStep     = 1.5
	// maxSurplus is how much more than it needs a daemon borrows before it asks for less.
	// It exceeds boostStep, so that loans do not go up and down.
	maxSurplus = 2.5
	// loanDelay is the time within which other daemons lend to one that asks.
	loanDelay = 300 * time.Millisecond
	// sentMessages is the number of messages of which the time of sending is kept. It
	// must cover loanLifetime at 20 messages a second.
	sentMessages = 64
)

// Claim tells other daemons that one needs more of a tenant's allowance than it holds.
type Claim struct {
	Tenant string
	// ArrivalsPerSecond is the rate at which requests arrive.
	ArrivalsPerSecond float64
	// Share is the share that is asked for beyond that which the daemon holds.
	Share float64
}

// Loan lets the receiver of a message use a share that the sender holds.
type Loan struct {
	Tenant string
	Share  float64
}

// Echo names the latest message of the receiver that the sender knows of.
type Echo struct{ Incarnation, Counter uint64 }

// Message is what a daemon tells another one.
type Message struct {
	Claims []Claim
	Loans  []Loan
	Echo   Echo
}

// process is a process of another daemon.
type process struct {
	daemon      string
	incarnation uint64
}

func (p process) compare(other process) int {
	return cmp.Or(cmp.Compare(p.daemon, other.daemon), cmp.Compare(p.incarnation, other.incarnation))
}

// loan is a share that may be used until a time.
type loan struct {
	share float64
	until model.Time
}

// peer is what is known of another daemon.
type peer struct {
	// incarnation and counter are those of its latest message, received at a time.
	incarnation, counter uint64
	receivedAt           model.Time
	claims               []Claim
	// waiting means that it asks for more than when it was last answered.
	waiting bool
	// lends are the tenants of which it lends shares to this daemon.
	lends []string
}

type sentMessage struct {
	counter uint64
	at      model.Time
}

// Sent records that a message with a counter is sent.
func (s *State) Sent(now model.Time, counter uint64) {
	s.sent[counter%sentMessages] = sentMessage{counter, now}
}

// lent is the share of a tenant's allowance that others may use, or may have used in the
// latest window: a share that comes back is not used again before that.
func (s *State) lent(now model.Time, a *account) float64 {
	sum := 0.0
	for _, borrower := range slices.SortedFunc(maps.Keys(a.lent), process.compare) {
		loans := a.lent[borrower]
		loans = slices.DeleteFunc(loans, func(l loan) bool { return now >= l.until.Add(s.bounds.Window+s.slot()) })
		if len(loans) == 0 {
			delete(a.lent, borrower)
			continue
		}
		a.lent[borrower] = loans
		sum += greatestShare(loans)
	}
	return sum
}

func greatestShare(loans []loan) float64 {
	out := 0.0
	for _, l := range loans {
		out = max(out, l.share)
	}
	return out
}

// borrowedShare is the share that other daemons lend to this one.
func (a *account) borrowedShare(now model.Time) float64 {
	sum := 0.0
	for _, lender := range slices.Sorted(maps.Keys(a.borrowed)) {
		l := a.borrowed[lender]
		if now >= l.until {
			delete(a.borrowed, lender)
			continue
		}
		sum += l.share
	}
	return sum
}

// Claims returns what this daemon asks for, the greatest shares first. They count as told.
func (s *State) Claims(now model.Time) []Claim {
	var out []Claim
	for _, name := range slices.Sorted(maps.Keys(s.wanting)) {
		a := s.wanting[name]
		a.arrivals.advance(now, s.slot())
		s.setWant(now, a, s.ownBeforeLoans(now, a))
		a.toldWant = a.want
		if a.want == 0 {
			continue
		}
		borrowed := a.borrowedShare(now)
		switch {
		case (a.want-borrowed)*s.allowance(a.limits) < 1:
			a.wantSince = now
			if borrowed > maxSurplus*a.want {
				a.boost = max(1, a.boost/boostStep)
			}
		case now.Sub(a.wantSince) >= boostInterval:
			a.boost = min(boostStep*a.boost, float64(max(1, s.holding.Holders)))
			a.wantSince = now
		}
		out = append(out, Claim{
			Tenant: name, ArrivalsPerSecond: float64(a.arrivals.total) / s.bounds.Window.Seconds(), Share: min(1, a.want*a.boost),
		})
	}
	slices.SortStableFunc(out, func(x, y Claim) int { return cmp.Compare(y.Share, x.Share) })
	s.urgent = false
	return out
}

// Urgent reports whether all other daemons should be told soon of what this one asks for,
// and the daemons that wait for an answer to what they ask for.
func (s *State) Urgent() (toAll bool, waiting []string) {
	for _, name := range slices.Sorted(maps.Keys(s.peers)) {
		if s.peers[name].waiting {
			waiting = append(waiting, name)
		}
	}
	return s.urgent, waiting
}

// Received takes over a message of another daemon that is newer than all earlier ones of
// it.
func (s *State) Received(now model.Time, from string, incarnation, counter uint64, self Echo, m Message) {
	p, ok := s.peers[from]
	if !ok {
		if len(m.Claims) == 0 && len(m.Loans) == 0 {
			return
		}
		p = &peer{}
		s.peers[from] = p
	}
	waiting := p.waiting || asksForMore(p.claims, m.Claims)
	*p = peer{incarnation: incarnation, counter: counter, receivedAt: now, claims: m.Claims, waiting: waiting, lends: p.lends}
	s.takeLoans(now, from, p, self, m)
}

// asksForMore reports whether claims contain a tenant for which more is asked than before.
func asksForMore(before, now []Claim) bool {
	known := make(map[string]float64, len(before))
	for _, c := range before {
		known[c.Tenant] = c.Share
	}
	for _, c := range now {
		if c.Share > known[c.Tenant] {
			return true
		}
	}
	return false
}

// takeLoans replaces the loans of a lender. They are used for loanLifetime after this daemon
// sent the message that the lender answers: the lender counts from its receipt, which was
// later.
func (s *State) takeLoans(now model.Time, from string, p *peer, self Echo, m Message) {
	for _, name := range p.lends {
		if a, ok := s.accounts[name]; ok {
			delete(a.borrowed, from)
		}
	}
	p.lends = nil
	sent := s.sent[m.Echo.Counter%sentMessages]
	if m.Echo.Incarnation != self.Incarnation || m.Echo.Counter == 0 || sent.counter != m.Echo.Counter {
		return
	}
	until := sent.at.Add(loanLifetime)
	if now >= until {
		return
	}
	for _, l := range m.Loans {
		if a, ok := s.accounts[l.Tenant]; ok {
			a.borrowed[from] = loan{l.Share, until}
			p.lends = append(p.lends, l.Tenant)
		}
	}
}

// Borrowers returns the daemons that ask for shares, in the order of their names.
func (s *State) Borrowers(now model.Time) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(s.peers)) {
		p := s.peers[name]
		if now.Sub(p.receivedAt) >= loanLifetime {
			delete(s.peers, name)
			continue
		}
		if len(p.claims) > 0 {
			out = append(out, name)
		}
	}
	return out
}

// LoansTo decides what this daemon lends to another one that asks, and counts it as lent.
// limits returns the limits of a tenant; ok is false if it has none.
func (s *State) LoansTo(now model.Time, borrower string, limits func(tenant string) (l Limits, ok bool)) ([]Loan, Echo) {
	p, ok := s.peers[borrower]
	if ok {
		p.waiting = false
	}
	if !ok || s.holding.Index < 0 || now < s.spentUntil {
		return nil, Echo{}
	}
	until := p.receivedAt.Add(loanLifetime)
	if now >= until {
		return nil, Echo{}
	}
	var out []Loan
	for _, c := range p.claims {
		l, ok := limits(c.Tenant)
		if !ok {
			continue
		}
		a := s.account(now, c.Tenant, l)
		if share := s.loanFor(now, a, borrower, c.Share); share > 0 {
			a.lend(process{borrower, p.incarnation}, loan{share, until})
			out = append(out, Loan{Tenant: c.Tenant, Share: share})
		}
	}
	return out, Echo{p.incarnation, p.counter}
}

// loanFor returns the share of a tenant that is lent to a daemon that asks for one. This
// daemon keeps what it has used in the latest window and what it needs. The rest is
// divided in the ratio of the claims. Each is met to the part that falls to one holder. If
// there are fewer requests than holders, what nobody uses goes to one claimant, the same
// one at all holders.
func (s *State) loanFor(now model.Time, a *account, borrower string, asked float64) float64 {
	share, allowance := s.share(a), s.allowance(a.limits)
	used := float64(a.admitted.total) / allowance
	lendable := share - max(used, a.need(now)/allowance, share*keepShare)
	scarce := allowance < float64(s.holding.Holders)
	if scarce && a.meanAt(now) < idleMean {
		lendable = share - used
	}
	// What this process of the borrower has from this daemon is replaced by the new loan.
	// An earlier process may have used what it had.
	sameProcess := process{borrower, s.peers[borrower].incarnation}
	available := lendable - (s.lent(now, a) - greatestShare(a.lent[sameProcess]))
	if available <= 0 {
		return 0
	}
	// This daemon's own claim counts among those for a scarce allowance.
	sum, first, greatest := 0.0, s.self, min(1, a.want*a.boost)
	for _, name := range s.Borrowers(now) {
		for _, c := range s.peers[name].claims {
			if c.Tenant != a.tenant {
				continue
			}
			sum += c.Share
			if c.Share > greatest || c.Share == greatest && name < first {
				first, greatest = name, c.Share
			}
		}
	}
	if sum <= 0 || scarce && first != borrower {
		return 0
	}
	wanted := s.holding.part(int(math.Ceil(asked*allowance*lendRatio-rounding)), a.tenant+"/"+borrower)
	most := math.Floor(min(available, max(lendable*asked/sum, 1/allowance))*allowance + rounding)
	return min(float64(wanted), most) / allowance
}

// lend records a loan. Earlier ones that were greater stay counted until they end, since
// the borrower may not know of the new one.
func (a *account) lend(borrower process, l loan) {
	loans := slices.DeleteFunc(a.lent[borrower], func(old loan) bool { return old.share <= l.share && old.until <= l.until })
	a.lent[borrower] = append(loans, l)
}

// Usage is what a daemon knows of a tenant's requests.
type Usage struct {
	// Admitted is the number of requests in the latest window, Limit that which this
	// daemon may admit in one, Allowance that which all may.
	Admitted, Limit int
	Allowance       float64
	// Borrowed and Lent are shares of the allowance.
	Borrowed, Lent float64
	Refused        uint64
}

// Usage returns the use of a tenant's quota.
func (s *State) Usage(now model.Time, tenant string, l Limits) Usage {
	a, ok := s.accounts[tenant]
	if !ok {
		a = &account{tenant: tenant, limits: l}
	}
	a.admitted.advance(now, s.slot())
	return Usage{
		Admitted: a.admitted.total, Limit: s.limit(now, a), Allowance: s.allowance(l), Borrowed: a.borrowedShare(now), Lent: s.lent(now, a), Refused: a.refused,
	}
}
