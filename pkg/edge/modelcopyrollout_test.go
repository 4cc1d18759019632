package edge

import (
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/rollout"
)

// Guards against a verdict that is taken back by a copy from before it, by any daemon that is
// in touch, and against a store in which nobody writes it again.
func TestCopyDuringRollout(t *testing.T) {
	eachFleetOfEra(t, func(t *testing.T, f *modelFleet) {
		f.rolloutLimits = &gateway.RolloutLimits{Share: 0.1, Slack: 50, OrderWithin: 5 * time.Second}
		for _, d := range f.daemons {
			d.kill()
		}
		for _, d := range f.daemons {
			d.start()
		}
		time.Sleep(10 * time.Second)
		order := gateway.RolloutOrder{Service: "x", Target: "v2", Duration: time.Minute, Created: 50}
		f.store.put(KindRollouts, "x", order)
		for i := 30; i < 34; i++ {
			f.sequence++
			f.store.put(KindServers, leafName(i), gateway.Server{
				ID: leafName(i), Service: "x", Address: "10.9.0.1:80", FailureDomain: modelDomains[0], Slots: 4, StartedMS: 9, Sequence: f.sequence, Version: "v2",
			})
		}
		time.Sleep(4 * time.Second)
		order.Verdict = rollout.RolledBack
		f.store.put(KindRollouts, "x", order)
		time.Sleep(f.drainBound)
		check := func(when string) {
			t.Helper()
			for _, run := range f.inTouch() {
				run.runtime.Inspect(func(s *gateway.State) {
					if orders := s.Rollouts(); len(orders) != 1 || orders[0].State != "rolled_back" {
						t.Errorf("%s: %s has %+v", when, run.daemon.entry.Name, orders)
					}
					for _, leaf := range s.Leafs("x") {
						if leaf.ID >= leafName(30) && leaf.Usable {
							t.Errorf("%s: %s uses leaf %s", when, run.daemon.entry.Name, leaf.ID)
						}
					}
				})
			}
		}
		check("before the copy")
		f.restore(f.drainBound + time.Second)
		f.restart(len(f.daemons) / 4)
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			check("after the copy")
		}
		f.store.mu.Lock()
		objects, _ := f.store.stateAt(KindRollouts, time.Now())
		f.store.mu.Unlock()
		if len(objects) != 1 {
			t.Fatalf("%d orders in the store", len(objects))
		}
		if got, err := (modelDecoder{}).Rollout(objects[0]); err != nil || got.Verdict != rollout.RolledBack {
			t.Errorf("the store holds %+v, %v; want the verdict written again", got, err)
		}
	})
}
