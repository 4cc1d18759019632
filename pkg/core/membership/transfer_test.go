package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// leaveStart makes a test node announce its leave and then leave.
type leaveStart struct{ event.StopRequested }

// settledWorld boots daemons and lets them agree on an epoch.
func settledWorld(t *testing.T, seed uint64, daemons int) *fuzz {
	t.Helper()
	w := newWorld(seed, 12)
	f := &fuzz{w: w, o: newOracle(w, t.Fatalf)}
	for range daemons {
		f.join()
	}
	f.run(15 * time.Second)
	if s := f.o.settled(); s != "" {
		f.o.fail("%s", s)
	}
	f.o.gap = 0
	return f
}

// Guards against servers that stay without an owner for long after their
// owner died, the last time while the platform is down.
func TestOwnerGapAfterKill(t *testing.T) {
	t.Parallel()
	var worst time.Duration
	for seed := range uint64(41) {
		f := settledWorld(t, seed, 5)
		f.run(time.Duration(seed*37) * time.Millisecond)
		f.w.down = seed == 40
		f.remove(f.w.nodes[seed%5])
		f.run(10 * time.Second)
		worst = max(worst, f.o.gap)
	}
	t.Logf("longest time without an owner: %v", worst)
	if worst >= 3*time.Second {
		t.Errorf("a server had no owner for %v, want less than 3s", worst)
	}
}

// Guards against a planned replacement of all daemons that leaves servers
// without an owner.
func TestRollingLeaveHasNoGap(t *testing.T) {
	for _, down := range []bool{false, true} {
		f := settledWorld(t, 7, 5)
		f.w.down = down
		for _, n := range f.w.nodes[:4] {
			f.leave(n)
			f.run(8 * time.Second)
			if !n.dead {
				f.o.fail("%s did not end its leave", n.vm)
			}
			if !down {
				f.join()
				f.run(8 * time.Second)
			}
		}
		t.Logf("platform down %v: longest time without an owner: %v", down, f.o.gap)
		if f.o.gap > HeartbeatInterval {
			t.Errorf("platform down %v: a server had no owner for %v, want at most %v", down, f.o.gap, HeartbeatInterval)
		}
	}
}

// Guards against daemons that leave together and pass servers to one another
// until a limit ends it.
func TestAllLeaveAtOnce(t *testing.T) {
	t.Parallel()
	var worst time.Duration
	for seed := range uint64(20) {
		f := settledWorld(t, seed, 5)
		f.w.down = seed%2 == 1
		start := f.w.now
		f.leave(f.w.nodes...)
		for len(f.live()) > 0 && f.w.now.Sub(start) < time.Minute {
			f.run(10 * time.Millisecond)
		}
		worst = max(worst, f.w.now.Sub(start))
	}
	t.Logf("longest time until all have left: %v", worst)
	if worst >= 3*time.Second {
		t.Errorf("the daemons took %v to leave, want less than 3s", worst)
	}
}

// Guards against a second epoch write where the answer to the first was lost.
func TestLostWriteAnswerIsReadBack(t *testing.T) {
	w := newWorld(1, 1)
	n := w.boot("vm1")
	w.run(5*time.Second, func() {})
	var out effect.List
	m := event.Meta{Now: n.local()}
	n.mem.writer.pending = &model.Epoch{Region: "istok", Number: 2}
	n.mem.EpochWritten(m, event.EpochWritten{Number: 2, Err: "answer lost"}, &out)
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

// Guards against a lease for a daemon with an older configuration, which would
// go on serving what operators took back.
func TestPanelRefusesOldVersionAndFenced(t *testing.T) {
	w := newWorld(1, 1)
	n := w.boot("vm1")
	w.run(5*time.Second, func() {})
	peer := model.MemberRef{VM: "vm2", Incarnation: 9}
	ask := func(h model.Header, resign bool) model.LeaseResult {
		var out effect.List
		h.From = peer
		n.mem.HeartbeatArrived(event.Meta{Now: n.local()}, event.HeartbeatArrived{Header: h, Resign: resign}, &out)
		for _, e := range out.Effects {
			if r, ok := e.(effect.ReplyHeartbeat); ok {
				return r.Result
			}
		}
		return model.LeaseUnknown
	}
	good := n.mem.Header()
	old, ahead := good, good
	old.BundleVersion--
	ahead.Epoch++
	n.mem.panel.members = append(n.mem.panel.members, peer)
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

// Guards against a daemon that counts itself alone in the old epoch although a
// closing panel member had fenced it.
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
			v.closedBefore(i, 0, c)
		}
		if want := fencedBy <= 1; v.alone() != want {
			t.Errorf("fenced by %s: alone is %v, want %v", fmt.Sprint(fencedBy), v.alone(), want)
		}
	}
}

// Guards against daemons of two regions that both own a server: each region's
// epoch must list only its own servers.
func TestEpochListsServersOfItsRegion(t *testing.T) {
	b := &model.Bundle{Servers: []model.BackendServer{
		{Name: "s1", FailureDomain: "a", Region: "east"},
		{Name: "s0", FailureDomain: "b", Region: "west"},
		{Name: "s2", FailureDomain: "c"},
	}}
	homes := homesOf(b, "east")
	if len(homes) != 2 || homes[0].Server != "s1" || homes[1].Server != "s2" {
		t.Fatalf("servers of region east: %v", homes)
	}
}

// Guards against a second long wait between the first read that works after an
// outage and the write of the next epoch, which names the replacements of the
// daemons that were lost meanwhile.
func TestNextEpochSoonAfterOutage(t *testing.T) {
	for outage := 5 * time.Second; outage <= 40*time.Second; outage += 5 * time.Second {
		f := settledWorld(t, 1, 5)
		before := f.w.nodes[0].mem.Epoch()
		f.w.down = true
		f.remove(f.w.nodes[1])
		f.run(outage)
		f.w.down = false
		f.run(writeBackoffMax + time.Second)
		if f.w.nodes[0].mem.Epoch() == before {
			t.Errorf("no new epoch %v after an outage of %v", writeBackoffMax+time.Second, outage)
		}
	}
}
