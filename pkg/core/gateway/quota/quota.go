// Package quota limits the requests of tenants, summed over all daemons. Each daemon holds
// a share of a tenant's allowance in every window of time. Daemons that need more borrow
// from those that need less; see docs/design/quotas.md. It has no clock and does no I/O.
package quota

import (
	"hash/fnv"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// defaultWindow is used if the settings do not state one.
	defaultWindow = 5 * time.Second
	// slackShare is the part of the slack that daemons divide among themselves for tenants
	// whose limit in a window is at most fullSlackRatio times the slack: a daemon's share of
	// their limit is a few requests or less. The others need less of it, in the ratio of
	// their limits; with less for them, requests of the largest tenants were refused below
	// their limit. The rest, and the overshoot, cover restarts and the moments in which
	// daemons differ about who holds a share.
	fullSlackRatio = 4.0
	slackShare     = 0.65
	// loanLifetime is how long a loan is used after the borrower sent the message that the
	// lender answered. Three full messages may be lost.
	loanLifetime = 1500 * time.Millisecond
	// rounding keeps a sum of shares that make up a whole request from falling short of it;
	// messages have shares in single precision.
	rounding = 1e-3
	// maxIdle is how long a tenant's account is kept after its last request. It must
	// exceed the window.
	maxIdle = 2 * time.Minute
	// quotaLineInterval is the least time between two reports that a tenant exceeds its
	// limit.
	quotaLineInterval = 10 * time.Second
)

// Bounds are the bounds on the requests of a tenant that the platform states: in each
// Window (rate * Window + burst) * (1 + Overshoot) + Slack.
type Bounds struct {
	Window           time.Duration
	Overshoot, Slack float64
}

// Limits are the limits of one tenant.
type Limits struct{ RatePerSecond, Burst float64 }

// Holding is what a daemon holds without asking others.
type Holding struct {
	// Holders is the number of daemons that hold shares, Index the place of this one among
	// them; -1 if it is not one of them.
	Holders, Index int
}

// part returns this daemon's part of n requests of a tenant. Holders have equal parts, and
// the rest falls to some of them, to other ones for another tenant.
func (h Holding) part(n int, tenant string) int {
	if h.Index < 0 || h.Holders <= 0 {
		return 0
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(tenant))
	out := n / h.Holders
	if (h.Index+int(hash.Sum32()%uint32(h.Holders)))%h.Holders < n%h.Holders {
		out++
	}
	return out
}

// State is what one daemon knows of the quotas. It is not safe for concurrent use.
type State struct {
	// self is the name of this daemon.
	self     string
	bounds   Bounds
	holding  Holding
	accounts map[string]*account
	// wanting are the accounts of which this daemon asks for a share.
	wanting map[string]*account
	peers   map[string]*peer
	// spentUntil is until when the share counts as spent by an earlier process of this
	// daemon.
	spentUntil model.Time
	sent       [sentMessages]sentMessage
	// urgent means that other daemons should be told of a change soon.
	urgent   bool
	prunedAt model.Time
}

// New returns the state of the daemon self that starts at a time. Until Fresh is called, its share
// counts as spent: an earlier process may have spent or lent it.
func New(self string, b Bounds, now model.Time) *State {
	if b.Window <= 0 {
		b.Window = defaultWindow
	}
	s := &State{self: self, bounds: b, holding: Holding{Index: -1}, accounts: map[string]*account{}, wanting: map[string]*account{}, peers: map[string]*peer{}}
	s.spentUntil = now.Add(loanLifetime + b.Window)
	return s
}

// Fresh says that the daemon had no earlier process that could have served requests.
func (s *State) Fresh() {
	s.spentUntil = 0
	s.forgetRetryTimes()
}

// SetHolding sets what this daemon holds from now on. It reports whether that has changed.
func (s *State) SetHolding(h Holding) bool {
	changed := s.holding != h
	s.holding = h
	if changed {
		s.forgetRetryTimes()
	}
	return changed
}

// forgetRetryTimes drops the times at which refused requests were told to return: they were
// given for another share, without one up to two windows ahead.
func (s *State) forgetRetryTimes() {
	for _, a := range s.accounts {
		a.nextRetryAt = 0
	}
}

