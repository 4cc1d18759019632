package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// leaveRequested makes a node announce that it leaves and then leave.
type leaveRequested struct{ event.StopRequested }

// newSettledRun starts daemons and waits until every server has an owner and
// every daemon a lease.
func newSettledRun(t *testing.T, seed uint64, daemons int) *faultRun {
	t.Helper()
	sim := newSimulation(seed, 12)
	f := &faultRun{sim: sim, oracle: newOracle(sim, t.Fatalf)}
	for range daemons {
		f.addDaemon()
	}
	f.run(15 * time.Second)
	if s := f.oracle.unmetCondition(); s != "" {
		f.oracle.fail("%s", s)
	}
	f.oracle.longestGap = 0
	return f
}

// Guards against servers that have no owner for long after their owner died.
// In the last run the platform is down as well.
func TestOwnerGapAfterKill(t *testing.T) {
	t.Parallel()
	var worst time.Duration
	for seed := range uint64(41) {
		f := newSettledRun(t, seed, 5)
		f.run(time.Duration(seed*37) * time.Millisecond)
		f.sim.platformDown = seed == 40
		f.stopDaemon(f.sim.nodes[seed%5])
		f.run(10 * time.Second)
		worst = max(worst, f.oracle.longestGap)
	}
	t.Logf("longest time without an owner: %v", worst)
	if worst >= 3*time.Second {
		t.Errorf("a server had no owner for %v, want less than 3s", worst)
	}
}

// Guards against servers that have no owner while daemons leave one after
// another, with and without replacement.
func TestRollingLeaveHasNoGap(t *testing.T) {
	for _, down := range []bool{false, true} {
		f := newSettledRun(t, 7, 5)
		f.sim.platformDown = down
		for _, n := range f.sim.nodes[:4] {
			f.startLeave(n)
			f.run(8 * time.Second)
			if !n.dead {
				f.oracle.fail("%s did not finish leaving within 8 s", n.vm)
			}
			if !down {
				f.addDaemon()
				f.run(8 * time.Second)
			}
		}
		t.Logf("platform down %v: longest time without an owner: %v", down, f.oracle.longestGap)
		if f.oracle.longestGap > HeartbeatInterval {
			t.Errorf("platform down %v: a server had no owner for %v, want at most %v", down, f.oracle.longestGap, HeartbeatInterval)
		}
	}
}

// Guards against daemons that leave together and hand servers to one another
// until a time limit ends it.
func TestAllLeaveAtOnce(t *testing.T) {
	t.Parallel()
	var worst time.Duration
	for seed := range uint64(20) {
		f := newSettledRun(t, seed, 5)
		f.sim.platformDown = seed%2 == 1
		start := f.sim.now
		f.startLeave(f.sim.nodes...)
		for len(f.liveDaemons()) > 0 && f.sim.now.Sub(start) < time.Minute {
			f.run(10 * time.Millisecond)
		}
		worst = max(worst, f.sim.now.Sub(start))
	}
	t.Logf("longest time until all have left: %v", worst)
	if worst >= 3*time.Second {
		t.Errorf("the daemons took %v to leave, want less than 3s", worst)
	}
}

// Guards against writing an epoch again after the answer to the first write
// was lost.
func TestLostWriteAnswerIsReadBack(t *testing.T) {
	sim := newSimulation(1, 1)
	n := sim.startDaemon("vm1")
	sim.run(5*time.Second, func() {})
	var out effect.List
	m := event.Meta{Now: n.localTime()}
	n.state.writer.pending = &model.Epoch{Region: "istok", Number: 2}
	n.state.EpochWritten(m, event.EpochWritten{Number: 2, Err: "answer lost"}, &out)
	for _, e := range out.Effects {
		switch e := e.(type) {
		case effect.WriteEpoch:
			t.Fatal("the epoch is written again")
		case effect.ReadDocument:
			if e.Kind == event.DocumentEpoch {
				return
			}
		}
	}
	t.Fatal("the epoch object is not read back")
}

