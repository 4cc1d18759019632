package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/admission"
	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/tenant"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// maxQueuedPerTenant bounds the parts of a tenant's requests that wait in this daemon for
	// the leafs of one service. Later ones would be late: a leaf answers one at a time in 20 ms.
	maxQueuedPerTenant = 16
	// demandInterval is the time between two looks at the demands that other daemons tell.
	demandInterval = 200 * time.Millisecond
	// maxToldDemands is the number of tenants, those with the most work first, whose demand is
	// told to other daemons under overload. All 83 would take half of the bytes that daemons
	// may send.
	maxToldDemands = 8
	// wholeAnswer is the share of shards from which on an answer in time counts as good.
	wholeAnswer = 0.97
)

// admissionState decides on requests under overload if the configuration has tenants.
type admissionState struct {
	// pools are by the first service that their requests ask.
	pools     map[string]*admission.Pool
	demandsAt model.Time
}

// admits decides whether a request is admitted under overload, and refuses it otherwise.
func (s *State) admits(q *query) bool {
	s.updateFleetDemands()
	pool := s.pool(q.parts[0].svc.name)
	first, second := q.identity.Order(q.route.Priority)
	q.work = float64(len(q.parts)) * s.route(q.route).typicalAttemptTime(q.route).Seconds()
	before := pool.Limited()
	d := pool.Arrive(s.now, admission.Kind{Tenant: q.identity.Name(), Route: q.route.Name, First: first, Second: second}, q.work,
		func() float64 { return s.pressure(q) })
	if now := pool.Limited(); now != before {
		kind := LogAdmissionEnded
		if now {
			kind = LogAdmissionLimited
		}
		s.emit(Log{Kind: kind, Subject: q.parts[0].svc.name, Detail: q.route.Name})
	}
	if d.Admit && !s.tenantQueueFull(q) {
		q.pool = pool
		return true
	}
	base := max(retryAfterOverload, d.RetryAfter)
	s.refuseAfter(q, RefusalThrottled, base+time.Duration(s.rand.Float64()*float64(base)))
	return false
}

func (s *State) pool(name string) *admission.Pool {
	if s.admission.pools == nil {
		s.admission.pools = map[string]*admission.Pool{}
	}
	p, ok := s.admission.pools[name]
	if !ok {
		p = admission.NewPool()
		s.admission.pools[name] = p
	}
	return p
}

// pressure returns the number of requests at the leafs that a query asks for each that these
// take well.
func (s *State) pressure(q *query) float64 {
	load, takes := 0.0, 0.0
	for i := range q.parts {
		for _, srv := range q.parts[i].svc.servers {
			if !s.usable(srv) {
				continue
			}
			well := float64(max(1, srv.Slots))
			if srv.capacity != nil {
				well = min(well, srv.capacity.Limit())
			}
			load += s.estimatedLoad(srv)
			takes += well
		}
		load += float64(len(q.parts[i].svc.queue))
	}
	return load / max(1, takes)
}

// tenantQueueFull reports whether as many parts of the tenant's requests wait for a service
// as may.
func (s *State) tenantQueueFull(q *query) bool {
	for i := range q.parts {
		queue := q.parts[i].svc.queue
		if len(queue) < maxQueuedPerTenant {
			continue
		}
		n := 0
		for _, queued := range queue {
			if queued.query.identity.Name() == q.identity.Name() {
				n++
			}
		}
		if n >= maxQueuedPerTenant {
			return true
		}
	}
	return false
}

// admittedEnded tells the pool of an admitted query how it ended.
func (s *State) admittedEnded(q *query, kind LogKind) {
	if q.pool == nil || kind == LogQueryAbandoned {
		return
	}
	answered := kind != LogQueryRefused
	whole := float64(q.answeredParts) >= wholeAnswer*float64(len(q.parts))
	q.pool.End(s.now, q.work, answered, answered && whole && !s.isLate(q))
}

// ownWork returns the work a second that each tenant asks of this daemon.
func (s *State) ownWork() map[string]float64 {
	sums := map[string]float64{}
	for _, name := range slices.Sorted(maps.Keys(s.admission.pools)) {
		s.admission.pools[name].TenantDemands(s.now, sums)
	}
	return sums
}

// limitedPools returns the number of pools that may refuse requests.
func (s *State) limitedPools() int {
	n := 0
	for _, p := range s.admission.pools {
		if p.Limited() {
			n++
		}
	}
	return n
}

