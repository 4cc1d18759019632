// Package fleet is a model of the load: it plays several reducers of pkg/core/gateway
// with their gossip, callers that look up addresses, repeat and give up, and leafs with
// slots, queues, pauses and faults. Time is virtual and everything is drawn from a seed,
// so that two policies can be compared on the same load.
//
// What the model leaves out: bytes and bandwidth, packets that get lost, connections
// that go silent, entries of leafs that lapse during an outage of the store, leafs that
// come and go, and processor time other than that of attempts.
package fleet

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// warmUpTime is how long daemons run before requests arrive, and drainTime how long
	// the model runs after the last request.
	warmUpTime = 3 * time.Second
	drainTime  = 6 * time.Second
	// daemonDistance is the time of a message between daemons, to a leaf or to the store.
	daemonDistance = 500 * time.Microsecond
	// storeTime is the time of a call to the store.
	storeTime = 4 * time.Millisecond
)

// world is one run of a profile.
type world struct {
	profile *Profile
	rand    *rand.Rand
	now     model.Time
	events  eventHeap
	order   uint64

	store    store
	daemons  []*daemon
	byPeer   map[string]*daemon
	byCaller map[string]*daemon
	leafs    map[string]*leaf
	// rate multiplies the load, giveUp is the share of callers that leave early.
	rate, giveUp float64
	senders      []*sender
	result       *Result
}

// event is something that happens at a time; order keeps events of the same time in the
// order in which they were scheduled.
type event struct {
	at    model.Time
	order uint64
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return x
}

// after schedules run.
func (w *world) after(d time.Duration, run func()) { w.at(w.now.Add(max(0, d)), run) }

func (w *world) at(t model.Time, run func()) {
	w.order++
	heap.Push(&w.events, event{max(t, w.now), w.order, run})
}

// Run plays a profile with a seed.
func Run(p *Profile, seed uint64) *Result {
	w := &world{
		profile: p, rand: rand.New(rand.NewPCG(seed, 1)), rate: 1, now: 1,
		byPeer: map[string]*daemon{}, byCaller: map[string]*daemon{}, leafs: map[string]*leaf{}, result: newResult(p, seed), senders: p.senders(),
	}
	w.addLeafs()
	w.store.config = w.config(1, false)
	w.store.daemons = map[string]gateway.DaemonEntry{}
	for i := range p.Daemons.Count {
		d := newDaemon(w, i)
		w.daemons = append(w.daemons, d)
		w.byPeer[d.entry.PeerAddress], w.byCaller[d.entry.CallerAddress] = d, d
		w.after(time.Duration(w.rand.Int64N(int64(300*time.Millisecond))), d.start)
	}
	w.scheduleFaults()
	for i := range p.Routes {
		w.at(model.Time(warmUpTime), func() {
			for _, s := range w.senders {
				w.arrive(&p.Routes[i], s)
			}
		})
	}
	end := model.Time(warmUpTime + p.Length + drainTime)
	for len(w.events) > 0 && w.events[0].at < end {
		e := heap.Pop(&w.events).(event)
		w.now = max(w.now, e.at)
		e.run()
	}
	return w.result
}

// sinceStart returns the time since the first request.
func (w *world) sinceStart(t model.Time) time.Duration { return t.Sub(model.Time(warmUpTime)) }

// config returns a version of the configuration; with repartitioned, routes ask their
// later service.
func (w *world) config(version uint64, repartitioned bool) *gateway.Config {
	c := &gateway.Config{Version: version, Services: map[string]gateway.ServiceConfig{}}
	for _, s := range w.senders {
		if s.tenant != nil {
			c.Tenants = append(c.Tenants, s.tenant)
		}
	}
	for _, s := range w.profile.Services {
		for _, name := range shardNames(s) {
			c.Services[name] = gateway.ServiceConfig{MaxConnections: s.Connections}
		}
	}
	for _, r := range w.profile.Routes {
		shards := r.shards
		if repartitioned && r.Later != "" {
			shards = r.laterShardNames
		}
		route := &gateway.Route{
			Name: r.Name, Host: host, PathPrefix: "/" + r.Name + "/", Idempotent: true, Timeout: r.Timeout, LatencyTarget: r.Target,
			Priority: r.Priority, MaxAttempts: r.MaxAttempts,
		}
		if len(shards) > 1 {
			route.Shards, route.TopK, route.MinShardRatio = shards, 10, r.MinShardRatio
		} else {
			route.Targets = []gateway.Target{{Service: shards[0], Weight: 1}}
		}
		c.Routes = append(c.Routes, route)
	}
	return c
}

const host = "model"

// exponential draws the time to the next event of a rate per second.
func (w *world) exponential(perSecond float64) time.Duration {
	return time.Duration(w.rand.ExpFloat64() / perSecond * float64(time.Second))
}

// logNormal draws a factor with mean 1.
func (w *world) logNormal(spread float64) float64 {
	return math.Exp(spread*w.rand.NormFloat64() - spread*spread/2)
}

func domainName(i int) string { return fmt.Sprintf("domain-%d", i) }
