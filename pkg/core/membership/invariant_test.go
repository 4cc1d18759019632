package membership

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// oracle checks all daemons from outside, using one global time.
type oracle struct {
	sim      *simulation
	fatalf   func(string, ...any)
	logLines []string
	// ownerSeen is when a server last had an owner; longestGap is the longest
	// time for which any server had none.
	ownerSeen    map[model.ServerName]model.Time
	longestGap   time.Duration
	versions     map[*node][2]uint64
	workCounter  int
	workDuration time.Duration // how long work runs unless the lease ends earlier
}

func newOracle(sim *simulation, fatalf func(string, ...any)) *oracle {
	o := &oracle{sim: sim, fatalf: fatalf, ownerSeen: make(map[model.ServerName]model.Time), versions: make(map[*node][2]uint64), workDuration: 20 * time.Millisecond}
	sim.log = func(line string) { o.logLines = append(o.logLines, line) }
	return o
}

func (o *oracle) fail(format string, args ...any) {
	last := o.logLines[max(0, len(o.logLines)-90):]
	o.fatalf("%dms: %s\n%s", o.sim.now/1e6, fmt.Sprintf(format, args...), strings.Join(last, "\n"))
}

// check fails if two daemons may act for one server at the same time, if work
// of an earlier owner still runs when the next one may act, or if a daemon's
// epoch or bundle version goes back.
func (o *oracle) check() {
	for _, srv := range o.sim.bundles[0].Servers {
		o.checkServer(srv.Name)
	}
	for _, n := range o.sim.nodes {
		bundle, _ := n.docs.Versions()
		now := [2]uint64{n.state.Epoch(), bundle}
		if was := o.versions[n]; now[0] < was[0] || now[1] < was[1] {
			o.fail("%s: epoch and bundle version went back from %v to %v", n.state.Self(), was, now)
		}
		o.versions[n] = now
	}
}

func (o *oracle) checkServer(name model.ServerName) {
	sim := o.sim
	running := slices.DeleteFunc(sim.work[name], func(k work) bool { return k.end <= sim.now })
	var acting *node
	for _, n := range sim.nodes {
		now := n.localTime()
		if n.dead || !n.state.MayAct(now, name) {
			continue
		}
		if acting != nil {
			o.fail("%s: both %s (epoch %d) and %s (epoch %d) may act", name,
				acting.state.Self(), acting.state.Epoch(), n.state.Self(), n.state.Epoch())
		}
		acting = n
	}
	if acting != nil {
		self := acting.state.Self()
		for _, k := range running {
			if k.from != self {
				o.fail("%s: %s may act while work of %s still runs for %v", name, self, k.from, k.end.Sub(sim.now))
			}
		}
		if o.workCounter++; o.workCounter%7 == 0 && acting.pausedUntil <= sim.now {
			now := acting.localTime()
			end := min(now.Add(o.workDuration), acting.state.LeaseUntil(now))
			running = append(running, work{self, acting.globalTime(end) - 1})
		}
		o.longestGap = max(o.longestGap, sim.now.Sub(max(o.ownerSeen[name], 0)))
		o.ownerSeen[name] = sim.now
	}
	sim.work[name] = running
}

// unmetCondition returns what is still wrong after all faults have ended,
// empty if nothing is.
func (o *oracle) unmetCondition() string {
	for _, srv := range o.sim.bundles[0].Servers {
		if o.sim.now.Sub(o.ownerSeen[srv.Name]) > time.Second {
			return fmt.Sprintf("%s has no owner", srv.Name)
		}
	}
	for _, n := range o.sim.nodes {
		if !n.dead && !n.state.HasLease(n.localTime()) {
			return fmt.Sprintf("%s has no lease", n.state.Self())
		}
	}
	return ""
}

// faultRun is one simulation with random faults.
type faultRun struct {
	sim            *simulation
	oracle         *oracle
	daemonsStarted int
	leaving        []*node
}

func (f *faultRun) pickDaemon(t *rapid.T) *node {
	live := f.liveDaemons()
	if len(live) == 0 {
		t.Skip("no daemon is running")
	}
	return live[rapid.IntRange(0, len(live)-1).Draw(t, "daemon")]
}

func (f *faultRun) addDaemon() {
	f.daemonsStarted++
	f.sim.startDaemon(model.VM(fmt.Sprintf("vm%d", f.daemonsStarted)))
}

// stopDaemon ends a process. Its VM disappears from the VM list 3 s later,
// because the list lags.
func (f *faultRun) stopDaemon(n *node) {
	n.dead = true
	f.sim.at(f.sim.now.Add(3*time.Second), func() {
		if f.sim.findNode(n.vm) == nil {
			delete(f.sim.listed, n.vm)
		}
	})
}

func (f *faultRun) run(d time.Duration) {
	f.sim.run(d, func() {
		f.oracle.check()
		f.leaving = slices.DeleteFunc(f.leaving, func(n *node) bool {
			if !n.dead && n.state.Handed() {
				f.stopDaemon(n)
			}
			return n.dead
		})
	})
}

func (f *faultRun) repairNetwork() {
	clear(f.sim.cutLinks)
	f.sim.lossRate, f.sim.maxExtraLatency = 0, 0
}

func (f *faultRun) liveDaemons() []*node {
	return slices.DeleteFunc(slices.Clone(f.sim.nodes), func(n *node) bool { return n.dead })
}

