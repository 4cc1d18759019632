package gateway

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/rollout"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// rolloutFleet is a fleet of reducers that are connected by a queue of events, with leafs of
// two versions, a store that holds one order, and callers.
type rolloutFleet struct {
	rand    *rand.Rand
	now     model.Time
	queue   fleetQueue
	events  int
	daemons []*fleetDaemon
	byPeer  map[string]*fleetDaemon
	leafs   map[string]*fleetLeaf
	servers []Server
	fault   rolloutFault
	query   QueryID

	// order is what the store holds; revision is its revision.
	order    *RolloutOrder
	revision uint64
	down     bool
	// orderedAt and decidedAt are when the store took the order and its verdict.
	orderedAt, decidedAt model.Time
	// verdicts are all verdicts that the store has taken.
	verdicts []rollout.Verdict
	killed   bool
	sample   rolloutSample
}

// rolloutSample is what one roll-out was measured to do.
type rolloutSample struct {
	requests, exposed, bad int
	// fiftieth is when the 50th bad answer was given, last when the last request was sent to
	// the target version.
	fiftieth, last model.Time
	// cutOff counts attempts at old leafs that were open when the store took the verdict.
	cutOff int
}

// rolloutFault is what goes wrong in a roll-out.
type rolloutFault struct {
	name string
	bad  bool
	// fails and slows are the shares of answers of the target version that fail or take
	// slowBy times as long; on is the route that they are limited to, from when after the
	// order they begin; underLoad limits them to a leaf with that many requests in half a
	// second.
	fails, slows, slowBy float64
	on                   string
	from                 time.Duration
	underLoad            int
	// oneLeaf limits the fault to one leaf.
	oneLeaf bool
	// lost is the share of answers of all versions that are lost.
	lost float64
	// burst multiplies the callers' rate for 1.5 s; slowDaemon delays all answers that one
	// daemon gets.
	burst      float64
	slowDaemon time.Duration
	// storeDown is when the store goes down after the order, for half of the duration.
	storeDown time.Duration
	// loseReply makes the first write take effect without a reply. killBefore and killAfter
	// end the deciding daemon before or after its first write has arrived; cutDecider cuts it
	// off from the others and the store before that.
	loseReply, killBefore, killAfter, cutDecider bool
	// cutPeers cuts one active daemon off from the others, but not from the store, and
	// halves the fleet into two parts that do not hear each other.
	cutPeers, halves bool
	// restarts ends random daemons all the time and starts them again.
	restarts bool
}

type fleetLeaf struct {
	Server
	speed    float64
	freeAt   []model.Time
	arrivals []model.Time
}

type fleetDaemon struct {
	f        *rolloutFleet
	s        *State
	entry    DaemonEntry
	started  model.Time
	wakeAt   model.Time
	run      int
	running  bool
	cut      bool
	watching bool
	known    *RolloutOrder
	revision uint64
	calls    map[CallID]SendCall
	slow     time.Duration
	// side is the part of the fleet that the daemon hears.
	side int
}

type fleetEvent struct {
	at  model.Time
	seq int
	do  func()
}

type fleetQueue []fleetEvent

func (q fleetQueue) Len() int { return len(q) }
func (q fleetQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q fleetQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *fleetQueue) Push(x any)   { *q = append(*q, x.(fleetEvent)) }
func (q *fleetQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	fleetService = "s0"
	// fleetUptime is the age of the processes at the start of the model.
	fleetUptime   = 20 * time.Second
	fleetDuration = 12 * time.Second
	// fleetOrderAt is when the order is written.
	fleetOrderAt = 4 * time.Second
)

// fleetRoutes are the routes with their requests per second and work per request.
var fleetRoutes = []struct {
	route *Route
	rate  float64
	work  time.Duration
}{
	{fleetRoute("/wide/", true), 25.2, 20 * time.Millisecond},
	{fleetRoute("/urgent/", true), 14.5, 6700 * time.Microsecond},
	{fleetRoute("/write/", false), 3, 40 * time.Millisecond},
}

func fleetRoute(prefix string, idempotent bool) *Route {
	r := plainRoute(prefix, fleetService)
	r.Idempotent, r.MaxAttempts, r.LatencyTarget = idempotent, 3, 200*time.Millisecond
	return r
}

func (f *rolloutFleet) at(t model.Time, do func()) {
	f.events++
	heap.Push(&f.queue, fleetEvent{max(t, f.now), f.events, do})
}

func (f *rolloutFleet) after(d time.Duration, do func()) { f.at(f.now.Add(d), do) }

