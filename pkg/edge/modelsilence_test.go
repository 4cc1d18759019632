package edge

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
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

// playFleet runs rounds of a test beside others, each with a new fleet of a size; without the
// large ones in short runs.
func playFleet(t *testing.T, name string, size, rounds int, play func(t *testing.T, f *modelFleet)) {
	if size > 14 && testing.Short() {
		return
	}
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		for range rounds {
			synctest.Test(t, func(t *testing.T) { play(t, newDeploymentOfSize(t, size)) })
		}
	})
}

// Guards against changes that nobody reads in time because the store has fallen silent towards
// the daemons that watch it, and towards their successors (CONFIG, DENIED, DRAIN, EVAC).
func TestChangesWhileStoreIsSilentToSome(t *testing.T) {
	t.Parallel()
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
			what := fmt.Sprintf("the store is silent to the first %d in line, %.0f%% in all", x.first, 100*x.share)
			playFleet(t, fmt.Sprintf("%d daemons, %s", size, what), size, rounds, func(t *testing.T, f *modelFleet) {
				time.Sleep(rand.N(maxWatchWait))
				f.store.setSilent(f.drawDaemons(x.first, x.share))
				time.Sleep(rand.N(3 * time.Second))
				f.checkChanges("while " + what)
			})
		}
	}
}

// Guards against an outage of the whole store in which each daemon calls it again and again.
func TestOutageOfWholeStoreCostsFewCalls(t *testing.T) {
	t.Parallel()
	const outage = 14 * time.Second
	for _, size := range []int{2, 13, 14, 82} {
		playFleet(t, fmt.Sprintf("%d daemons", size), size, 1, func(t *testing.T, f *modelFleet) {
			f.store.setSilent(f.daemons)
			before := f.store.totalCalls()
			time.Sleep(outage)
			// Each daemon reads the store when its view is not proven any more, and then
			// every 1.6 times the silence at most. Those that watch it retry with a backoff.
			readings := 1 + int(outage/(16*f.maxSilence/10))
			most := size*readings + 3*int(outage/(initialBackoff+callTimeout/10))
			calls := f.store.totalCalls() - before
			t.Logf("%d calls in %v", calls, outage)
			if calls > most {
				t.Errorf("%d calls, want at most %d", calls, most)
			}
			f.store.setSilent(nil)
			time.Sleep(f.contact)
			f.checkChanges("after the outage")
		})
	}
}

// Guards against daemons that read the store although others prove their view.
func TestCalmFleetReadsStoreInTurn(t *testing.T) {
	t.Parallel()
	const calm = 20 * time.Second
	for _, size := range []int{2, 13, 14, 82, 195} {
		playFleet(t, fmt.Sprintf("%d daemons", size), size, 1, func(t *testing.T, f *modelFleet) {
			before := f.store.totalCalls()
			time.Sleep(calm)
			interval := maxWatchWait
			f.inTouch()[0].runtime.Inspect(func(s *gateway.State) { interval = s.WatchTurn().Interval })
			// Three kinds in each turn, the daemons once in maxWatchWait by each of three, and
			// a tenth more.
			most := 11 * (3*int(calm/interval) + 3*int(calm/maxWatchWait+1)) / 10
			calls := f.store.totalCalls() - before
			t.Logf("%d calls in %v", calls, calm)
			if calls > most {
				t.Errorf("%d calls, want at most %d", calls, most)
			}
		})
	}
}
