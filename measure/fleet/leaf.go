package fleet

import (
	"fmt"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// leaf is a backend server with slots and a queue, which pauses regularly.
type leaf struct {
	w           *world
	id          string
	profile     ServiceProfile
	speed       float64
	pauseOffset time.Duration
	running     int
	queue       []*attempt
	connections int
	// slow, dark, fail and lose are the faults in force.
	slow, fail, lose float64
	dark             bool
	slowdown         *slowdown
	hasKnee          bool
}

// attempt is a request at a leaf.
type attempt struct {
	daemon    *daemon
	run       int
	call      gateway.SendCall
	work      time.Duration
	deadline  model.Time
	leaf      *leaf
	connected bool
	started   bool
	ended     bool
}

// leafSpeeds are the factors by which the work of leafs takes longer.
var leafSpeeds = []float64{0.8, 1, 1.3}

func (w *world) addLeafs() {
	n := 0
	for _, s := range w.profile.Services {
		for _, shard := range shardNames(s) {
			for i := range s.Leafs {
				l := &leaf{w: w, id: fmt.Sprintf("%s-%d", shard, i), profile: s, speed: leafSpeeds[w.rand.IntN(len(leafSpeeds))], slow: 1}
				l.slowdown = newSlowdown(s.Slowdown, w.result.Seed, uint64(n))
				l.hasKnee = s.KneeShare > 0 && w.rand.Float64() < s.KneeShare
				if s.PauseInterval > 0 {
					l.pauseOffset = durationUpTo(w, s.PauseInterval)
				}
				w.leafs[l.id] = l
				w.store.servers = append(w.store.servers, gateway.Server{
					ID: l.id, Service: shard, Address: l.id, FailureDomain: domainName(n % w.profile.Daemons.Domains), Slots: s.Slots,
				})
				n++
			}
		}
	}
}

func durationUpTo(w *world, d time.Duration) time.Duration {
	return time.Duration(w.rand.Int64N(max(1, int64(d))))
}

// apply begins or ends a fault.
func (l *leaf) apply(f Fault, begin bool) {
	switch {
	case f.Kind == FaultDark:
		l.dark = begin
	case f.Kind == FaultSlow && begin:
		l.slow *= f.Times
	case f.Kind == FaultSlow:
		l.slow /= f.Times
	case f.Kind == FaultFail && begin:
		l.fail = f.Ratio
	case f.Kind == FaultFail:
		l.fail = 0
	case begin:
		l.lose = f.Ratio
	default:
		l.lose = 0
	}
}

// arrive takes an attempt that has reached the leaf.
func (l *leaf) arrive(a *attempt) {
	switch {
	case a.ended || l.dark:
	case l.running < l.profile.Slots:
		l.start(a)
	case len(l.queue) < l.profile.Queue:
		l.queue = append(l.queue, a)
	default:
		l.reply(a, gateway.OutcomeNotExecuted)
	}
}

func (l *leaf) start(a *attempt) {
	a.started = true
	l.running++
	took := l.pausedUntil(l.slowdown.took(l.w.now, time.Duration(float64(a.work)*l.speed*l.slow*l.contention())))
	end := l.w.now.Add(took)
	outcome := gateway.OutcomeSucceeded
	switch {
	case end > a.deadline:
		end, outcome = a.deadline, gateway.OutcomeFailed
	case l.fail > 0 && l.w.rand.Float64() < l.fail:
		outcome = gateway.OutcomeFailed
	case l.lose > 0 && l.w.rand.Float64() < l.lose:
		outcome = gateway.OutcomeLost
	}
	l.w.at(end, func() {
		if a.ended {
			return
		}
		l.endRun()
		l.reply(a, outcome)
	})
}

// pausedUntil returns the time that work takes if it starts now, with the leaf's pauses.
func (l *leaf) pausedUntil(work time.Duration) time.Duration {
	if l.profile.PauseInterval <= 0 {
		return work
	}
	into := (time.Duration(l.w.now) + l.pauseOffset) % l.profile.PauseInterval
	took := work
	if into < l.profile.Pause {
		return took + l.profile.Pause - into
	}
	for next := l.profile.PauseInterval - into; next < took; next += l.profile.PauseInterval {
		took += l.profile.Pause
	}
	return took
}

// endRun frees a slot and starts the next queued attempt that has time left.
func (l *leaf) endRun() {
	l.running--
	for len(l.queue) > 0 && l.running < l.profile.Slots {
		a := l.queue[0]
		l.queue = l.queue[1:]
		switch {
		case a.ended:
		case l.w.now >= a.deadline:
			l.reply(a, gateway.OutcomeNotExecuted)
		default:
			l.start(a)
		}
	}
}

// reply sends the result of an attempt back, with the leaf's load.
func (l *leaf) reply(a *attempt, o gateway.Outcome) {
	a.ended = true
	load := gateway.Load{Running: l.running, Waiting: len(l.queue), Slots: l.profile.Slots, Slowdown: l.slowdown.reported(l.w.now)}
	l.w.after(daemonDistance, func() { a.daemon.attemptEnded(a, o, load) })
}

// cancel ends an attempt whose connection was closed.
func (l *leaf) cancel(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	if a.started {
		l.endRun()
		return
	}
	for i, x := range l.queue {
		if x == a {
			l.queue = append(l.queue[:i:i], l.queue[i+1:]...)
			return
		}
	}
}