// Holding returns what this daemon holds.
func (s *State) Holding() Holding { return s.holding }

// Decision says whether a request is within the quota.
type Decision struct {
	OK bool
	// RetryAfter is the time after which a refused request can be served.
	RetryAfter time.Duration
	// Report means that the refusal is the first in some time.
	Report bool
}

// Admit counts a request of a tenant at its arrival, if the quota allows it.
func (s *State) Admit(now model.Time, tenant string, l Limits) Decision {
	a := s.account(now, tenant, l)
	a.arrivals.add(now, s.slot(), 1)
	defer s.updateWant(now, a)
	if a.admitted.total < s.limit(now, a) && s.isPaced(now, a) {
		a.admitted.add(now, s.slot(), 1)
		return Decision{OK: true}
	}
	d := Decision{RetryAfter: s.retryAfter(now, a), Report: a.refusedAt == 0 || now.Sub(a.refusedAt) >= quotaLineInterval}
	a.refused++
	a.refusedAt = now
	return d
}

// Return takes back a request, admitted at a time, that reached no leaf.
func (s *State) Return(now model.Time, tenant string, admittedAt model.Time) {
	if a, ok := s.accounts[tenant]; ok {
		a.admitted.advance(now, s.slot())
		a.admitted.remove(admittedAt, s.slot())
	}
}

// account returns the account of a tenant. Its limits are those of the configuration in
// force, so that a lowered limit takes effect with the next request.
func (s *State) account(now model.Time, tenant string, l Limits) *account {
	s.prune(now)
	a, ok := s.accounts[tenant]
	if !ok {
		a = &account{tenant: tenant, lent: map[process][]loan{}, borrowed: map[string]loan{}}
		s.accounts[tenant] = a
	}
	a.limits, a.usedAt = l, now
	a.admitted.advance(now, s.slot())
	a.arrivals.advance(now, s.slot())
	return a
}

// prune drops accounts that have not been used for maxIdle.
func (s *State) prune(now model.Time) {
	if now.Sub(s.prunedAt) < maxIdle {
		return
	}
	s.prunedAt = now
	for name, a := range s.accounts {
		if now.Sub(a.usedAt) >= maxIdle {
			delete(s.accounts, name)
			delete(s.wanting, name)
		}
	}
}

// slot is the length of a slot of a window's counts.
func (s *State) slot() time.Duration { return s.bounds.Window / windowSlots }

// allowance is the number of requests of a tenant that all daemons together admit in each
// window.
func (s *State) allowance(l Limits) float64 {
	return s.limitInWindow(l) + s.dividedSlack(l)
}

func (s *State) limitInWindow(l Limits) float64 {
	return l.RatePerSecond*s.bounds.Window.Seconds() + l.Burst
}

// dividedSlack is the part of the slack that belongs to the allowance.
func (s *State) dividedSlack(l Limits) float64 {
	return slackShare * s.bounds.Slack * min(1, fullSlackRatio*s.bounds.Slack/max(1, s.limitInWindow(l)))
}

// reserve is the number of requests in each window that the bound allows beyond the
// allowance.
func (s *State) reserve(l Limits) float64 {
	return s.limitInWindow(l)*s.bounds.Overshoot + s.bounds.Slack - s.dividedSlack(l)
}

// share is the share of a tenant's allowance that this daemon holds, a whole number of
// requests in a window.
func (s *State) share(a *account) float64 {
	allowance := s.allowance(a.limits)
	return float64(s.holding.part(int(allowance+rounding), a.tenant)) / allowance
}

// restartAllowance is the number of requests of a tenant that a process admits while its
// share may have been spent by an earlier one. All holders together stay within the
// reserve.
func (s *State) restartAllowance(a *account) float64 {
	return float64(s.holding.part(int(s.reserve(a.limits)+rounding), a.tenant))
}

// own is the share of a tenant's allowance that this daemon holds and has not lent.
func (s *State) own(now model.Time, a *account) float64 {
	share := s.share(a)
	if now < s.spentUntil {
		return min(share, s.unspent(now, a)+s.restartAllowance(a)/s.allowance(a.limits))
	}
	return max(0, share-s.lent(now, a))
}

