package gateway

import (
	"flag"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/rollout"
)

var rolloutRuns = flag.Int("rollouts", 2, "roll-outs of each kind in the experiment")

var rolloutSize = flag.Int("rollout-daemons", 8, "daemons in the experiment")

var rolloutKinds = flag.String("rollout-kinds", "", "text that the names of the kinds of roll-outs in the experiment contain")

// rolloutFaults are the kinds of roll-outs of the experiment.
var rolloutFaults = []rolloutFault{
	{name: "good"},
	{name: "good, burst", burst: 3},
	{name: "good, slow daemon", slowDaemon: 150 * time.Millisecond},
	{name: "good, 1% of answers lost", lost: 0.01},
	{name: "good, one leaf fails", fails: 0.5, oneLeaf: true},
	{name: "good, one leaf slow", slows: 1, slowBy: 5, oneLeaf: true},
	{name: "good, store down", storeDown: 3 * time.Second},
	{name: "good, decider killed before", killBefore: true},
	{name: "good, decider killed after", killAfter: true},
	{name: "good, decider cut off", cutDecider: true},
	{name: "good, reply lost", loseReply: true},
	{name: "good, daemon cut off from others", cutPeers: true},
	{name: "good, halves", halves: true},
	{name: "good, restarts", restarts: true},
	{name: "fails", bad: true, fails: 0.3},
	{name: "fails rarely", bad: true, fails: 0.1},
	{name: "slow", bad: true, slows: 0.5, slowBy: 4},
	{name: "fails later", bad: true, fails: 0.3, from: 5 * time.Second},
	{name: "fails under load", bad: true, fails: 0.5, underLoad: 4},
	{name: "fails on one route", bad: true, fails: 0.5, on: "/urgent/"},
	{name: "fails, store down", bad: true, fails: 0.3, storeDown: 500 * time.Millisecond},
	{name: "fails, decider killed before", bad: true, fails: 0.3, killBefore: true},
	{name: "fails, decider killed after", bad: true, fails: 0.3, killAfter: true},
	{name: "fails, decider cut off", bad: true, fails: 0.3, cutDecider: true},
	{name: "fails, reply lost", bad: true, fails: 0.3, loseReply: true},
	{name: "fails, daemon cut off from others", bad: true, fails: 0.3, cutPeers: true},
	{name: "fails, halves", bad: true, fails: 0.3, halves: true},
	{name: "fails, restarts", bad: true, fails: 0.3, restarts: true},
}

// Guards against a bad version that is completed or exposed too much, a good one that is
// rolled back, orders that get no verdict in time and verdicts that change. -rollouts 200 -v
// prints the table of docs/design/rollouts.md.
func TestRolloutExperiment(t *testing.T) {
	table := "| roll-out | right | decided after | exposed, of the bound | last request after the order | open at old leafs |\n|---|---|---|---|---|---|\n"
	for _, fault := range rolloutFaults {
		if strings.Contains(fault.name, *rolloutKinds) {
			table += playRollouts(t, fault)
		}
	}
	t.Logf("%d roll-outs of each kind, %d daemons\n%s", *rolloutRuns, *rolloutSize, table)
}

// playRollouts plays roll-outs of a kind and returns their row of the table.
func playRollouts(t *testing.T, fault rolloutFault) string {
	fleets := make([]*rolloutFleet, *rolloutRuns)
	var wg sync.WaitGroup
	slots := make(chan struct{}, min(2, runtime.GOMAXPROCS(0)))
	for i := range fleets {
		wg.Add(1)
		go func() {
			defer wg.Done()
			slots <- struct{}{}
			fleets[i] = runRollout(*rolloutSize, fault, uint64(i+1))
			<-slots
		}()
	}
	wg.Wait()
	right, cutOff := 0, 0
	var decided, exposed, last []float64
	for i, f := range fleets {
		if checkRollout(t, f, fmt.Sprintf("%s, %d daemons, seed %d", fault.name, *rolloutSize, i+1)) {
			right++
		}
		cutOff += f.sample.cutOff
		if len(f.verdicts) > 0 {
			decided = append(decided, f.decidedAt.Sub(f.orderedAt).Seconds())
		}
		exposed = append(exposed, float64(f.sample.exposed)/(0.1*float64(f.sample.requests)+50))
		last = append(last, f.sample.last.Sub(f.orderedAt).Seconds())
	}
	row := fmt.Sprintf("| %s | %d of %d | %s s | ", fault.name, right, len(fleets), spread(decided))
	if !fault.bad {
		return row + fmt.Sprintf("| | %.2f |\n", float64(cutOff)/float64(len(fleets)))
	}
	return row + fmt.Sprintf("%s | %s s | |\n", spread(exposed), spread(last))
}

// checkRollout reports whether a roll-out was decided rightly and in time and kept the bounds.
func checkRollout(t *testing.T, f *rolloutFleet, name string) bool {
	want := rollout.Completed
	if f.fault.bad {
		want = rollout.RolledBack
	}
	right := len(f.verdicts) == 1 && f.verdicts[0] == want
	if !right {
		t.Errorf("%s: verdicts %v, want %v (%+v)", name, f.verdicts, want, f.sample)
	} else if late := f.decidedAt.Sub(f.orderedAt); late > fleetDuration {
		t.Errorf("%s: decided after %v", name, late)
	}
	if !f.fault.bad {
		return right
	}
	if bound := 0.1*float64(f.sample.requests) + 50; float64(f.sample.exposed) > bound {
		t.Errorf("%s: %d requests exposed, allowed %.0f", name, f.sample.exposed, bound)
	}
	if f.sample.fiftieth > 0 && f.sample.last > f.sample.fiftieth.Add(5*time.Second) {
		t.Errorf("%s: a request %v after the 50th bad answer", name, f.sample.last.Sub(f.sample.fiftieth))
	}
	return right
}

// spread prints the median and the greatest value.
func spread(values []float64) string {
	if len(values) == 0 {
		return "-"
	}
	slices.Sort(values)
	return fmt.Sprintf("%.2f, at most %.2f", values[len(values)/2], values[len(values)-1])
}
