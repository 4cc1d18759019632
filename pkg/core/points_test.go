package core_test

import (
	"strings"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/core/query"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// scenario is a fleet under a steady load to which a test adds faults.
type scenario struct {
	*world
	t       *testing.T
	callers []*caller
	orders  []model.Request
	sent    int
}

func newScenario(t *testing.T, seed uint64) *scenario {
	t.Helper()
	w := newWorld(seed, testBundle(1, 1))
	startFleet(w)
	return &scenario{world: w, t: t, callers: []*caller{{w: w}, {w: w}, {w: w}}}
}

// load runs a query every 4 ms and an order every 40 ms for d, and sends some
// orders a second time to another daemon.
func (s *scenario) load(d time.Duration) {
	for end := s.now + d; s.now < end; s.sent++ {
		c := s.callers[s.sent%len(s.callers)]
		c.query(true, "", 250*time.Millisecond)
		if s.sent%10 == 0 {
			if req, ok := c.query(false, []string{"b", "k", "z"}[s.sent/10%3], 250*time.Millisecond); ok {
				s.orders = append(s.orders, req)
			}
		}
		if s.sent%50 == 49 && len(s.orders) > 0 {
			s.repeat(s.orders[s.rng.IntN(len(s.orders))])
		}
		s.run(4 * time.Millisecond)
	}
}

// repeat sends a request again to a random live daemon.
func (s *scenario) repeat(req model.Request) {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	if n.dead || n.paused {
		return
	}
	sent := s.now
	req.Deadline = n.clock().Add(250 * time.Millisecond)
	s.oracle.resent[req.ID] = req.Idempotent
	t := n.expect(func(r any) { s.oracle.repeated(n, req, r, sent) })
	n.post(event.QueryArrived{Token: t, Request: req})
}

// finish lets running requests end and reports what the oracle saw. At least
// complete of the answers must be complete, so that a fleet that answers
// nothing does not pass.
func (s *scenario) finish(complete int) {
	s.t.Helper()
	s.run(time.Second)
	o := s.oracle
	if len(o.failures) > 0 {
		s.t.Fatalf("%d failures:\n%s", len(o.failures), strings.Join(o.failures[:min(10, len(o.failures))], "\n"))
	}
	if o.complete < complete {
		s.t.Fatalf("only %d of %d answers are complete, want %d; refusals %v, missing %v\n%s",
			o.complete, o.answers, complete, o.reasons, o.missing, s.statuses())
	}
	s.t.Logf("%d answers, %d complete, refusals %v, reasons %v, missing %v, longest time between complete answers %v",
		o.answers, o.complete, o.refusals, o.reasons, o.missing, o.maxGap)
}

// publish adds an index version at each server within spread and retires the
// one before the last.
func (s *scenario) publish(version uint64, spread time.Duration) {
	for _, b := range s.sortedBackends() {
		s.at(time.Duration(s.rng.Int64N(int64(spread))), func() {
			b.versions = append(b.versions, version)
			b.versions = b.versions[max(0, len(b.versions)-2):]
		})
	}
}

func (s *scenario) rollOut(b *model.Bundle) {
	s.bundle = b
	s.placeShards(b)
	s.platform.put(event.DocumentBundle, b)
}

func (s *scenario) setControls(c model.Controls) {
	c.Version = s.controls.Version + 1
	s.controls = &c
	s.oracle.controlsChanged()
	s.platform.put(event.DocumentControls, s.controls)
}

// Guards against answers that mix index versions or partition layouts while
// versions are published and retired and data is repartitioned.
func TestInvariantOneSnapshot(t *testing.T) {
	s := newScenario(t, 1)
	for v := uint64(2); v <= 6; v++ {
		s.publish(v, time.Second)
		s.load(700 * time.Millisecond)
		if v == 4 {
			s.rollOut(testBundle(2, 2))
		}
	}
	// Owners read the status of servers once a second, and reports spread.
	s.load(3 * time.Second)
	s.finish(600)
	if s.oracle.layouts["l2"] == 0 || s.oracle.versions < 3 {
		t.Fatalf("layouts %v and %d index versions answered: the scenario did not change snapshots", s.oracle.layouts, s.oracle.versions)
	}
}

// Guards against coverage that is claimed but not there, and against an empty
// answer that looks complete, while both replicas of a shard are frozen.
func TestInvariantTrueCoverage(t *testing.T) {
	s := newScenario(t, 2)
	s.load(time.Second)
	s.backends["s2"].frozen, s.backends["s4"].frozen = true, true
	s.load(time.Second)
	s.backends["s2"].frozen, s.backends["s4"].frozen = false, false
	s.load(4 * time.Second)
	s.finish(600)
	if len(s.oracle.missing) == 0 {
		t.Fatal("no answer was partial: the scenario did not lose a shard")
	}
}

// Guards against more load than a cold server bears: servers turn cold without
// warning, one after the other and again.
func TestInvariantColdStart(t *testing.T) {
	s := newScenario(t, 3)
	for i := range 12 {
		b := s.sortedBackends()[i%6]
		if len(b.running) == 0 && b.coldLeft == 0 {
			b.coldLeft, b.coldTold = 10, 0
		}
		s.load(400 * time.Millisecond)
	}
	s.finish(800)
}

// Guards against new work in a failure domain more than 3 s after it was taken
// out, and against a loss of coverage meanwhile.
func TestInvariantDomainOut(t *testing.T) {
	s := newScenario(t, 4)
	for _, d := range []model.FailureDomain{"a", "b", "c"} {
		s.setControls(model.Controls{TakeOuts: []model.TakeOut{{FailureDomain: d}}})
		s.load(5 * time.Second)
		s.setControls(model.Controls{})
		s.load(2 * time.Second)
	}
	s.finish(s.oracle.answers * 97 / 100)
}

// Guards against answers to another request and against truncated ones, with
// late and doubled messages.
func TestInvariantOwnAnswer(t *testing.T) {
	s := newScenario(t, 5)
	s.slowPct = 20
	s.lossPct = 2
	s.load(5 * time.Second)
	s.finish(300)
}

// Guards against "not run" for a request that a server ran, while owners and
// entry daemons die and links are cut.
func TestInvariantNotRunIsTrue(t *testing.T) {
	s := newScenario(t, 6)
	for i, vm := range vmNames {
		s.load(300 * time.Millisecond)
		s.kill(s.byVM[vm])
		s.cuts[[2]model.VM{vmNames[(i+1)%5], vmNames[(i+2)%5]}] = true
		s.load(1500 * time.Millisecond)
		s.start(vm, vmDomains[i])
		s.cuts = map[[2]model.VM]bool{}
		s.load(2500 * time.Millisecond)
	}
	s.finish(1000)
	if s.oracle.refusals[model.NotRun] == 0 || s.oracle.refusals[model.MayHaveRun] == 0 {
		t.Fatalf("refusals %v: the scenario did not refuse in both ways", s.oracle.refusals)
	}
}

// Guards against a second run of a non-idempotent request: repeats go to all
// daemons while daemons restart and messages are lost, late and doubled.
func TestInvariantAtMostOnce(t *testing.T) {
	s := newScenario(t, 7)
	s.slowPct, s.lossPct = 5, 2
	for i, vm := range vmNames {
		s.load(time.Second)
		for _, req := range s.orders[max(0, len(s.orders)-20):] {
			for range 3 {
				s.repeat(req)
			}
		}
		s.kill(s.byVM[vm])
		s.start(vm, vmDomains[i])
		s.load(2 * time.Second)
	}
	s.finish(500)
	if len(s.oracle.orders) < 50 {
		t.Fatalf("only %d orders ran", len(s.oracle.orders))
	}
}

// Guards against new work for a drained server more than 3 s after the drain,
// and against a loss of coverage meanwhile.
func TestInvariantLeavingServer(t *testing.T) {
	s := newScenario(t, 8)
	for _, name := range []model.ServerName{"s0", "s4", "s1"} {
		s.setControls(model.Controls{Drains: []model.Drain{{Server: name}}})
		s.load(4 * time.Second)
		s.setControls(model.Controls{})
		s.load(time.Second)
	}
	for _, name := range []model.ServerName{"s2", "s1"} {
		b := s.backends[name]
		b.draining, b.drainedAt = true, s.now
		s.load(5 * time.Second)
		b.draining = false
		s.load(6 * time.Second)
	}
	s.finish(s.oracle.answers * 97 / 100)
	if s.oracle.drainRefusals == 0 {
		t.Fatal("no draining server refused anything: the scenario is too easy")
	}
}

// Guards against requests that a planned stop cuts: all daemons are replaced
// one after the other under load.
func TestInvariantGracefulStop(t *testing.T) {
	s := newScenario(t, 9)
	s.truncatePerMille = 0
	for i, vm := range vmNames {
		n := s.byVM[vm]
		n.post(event.StopRequested{Reason: "replacement"})
		for !n.exited {
			s.load(200 * time.Millisecond)
		}
		s.start(vm, vmDomains[i])
		s.load(3 * time.Second)
	}
	s.finish(s.oracle.answers * 97 / 100)
	if refused := s.oracle.refusals[model.MayHaveRun]; refused > 0 {
		t.Fatalf("%d requests may have run twice or not at all during a planned replacement", refused)
	}
}

// Guards against an exit that leaves a request without its reply: both replicas
// of a shard hang, so that a request sent last runs until its deadline.
func TestInvariantGracefulStopWaits(t *testing.T) {
	s := newScenario(t, 12)
	n := s.byVM["e0"]
	s.load(time.Second)
	n.post(event.StopRequested{Reason: "replacement"})
	s.run(query.LookupMaxAge + 1900*time.Millisecond)
	s.backends["s2"].frozen, s.backends["s4"].frozen = true, true
	req := model.Request{ID: "last", Service: "search", Caller: "counter", Idempotent: true,
		Deadline: n.clock().Add(900 * time.Millisecond), Query: "q", TopK: 10}
	replied := false
	n.post(event.QueryArrived{Request: req, Token: n.expect(func(r any) {
		replied = true
		s.oracle.answered(n, req, r.(effect.ReplyQuery), s.now)
	})})
	s.run(10 * time.Second)
	s.finish(100)
	if !replied || !n.exited {
		t.Fatalf("replied %v, exited %v", replied, n.exited)
	}
}

// Guards against a configuration that is not in force everywhere 3 s after it
// was accepted, or that an old copy or a restart takes back.
func TestInvariantConfigurationInForce(t *testing.T) {
	s := newScenario(t, 10)
	for i, vm := range vmNames {
		s.rollOut(testBundle(s.bundle.Version+1, 2))
		s.load(200 * time.Millisecond)
		s.platform.stale = i%2 == 0
		s.platform.repeatWatches()
		n := s.byVM[vm]
		n.pause(false)
		s.load(4 * time.Second)
		n.resume()
		s.load(200 * time.Millisecond)
		s.kill(n)
		s.start(vm, vmDomains[i])
		s.load(2 * time.Second)
		s.platform.stale = false
		s.load(2 * time.Second)
	}
	// A daemon that cannot take the new version must stop serving.
	s.byVM["e1"].rejects = true
	s.rollOut(testBundle(s.bundle.Version+1, 2))
	s.load(5 * time.Second)
	s.finish(1000)
	if len(s.oracle.accepted) < 7 {
		t.Fatalf("accepted versions %v, want 7", s.oracle.accepted)
	}
	if s.byVM["e1"].state.Status(s.byVM["e1"].clock()).Ready {
		t.Fatal("a daemon without the accepted version still serves")
	}
}

// Guards against two owners of one server, which shows as more work than it has
// slots: owners are paused past their lease and resume, first as processes and
// then as VMs whose monotonic clock stands still.
func TestInvariantSingleOwner(t *testing.T) {
	s := newScenario(t, 11)
	for round := range 2 {
		for _, vm := range vmNames {
			n := s.byVM[vm]
			n.pause(round == 1)
			s.load(2200 * time.Millisecond)
			n.resume()
			s.load(1500 * time.Millisecond)
		}
	}
	s.finish(1000)
	if s.oracle.maxGap > settleTime {
		t.Fatalf("no complete answer for %v, target %v", s.oracle.maxGap, settleTime)
	}
}

// Guards against a daemon outside the panel that goes on although the VM list
// says that its VM leaves: only panel members read the list.
func TestDaemonOutsidePanelLeaves(t *testing.T) {
	s := newScenario(t, 13)
	for _, vm := range []model.VM{"e5", "e6", "e7", "e8"} {
		s.start(vm, "c")
	}
	s.run(8 * time.Second)
	for _, n := range s.nodes {
		if st := n.state.Status(n.clock()); st.OnPanel || !st.Ready {
			continue
		}
		s.platform.listVM(n.vm, model.VMLeaving)
		s.load(10 * time.Second)
		if !n.exited {
			t.Fatalf("%s still runs 10 s after its VM was listed as leaving", n.vm)
		}
		s.finish(1000)
		return
	}
	t.Fatal("every daemon is on the panel")
}
