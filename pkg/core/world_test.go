package core_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/core/membership"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// world joins several core states by an in-memory queue of deliveries. Time is
// simulated; all randomness comes from one seed.
type world struct {
	now      time.Duration
	queue    deliveries
	seq      int
	rng      *rand.Rand
	nodes    []*node
	byVM     map[model.VM]*node
	backends map[model.ServerName]*fakeBackend
	platform *fakePlatform
	cuts     map[[2]model.VM]bool
	lossPct  int
	slowPct  int
	// truncatePerMille of the answers of backend servers lack their items, and
	// as many are of another index version.
	truncatePerMille int
	oracle           *oracle
	bundle           *model.Bundle
	controls         *model.Controls
	trace            []string
}

// node is one incarnation of a daemon.
type node struct {
	w      *world
	vm     model.VM
	domain model.FailureDomain
	state  *core.State
	bootAt time.Duration
	rate   float64
	paused bool
	dead   bool
	exited bool
	// rejects: every bundle fails this daemon's checks, as with old keys.
	rejects bool
	// resumedAt is when the last pause ended.
	resumedAt time.Duration
	inbox     []event.Body
	wakeSeq   int
	wakeAt    model.Time
	token     event.Token
	replies   map[event.Token]func(reply any)
	streams   map[event.StreamID]*node
	inbound   map[event.Stream]*node
	watches   map[event.DocumentKind]bool
}

type delivery struct {
	at  time.Duration
	seq int
	run func()
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	if d[i].at != d[j].at {
		return d[i].at < d[j].at
	}
	return d[i].seq < d[j].seq
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

func newWorld(seed uint64, b *model.Bundle) *world {
	w := &world{
		rng:      rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		byVM:     map[model.VM]*node{},
		backends: map[model.ServerName]*fakeBackend{},
		cuts:     map[[2]model.VM]bool{},
		bundle:   b,
		controls: &model.Controls{Version: 1},

		truncatePerMille: 5,
	}
	w.oracle = newOracle(w)
	w.platform = newFakePlatform(w)
	for i := range b.Servers {
		w.backends[b.Servers[i].Name] = newFakeBackend(w, &b.Servers[i])
	}
	w.placeShards(b)
	w.platform.put(event.DocumentBundle, b)
	w.platform.put(event.DocumentControls, w.controls)
	return w
}

// at schedules a call after a delay of simulated time.
func (w *world) at(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, delivery{at: w.now + d, seq: w.seq, run: run})
}

// advance runs everything that is due within d.
func (w *world) advance(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(delivery)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// delay is the time a message takes; some messages are late.
func (w *world) delay() time.Duration {
	d := 500*time.Microsecond + time.Duration(w.rng.Int64N(int64(2*time.Millisecond)))
	if w.rng.IntN(100) < w.slowPct {
		d += time.Duration(w.rng.Int64N(int64(400 * time.Millisecond)))
	}
	return d
}

// lost reports whether a message from a to b is lost.
func (w *world) lost(a, b model.VM) bool {
	return w.cuts[[2]model.VM{a, b}] || w.rng.IntN(100) < w.lossPct
}

func (w *world) notef(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%v ", w.now)+fmt.Sprintf(format, args...))
}

// statuses describes every daemon, for failures.
func (w *world) statuses() string {
	var b strings.Builder
	for _, n := range w.nodes {
		fmt.Fprintf(&b, "%s dead=%v paused=%v %+v\n", n.vm, n.dead, n.paused, n.state.Status(n.clock()))
	}
	if e := w.platform.objects[event.DocumentEpoch].doc.Epoch; e != nil {
		fmt.Fprintf(&b, "epoch %d members %v panel %v previous %v\n", e.Number, e.Members, e.Panel, e.PreviousPanel)
	}
	return b.String()
}

// start boots a new incarnation of the daemon on a VM.
func (w *world) start(vm model.VM, domain model.FailureDomain) *node {
	n := &node{
		w: w, vm: vm, domain: domain, bootAt: w.now,
		rate:    0.995 + w.rng.Float64()*0.01,
		replies: map[event.Token]func(any){},
		streams: map[event.StreamID]*node{},
		inbound: map[event.Stream]*node{},
		watches: map[event.DocumentKind]bool{},
		wakeAt:  model.Never,
	}
	var seeds []string
	for _, other := range w.nodes {
		if other.vm != vm {
			seeds = append(seeds, string(other.vm)+":peer")
		}
	}
	n.state = core.New(core.Config{
		Self:          model.MemberRef{VM: vm, Incarnation: membership.NewIncarnation(wallStart+w.now.Milliseconds(), w.rng.Uint64())},
		Region:        "r",
		FailureDomain: domain,
		PeerAddress:   string(vm) + ":peer",
		CallerAddress: string(vm) + ":caller",
		Seeds:         seeds,
	})
	if old := w.byVM[vm]; old != nil {
		old.dead = true
		w.nodes = remove(w.nodes, old)
	}
	w.byVM[vm] = n
	w.nodes = append(w.nodes, n)
	w.platform.listVM(vm, model.VMLive)
	n.step(event.Started{})
	return n
}

func remove(nodes []*node, n *node) []*node {
	var out []*node
	for _, x := range nodes {
		if x != n {
			out = append(out, x)
		}
	}
	return out
}

// kill ends a node without a word; its calls to backend servers are closed.
func (w *world) kill(n *node) {
	n.dead = true
	for _, b := range w.sortedBackends() {
		b.closeFrom(n)
	}
}

func (n *node) clock() model.Time {
	return model.Time(float64(n.w.now-n.bootAt) * n.rate)
}

// post hands an event to the node now, or when it resumes.
func (n *node) post(body event.Body) {
	if n.dead {
		return
	}
	if n.paused {
		n.inbox = append(n.inbox, body)
		return
	}
	n.step(body)
}

func (n *node) resume() {
	n.paused = false
	n.resumedAt = n.w.now
	inbox := n.inbox
	n.inbox = nil
	n.arm()
	for _, body := range inbox {
		n.post(body)
	}
}

func (n *node) step(body event.Body) {
	ev := event.Event{
		Meta: event.Meta{Now: n.clock(), Wall: wallStart + n.w.now.Milliseconds(), Rand: n.w.rng.Uint64()},
		Body: body,
	}
	for _, e := range n.state.Step(ev) {
		if n.dead {
			return
		}
		n.carryOut(e)
	}
	n.w.oracle.stepped(n)
	n.arm()
}

// arm schedules the next Tick.
func (n *node) arm() {
	wake := n.state.NextWake()
	if wake == n.wakeAt && wake > n.clock() || wake == model.Never {
		return
	}
	n.wakeAt = wake
	n.wakeSeq++
	seq := n.wakeSeq
	// A Tick at the same instant as the last event would not move time on.
	d := max(time.Duration(float64(wake-n.clock())/n.rate), 50*time.Microsecond)
	n.w.at(d, func() {
		if seq != n.wakeSeq || n.dead || n.paused {
			return
		}
		n.wakeAt = model.Never
		n.step(event.Tick{})
	})
}

// wasPaused reports whether the node was paused at or after t.
func (n *node) wasPaused(t time.Duration) bool { return n.resumedAt > 0 && n.resumedAt >= t }

// expect registers a reply handler and returns its token.
func (n *node) expect(f func(reply any)) event.Token {
	n.token++
	n.replies[n.token] = f
	return n.token
}

func (n *node) reply(t event.Token, r any) {
	f := n.replies[t]
	delete(n.replies, t)
	if f != nil {
		f(r)
	}
}

// wallStart is the Unix time in ms at which the simulation begins.
const wallStart = 1_700_000_000_000
