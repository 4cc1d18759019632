// Package admission decides which requests are refused while a pool of leafs is overloaded. It
// divides the work that the pool bears among tenants and their kinds of requests: by priority,
// within one priority max-min fair by work, with a floor for each. It has no clock and does no
// I/O.
package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// interval is the time between two changes of the rate of a pool. At today's rates a
	// daemon sees two to six requests of a pool in it.
	interval = 200 * time.Millisecond
	// demandHalfLife is the time in which half of a measured demand is forgotten. A tenant
	// that sends eight times its usual is known after some hundred milliseconds.
	demandHalfLife = time.Second
	// idleDemand is the share of a request's work below which a demand is dropped.
	idleDemand = 0.01
	// overloadPressure is the number of requests at the leafs of a pool for each that they
	// take well from which late and failed answers are attributed to overload. With 0.9 the queues at
	// single leafs are long before the mean of a pool tells.
	overloadPressure = 0.6
	// overloadBadShare is the share of requests that end late or without an answer from which
	// a pool under pressure is overloaded: callers are promised 95 of 100.
	overloadBadShare = 0.05
	// decrease and increase change the rate in each interval with and without overload. The
	// rate halves in 1.8 s and doubles in 5 s.
	decrease, increase = 0.925, 1.03
	// releaseRatio is the rate in demands from which a pool is no longer limited.
	releaseRatio = 1.5
	// minRateShare bounds the rate to a share of the demand: requests have to show when leafs
	// have capacity again.
	minRateShare = 0.1
	// minDoneShare bounds the rate to a share of the work that is done: with less, queues at
	// the leafs shorten no faster, and slots are idle.
	minDoneShare = 0.85
	// floorShare is the part of the fair share that each tenant and kind gets before the
	// priorities count; a quarter is required.
	floorShare = 0.3
	// maxCredit is the number of requests that a tenant and kind may send at once after a
	// pause.
	maxCredit = 2.0
	// minRetryAfter and maxRetryAfter bound the time after which a refused request may come
	// back.
	minRetryAfter, maxRetryAfter = 100 * time.Millisecond, 3 * time.Second
)

// Kind is what a tenant sends to one route.
type Kind struct {
	Tenant, Route string
	// First and Second are the priorities, 0 the highest.
	First, Second int
}

// flow is the demand of one kind.
type flow struct {
	kind Kind
	// demand is the work a second that arrives, in seconds of leafs; last is the work of the
	// last request.
	demand, last float64
	// admitted is the share of the requests that are admitted; credit adds it up.
	admitted, credit float64
}

// Pool decides for the leafs that the same requests use.
type Pool struct {
	flows map[Kind]*flow
	// limited means that rate bounds the admitted work a second.
	limited bool
	rate    float64
	at      model.Time
	nextAt  model.Time
	// done is the work a second of requests that were answered, in time or late; ended and bad
	// count those that ended since the last change.
	done       float64
	ended, bad float64
	// fleet is how many times a tenant's demand at this daemon all daemons see.
	fleet map[string]float64
}

// NewPool returns a pool without demand.
func NewPool() *Pool { return &Pool{flows: map[Kind]*flow{}} }

// Decision is the decision on a request.
type Decision struct {
	Admit bool
	// RetryAfter is the time after which a refused request may come back; the caller of this
	// package adds a random part of the same length.
	RetryAfter time.Duration
}

// Arrive counts a request that asks for work, in seconds of leafs, and decides on it. pressure
// returns the number of requests at the leafs for each that they take well.
func (p *Pool) Arrive(now model.Time, kind Kind, work float64, pressure func() float64) Decision {
	p.decay(now)
	f := p.flow(kind)
	f.last = work
	f.demand += work * perSecond
	p.adjust(now, pressure)
	if !p.limited {
		return Decision{Admit: true}
	}
	f.credit = min(f.credit+f.admitted, maxCredit)
	if f.credit >= 1 {
		f.credit--
		return Decision{Admit: true}
	}
	return Decision{RetryAfter: retryAfter(f.admitted)}
}

