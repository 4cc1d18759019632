package fleet

import (
	"slices"
	"testing"
)

// servedBesideFlood returns the share of the requests answered in time of all tenants but the one
// that floods,
// and that of the worst tenth of those with enough requests.
func servedBesideFlood(runs Runs, flood string) (others, worstTenth float64) {
	sums, all := map[string]Counts{}, Counts{}
	for _, r := range runs {
		for name, c := range r.Tenants {
			sums[name] = sums[name].plus(*c)
			if name != flood {
				all = all.plus(*c)
			}
		}
	}
	var shares []float64
	for name, c := range sums {
		if name != flood && c.Asked() >= 30 {
			shares = append(shares, share(c.InTime, c))
		}
	}
	slices.Sort(shares)
	return share(all.InTime, all), mean(shares[:max(1, len(shares)/10)])
}

// Guards against a tenant that sends many times its usual, beside a burst, at the expense of the others:
// those within their fair share keep 95% of the service that they get without overload, the worst tenth
// of them 90%. No kind of request falls below a quarter of the mean.
func TestFloodOfOneTenant(t *testing.T) {
	p := load(t, "tenants.yaml")
	faults := p.Faults
	p.Faults = nil
	calm, _ := servedBesideFlood(RunSeeds(p, 1, 2), "flood")
	p.Faults = faults
	runs := RunSeeds(p, 1, 4)
	others, worst := servedBesideFlood(runs, "flood")
	if others < 0.95*calm || worst < 0.9*calm {
		t.Errorf("others %.3f in time, the worst tenth %.3f, without overload %.3f", others, worst, calm)
	}
	routes, all := map[string]Counts{}, Counts{}
	for _, r := range runs {
		for _, row := range r.Rows {
			if row.Start >= p.TenantsFrom && row.Start < p.TenantsTo {
				routes[row.Route] = routes[row.Route].plus(row.Counts)
				all = all.plus(row.Counts)
			}
		}
	}
	for name, c := range routes {
		if got, mean := share(c.InTime, c), share(all.InTime, all); got < mean/4 {
			t.Errorf("%s: %.3f in time, the mean is %.3f", name, got, mean)
		}
	}
}
