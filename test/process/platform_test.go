package process

import (
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/standin/processes"
)

// Guards against a tier that needs the platform to go on: an owner that is
// lost in an outage must be succeeded, and its replacement must become an
// owner after the outage, without a flood of calls.
func TestPlatformOutage(t *testing.T) {
	const (
		outage   = 8 * time.Second
		window   = 10 * time.Second
		daemons  = 3
		maxCalls = daemons * processes.CallsPerSecond * int(window/time.Second)
	)
	f := start(t, daemons, processes.DefaultRate)
	ctx := t.Context()
	f.check(f.Outage(ctx, true))
	begin := time.Now()
	time.Sleep(time.Second)
	f.KillDaemon(1)
	killed := time.Now()
	time.Sleep(time.Second)
	f.check(f.StartDaemon(1))
	time.Sleep(time.Until(begin.Add(outage)))
	f.check(f.ResetPlatformCounts(ctx))
	f.check(f.Outage(ctx, false))
	over := time.Now()
	f.check(f.WaitOwner(ctx, 1, window))
	t.Logf("the replacement owns servers %v after the outage", time.Since(over))
	time.Sleep(time.Until(over.Add(window)))
	counts, err := f.PlatformCounts(ctx)
	f.check(err)
	f.finish()
	f.wantAnswered(begin, killed.Add(-100*time.Millisecond))
	f.wantAnswered(killed.Add(recovery), over.Add(window))
	calls := counts.Reads + counts.Watches + counts.Writes + counts.Lists + counts.VMs
	t.Logf("%d platform calls in %v after the outage: %+v", calls, window, counts)
	if calls > maxCalls {
		t.Errorf("%d platform calls, want at most %d", calls, maxCalls)
	}
}

// Guards against a configuration that takes effect late because calls to the
// platform are slow.
func TestSlowPlatform(t *testing.T) {
	f := start(t, 3, processes.DefaultRate)
	ctx := t.Context()
	begin := time.Now()
	f.check(f.SlowPlatform(ctx, 800*time.Millisecond))
	f.check(f.RollOut(ctx, processes.Bundle{Version: 2, Halves: true}, 1))
	active := time.Now()
	time.Sleep(recovery + 3*time.Second)
	end := time.Now()
	logs := f.finish()
	f.wantAnswered(begin, end)
	halves := 0
	for _, l := range logs {
		for _, r := range l.Runs {
			late := r.Start.After(active.Add(recovery))
			if late && r.Layout == processes.LayoutQuarters {
				t.Errorf("%s ran %s for the old layout %v after the roll-out", l.Name, r.RequestID, r.Start.Sub(active))
			}
			if late && r.Layout == processes.LayoutHalves {
				halves++
			}
		}
	}
	if halves == 0 {
		t.Error("nothing ran for the new layout")
	}
}