// startLeave makes the daemons leave. Each process ends once it owns nothing.
func (f *faultRun) startLeave(nodes ...*node) {
	for _, n := range nodes {
		if !n.dead && !slices.Contains(f.leaving, n) {
			n.handleEvent(leaveRequested{})
			f.leaving = append(f.leaving, n)
		}
	}
}

func (f *faultRun) actions(t *rapid.T) map[string]func(*rapid.T) {
	ms := func(t *rapid.T, lo, hi int) time.Duration {
		return time.Duration(rapid.IntRange(lo, hi).Draw(t, "ms")) * time.Millisecond
	}
	return map[string]func(*rapid.T){
		"kill": func(t *rapid.T) { f.stopDaemon(f.pickDaemon(t)) },
		"restart": func(t *rapid.T) {
			n := f.pickDaemon(t)
			n.dead = true
			f.run(ms(t, 0, 2000))
			f.sim.startDaemon(n.vm)
		},
		"pause":    func(t *rapid.T) { f.pickDaemon(t).pausedUntil = f.sim.now.Add(ms(t, 50, 5000)) },
		"cut":      func(t *rapid.T) { f.sim.cutLinks[[2]model.VM{f.pickDaemon(t).vm, f.pickDaemon(t).vm}] = true },
		"isolate":  func(t *rapid.T) { f.isolate(f.pickDaemon(t), rapid.Bool().Draw(t, "both")) },
		"heal":     func(*rapid.T) { f.repairNetwork() },
		"lossy":    func(t *rapid.T) { f.sim.lossRate, f.sim.maxExtraLatency = 0.2, ms(t, 1, 3000) },
		"platform": func(*rapid.T) { f.sim.platformDown = !f.sim.platformDown },
		"join": func(*rapid.T) {
			if len(f.liveDaemons()) < 7 {
				f.addDaemon()
			}
		},
		"leave":    func(t *rapid.T) { f.startLeave(f.pickDaemon(t)) },
		"leaveAll": func(*rapid.T) { f.startLeave(f.liveDaemons()...) },
		"drain": func(t *rapid.T) {
			n := f.pickDaemon(t)
			f.sim.listed[n.vm] = model.VMLeaving
			f.run(ms(t, 0, 3000))
			f.startLeave(n)
		},
		"replace": func(t *rapid.T) { f.stopDaemon(f.pickDaemon(t)); f.addDaemon() },
		"wall":    func(t *rapid.T) { f.pickDaemon(t).wall += int64(rapid.IntRange(-9000, 9000).Draw(t, "wall")) },
		"domain": func(t *rapid.T) {
			lost := f.pickDaemon(t).state.cfg.FailureDomain
			for _, n := range f.liveDaemons() {
				if n.state.cfg.FailureDomain == lost {
					f.stopDaemon(n)
				}
			}
		},
		"bundle": func(t *rapid.T) { f.sim.activateBundle(rapid.IntRange(0, 1).Draw(t, "shift")) },
		// Two epoch changes, the second soon after the first epoch can be active,
		// while a daemon is paused.
		"epochs": func(t *rapid.T) {
			f.pickDaemon(t).pausedUntil = f.sim.now.Add(ms(t, 500, 6000))
			for shift := range 2 {
				f.sim.activateBundle(shift)
				f.run(ms(t, 1000, 2500))
			}
		},
		"": func(t *rapid.T) { f.run(ms(t, 1, 1500)) },
	}
}

// isolate cuts the links to the daemon and, if both is set, also those from
// it.
func (f *faultRun) isolate(n *node, both bool) {
	for _, o := range f.sim.nodes {
		if o.vm != n.vm {
			f.sim.cutLinks[[2]model.VM{o.vm, n.vm}] = true
			f.sim.cutLinks[[2]model.VM{n.vm, o.vm}] = both || f.sim.cutLinks[[2]model.VM{n.vm, o.vm}]
		}
	}
}

// Guards against two daemons that act for one backend server at the same time,
// under kills, restarts, pauses, cut links, lost and late messages, platform
// outages and changes of epoch and bundle.
func TestInvariantOneOwner(t *testing.T) {
	for _, seed := range []string{"1", "2", "3"} {
		t.Run("seed"+seed, func(t *testing.T) {
			for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true"} {
				if err := flag.Set(name, value); err != nil {
					t.Fatal(err)
				}
			}
			rapid.Check(t, func(rt *rapid.T) {
				sim := newSimulation(rapid.Uint64().Draw(rt, "simulation seed"), 6)
				f := &faultRun{sim: sim, oracle: newOracle(sim, rt.Fatalf)}
				f.oracle.workDuration = rapid.SampledFrom([]time.Duration{20 * time.Millisecond, 2 * time.Second}).Draw(rt, "work")
				for range rapid.IntRange(1, 5).Draw(rt, "daemons") {
					f.addDaemon()
				}
				f.run(8 * time.Second)
				rt.Repeat(f.actions(rt))
				f.endFaults(rt)
			})
		})
	}
}

// endFaults ends all faults and waits until every server has an owner and
// every daemon a lease.
func (f *faultRun) endFaults(t *rapid.T) {
	f.repairNetwork()
	f.sim.platformDown = false
	for range 40 {
		if len(f.liveDaemons()) == len(f.leaving) {
			f.addDaemon()
		}
		f.run(time.Second)
		if f.oracle.unmetCondition() == "" {
			return
		}
	}
	f.oracle.fail("40 s after all faults ended: %s", f.oracle.unmetCondition())
}