func (f *rolloutFleet) between(a, b time.Duration) time.Duration {
	return a + time.Duration(f.rand.Float64()*float64(b-a))
}

// runRollout plays one roll-out to its end.
func runRollout(daemons int, fault rolloutFault, seed uint64) *rolloutFleet {
	f := &rolloutFleet{rand: rand.New(rand.NewPCG(seed, 99)), fault: fault, byPeer: map[string]*fleetDaemon{}, leafs: map[string]*fleetLeaf{}, revision: 10}
	for i := range daemons {
		d := &fleetDaemon{f: f, entry: DaemonEntry{
			Name: fmt.Sprintf("d%02d", i), CallerAddress: fmt.Sprintf("caller%d", i), PeerAddress: fmt.Sprintf("peer%d", i),
			FailureDomain: []string{"a", "b", "c"}[i%3], Cores: 0.2,
		}}
		f.daemons = append(f.daemons, d)
		f.byPeer[d.entry.PeerAddress] = d
	}
	for i := range 3 {
		f.addLeaf("v1", i)
	}
	for _, d := range f.daemons {
		d.start(-model.Time(fleetUptime))
	}
	for _, r := range fleetRoutes {
		f.arrive(r.route, r.rate, r.work)
	}
	f.at(model.Time(fleetOrderAt-time.Second), func() {
		for i := range 3 {
			f.addLeaf("v2", i)
		}
	})
	f.at(model.Time(fleetOrderAt), f.writeOrder)
	end := model.Time(fleetOrderAt + fleetDuration + 3*time.Second)
	for len(f.queue) > 0 && f.queue[0].at < end {
		e := heap.Pop(&f.queue).(fleetEvent)
		f.now = e.at
		e.do()
	}
	return f
}

func (f *rolloutFleet) addLeaf(version string, i int) {
	l := &fleetLeaf{Server: Server{
		ID: fmt.Sprintf("%s-%d", version, i), Service: fleetService, Address: "10.1.0.1:80", FailureDomain: []string{"a", "b", "c"}[i%3],
		Slots: 2, Version: version, StartedMS: int64(1000 + len(f.leafs)),
	}, speed: []float64{0.8, 1, 1.3}[f.rand.IntN(3)], freeAt: make([]model.Time, 2)}
	f.leafs[l.ID] = l
	f.servers = append(f.servers, l.Server)
	for _, d := range f.daemons {
		if d.running {
			f.after(f.between(20*time.Millisecond, 400*time.Millisecond), func() { d.step(ServerChanged{Server: l.Server}) })
		}
	}
}

func (f *rolloutFleet) writeOrder() {
	f.revision++
	f.order = &RolloutOrder{Service: fleetService, Target: "v2", Duration: fleetDuration, Created: f.revision, Revision: f.revision}
	f.orderedAt = f.now
	f.published()
	if f.fault.storeDown > 0 {
		f.after(f.fault.storeDown, func() { f.setDown(true) })
		f.after(f.fault.storeDown+fleetDuration/2, func() { f.setDown(false) })
	}
	if f.fault.slowDaemon > 0 {
		f.daemons[f.rand.IntN(len(f.daemons))].slow = f.fault.slowDaemon
	}
	if f.fault.cutPeers {
		f.daemons[f.rand.IntN(len(f.daemons))].side = 1
	}
	if f.fault.halves {
		for i, d := range f.daemons {
			d.side = i % 2
		}
	}
	if f.fault.restarts {
		f.restartOne()
	}
}

// published delivers what the store holds to the daemons that watch it.
func (f *rolloutFleet) published() {
	for _, d := range f.daemons {
		if d.running && d.watching && !d.cut && !f.down {
			f.after(f.between(5*time.Millisecond, 150*time.Millisecond), d.readStore)
		}
	}
}

func (f *rolloutFleet) setDown(down bool) {
	f.down = down
	for _, d := range f.daemons {
		if d.running && d.watching {
			d.step(StoreReached{OK: !down, Cause: "down"})
		}
	}
	f.published()
}

// arrive lets requests of a route arrive.
func (f *rolloutFleet) arrive(r *Route, rate float64, work time.Duration) {
	now := rate
	if f.fault.burst > 0 && f.orderedAt > 0 && f.now > f.orderedAt.Add(3*time.Second) && f.now < f.orderedAt.Add(4500*time.Millisecond) {
		now *= f.fault.burst
	}
	f.after(time.Duration(f.rand.ExpFloat64()/now*float64(time.Second)), func() {
		defer f.arrive(r, rate, work)
		var ready []*fleetDaemon
		for _, d := range f.daemons {
			if d.running && d.s.members.selfActive {
				ready = append(ready, d)
			}
		}
		if len(ready) == 0 {
			return
		}
		if f.inOrder() {
			f.sample.requests++
		}
		f.query++
		d := ready[f.rand.IntN(len(ready))]
		d.step(RequestArrived{At: d.now(), Query: f.query, RequestID: "q", Host: "h", Path: r.PathPrefix + "x", CallerTimeout: time.Second})
	})
}

