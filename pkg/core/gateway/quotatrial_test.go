package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/tenant"
)

// Guards against constants of package quota that cost more than was measured: refusals of 83
// tenants at their usual rates, which all daemons get evenly, while nothing happens, in the 8
// s after all daemons were killed, and while one of them is killed every 8 s. The figures of
// a trial are in docs/design/quotas.md.
func TestRefusalsAtUsualRates(t *testing.T) {
	for _, x := range []struct {
		size                     int
		steady, restarted, kills float64
	}{{6, 0.04, 0.25, 0.09}, {8, 0.06, 0.35, 0.12}} {
		t.Run(fmt.Sprint(x.size), func(t *testing.T) {
			t.Parallel()
			var tenants []*tenant.Tenant
			for i := range 83 {
				tenants = append(tenants, limitedTenant(fmt.Sprint("t", i), 19/float64(i+1), max(1, 19/float64(i+1))))
			}
			f := newQuotaFleet(t, 7, x.size, testBounds, tenants...)
			load := func(step time.Duration) {
				for _, t := range tenants {
					f.arrivals(step, t.Name, t.RatePerSecond/1.6, func() int { return f.rand.IntN(x.size) })
				}
			}
			phase := func(name string, most float64, run func()) {
				ran, refused := f.counts()
				run()
				ranAfter, refusedAfter := f.counts()
				got := float64(refusedAfter-refused) / float64(ranAfter-ran+refusedAfter-refused)
				t.Logf("%s: %.3f refused", name, got)
				if got > most {
					t.Errorf("%s: %.3f refused, %.3f at most", name, got, most)
				}
			}
			f.run(2*time.Second, func(time.Duration) {})
			phase("steady", x.steady, func() { f.run(60*time.Second, load) })
			phase("after restarts of all", x.restarted, func() {
				for i := range x.size {
					f.start(i, false)
				}
				f.run(8*time.Second, load)
			})
			f.run(8*time.Second, load)
			phase("one restarts every 8 s", x.kills, func() {
				for range 8 {
					f.start(f.rand.IntN(x.size), false)
					f.run(8*time.Second, load)
				}
			})
		})
	}
}

// counts returns the number of requests that ran and that were refused.
func (f *quotaFleet) counts() (ran, refused int) {
	for _, list := range f.ran {
		ran += len(list)
	}
	for _, n := range f.refused {
		refused += n
	}
	return ran, refused
}
