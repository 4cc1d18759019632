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

// scenario is a fleet under a steady load, to which a test adds faults.
type scenario struct {
	*world
	t             *testing.T
	callers       []*caller
	nonIdempotent []model.Request
	sent          int
}

func newScenario(t *testing.T, seed uint64) *scenario {
	t.Helper()
	w := newWorld(seed, testBundle(1, 1))
	startFleet(w)
	return &scenario{world: w, t: t, callers: []*caller{{w: w}, {w: w}, {w: w}}}
}

// runLoad sends an idempotent query every 4 ms and a non-idempotent one every
// 40 ms for d, and repeats some of the latter at a random daemon.
func (s *scenario) runLoad(d time.Duration) {
	for end := s.now + d; s.now < end; s.sent++ {
		c := s.callers[s.sent%len(s.callers)]
		c.sendQuery(true, "", 250*time.Millisecond)
		if s.sent%10 == 0 {
			if req, ok := c.sendQuery(false, []string{"b", "k", "z"}[s.sent/10%3], 250*time.Millisecond); ok {
				s.nonIdempotent = append(s.nonIdempotent, req)
			}
		}
		if s.sent%50 == 49 && len(s.nonIdempotent) > 0 {
			s.repeatRequest(s.nonIdempotent[s.rng.IntN(len(s.nonIdempotent))])
		}
		s.runFor(4 * time.Millisecond)
	}
}

// repeatRequest sends a request again to a random live daemon.
func (s *scenario) repeatRequest(req model.Request) {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	if n.dead || n.paused {
		return
	}
	sent := s.now
	req.Deadline = n.clock().Add(250 * time.Millisecond)
	s.oracle.resent[req.ID] = req.Idempotent
	t := n.expectReply(func(r any) { s.oracle.checkRepeat(n, req, r, sent) })
	n.post(event.QueryArrived{Token: t, Request: req})
}

// checkOutcomes lets running requests end and fails the test if the oracle found
// violations. At least minComplete answers must be complete, so that a fleet that
// answers nothing does not pass.
func (s *scenario) checkOutcomes(minComplete int) {
	s.t.Helper()
	s.runFor(time.Second)
	o := s.oracle
	if len(o.failures) > 0 {
		s.t.Fatalf("%d failures:\n%s", len(o.failures), strings.Join(o.failures[:min(10, len(o.failures))], "\n"))
	}
	if o.completeAnswers < minComplete {
		s.t.Fatalf("only %d of %d answers are complete, want %d; refusals %v, missing %v\n%s",
			o.completeAnswers, o.answers, minComplete, o.refusalReasons, o.missingReasons, s.describeDaemons())
	}
	s.t.Logf("%d answers, %d complete, refusals %v, reasons %v, missing %v, longest time between complete answers %v",
		o.answers, o.completeAnswers, o.refusals, o.refusalReasons, o.missingReasons, o.longestGap)
}

// publishIndexVersion adds an index version at each server within spread and
// retires all but the newest two.
func (s *scenario) publishIndexVersion(version uint64, spread time.Duration) {
	for _, b := range s.sortedBackends() {
		s.after(time.Duration(s.rng.Int64N(int64(spread))), func() {
			b.versions = append(b.versions, version)
			b.versions = b.versions[max(0, len(b.versions)-2):]
		})
	}
}

func (s *scenario) rollOutBundle(b *model.Bundle) {
	s.bundle = b
	s.placeShards(b)
	s.platform.putObject(event.DocumentBundle, b)
}

func (s *scenario) setControls(c model.Controls) {
	c.Version = s.controls.Version + 1
	s.controls = &c
	s.oracle.forgetClosures()
	s.platform.putObject(event.DocumentControls, s.controls)
}

// Guards against an answer that mixes index versions or partition layouts while
// versions are published and retired and data is repartitioned.
func TestInvariantOneSnapshot(t *testing.T) {
	s := newScenario(t, 1)
	for v := uint64(2); v <= 6; v++ {
		s.publishIndexVersion(v, time.Second)
		s.runLoad(700 * time.Millisecond)
		if v == 4 {
			s.rollOutBundle(testBundle(2, 2))
		}
	}
	// Owners poll the status of servers once a second, and the reports then have to
	// reach the other daemons.
	s.runLoad(3 * time.Second)
	s.checkOutcomes(600)
	if s.oracle.answersByLayout["l2"] == 0 || s.oracle.indexVersionRises < 3 {
		t.Fatalf("layouts %v and %d index versions answered: the scenario did not change snapshots", s.oracle.answersByLayout, s.oracle.indexVersionRises)
	}
}

