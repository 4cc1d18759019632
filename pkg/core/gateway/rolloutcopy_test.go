package gateway

import (
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/rollout"
)

// Guards against a verdict that nobody writes again after the store has come back from a copy
// without it, while neither leafs nor other orders change.
func TestLostVerdictIsWrittenWithoutOtherChanges(t *testing.T) {
	h := newHarnessWith(t, Options{Rollout: &RolloutLimits{Share: 0.1, Slack: 50, OrderWithin: 5 * time.Second}})
	h.configure(1, nil, plainRoute("/r/", "x"))
	h.listLeafs(2, "x")
	order := RolloutOrder{Service: "x", Target: "v2", Duration: time.Minute, Created: 5, Revision: 7, Era: 1}
	h.step(RolloutsListed{Orders: []RolloutOrder{order}})
	decided := order
	decided.Revision, decided.Verdict = 9, rollout.RolledBack
	h.step(RolloutsListed{Orders: []RolloutOrder{decided}})
	h.advance(10 * time.Second)
	before := len(h.otherEffects)
	copied := order
	copied.Era = 2
	h.step(RolloutsListed{Orders: []RolloutOrder{copied}})
	h.advance(10 * time.Second)
	writes := 0
	for _, e := range h.otherEffects[before:] {
		if w, ok := e.(WriteVerdict); ok && w.Verdict == rollout.RolledBack && w.Era == 2 && w.Revision == 7 {
			writes++
		}
	}
	if writes != 1 {
		t.Errorf("%d writes of the lost verdict, want 1 that waits for its reply", writes)
	}
}