// Guards against a lease for a daemon with an old configuration, which would
// go on serving what operators have withdrawn, and for one that resigned.
func TestPanelRefusesOldVersionAndFenced(t *testing.T) {
	sim := newSimulation(1, 1)
	n := sim.startDaemon("vm1")
	sim.run(5*time.Second, func() {})
	peer := model.MemberRef{VM: "vm2", Incarnation: 9}
	ask := func(h model.Header, resign bool) model.LeaseResult {
		var out effect.List
		h.From = peer
		n.state.HeartbeatArrived(event.Meta{Now: n.localTime()}, event.HeartbeatArrived{Header: h, Resign: resign}, &out)
		for _, e := range out.Effects {
			if r, ok := e.(effect.ReplyHeartbeat); ok {
				return r.Result
			}
		}
		return model.LeaseUnknown
	}
	good := n.state.Header()
	old, ahead := good, good
	old.BundleVersion--
	ahead.Epoch++
	n.state.panel.members = append(n.state.panel.members, peer)
	for _, c := range []struct {
		name   string
		header model.Header
		resign bool
		want   model.LeaseResult
	}{
		{"same versions", good, false, model.LeaseGranted},
		{"older bundle", old, false, model.LeaseStaleVersion},
		{"other epoch", ahead, false, model.LeaseWrongEpoch},
		{"resignation", good, true, model.LeaseFenced},
		{"after resignation", good, false, model.LeaseFenced},
	} {
		if got := ask(c.header, c.resign); got != c.want {
			t.Errorf("%s: result %d, want %d", c.name, got, c.want)
		}
	}
}

// Guards against carry-over by a daemon that too many members of the previous
// panel had fenced when they closed the epoch.
func TestCarryOverNeedsUnfencedMajority(t *testing.T) {
	self := model.MemberRef{VM: "vm1", Incarnation: 1}
	panel := []model.MemberRef{self, {VM: "vm2", Incarnation: 1}, {VM: "vm3", Incarnation: 1}}
	for fencedBy := range 4 {
		v := newEpochView(&model.Epoch{Number: 2, Panel: panel, PreviousPanel: panel}, self, 0, rendezvous)
		for i := range panel {
			c := event.ClosedEpoch{Number: 1}
			if i < fencedBy {
				c.Fenced = []model.MemberRef{self}
			}
			v.recordClosed(i, 0, c)
		}
		if want := fencedBy <= 1; v.hasUnfencedMajority() != want {
			t.Errorf("fenced by %s panel members: has an unfenced majority: %v, want %v", fmt.Sprint(fencedBy), v.hasUnfencedMajority(), want)
		}
	}
}

// Guards against daemons of two regions that both own a server: the epoch of a
// region must list only servers of that region and servers without a region.
func TestEpochListsServersOfItsRegion(t *testing.T) {
	b := &model.Bundle{Servers: []model.BackendServer{
		{Name: "s1", FailureDomain: "a", Region: "east"},
		{Name: "s0", FailureDomain: "b", Region: "west"},
		{Name: "s2", FailureDomain: "c"},
	}}
	homes := regionServers(b, "east")
	if len(homes) != 2 || homes[0].Server != "s1" || homes[1].Server != "s2" {
		t.Fatalf("servers of region east: %v", homes)
	}
}

// Guards against a second long wait after an outage of the platform, between
// the first read that succeeds and the write of the next epoch, which names
// the replacements of the daemons lost meanwhile.
func TestNextEpochSoonAfterOutage(t *testing.T) {
	for outage := 5 * time.Second; outage <= 40*time.Second; outage += 5 * time.Second {
		f := newSettledRun(t, 1, 5)
		before := f.sim.nodes[0].state.Epoch()
		f.sim.platformDown = true
		f.stopDaemon(f.sim.nodes[1])
		f.run(outage)
		f.sim.platformDown = false
		f.run(writeBackoffMax + time.Second)
		if f.sim.nodes[0].state.Epoch() == before {
			t.Errorf("no new epoch %v after an outage of %v", writeBackoffMax+time.Second, outage)
		}
	}
}
