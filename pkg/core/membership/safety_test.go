package membership

import (
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// newScriptedRun starts daemons with equal clocks. They get epochs only from
// the test, because the platform is down. The order of the owners of leaf-00
// is the order of the members.
func newScriptedRun(t *testing.T, daemons int) (*faultRun, []*node) {
	sim := newSimulation(1, 1)
	sim.platformDown = true
	f := &faultRun{sim: sim, oracle: newOracle(sim, t.Fatalf)}
	f.oracle.workDuration = 2 * time.Second
	for range daemons {
		f.addDaemon()
		n := sim.nodes[len(sim.nodes)-1]
		n.rate = 1
		n.state.cfg.Owners = func(_ model.ServerName, _ model.FailureDomain, m []model.Member) []model.Member { return m }
	}
	return f, sim.nodes
}

// storeEpoch stores the next epoch, with all daemons as members and a panel of
// one.
func (f *faultRun) storeEpoch(panelMember *node) {
	e := &model.Epoch{Region: "istok", Number: uint64(len(f.sim.epochs) + 1), Panel: []model.MemberRef{panelMember.state.Self()},
		Servers: []model.ServerHome{{Server: "leaf-00"}}}
	for _, n := range f.sim.nodes {
		e.Members = append(e.Members, n.state.ownMember())
	}
	if e.Number > 1 {
		last := f.sim.epochs[e.Number-2]
		e.PreviousPanel, e.PreviousAddresses = last.Panel, []string{string(last.Panel[0].VM)}
	}
	f.sim.epochs = append(f.sim.epochs, e)
}

// deliverEpoch gives the newest epoch to the daemons.
func (f *faultRun) deliverEpoch(nodes ...*node) {
	for _, n := range nodes {
		n.handleEvent(event.DocumentArrived{Document: f.sim.document(event.DocumentEpoch, len(f.sim.epochs))})
	}
}

// expectOwner runs for d with checks every 5 ms and fails if the daemon may
// not act for leaf-00 at the end.
func (f *faultRun) expectOwner(d time.Duration, owner *node) {
	for end := f.sim.now.Add(d); f.sim.now < end; f.oracle.check() {
		f.run(5 * time.Millisecond)
	}
	if !owner.state.MayAct(owner.localTime(), "leaf-00") {
		f.oracle.fail("%s may not act for leaf-00", owner.state.Self())
	}
}

// Guards against a holder whose lease outlasts the grant at the panel member,
// because the answer is late or because the panel member's clock is 1% faster.
func TestGrantCountsFromBeforeTheSend(t *testing.T) {
	for _, late := range []time.Duration{0, heartbeatTimeout - 10*time.Millisecond} {
		f, n := newScriptedRun(t, 3)
		n[2].rate = 1.01
		f.sim.answerDelay = late
		f.storeEpoch(n[2])
		f.isolate(n[1], true)
		f.deliverEpoch(n[0], n[2])
		f.run(10 * time.Millisecond) // n[0] gets its only grant
		f.sim.answerDelay = 0
		f.isolate(n[0], true)
		f.run(480 * time.Millisecond)
		f.repairNetwork()
		f.isolate(n[0], true)
		// n[1] requests a lease 1490 ms after the grant, when n[2] has just fenced
		// n[0].
		f.deliverEpoch(n[1])
		f.expectOwner(2*time.Second, n[1])
	}
}

// Guards against carry-over while the panel of the previous epoch may still
// fence this daemon there, and against work that outlasts the lease of that
// epoch. Only n[0] knows epoch 2, in which it is the panel; n[1], the panel of
// epoch 1, succeeds it in epoch 1.
func TestNoCarryOverBeforeOldPanelCloses(t *testing.T) {
	f, n := newScriptedRun(t, 2)
	f.storeEpoch(n[1])
	f.deliverEpoch(n...)
	f.expectOwner(300*time.Millisecond, n[0])
	f.storeEpoch(n[0])
	f.isolate(n[0], true)
	f.deliverEpoch(n[0])
	f.expectOwner(1100*time.Millisecond, n[0])
	f.expectOwner(2*time.Second, n[1])
}

// Guards against fences and grants that count in another epoch than their own.
// n[2] fenced n[0] in epoch 1, is still in epoch 1 when n[1] requests a lease
// in epoch 2, and grants to n[0] in epoch 2.
func TestPanelAnswerCountsOnlyInItsEpoch(t *testing.T) {
	f, n := newScriptedRun(t, 3)
	f.storeEpoch(n[2])
	f.deliverEpoch(n...)
	f.expectOwner(100*time.Millisecond, n[0])
	f.isolate(n[0], true)
	f.expectOwner(2*time.Second, n[1])
	f.storeEpoch(n[2])
	f.deliverEpoch(n[1], n[0])
	f.run(20 * time.Millisecond)
	f.repairNetwork()
	f.expectOwner(3*time.Second, n[0])
}
