package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

func flowsOf(kinds ...Kind) []*flow {
	p := NewPool()
	for _, k := range kinds {
		p.flow(k)
	}
	return p.sorted()
}

// Guards against a tenant within its fair share that pays for one which sends many times its
// usual.
func TestTenantWithinItsShareIsWhole(t *testing.T) {
	flows := flowsOf(Kind{Tenant: "a"}, Kind{Tenant: "b"}, Kind{Tenant: "flood"})
	got := allocate(flows, []float64{1, 2, 30}, 10)
	if math.Abs(got[0]-1) > 1e-9 || math.Abs(got[1]-2) > 1e-9 || math.Abs(got[2]-7) > 1e-9 {
		t.Errorf("shares %v, want 1, 2 and 7", got)
	}
}

// Guards against urgent requests that are refused for less urgent ones, and against those that
// starve.
func TestPriorityWithFloor(t *testing.T) {
	flows := flowsOf(Kind{Tenant: "urgent", First: 0}, Kind{Tenant: "usual", First: 1}, Kind{Tenant: "low", First: 2})
	got := allocate(flows, []float64{6, 6, 6}, 9)
	// Fair are 3 each, of which 0.3 are floors; the urgent gets all it asks for.
	for i, want := range []float64{6, 2.1, 0.9} {
		if math.Abs(got[i]-want) > 1e-9 {
			t.Errorf("%s got %.2f, want %.2f", flows[i].kind.Tenant, got[i], want)
		}
	}
}

// Guards against division by number: a tenant whose requests ask for more work must not get
// more work than one with many small requests.
func TestFairByWork(t *testing.T) {
	flows := flowsOf(Kind{Tenant: "large", Route: "x"}, Kind{Tenant: "small", Route: "y"})
	got := allocate(flows, []float64{100, 50}, 20)
	if math.Abs(got[0]-got[1]) > 1e-9 {
		t.Errorf("shares %v, want equal ones", got)
	}
}

// Guards against shares beyond the capacity or the demand, capacity that is left over while
// somebody asks, a floor that is not kept, and a smaller demand that gets less.
func TestAllocationInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "flows")
		p := NewPool()
		for i := range n {
			p.flow(Kind{Tenant: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "tenant")), Route: fmt.Sprint(i), First: rapid.IntRange(0, 2).Draw(t, "first"), Second: rapid.IntRange(0, 1).Draw(t, "second")})
		}
		flows := p.sorted()
		demands, sum := make([]float64, n), 0.0
		all := make([]int, n)
		for i := range demands {
			demands[i] = rapid.Float64Range(0, 100).Draw(t, "demand")
			sum += demands[i]
			all[i] = i
		}
		capacity := rapid.Float64Range(0, 300).Draw(t, "capacity")
		got, total := allocate(flows, demands, capacity), 0.0
		fair := fairShares(flows, all, demands, capacity)
		for i := range got {
			total += got[i]
			if got[i] < 0 || got[i] > demands[i]+1e-6 {
				t.Fatalf("flow %d got %v of %v", i, got[i], demands[i])
			}
			if got[i] < floorShare*fair[i]-1e-6 {
				t.Fatalf("flow %d got %v, its floor is %v", i, got[i], floorShare*fair[i])
			}
		}
		if want := min(sum, capacity); math.Abs(total-want) > 1e-6 {
			t.Fatalf("divided %v of %v", total, want)
		}
	})
}

// play sends the demands, in requests a second of work 1, through a pool that bears capacity,
// and returns the admitted requests of each kind a second.
func play(p *Pool, kinds map[Kind]float64, capacity float64, length time.Duration) map[Kind]float64 {
	const step = 10 * time.Millisecond
	got, due := map[Kind]float64{}, map[Kind]float64{}
	backlog, now := 0.0, model.Time(1)
	for elapsed := time.Duration(0); elapsed < length; elapsed += step {
		now = now.Add(step)
		for _, f := range flowsOf(keys(kinds)...) {
			for due[f.kind] += kinds[f.kind] * step.Seconds(); due[f.kind] >= 1; due[f.kind]-- {
				if p.Arrive(now, f.kind, 1, func() float64 { return backlog / (0.2 * capacity) }).Admit {
					backlog++
					if elapsed > length/2 {
						got[f.kind] += 2 / length.Seconds()
					}
				}
			}
		}
		for done := min(backlog, capacity*step.Seconds()); done > 0; done-- {
			p.End(now, min(done, 1), true, backlog < 0.2*capacity)
		}
		backlog = max(0, backlog-capacity*step.Seconds())
	}
	return got
}

func keys(kinds map[Kind]float64) []Kind {
	var out []Kind
	for k := range kinds {
		out = append(out, k)
	}
	return out
}

// Guards against refusals without overload.
func TestNothingRefusedWithoutOverload(t *testing.T) {
	p := NewPool()
	a := Kind{Tenant: "a", Route: "r"}
	if got := play(p, map[Kind]float64{a: 50}, 100, 10*time.Second); got[a] < 49 || p.Limited() {
		t.Errorf("%.0f of 50 requests a second admitted, limited %v", got[a], p.Limited())
	}
}

// Guards against overload in which tenants within their share lose service to one that sends
// ten times as much, or in which much of the capacity is left unused.
func TestFloodCostsTheOthersLittle(t *testing.T) {
	a, b, flood := Kind{Tenant: "a"}, Kind{Tenant: "b"}, Kind{Tenant: "flood"}
	got := play(NewPool(), map[Kind]float64{a: 20, b: 30, flood: 300}, 100, 20*time.Second)
	if got[a] < 0.95*20 || got[b] < 0.95*30 {
		t.Errorf("a got %.1f of 20, b %.1f of 30", got[a], got[b])
	}
	if got[flood] < 30 || got[flood] > 80 {
		t.Errorf("the flood got %.1f, 50 were left", got[flood])
	}
}

// Guards against a pool that stays limited after an overload.
func TestLimitEndsAfterOverload(t *testing.T) {
	p := NewPool()
	a := Kind{Tenant: "a"}
	play(p, map[Kind]float64{a: 300}, 100, 5*time.Second)
	if !p.Limited() {
		t.Fatal("no limit under three times the capacity")
	}
	now := p.at
	for range 2000 {
		now = now.Add(20 * time.Millisecond)
		p.Arrive(now, a, 1, func() float64 { return 0 })
		p.End(now, 1, true, true)
	}
	if p.Limited() {
		t.Error("still limited 40 s after the overload")
	}
}

// Guards against a tenant that gets its share once at each daemon: one whose callers use all
// daemons must not get more than one whose callers use this one only.
func TestFleetWideDemand(t *testing.T) {
	p := NewPool()
	here, all := Kind{Tenant: "here"}, Kind{Tenant: "all"}
	p.flow(here).demand, p.flow(all).demand = 10, 10
	p.Fleet(map[string]float64{"all": 8})
	p.limited, p.rate = true, 10
	p.divide()
	if h, a := p.flows[here].admitted, p.flows[all].admitted; h < 0.99 || a > 0.6 {
		t.Errorf("admitted %.2f of the tenant here and %.2f of that at eight daemons", h, a)
	}
}

// Guards against a Retry-After that brings all refused requests back at once, or never.
func TestRetryAfterGrowsWithTheRefusedShare(t *testing.T) {
	if few, many := retryAfter(0.9), retryAfter(0.1); few >= many || many < time.Second {
		t.Errorf("%v with a tenth refused, %v with nine tenths", few, many)
	}
	if got := retryAfter(0); got != maxRetryAfter {
		t.Errorf("%v if nothing is admitted", got)
	}
}
