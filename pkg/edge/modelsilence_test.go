package edge

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// drawDaemons returns a share of the fleet, the first in line to watch the store among them.
func (f *modelFleet) drawDaemons(first int, share float64) []*modelDaemon {
	drawn := f.firstInLine(first)
	for _, i := range rand.Perm(len(f.daemons)) {
		if float64(len(drawn)) >= share*float64(len(f.daemons)) || len(drawn) >= len(f.daemons)-1 {
			break
		}
		if d := f.daemons[i]; !slices.Contains(drawn, d) {
			drawn = append(drawn, d)
		}
	}
	return drawn
}

// Guards against changes that nobody reads in time because the store has fallen silent towards
// the daemons that watch it, and towards their successors (CONFIG, DENIED, DRAIN, EVAC).
func TestChangesWhileStoreIsSilentToSome(t *testing.T) {
	for _, x := range []struct {
		first  int
		share  float64
		rounds map[int]int
	}{
		{first: 6, rounds: map[int]int{13: 12, 14: 12}},
		{first: 3, share: 0.33, rounds: map[int]int{13: 12, 14: 12, 82: 2}},
		{first: 3, share: 0.7, rounds: map[int]int{2: 4, 13: 12, 14: 12, 82: 2, 195: 1}},
	} {
		for size, rounds := range x.rounds {
			if size > 100 && testing.Short() {
				continue
			}
			what := fmt.Sprintf("the store is silent to the first %d in line, %.0f%% in all", x.first, 100*x.share)
			t.Run(fmt.Sprintf("%d daemons, %s", size, what), func(t *testing.T) {
				for range rounds {
					synctest.Test(t, func(t *testing.T) {
						f := newDeploymentOfSize(t, size)
						time.Sleep(rand.N(maxWatchWait))
						f.store.setSilent(f.drawDaemons(x.first, x.share))
						time.Sleep(rand.N(3 * time.Second))
						f.checkChanges("while " + what)
					})
				}
			})
		}
	}
}
