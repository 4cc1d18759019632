package membership

import (
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// scripted boots daemons with equal clocks that get epochs only from the test,
// as the platform is down. Owners of leaf-00 are in the order of the members.
func scripted(t *testing.T, daemons int) (*fuzz, []*node) {
	w := newWorld(1, 1)
	w.down = true
	f := &fuzz{w: w, o: newOracle(w, t.Fatalf)}
	f.o.workTime = 2 * time.Second
	for range daemons {
		f.join()
		n := w.nodes[len(w.nodes)-1]
		n.rate = 1
		n.mem.cfg.Owners = func(_ model.ServerName, _ model.FailureDomain, m []model.Member) []model.Member { return m }
	}
	return f, w.nodes
}

// write stores the next epoch, with all daemons as members and one voter.
func (f *fuzz) write(voter *node) {
	e := &model.Epoch{Region: "istok", Number: uint64(len(f.w.epochs) + 1), Panel: []model.MemberRef{voter.mem.Self()},
		Servers: []model.ServerHome{{Server: "leaf-00"}}}
	for _, n := range f.w.nodes {
		e.Members = append(e.Members, n.mem.member())
	}
	if e.Number > 1 {
		last := f.w.epochs[e.Number-2]
		e.PreviousPanel, e.PreviousAddresses = last.Panel, []string{string(last.Panel[0].VM)}
	}
	f.w.epochs = append(f.w.epochs, e)
}

// tell gives the daemons the newest epoch.
func (f *fuzz) tell(nodes ...*node) {
	for _, n := range nodes {
		n.post(event.DocumentArrived{Document: f.w.document(event.DocumentEpoch, len(f.w.epochs))})
	}
}

// watch runs with checks every 5 ms and expects that the daemon acts at the end.
func (f *fuzz) watch(d time.Duration, owner *node) {
	for end := f.w.now.Add(d); f.w.now < end; f.o.check() {
		f.run(5 * time.Millisecond)
	}
	if !owner.mem.MayAct(owner.local(), "leaf-00") {
		f.o.fail("%s does not act", owner.mem.Self())
	}
}

// Guards against a holder whose lease outlasts the grant at the panel member:
// the answer is late, or the panel member's clock is 1% faster.
func TestGrantCountsFromBeforeTheSend(t *testing.T) {
	for _, late := range []time.Duration{0, heartbeatTimeout - 10*time.Millisecond} {
		f, n := scripted(t, 3)
		n[2].rate = 1.01
		f.w.late = late
		f.write(n[2])
		f.isolate(n[1], true)
		f.tell(n[0], n[2])
		f.run(10 * time.Millisecond) // the only grant to n[0]
		f.w.late = 0
		f.isolate(n[0], true)
		f.run(480 * time.Millisecond)
		f.heal()
		f.isolate(n[0], true)
		// n[1] asks 1490 ms after the grant, when n[2] has just fenced n[0].
		f.tell(n[1])
		f.watch(2*time.Second, n[1])
	}
}

// Guards against carry-over while the panel of the epoch before may still fence
// this daemon there, and against work that outlasts the lease of that epoch:
// n[0] alone knows epoch 2, whose panel it is, and n[1] succeeds it in epoch 1.
func TestOldPanelSucceedsBeforeItCloses(t *testing.T) {
	f, n := scripted(t, 2)
	f.write(n[1])
	f.tell(n...)
	f.watch(300*time.Millisecond, n[0])
	f.write(n[0])
	f.isolate(n[0], true)
	f.tell(n[0])
	f.watch(1100*time.Millisecond, n[0])
	f.watch(2*time.Second, n[1])
}

// Guards against fences and grants that count in another epoch than their own:
// n[2] fenced n[0] in epoch 1, still is in it when n[1] asks in epoch 2, and
// grants to n[0] in epoch 2.
func TestPanelAnswersForItsEpochOnly(t *testing.T) {
	f, n := scripted(t, 3)
	f.write(n[2])
	f.tell(n...)
	f.watch(100*time.Millisecond, n[0])
	f.isolate(n[0], true)
	f.watch(2*time.Second, n[1])
	f.write(n[2])
	f.tell(n[1], n[0])
	f.run(20 * time.Millisecond)
	f.heal()
	f.watch(3*time.Second, n[0])
}