// limit is the number of requests of a tenant that this daemon admits in a window.
func (s *State) limit(now model.Time, a *account) int {
	return int(s.allowance(a.limits)*(s.own(now, a)+a.borrowedShare(now)) + rounding)
}

// retryAfter returns when one more request can be admitted. Refused requests get times one
// after the other, at the rate at which the quota allows them.
func (s *State) retryAfter(now model.Time, a *account) time.Duration {
	limit := s.limit(now, a)
	at := now.Add(s.bounds.Window)
	switch {
	case limit > 0:
		at = max(a.admitted.below(limit, windowSlots, s.slot()), s.pacedAt(now, a))
	case now < s.spentUntil:
		at = s.spentUntil
	case a.want > 0:
		at = now.Add(loanDelay)
	}
	at = max(at, a.nextRetryAt, now.Add(s.slot()))
	at = min(at, now.Add(maxRetryWindows*s.bounds.Window))
	a.nextRetryAt = at.Add(s.bounds.Window / time.Duration(max(1, limit)))
	return at.Sub(now)
}

// maxRetryWindows bounds the time that refused requests are told to wait, in windows.
const maxRetryWindows = 2

// account is what a daemon knows of one tenant.
type account struct {
	tenant string
	limits Limits
	usedAt model.Time
	// admitted and arrivals count requests in the latest window.
	admitted, arrivals window
	// refused is the number of refused requests, refusedAt the time of the last.
	refused     uint64
	refusedAt   model.Time
	nextRetryAt model.Time
	// mean is the average number of arrivals in a window at meanFrom, peak the greatest that
	// was far above the share, at peakAt.
	mean, peak       float64
	meanFrom, peakAt model.Time
	// lent are the loans of this daemon by borrower, borrowed those to it by lender.
	lent     map[process][]loan
	borrowed map[string]loan
	// want is the share that this daemon needs beyond its own.
	want float64
	// wantSince is when want became more than 0, boost by what the claim exceeds it, and
	// toldWant the want that was told last.
	wantSince model.Time
	boost     float64
	toldWant  float64
}

// windowSlots is the number of slots of a window. A request counts for up to one slot
// longer than the window.
const windowSlots = 50

// window counts requests in the latest window.
type window struct {
	slots [windowSlots + 1]uint32
	// last is the number of the latest slot since the start.
	last  int64
	total int
}

// advance drops the counts of slots that are no longer in the window.
func (w *window) advance(now model.Time, slot time.Duration) {
	current := int64(now) / int64(slot)
	if current-w.last > windowSlots {
		*w = window{last: current}
		return
	}
	for w.last < current {
		w.last++
		i := w.last % int64(len(w.slots))
		w.total -= int(w.slots[i])
		w.slots[i] = 0
	}
}

// add counts n requests. advance must have been called with the time.
func (w *window) add(now model.Time, slot time.Duration, n int) {
	w.advance(now, slot)
	w.slots[w.last%int64(len(w.slots))] += uint32(n)
	w.total += n
}

// remove takes back a request that was counted at a time, if it is still in the window.
func (w *window) remove(at model.Time, slot time.Duration) {
	number := int64(at) / int64(slot)
	i := number % int64(len(w.slots))
	if number > w.last || w.last-number > windowSlots || w.slots[i] == 0 {
		return
	}
	w.slots[i]--
	w.total--
}

// since returns the number of requests in the latest n slots.
func (w *window) since(n int64) int {
	sum := 0
	for number := max(0, w.last-n+1); number <= w.last; number++ {
		sum += int(w.slots[number%int64(len(w.slots))])
	}
	return sum
}

// below returns the time at which the count in the latest slots, and in the one before them,
// falls below a limit, which is at least 1.
func (w *window) below(limit int, slots int64, slot time.Duration) model.Time {
	left := w.since(slots + 1)
	if left < limit {
		return 0
	}
	number := max(0, w.last-slots)
	for ; left >= limit && number <= w.last; number++ {
		left -= int(w.slots[number%int64(len(w.slots))])
	}
	return model.Time((number + slots) * int64(slot))
}
