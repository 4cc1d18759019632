package process

import (
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/standin/processes"
)

// Guards against a tier that cannot work without the platform. An owner lost
// during an outage must get a successor, and its replacement must become an owner
// after the outage without exceeding the budget of platform calls.
func TestPlatformOutage(t *testing.T) {
	const (
		outage   = 8 * time.Second
		window   = 10 * time.Second
		daemons  = 3
		maxCalls = daemons * processes.CallsPerSecond * int(window/time.Second)
	)
	f := startTier(t, daemons, processes.DefaultRate)
	ctx := t.Context()
	f.failOnError(f.Outage(ctx, true))
	begin := time.Now()
	time.Sleep(time.Second)
	f.KillDaemon(1)
	killed := time.Now()
	time.Sleep(time.Second)
	f.failOnError(f.StartDaemon(1))
	time.Sleep(time.Until(begin.Add(outage)))
	f.failOnError(f.ResetPlatformCounts(ctx))
	f.failOnError(f.Outage(ctx, false))
	outageEnd := time.Now()
	f.failOnError(f.WaitOwner(ctx, 1, window))
	t.Logf("the replacement daemon owned servers %v after the outage", time.Since(outageEnd))
	time.Sleep(time.Until(outageEnd.Add(window)))
	counts, err := f.PlatformCounts(ctx)
	f.failOnError(err)
	f.stopLoadAndCheck()
	f.wantAllComplete(begin, killed.Add(-100*time.Millisecond))
	f.wantAllComplete(killed.Add(recoveryTarget), outageEnd.Add(window))
	calls := counts.Reads + counts.Watches + counts.Writes + counts.Lists + counts.VMs
	t.Logf("%d platform calls in %v after the outage: %+v", calls, window, counts)
	if calls > maxCalls {
		t.Errorf("%d platform calls, want at most %d", calls, maxCalls)
	}
}

// Guards against a configuration that takes effect too late when calls to the
// platform are slow.
func TestSlowPlatform(t *testing.T) {
	f := startTier(t, 3, processes.DefaultRate)
	ctx := t.Context()
	begin := time.Now()
	f.failOnError(f.SlowPlatform(ctx, 800*time.Millisecond))
	f.failOnError(f.RollOut(ctx, processes.Bundle{Version: 2, Halves: true}, 1))
	active := time.Now()
	time.Sleep(recoveryTarget + 3*time.Second)
	end := time.Now()
	logs := f.stopLoadAndCheck()
	f.wantAllComplete(begin, end)
	newLayoutRuns := 0
	for _, l := range logs {
		for _, r := range l.Runs {
			late := r.Start.After(active.Add(recoveryTarget))
			if late && r.Layout == processes.LayoutQuarters {
				t.Errorf("%s ran request %s for the old layout %v after the roll-out", l.Name, r.RequestID, r.Start.Sub(active))
			}
			if late && r.Layout == processes.LayoutHalves {
				newLayoutRuns++
			}
		}
	}
	if newLayoutRuns == 0 {
		t.Error("no request ran for the new layout")
	}
}
