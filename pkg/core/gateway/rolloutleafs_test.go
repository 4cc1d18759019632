package gateway

import (
	"math"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/rollout"
)

// send lets a leaf work on an attempt.
func (d *fleetDaemon) send(e SendCall) {
	f, run := d.f, d.run
	f.after(500*time.Microsecond, func() {
		if d.run != run || d.s.BeginCall(d.now(), e.Call) <= 0 {
			if d.run == run {
				d.step(CallDone{Call: e.Call, Outcome: OutcomeCancelled})
			}
			return
		}
		d.calls[e.Call] = e
		l := f.leafs[e.Server]
		target := l.Version == "v2"
		if target && f.inOrder() {
			f.sample.exposed++
			f.sample.last = f.now
		}
		path := d.s.calls[e.Call].query.route.Name
		took, outcome := f.work(l, path)
		f.after(took+500*time.Microsecond+d.slow, func() {
			if target && outcome != OutcomeSucceeded {
				if f.sample.bad++; f.sample.bad == 50 {
					f.sample.fiftieth = f.now
				}
			}
			delete(d.calls, e.Call)
			if d.run == run {
				d.step(CallDone{Call: e.Call, Outcome: outcome})
			}
		})
	})
}

// work returns the time that a leaf takes for a request and how the attempt ends.
func (f *rolloutFleet) work(l *fleetLeaf, route string) (time.Duration, Outcome) {
	var work time.Duration
	for _, r := range fleetRoutes {
		if r.route.Name == route {
			work = r.work
		}
	}
	took := float64(work) * l.speed * math.Exp(0.3*f.rand.NormFloat64())
	outcome := OutcomeSucceeded
	if f.rand.Float64() < f.fault.lost {
		outcome = OutcomeLost
	}
	l.arrivals = append(l.arrivals, f.now)
	for len(l.arrivals) > 0 && f.now.Sub(l.arrivals[0]) > 500*time.Millisecond {
		l.arrivals = l.arrivals[1:]
	}
	if f.faulty(l, route) {
		if f.rand.Float64() < f.fault.fails {
			outcome = OutcomeFailed
		}
		if f.rand.Float64() < f.fault.slows {
			took *= f.fault.slowBy
		}
	}
	slot := 0
	if l.freeAt[1] < l.freeAt[0] {
		slot = 1
	}
	begin := max(l.freeAt[slot], f.now)
	l.freeAt[slot] = begin.Add(time.Duration(took))
	return l.freeAt[slot].Sub(f.now), outcome
}

func (f *rolloutFleet) faulty(l *fleetLeaf, route string) bool {
	x := f.fault
	return l.Version == "v2" && f.order != nil && f.now >= f.orderedAt.Add(x.from) && (x.on == "" || x.on == route) &&
		(!x.oneLeaf || l.ID == "v2-1") && len(l.arrivals) >= x.underLoad
}

// writeVerdict lets a write reach the store.
func (d *fleetDaemon) writeVerdict(e WriteVerdict) {
	f, run := d.f, d.run
	first := !f.killed
	if first && f.fault.killBefore {
		f.killed = true
		d.kill()
		return
	}
	if first && f.fault.cutDecider {
		f.killed, d.cut = true, true
	}
	reply := func(after time.Duration, outcome rollout.WriteOutcome) {
		f.after(after, func() {
			if d.run == run {
				d.step(VerdictWritten{Write: e, Outcome: outcome, Cause: "lost"})
			}
		})
	}
	f.after(f.between(2*time.Millisecond, 20*time.Millisecond), func() {
		if f.down || d.cut {
			reply(time.Second, rollout.Failed)
			return
		}
		revision := e.Revision
		if e.ReadBack {
			revision = f.revision
			d.readStore()
		}
		if f.order.Verdict != rollout.Undecided || revision != f.order.Revision {
			reply(time.Millisecond, rollout.Conflict)
			return
		}
		f.take(e.Verdict)
		switch {
		case first && f.fault.killAfter:
			f.killed = true
			d.kill()
		case first && f.fault.loseReply:
			f.killed = true
			reply(2*time.Second, rollout.Failed)
		default:
			reply(time.Millisecond, rollout.Written)
		}
	})
}

// take records a verdict in the store. A completed one stops the old leafs at once.
func (f *rolloutFleet) take(v rollout.Verdict) {
	o := *f.order
	f.revision++
	o.Verdict, o.Revision = v, f.revision
	f.order = &o
	f.verdicts = append(f.verdicts, v)
	f.decidedAt = f.now
	if v == rollout.Completed {
		for _, d := range f.daemons {
			for _, c := range d.calls {
				if f.leafs[c.Server].Version == "v1" {
					f.sample.cutOff++
				}
			}
		}
	}
	f.published()
}

// restartOne ends a daemon every second and starts it again 0.4 s later.
func (f *rolloutFleet) restartOne() {
	d := f.daemons[f.rand.IntN(len(f.daemons))]
	if d.running {
		d.kill()
		f.after(400*time.Millisecond, func() { d.start(f.now) })
	}
	f.after(time.Second, f.restartOne)
}