func (f *rolloutFleet) inOrder() bool {
	return f.order != nil && f.now < f.orderedAt.Add(fleetDuration)
}

func (d *fleetDaemon) now() model.Time { return d.f.now - d.started + 1 }

// start starts a process that is as old as its age at the start of the model.
func (d *fleetDaemon) start(at model.Time) {
	d.run++
	d.started, d.running, d.wakeAt, d.watching = at, true, 0, false
	d.known, d.revision, d.calls = nil, 0, map[CallID]SendCall{}
	d.entry.Incarnation = uint64(d.run)
	d.s = New(Options{
		Self: d.entry, RegionOf: map[string]string{"a": "r", "b": "r", "c": "r"}, RetryRatio: 0.2, RetrySlack: 40, MaxSilence: 1200 * time.Millisecond,
		Seed: d.f.rand.Uint64(), IsSeed: true, Rollout: &RolloutLimits{Share: 0.1, Slack: 50, OrderWithin: 5 * time.Second},
	})
	d.step(ConfigSeen{Config: &Config{Version: 1, Services: map[string]ServiceConfig{}, Routes: []*Route{fleetRoutes[0].route, fleetRoutes[1].route, fleetRoutes[2].route}}, Source: ViewSource{Call: "watch"}})
	d.step(ServersListed{Servers: d.f.servers})
	var all []DaemonEntry
	for _, x := range d.f.daemons {
		all = append(all, x.entry)
	}
	d.step(DaemonsListed{Daemons: all})
}

func (d *fleetDaemon) kill() { d.running = false; d.run++ }

// readStore delivers what the store holds now.
func (d *fleetDaemon) readStore() {
	if !d.running || d.cut || d.f.down {
		return
	}
	d.adopt(d.f.order, d.f.revision)
	d.step(StoreRead{})
}

func (d *fleetDaemon) adopt(o *RolloutOrder, revision uint64) {
	if revision <= d.revision {
		return
	}
	d.revision, d.known = revision, o
	e := RolloutsListed{}
	if o != nil {
		e.Orders = []RolloutOrder{*o}
	}
	d.step(e)
	d.step(ViewAdvanced{Revisions: ViewRevisions{Rollouts: revision}})
}

func (d *fleetDaemon) step(e Event) {
	if !d.running {
		return
	}
	effects := append([]Effect(nil), d.s.Step(d.now(), e)...)
	for _, effect := range effects {
		d.carryOut(effect)
	}
	d.schedule()
}

func (d *fleetDaemon) schedule() {
	if !d.running {
		return
	}
	wake := max(d.s.NextWake(), d.now()+1)
	if d.wakeAt > d.now() && d.wakeAt <= wake || wake == model.Never {
		return
	}
	d.wakeAt = wake
	run := d.run
	d.f.at(d.started+wake-1, func() {
		if d.run == run && d.wakeAt == wake {
			d.wakeAt = 0
			d.step(Tick{})
		}
	})
}

func (d *fleetDaemon) carryOut(effect Effect) {
	f, run := d.f, d.run
	switch e := effect.(type) {
	case SendCall:
		d.send(e)
	case Gossip:
		for _, to := range e.To {
			if peer, ok := f.byPeer[to]; ok && f.rand.Float64() > 0.02 {
				f.after(f.between(time.Millisecond, 5*time.Millisecond), func() {
					if !d.cut && !peer.cut && d.side == peer.side {
						peer.step(GossipReceived{Daemons: e.Daemons, Sections: e.Sections})
					}
				})
			}
		}
	case FetchView:
		peer := f.byPeer[e.From]
		f.after(6*time.Millisecond, func() {
			ok := d.run == run && peer.running && !d.cut && !peer.cut && d.side == peer.side
			if ok {
				d.adopt(peer.known, peer.revision)
			}
			d.step(ViewFetched{Fetch: e, OK: ok})
		})
	case WatchStore:
		d.watching = e.On
		if e.On {
			f.after(20*time.Millisecond, d.readStore)
		}
	case ReadStore:
		f.after(20*time.Millisecond, d.readStore)
	case WriteVerdict:
		d.writeVerdict(e)
	}
}
