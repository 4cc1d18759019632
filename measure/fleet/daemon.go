package fleet

import (
	"fmt"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// daemon is a process with a reducer.
type daemon struct {
	w       *world
	entry   gateway.DaemonEntry
	state   *gateway.State
	running bool
	// run counts the starts; what was scheduled for an earlier run is dropped.
	run       int
	startedAt model.Time
	wakeAt    model.Time
	busyUntil model.Time
	watching  bool

	viewRevision uint64
	lastQuery    gateway.QueryID
	requests     map[gateway.QueryID]*try
	attempts     map[gateway.CallID]*attempt
	// idle is the number of idle connections by leaf.
	idle map[string]int
}

// maxDaemonSilence is MaxSilence of the daemons' options.
const maxDaemonSilence = 1200 * time.Millisecond

func newDaemon(w *world, i int) *daemon {
	return &daemon{w: w, entry: gateway.DaemonEntry{
		Name: fmt.Sprintf("daemon-%d", i), CallerAddress: fmt.Sprintf("caller-%d", i), PeerAddress: fmt.Sprintf("peer-%d", i),
		FailureDomain: domainName(i % w.profile.Daemons.Domains), Cores: w.profile.Daemons.Cores,
	}}
}

// start starts the process, which knows nothing and reads the store.
func (d *daemon) start() {
	d.run++
	run := d.run
	d.w.after(d.w.profile.Daemons.StartTime, func() {
		if d.run != run {
			return
		}
		d.running, d.startedAt, d.busyUntil, d.wakeAt = true, d.w.now, d.w.now, 0
		d.entry.Incarnation = uint64(d.run)
		regions := map[string]string{}
		for i := range d.w.profile.Daemons.Domains {
			regions[domainName(i)] = "region"
		}
		d.state = gateway.New(gateway.Options{
			Self: d.entry, RegionOf: regions, RetryRatio: d.w.profile.Daemons.RetryRatio, RetrySlack: d.w.profile.Daemons.RetrySlack,
			MaxSilence: maxDaemonSilence, IsSeed: d == d.w.daemons[0], Seeds: []string{d.w.daemons[0].entry.PeerAddress}, Seed: d.w.rand.Uint64(),
		})
		d.requests, d.attempts, d.idle, d.viewRevision = map[gateway.QueryID]*try{}, map[gateway.CallID]*attempt{}, map[string]int{}, 0
		d.step(gateway.Tick{})
		d.readStore(storeTime)
	})
}

// stop ends the process at once: its connections close, and callers get no answer.
func (d *daemon) stop() {
	if !d.running {
		return
	}
	d.running, d.watching = false, false
	d.run++
	for leaf, n := range d.idle {
		d.w.leafs[leaf].connections -= n
	}
	for _, a := range d.attempts {
		if a.connected {
			a.leaf.connections--
		}
		a.leaf.cancel(a)
	}
	for _, t := range d.requests {
		t.lost()
	}
}

// now returns the time since the process started, as its reducer sees it.
func (d *daemon) now() model.Time { return d.w.now - d.startedAt + 1 }

// later runs f once the processor has done the given work, unless the process has ended.
func (d *daemon) later(work time.Duration, f func()) {
	work = time.Duration(float64(work) / d.w.profile.Daemons.Cores)
	d.busyUntil = max(d.busyUntil, d.w.now).Add(work)
	run := d.run
	d.w.at(d.busyUntil, func() {
		if d.run == run && d.running {
			f()
		}
	})
}

func (d *daemon) step(e gateway.Event) {
	for _, effect := range d.state.Step(d.now(), e) {
		d.carryOut(effect)
	}
	d.scheduleWake()
}

func (d *daemon) scheduleWake() {
	wake := d.state.NextWake()
	if wake == model.Never || d.wakeAt != 0 && d.wakeAt <= wake && d.wakeAt > d.now() {
		return
	}
	wake = max(wake, d.now()+1)
	d.wakeAt = wake
	run := d.run
	d.w.at(d.startedAt+wake-1, func() {
		if d.run == run && d.running && d.wakeAt == wake {
			d.wakeAt = 0
			d.step(gateway.Tick{})
		}
	})
}

func (d *daemon) carryOut(effect gateway.Effect) {
	w := d.w
	switch e := effect.(type) {
	case gateway.SendCall:
		d.send(e)
	case gateway.CancelCall:
		d.cancel(e.Call)
	case gateway.ForwardAnswer:
		a := d.attempts[e.Call]
		d.answer(e.Query, answer{failed: a != nil && a.ended, shards: 1})
	case gateway.MergeAnswer:
		total := len(e.Calls) + e.Missing
		d.answer(e.Query, answer{shards: float64(len(e.Calls)) / float64(total)})
	case gateway.Refuse:
		d.answer(e.Query, answer{failed: true, notRun: e.Reason.NotRun(), retryAfter: e.RetryAfter})
	case gateway.Gossip:
		for _, to := range e.To {
			w.after(daemonDistance, func() { w.gossip(to, e) })
		}
	case gateway.FetchView:
		run := d.run
		w.after(4*daemonDistance, func() {
			if d.run != run || !d.running {
				return
			}
			from := w.byPeer[e.From]
			ok := from != nil && from.running && from.state.Ready()
			if ok {
				d.takeView(w.store.config, from.viewRevision, "daemon")
			}
			fetched := gateway.ViewFetched{Fetch: e, OK: ok}
			if ok && e.Capacities {
				fetched.Capacities = from.state.LeafCapacities()
			}
			d.step(fetched)
		})
	case gateway.WatchStore:
		if d.watching = e.On; e.On {
			d.readStore(storeTime)
		}
	case gateway.RefreshView, gateway.ReadStore:
		d.readStore(storeTime)
	case gateway.CloseIdle:
		w.leafs[e.Server].connections -= d.idle[e.Server]
		delete(d.idle, e.Server)
	case gateway.Log:
		if e.Query != nil {
			w.result.addReport(w.sinceStart(w.now)-e.Query.Elapsed, e.Query)
		}
	}
}

func (w *world) gossip(to string, e gateway.Gossip) {
	if d := w.byPeer[to]; d != nil && d.running {
		d.step(gateway.GossipReceived{Daemons: e.Daemons, Sections: e.Sections})
	}
}

// send takes an idle connection to a leaf or opens one, and sends the request.
func (d *daemon) send(e gateway.SendCall) {
	l := d.w.leafs[e.Server]
	t := d.requests[e.Query]
	if l == nil || t == nil {
		return
	}
	a := &attempt{daemon: d, run: d.run, call: e, leaf: l, work: t.request.work, deadline: d.startedAt + e.Deadline}
	d.attempts[e.Call] = a
	half := d.w.profile.Daemons.CallTime / 2
	if d.idle[e.Server] > 0 && !e.NewConnection {
		d.idle[e.Server]--
		a.connected = true
		d.later(half, func() { d.begin(a) })
		return
	}
	d.later(half, func() {
		if a.ended {
			return
		}
		if l.connections >= l.profile.Connections {
			d.w.after(2*daemonDistance, func() { d.attemptEnded(a, gateway.OutcomeNotSent, gateway.Load{}) })
			return
		}
		l.connections++
		a.connected = true
		d.w.after(2*daemonDistance+l.profile.ConnectTime, func() {
			if a.run == d.run && d.running {
				d.begin(a)
			}
		})
	})
}

func (d *daemon) begin(a *attempt) {
	if a.ended {
		return
	}
	if d.state.BeginCall(d.now(), a.call.Call) <= 0 {
		a.ended = true
		d.attemptEnded(a, gateway.OutcomeCancelled, gateway.Load{})
		return
	}
	d.w.after(daemonDistance, func() { a.leaf.arrive(a) })
}

func (d *daemon) cancel(id gateway.CallID) {
	a := d.attempts[id]
	if a == nil {
		return
	}
	a.leaf.cancel(a)
	d.w.after(0, func() { d.attemptEnded(a, gateway.OutcomeCancelled, gateway.Load{}) })
}

// attemptEnded handles the end of an attempt once the processor has time.
func (d *daemon) attemptEnded(a *attempt, o gateway.Outcome, load gateway.Load) {
	if a.run != d.run || !d.running {
		return
	}
	d.later(d.w.profile.Daemons.CallTime/2, func() {
		id := a.call.Call
		if d.attempts[id] != a {
			return
		}
		a.ended = o != gateway.OutcomeSucceeded
		hasLoad := o == gateway.OutcomeSucceeded || o == gateway.OutcomeNotExecuted || o == gateway.OutcomeFailed
		d.step(gateway.CallDone{Call: id, Outcome: o, Load: load, HasLoad: hasLoad})
		delete(d.attempts, id)
		if !a.connected {
			return
		}
		if hasLoad && d.idle[a.call.Server] < a.call.MaxIdle {
			d.idle[a.call.Server]++
			return
		}
		a.leaf.connections--
	})
}

func (d *daemon) answer(id gateway.QueryID, a answer) {
	if t := d.requests[id]; t != nil {
		delete(d.requests, id)
		t.answered(a)
	}
}
