package rollout

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecide measures a test of the evidence of 9 daemons and 3 routes at the end of a
// roll-out of 12 s.
func BenchmarkDecide(b *testing.B) {
	s := New(testLimits)
	s.SetLeafs(start, leafsOf("v1", "v2"))
	s.SetOrder(start, testOrder(), 1)
	for daemon := range 9 {
		for route := range 3 {
			for slot := range 3 {
				for _, leaf := range []string{"", "v2-a", "v2-b", "v2-c"} {
					key := evidenceKey{fmt.Sprint(route), leaf}
					s.run.ledger.add(start.Add(time.Duration(slot)*slotLength), fmt.Sprint(daemon), key, count{all: 20, failed: 1})
				}
			}
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		s.run.testedBad = 0
		s.evaluate(start.Add(7*time.Second), Situation{})
	}
}
