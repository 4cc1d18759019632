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

// oracle observes all daemons from outside, with one global time.
type oracle struct {
	w      *world
	fatalf func(string, ...any)
	lines  []string
	// ownerSeen is when a server last had an owner; gap is the longest time
	// without one.
	ownerSeen map[model.ServerName]model.Time
	gap       time.Duration
	versions  map[*node][2]uint64
	workEvery int
	workTime  time.Duration // how long work runs unless the lease ends earlier
}

func newOracle(w *world, fatalf func(string, ...any)) *oracle {
	o := &oracle{w: w, fatalf: fatalf, ownerSeen: make(map[model.ServerName]model.Time), versions: make(map[*node][2]uint64), workTime: 20 * time.Millisecond}
	w.log = func(line string) { o.lines = append(o.lines, line) }
	return o
}

func (o *oracle) fail(format string, args ...any) {
	last := o.lines[max(0, len(o.lines)-90):]
	o.fatalf("%dms: %s\n%s", o.w.now/1e6, fmt.Sprintf(format, args...), strings.Join(last, "\n"))
}

// check guards against two owners at one time, against work of an earlier owner
// that is still running when the next one starts, and against versions that go
// back.
func (o *oracle) check() {
	for _, srv := range o.w.bundles[0].Servers {
		o.checkServer(srv.Name)
	}
	for _, n := range o.w.nodes {
		bundle, _ := n.docs.Versions()
		now := [2]uint64{n.mem.Epoch(), bundle}
		if was := o.versions[n]; now[0] < was[0] || now[1] < was[1] {
			o.fail("%s: epoch and bundle went from %v to %v", n.mem.Self(), was, now)
		}
		o.versions[n] = now
	}
}

func (o *oracle) checkServer(name model.ServerName) {
	w := o.w
	running := slices.DeleteFunc(w.work[name], func(k work) bool { return k.end <= w.now })
	var acting *node
	for _, n := range w.nodes {
		now := n.local()
		if n.dead || !n.mem.MayAct(now, name) {
			continue
		}
		if acting != nil {
			o.fail("%s: both %s (epoch %d) and %s (epoch %d) may act", name,
				acting.mem.Self(), acting.mem.Epoch(), n.mem.Self(), n.mem.Epoch())
		}
		acting = n
	}
	if acting != nil {
		self := acting.mem.Self()
		for _, k := range running {
			if k.from != self {
				o.fail("%s: %s may act while work of %s runs for %v", name, self, k.from, k.end.Sub(w.now))
			}
		}
		if o.workEvery++; o.workEvery%7 == 0 && acting.pausedUntil <= w.now {
			now := acting.local()
			end := min(now.Add(o.workTime), acting.mem.LeaseUntil(now))
			running = append(running, work{self, acting.global(end) - 1})
		}
		o.gap = max(o.gap, w.now.Sub(max(o.ownerSeen[name], 0)))
		o.ownerSeen[name] = w.now
	}
	w.work[name] = running
}

// settled reports what is wrong once all faults are over.
func (o *oracle) settled() string {
	for _, srv := range o.w.bundles[0].Servers {
		if o.w.now.Sub(o.ownerSeen[srv.Name]) > time.Second {
			return fmt.Sprintf("%s has no owner", srv.Name)
		}
	}
	for _, n := range o.w.nodes {
		if !n.dead && !n.mem.HasLease(n.local()) {
			return fmt.Sprintf("%s has no lease", n.mem.Self())
		}
	}
	return ""
}

// fuzz is one run of random faults.
type fuzz struct {
	w       *world
	o       *oracle
	booted  int
	leaving []*node
}

func (f *fuzz) pick(t *rapid.T) *node {
	live := f.live()
	if len(live) == 0 {
		t.Skip("no daemon")
	}
	return live[rapid.IntRange(0, len(live)-1).Draw(t, "daemon")]
}

func (f *fuzz) join() {
	f.booted++
	f.w.boot(model.VM(fmt.Sprintf("vm%d", f.booted)))
}

// remove ends a process; its VM disappears from the lagging VM list later.
func (f *fuzz) remove(n *node) {
	n.dead = true
	f.w.at(f.w.now.Add(3*time.Second), func() {
		if f.w.find(n.vm) == nil {
			delete(f.w.listed, n.vm)
		}
	})
}

func (f *fuzz) run(d time.Duration) {
	f.w.run(d, func() {
		f.o.check()
		f.leaving = slices.DeleteFunc(f.leaving, func(n *node) bool {
			if !n.dead && n.mem.Handed() {
				f.remove(n)
			}
			return n.dead
		})
	})
}

func (f *fuzz) heal() {
	clear(f.w.cut)
	f.w.loss, f.w.slow = 0, 0
}

func (f *fuzz) live() []*node {
	return slices.DeleteFunc(slices.Clone(f.w.nodes), func(n *node) bool { return n.dead })
}