// Guards against an answer that claims more coverage than it has, an empty one
// that looks complete included, while both replicas of a shard are frozen.
func TestInvariantTrueCoverage(t *testing.T) {
	s := newScenario(t, 2)
	s.runLoad(time.Second)
	s.backends["s2"].frozen, s.backends["s4"].frozen = true, true
	s.runLoad(time.Second)
	s.backends["s2"].frozen, s.backends["s4"].frozen = false, false
	s.runLoad(4 * time.Second)
	s.checkOutcomes(600)
	if len(s.oracle.missingReasons) == 0 {
		t.Fatal("no answer was partial: the scenario did not lose a shard")
	}
}

// Guards against more load on a cold server than it bears. Servers turn cold
// without warning one after the other, and some of them a second time.
func TestInvariantColdStart(t *testing.T) {
	s := newScenario(t, 3)
	for i := range 12 {
		b := s.sortedBackends()[i%6]
		if len(b.calls) == 0 && b.answersUntilWarm == 0 {
			b.answersUntilWarm, b.coldReportedAt = 10, 0
		}
		s.runLoad(400 * time.Millisecond)
	}
	s.checkOutcomes(800)
}

// Guards against new work for a failure domain more than 3 s after it was taken
// out of service, and against a loss of coverage meanwhile.
func TestInvariantDomainTakenOut(t *testing.T) {
	s := newScenario(t, 4)
	for _, d := range []model.FailureDomain{"a", "b", "c"} {
		s.setControls(model.Controls{TakeOuts: []model.TakeOut{{FailureDomain: d}}})
		s.runLoad(5 * time.Second)
		s.setControls(model.Controls{})
		s.runLoad(2 * time.Second)
	}
	s.checkOutcomes(s.oracle.answers * 97 / 100)
}

// Guards against a reply that answers another request, and against an answer with
// truncated items, while messages are lost, late and duplicated.
func TestInvariantAnswerToOwnRequest(t *testing.T) {
	s := newScenario(t, 5)
	s.slowPct = 20
	s.lossPct = 2
	s.runLoad(5 * time.Second)
	s.checkOutcomes(300)
}

// Guards against a refusal that says "not run" for a request that a backend server
// ran, while owners and entry daemons are killed and links are cut.
func TestInvariantNotRunIsTrue(t *testing.T) {
	s := newScenario(t, 6)
	for i, vm := range vmNames {
		s.runLoad(300 * time.Millisecond)
		s.kill(s.byVM[vm])
		s.cutLinks[[2]model.VM{vmNames[(i+1)%5], vmNames[(i+2)%5]}] = true
		s.runLoad(1500 * time.Millisecond)
		s.startDaemon(vm, vmDomains[i])
		s.cutLinks = map[[2]model.VM]bool{}
		s.runLoad(2500 * time.Millisecond)
	}
	s.checkOutcomes(1000)
	if s.oracle.refusals[model.NotRun] == 0 || s.oracle.refusals[model.MayHaveRun] == 0 {
		t.Fatalf("refusals %v: the scenario must cause both not_run and may_have_run", s.oracle.refusals)
	}
}

// Guards against a second run of a non-idempotent request that callers repeat at
// random daemons while daemons restart and messages are lost, late and duplicated.
func TestInvariantAtMostOnce(t *testing.T) {
	s := newScenario(t, 7)
	s.slowPct, s.lossPct = 5, 2
	for i, vm := range vmNames {
		s.runLoad(time.Second)
		for _, req := range s.nonIdempotent[max(0, len(s.nonIdempotent)-20):] {
			for range 3 {
				s.repeatRequest(req)
			}
		}
		s.kill(s.byVM[vm])
		s.startDaemon(vm, vmDomains[i])
		s.runLoad(2 * time.Second)
	}
	s.checkOutcomes(500)
	if len(s.oracle.nonIdempotent) < 50 {
		t.Fatalf("only %d non-idempotent requests ran, want 50 or more", len(s.oracle.nonIdempotent))
	}
}

// Guards against new work for a backend server more than 3 s after an operator
// drained it or it began to drain of its own accord, and against a loss of
// coverage meanwhile.
func TestInvariantDrainedServer(t *testing.T) {
	s := newScenario(t, 8)
	for _, name := range []model.ServerName{"s0", "s4", "s1"} {
		s.setControls(model.Controls{Drains: []model.Drain{{Server: name}}})
		s.runLoad(4 * time.Second)
		s.setControls(model.Controls{})
		s.runLoad(time.Second)
	}
	for _, name := range []model.ServerName{"s2", "s1"} {
		b := s.backends[name]
		b.draining, b.drainedAt = true, s.now
		s.runLoad(5 * time.Second)
		b.draining = false
		s.runLoad(6 * time.Second)
	}
	s.checkOutcomes(s.oracle.answers * 97 / 100)
	if s.oracle.drainRefusals == 0 {
		t.Fatal("no draining server refused work: the scenario sent it none")
	}
}