// updateFleetDemands tells the pools how many times a tenant's demand here all daemons see,
// from what those tell that are overloaded too.
func (s *State) updateFleetDemands() {
	if s.now.Sub(s.admission.demandsAt) < demandInterval || s.limitedPools() == 0 {
		return
	}
	s.admission.demandsAt = s.now
	own := s.ownWork()
	all := maps.Clone(own)
	s.currentSections(func(_ *daemon, sections Sections) {
		for _, d := range sections.Quota {
			all[d.Tenant] += d.WorkPerSecond
		}
	})
	times := map[string]float64{}
	for name, here := range own {
		if here > 0 && all[name] > here {
			times[name] = all[name] / here
		}
	}
	for _, p := range s.admission.pools {
		p.Fleet(times)
	}
}

// withWork adds to the demands for quotas the work of the tenants that ask most, while this
// daemon refuses requests.
func (s *State) withWork(demands []TenantDemand) []TenantDemand {
	if s.limitedPools() == 0 {
		return demands
	}
	own := s.ownWork()
	names := slices.SortedFunc(maps.Keys(own), func(a, b string) int {
		return cmp.Or(cmp.Compare(own[b], own[a]), cmp.Compare(a, b))
	})
	for _, name := range names[:min(len(names), maxToldDemands)] {
		if name == "" {
			continue
		}
		i := slices.IndexFunc(demands, func(d TenantDemand) bool { return d.Tenant == name })
		if i < 0 {
			demands = append(demands, TenantDemand{Tenant: name})
			i = len(demands) - 1
		}
		demands[i].WorkPerSecond = own[name]
	}
	return demands
}

// firstAttemptsWait reports whether the first attempt of another tenant waits for a leaf of the
// service: an extra attempt must not take its place. Without tenants it reports false.
func (s *State) firstAttemptsWait(q *query, svc *service) bool {
	return q.identity.Checked && slices.ContainsFunc(svc.queue, func(x queuedPart) bool {
		return len(x.query.parts[x.part].calls) == 0 && x.query.identity.Name() != q.identity.Name() && !x.query.closed
	})
}

// busyLeafShare is the share of a leaf's slots from which it gets no hedges while requests are
// refused. Reports are up to 300 ms old: with all slots in place of a
// quarter, hedges took those of first attempts, and the worst tenth of the tenants within their
// share kept 0.88 of their service in the model, with a half of them 0.89.
const busyLeafShare = 0.25

// extraAttemptQueues reports whether an extra attempt at a leaf may take a slot from the first
// attempts of other tenants while requests are refused.
func (s *State) extraAttemptQueues(q *query, srv *server) bool {
	return q.pool != nil && q.pool.Limited() && s.estimatedLoad(srv) >= busyLeafShare*float64(srv.Slots)
}

// compareQueued orders parts that wait: by priority, and with tenants first attempts before
// extra ones.
func compareQueued(a, b queuedPart) int {
	if c := compareByPriority(a.query, b.query); c != 0 || !a.query.identity.Checked {
		return c
	}
	return cmp.Compare(min(1, len(a.query.parts[a.part].calls)), min(1, len(b.query.parts[b.part].calls)))
}

// AdmissionStatus is what a tenant gets of the leafs that requests of a route use.
type AdmissionStatus struct {
	Route string `json:"route"`
	// Pool is the first service that the requests ask, Work the work a second that arrives at
	// this daemon, in seconds of leafs, and Admitted the share of it that is admitted.
	Pool     string  `json:"pool"`
	Work     float64 `json:"work"`
	Admitted float64 `json:"admitted"`
}

// admissionStatus returns what each tenant gets.
func (s *State) admissionStatus() map[string][]AdmissionStatus {
	out := map[string][]AdmissionStatus{}
	for _, name := range slices.Sorted(maps.Keys(s.admission.pools)) {
		for _, x := range s.admission.pools[name].Shares() {
			out[x.Tenant] = append(out[x.Tenant], AdmissionStatus{Route: x.Route, Pool: name, Work: x.Demand, Admitted: x.Admitted})
		}
	}
	return out
}

// dropRemovedPools deletes the pools of services that no route asks first any more.
func (s *State) dropRemovedPools() {
	asked := map[string]bool{}
	for _, r := range s.config.Routes {
		if len(r.Shards) > 0 {
			asked[r.Shards[0]] = true
		}
		for _, t := range r.Targets {
			asked[t.Service] = true
		}
	}
	maps.DeleteFunc(s.admission.pools, func(name string, _ *admission.Pool) bool { return !asked[name] })
}

// refusedShare returns the share of the requests of a credential to a route that are refused
// because its leafs are overloaded.
func (s *State) refusedShare(r *Route, c tenant.Credential) float64 {
	if s.config.directory == nil {
		return s.route(r).throttle.refusalProbability(s.now)
	}
	name := s.config.directory.Identify(c, r.Public).Name()
	refused := 0.0
	for _, x := range s.admissionStatus()[name] {
		if x.Route == r.Name {
			refused = max(refused, 1-x.Admitted)
		}
	}
	return refused
}