// leave makes the daemons leave; each process ends when it owns nothing.
func (f *fuzz) leave(nodes ...*node) {
	for _, n := range nodes {
		if !n.dead && !slices.Contains(f.leaving, n) {
			n.post(leaveStart{})
			f.leaving = append(f.leaving, n)
		}
	}
}

func (f *fuzz) actions(t *rapid.T) map[string]func(*rapid.T) {
	ms := func(t *rapid.T, lo, hi int) time.Duration {
		return time.Duration(rapid.IntRange(lo, hi).Draw(t, "ms")) * time.Millisecond
	}
	return map[string]func(*rapid.T){
		"kill": func(t *rapid.T) { f.remove(f.pick(t)) },
		"restart": func(t *rapid.T) {
			n := f.pick(t)
			n.dead = true
			f.run(ms(t, 0, 2000))
			f.w.boot(n.vm)
		},
		"pause":    func(t *rapid.T) { f.pick(t).pausedUntil = f.w.now.Add(ms(t, 50, 5000)) },
		"cut":      func(t *rapid.T) { f.w.cut[[2]model.VM{f.pick(t).vm, f.pick(t).vm}] = true },
		"isolate":  func(t *rapid.T) { f.isolate(f.pick(t), rapid.Bool().Draw(t, "both")) },
		"heal":     func(*rapid.T) { f.heal() },
		"lossy":    func(t *rapid.T) { f.w.loss, f.w.slow = 0.2, ms(t, 1, 3000) },
		"platform": func(*rapid.T) { f.w.down = !f.w.down },
		"join": func(*rapid.T) {
			if len(f.live()) < 7 {
				f.join()
			}
		},
		"leave":    func(t *rapid.T) { f.leave(f.pick(t)) },
		"leaveAll": func(*rapid.T) { f.leave(f.live()...) },
		"drain": func(t *rapid.T) {
			n := f.pick(t)
			f.w.listed[n.vm] = model.VMLeaving
			f.run(ms(t, 0, 3000))
			f.leave(n)
		},
		"replace": func(t *rapid.T) { f.remove(f.pick(t)); f.join() },
		"wall":    func(t *rapid.T) { f.pick(t).wall += int64(rapid.IntRange(-9000, 9000).Draw(t, "wall")) },
		"domain": func(t *rapid.T) {
			lost := f.pick(t).mem.cfg.FailureDomain
			for _, n := range f.live() {
				if n.mem.cfg.FailureDomain == lost {
					f.remove(n)
				}
			}
		},
		"bundle": func(t *rapid.T) { f.w.rollOut(rapid.IntRange(0, 1).Draw(t, "shift")) },
		// Two epochs, as soon as the first is active, with a daemon paused.
		"epochs": func(t *rapid.T) {
			f.pick(t).pausedUntil = f.w.now.Add(ms(t, 500, 6000))
			for shift := range 2 {
				f.w.rollOut(shift)
				f.run(ms(t, 1000, 2500))
			}
		},
		"": func(t *rapid.T) { f.run(ms(t, 1, 1500)) },
	}
}

// isolate cuts the links to the daemon, and with both also those from it.
func (f *fuzz) isolate(n *node, both bool) {
	for _, o := range f.w.nodes {
		if o.vm != n.vm {
			f.w.cut[[2]model.VM{o.vm, n.vm}] = true
			f.w.cut[[2]model.VM{n.vm, o.vm}] = both || f.w.cut[[2]model.VM{n.vm, o.vm}]
		}
	}
}

// Guards against two daemons that act for one backend server at once, under
// kills, restarts, pauses, cuts, loss, late messages, outages of the platform
// and changes of epoch and bundle.
func TestInvariantOneOwner(t *testing.T) {
	for _, seed := range []string{"1", "2", "3"} {
		t.Run("seed"+seed, func(t *testing.T) {
			for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true"} {
				if err := flag.Set(name, value); err != nil {
					t.Fatal(err)
				}
			}
			rapid.Check(t, func(rt *rapid.T) {
				w := newWorld(rapid.Uint64().Draw(rt, "world"), 6)
				f := &fuzz{w: w, o: newOracle(w, rt.Fatalf)}
				f.o.workTime = rapid.SampledFrom([]time.Duration{20 * time.Millisecond, 2 * time.Second}).Draw(rt, "work")
				for range rapid.IntRange(1, 5).Draw(rt, "daemons") {
					f.join()
				}
				f.run(8 * time.Second)
				rt.Repeat(f.actions(rt))
				f.recover(rt)
			})
		})
	}
}

// recover ends all faults and waits until every server has an owner.
func (f *fuzz) recover(t *rapid.T) {
	f.heal()
	f.w.down = false
	for range 40 {
		if len(f.live()) == len(f.leaving) {
			f.join()
		}
		f.run(time.Second)
		if f.o.settled() == "" {
			return
		}
	}
	f.o.fail("not settled after 40 s without faults: %s", f.o.settled())
}