// perSecond makes the sum of requests, of which half is forgotten in demandHalfLife, a rate.
const perSecond = 0.6931471805599453 / (float64(demandHalfLife) / float64(time.Second))

func (p *Pool) flow(kind Kind) *flow {
	f, ok := p.flows[kind]
	if !ok {
		f = &flow{kind: kind, admitted: 1, credit: 1}
		p.flows[kind] = f
	}
	return f
}

// retryAfter returns the time after which a request may come back. While a share is
// admitted, the requests that are refused have to be spread over the inverse of it.
func retryAfter(admitted float64) time.Duration {
	return time.Duration(float64(minRetryAfter) * min(1/max(admitted, 1e-3), float64(maxRetryAfter)/float64(minRetryAfter)))
}

// End counts the end of an admitted request; inTime means that it was answered within its
// latency target.
func (p *Pool) End(now model.Time, work float64, answered, inTime bool) {
	p.decay(now)
	p.ended++
	if answered {
		p.done += work * perSecond
	}
	if !inTime {
		p.bad++
	}
}

// Fleet sets how many times a tenant's demand at this daemon all daemons see; 1 for tenants
// that are not named.
func (p *Pool) Fleet(times map[string]float64) { p.fleet = times }

func (p *Pool) decay(now model.Time) {
	d := now.Sub(p.at)
	if d <= 0 {
		return
	}
	p.at = now
	factor := decayFactor(d)
	p.done *= factor
	for kind, f := range p.flows {
		if f.demand *= factor; f.demand < idleDemand*f.last {
			delete(p.flows, kind)
		}
	}
}

// adjust changes the rate of the pool and divides it anew, once an interval.
func (p *Pool) adjust(now model.Time, pressure func() float64) {
	if now < p.nextAt {
		return
	}
	p.nextAt = now.Add(interval)
	overloaded := p.ended > 0 && p.bad >= overloadBadShare*p.ended && pressure() >= overloadPressure
	p.ended, p.bad = p.ended/2, p.bad/2
	demand := p.Demand()
	switch {
	case overloaded && !p.limited:
		p.limited, p.rate = true, max(p.done, demand*minRateShare)
	case overloaded:
		p.rate = max(p.rate*decrease, p.done*minDoneShare, demand*minRateShare)
	case p.limited:
		p.rate *= increase
		p.limited = p.rate < releaseRatio*demand
	}
	if p.limited {
		p.divide()
	}
}

// Demand returns the work a second that arrives.
func (p *Pool) Demand() float64 {
	sum := 0.0
	for _, f := range p.sorted() {
		sum += f.demand
	}
	return sum
}

// sorted returns the flows in an order that does not depend on that of a map: sums of
// floating-point numbers do.
func (p *Pool) sorted() []*flow {
	return slices.SortedFunc(maps.Values(p.flows), func(a, b *flow) int {
		return cmp.Or(cmp.Compare(a.kind.First, b.kind.First), cmp.Compare(a.kind.Second, b.kind.Second),
			cmp.Compare(a.kind.Tenant, b.kind.Tenant), cmp.Compare(a.kind.Route, b.kind.Route))
	})
}

// TenantDemands adds the work a second of each tenant to sums.
func (p *Pool) TenantDemands(now model.Time, sums map[string]float64) {
	p.decay(now)
	for _, f := range p.sorted() {
		sums[f.kind.Tenant] += f.demand
	}
}

// Limited reports whether requests may be refused.
func (p *Pool) Limited() bool { return p.limited }

// Share is what a kind gets at the moment.
type Share struct {
	Kind
	// Demand is the work a second that arrives, Admitted the share of it that is admitted.
	Demand, Admitted float64
}

// Shares returns what each kind gets.
func (p *Pool) Shares() []Share {
	var out []Share
	for _, f := range p.sorted() {
		s := Share{Kind: f.kind, Demand: f.demand, Admitted: 1}
		if p.limited {
			s.Admitted = f.admitted
		}
		out = append(out, s)
	}
	return out
}