// Guards against requests that fail because of a planned stop: all daemons are
// replaced one after the other under load.
func TestInvariantGracefulStop(t *testing.T) {
	s := newScenario(t, 9)
	s.truncatePerMille = 0
	for i, vm := range vmNames {
		n := s.byVM[vm]
		n.post(event.StopRequested{Reason: "replacement"})
		for !n.exited {
			s.runLoad(200 * time.Millisecond)
		}
		s.startDaemon(vm, vmDomains[i])
		s.runLoad(3 * time.Second)
	}
	s.checkOutcomes(s.oracle.answers * 97 / 100)
	if refused := s.oracle.refusals[model.MayHaveRun]; refused > 0 {
		t.Fatalf("%d requests may have run twice or not at all during a planned replacement", refused)
	}
}

// Guards against a graceful stop that exits before a running request has its
// reply: both replicas of a shard are frozen, so that the last request runs until
// its deadline.
func TestInvariantGracefulStopWaits(t *testing.T) {
	s := newScenario(t, 12)
	n := s.byVM["e0"]
	s.runLoad(time.Second)
	n.post(event.StopRequested{Reason: "replacement"})
	s.runFor(query.LookupMaxAge + 1900*time.Millisecond)
	s.backends["s2"].frozen, s.backends["s4"].frozen = true, true
	req := model.Request{ID: "last", Service: "search", Caller: "counter", Idempotent: true,
		Deadline: n.clock().Add(900 * time.Millisecond), Query: "q", TopK: 10}
	replied := false
	n.post(event.QueryArrived{Request: req, Token: n.expectReply(func(r any) {
		replied = true
		s.oracle.checkReply(n, req, r.(effect.ReplyQuery), s.now)
	})})
	s.runFor(10 * time.Second)
	s.checkOutcomes(100)
	if !replied || !n.exited {
		t.Fatalf("replied %v, exited %v, want true for both", replied, n.exited)
	}
}

// Guards against a daemon that answers with an older bundle more than 3 s after a
// new one was accepted, and against a stale platform copy or a restart that brings
// an older bundle back.
func TestInvariantConfigurationInForce(t *testing.T) {
	s := newScenario(t, 10)
	for i, vm := range vmNames {
		s.rollOutBundle(testBundle(s.bundle.Version+1, 2))
		s.runLoad(200 * time.Millisecond)
		s.platform.servesPrevious = i%2 == 0
		s.platform.repeatWatchAnswers()
		n := s.byVM[vm]
		n.pause(false)
		s.runLoad(4 * time.Second)
		n.resume()
		s.runLoad(200 * time.Millisecond)
		s.kill(n)
		s.startDaemon(vm, vmDomains[i])
		s.runLoad(2 * time.Second)
		s.platform.servesPrevious = false
		s.runLoad(2 * time.Second)
	}
	// A daemon that rejects the new version must stop serving.
	s.byVM["e1"].rejectsBundles = true
	s.rollOutBundle(testBundle(s.bundle.Version+1, 2))
	s.runLoad(5 * time.Second)
	s.checkOutcomes(1000)
	if len(s.oracle.bundleAcceptedAt) < 7 {
		t.Fatalf("accepted versions %v, want 7", s.oracle.bundleAcceptedAt)
	}
	if s.byVM["e1"].state.Status(s.byVM["e1"].clock()).Ready {
		t.Fatal("a daemon without the accepted version still serves")
	}
}

// Guards against two owners that send to one backend server at the same time.
// Owners are paused past the end of their lease and resume, first as processes,
// then as VMs whose monotonic clock stands still.
func TestInvariantSingleOwner(t *testing.T) {
	s := newScenario(t, 11)
	for round := range 2 {
		for _, vm := range vmNames {
			n := s.byVM[vm]
			n.pause(round == 1)
			s.runLoad(2200 * time.Millisecond)
			n.resume()
			s.runLoad(1500 * time.Millisecond)
		}
	}
	s.checkOutcomes(1000)
	if s.oracle.longestGap > settleTime {
		t.Fatalf("no complete answer for %v, target %v", s.oracle.longestGap, settleTime)
	}
}

// Guards against a daemon outside the panel that keeps running although the VM
// list marks its VM as leaving: only panel members read the list.
func TestDaemonOutsidePanelLeaves(t *testing.T) {
	s := newScenario(t, 13)
	for _, vm := range []model.VM{"e5", "e6", "e7", "e8"} {
		s.startDaemon(vm, "c")
	}
	s.runFor(8 * time.Second)
	for _, n := range s.nodes {
		if st := n.state.Status(n.clock()); st.OnPanel || !st.Ready {
			continue
		}
		s.platform.listVM(n.vm, model.VMLeaving)
		s.runLoad(10 * time.Second)
		if !n.exited {
			t.Fatalf("%s still runs 10 s after its VM was listed as leaving", n.vm)
		}
		s.checkOutcomes(1000)
		return
	}
	t.Fatal("every daemon is on the panel")
}
