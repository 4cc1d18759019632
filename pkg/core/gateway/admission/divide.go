package admission

import (
	"math"
	"slices"
	"time"
)

func decayFactor(d time.Duration) float64 {
	return math.Exp2(-float64(d) / float64(demandHalfLife))
}

// divide divides the rate of the pool among its flows.
func (p *Pool) divide() {
	flows := p.sorted()
	demands := make([]float64, len(flows))
	local, fleet := 0.0, 0.0
	for i, f := range flows {
		times, ok := p.fleet[f.kind.Tenant]
		if !ok || !(times >= 1) {
			times = 1
		}
		demands[i] = f.demand * times
		local += f.demand
		fleet += demands[i]
	}
	if local <= 0 {
		return
	}
	// All daemons together are taken to bear as much of their demand as this one does.
	got := allocate(flows, demands, p.rate*fleet/local)
	for i, f := range flows {
		f.admitted = min(1, got[i]/max(demands[i], 1e-12))
	}
}

// allocate divides capacity among flows with demands: first the floors, then the rest by
// priority and within one priority max-min fair among tenants. flows are sorted by priority.
func allocate(flows []*flow, demands []float64, capacity float64) []float64 {
	all := make([]int, len(flows))
	for i := range all {
		all[i] = i
	}
	got := make([]float64, len(flows))
	for i, fair := range fairShares(flows, all, demands, capacity) {
		got[i] = floorShare * fair
		capacity -= got[i]
	}
	left := make([]float64, len(flows))
	for i := range left {
		left[i] = demands[i] - got[i]
	}
	for from := 0; from < len(flows); {
		to := from
		for to < len(flows) && flows[to].kind.First == flows[from].kind.First && flows[to].kind.Second == flows[from].kind.Second {
			to++
		}
		share := fairSharesBeside(flows, all[from:to], left, got, capacity)
		for i, x := range share {
			got[i] += x
			capacity -= x
		}
		from = to
	}
	return got
}

// fairShares divides capacity max-min fair among the tenants of the flows in set, and what a
// tenant gets among its flows in the same way.
func fairShares(flows []*flow, set []int, demands []float64, capacity float64) map[int]float64 {
	return fairSharesBeside(flows, set, demands, make([]float64, len(flows)), capacity)
}

// fairSharesBeside is fairShares with what each flow already has: those that have less come
// first.
func fairSharesBeside(flows []*flow, set []int, demands, has []float64, capacity float64) map[int]float64 {
	var names []string
	byTenant := map[string][]int{}
	for _, i := range set {
		t := flows[i].kind.Tenant
		if byTenant[t] == nil {
			names = append(names, t)
		}
		byTenant[t] = append(byTenant[t], i)
	}
	wants, owns := make([]float64, len(names)), make([]float64, len(names))
	for n, name := range names {
		for _, i := range byTenant[name] {
			wants[n] += demands[i]
			owns[n] += has[i]
		}
	}
	out := map[int]float64{}
	for n, got := range waterFill(wants, owns, capacity) {
		members := byTenant[names[n]]
		w, h := make([]float64, len(members)), make([]float64, len(members))
		for k, i := range members {
			w[k], h[k] = demands[i], has[i]
		}
		for k, x := range waterFill(w, h, got) {
			out[members[k]] = x
		}
	}
	return out
}

// waterFill divides capacity so that what each has in the end is as equal as possible, and none gets more
// than it wants beside what it has.
func waterFill(wants, has []float64, capacity float64) []float64 {
	out := make([]float64, len(wants))
	if capacity <= 0 {
		return out
	}
	// The filled volume is linear in the level between two of these.
	var bends []float64
	for i := range wants {
		bends = append(bends, has[i], has[i]+wants[i])
	}
	slices.Sort(bends)
	volume := func(level float64) float64 {
		sum := 0.0
		for i := range wants {
			sum += min(max(level-has[i], 0), wants[i])
		}
		return sum
	}
	low := 0.0
	for _, high := range bends {
		if v := volume(high); v >= capacity {
			below := volume(low)
			if v > below {
				low += (high - low) * (capacity - below) / (v - below)
			}
			break
		}
		low = high
	}
	for i := range wants {
		out[i] = min(max(low-has[i], 0), wants[i])
	}
	return out
}
