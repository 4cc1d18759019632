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

// world simulates a fleet of daemons, the backend servers and the platform. It
// connects the core states by an in-memory queue of deliveries. Time is simulated,
// and all randomness comes from one seed.
type world struct {
	now      time.Duration
	queue    deliveries
	seq      int
	rng      *rand.Rand
	nodes    []*node
	byVM     map[model.VM]*node
	backends map[model.ServerName]*fakeBackend
	platform *fakePlatform
	cutLinks map[[2]model.VM]bool
	lossPct  int
	slowPct  int
	// truncatePerMille is the share of answers of backend servers that lack their
	// items. As many come from another index version.
	truncatePerMille int
	oracle           *oracle
	bundle           *model.Bundle
	controls         *model.Controls
	trace            []string
}

// node is one incarnation of a daemon.
type node struct {
	w         *world
	vm        model.VM
	domain    model.FailureDomain
	state     *core.State
	bootedAt  time.Duration
	clockRate float64
	paused    bool
	dead      bool
	exited    bool
	// suspended: the monotonic clock stands still during the pause, as it does on a
	// suspended VM.
	suspended bool
	pausedAt  time.Duration
	// rejectsBundles: every bundle fails this daemon's checks, as happens with
	// outdated keys.
	rejectsBundles bool
	// resumedAt is when the last pause ended.
	resumedAt time.Duration
	// pausedEvents are the events that arrived during the pause.
	pausedEvents    []event.Body
	tickSeq         int
	nextTick        model.Time
	lastToken       event.Token
	replyHandlers   map[event.Token]func(reply any)
	openedStreams   map[event.StreamID]*node
	acceptedStreams map[event.Stream]*node
	watches         map[event.DocumentKind]bool
}

type delivery struct {
	after time.Duration
	seq   int
	run   func()
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	if d[i].after != d[j].after {
		return d[i].after < d[j].after
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
		cutLinks: map[[2]model.VM]bool{},
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
	w.platform.putObject(event.DocumentBundle, b)
	w.platform.putObject(event.DocumentControls, w.controls)
	return w
}

// after schedules a call of run after the simulated time d.
func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, delivery{after: w.now + d, seq: w.seq, run: run})
}

// advance moves the simulated time forward by d and runs what is due until then.
func (w *world) advance(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].after <= end {
		next := heap.Pop(&w.queue).(delivery)
		w.now = next.after
		next.run()
	}
	w.now = end
}

// messageDelay draws the time that a message takes. slowPct percent of the
// messages take up to 400 ms longer.
func (w *world) messageDelay() time.Duration {
	d := 500*time.Microsecond + time.Duration(w.rng.Int64N(int64(2*time.Millisecond)))
	if w.rng.IntN(100) < w.slowPct {
		d += time.Duration(w.rng.Int64N(int64(400 * time.Millisecond)))
	}
	return d
}

// losesMessage reports whether a message from a to b is lost.
func (w *world) losesMessage(a, b model.VM) bool {
	return w.cutLinks[[2]model.VM{a, b}] || w.rng.IntN(100) < w.lossPct
}

func (w *world) tracef(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%v ", w.now)+fmt.Sprintf(format, args...))
}

// describeDaemons returns the status of every daemon and the stored epoch, for
// failure messages.
func (w *world) describeDaemons() string {
	var b strings.Builder
	for _, n := range w.nodes {
		fmt.Fprintf(&b, "%s dead=%v paused=%v %+v\n", n.vm, n.dead, n.paused, n.state.Status(n.clock()))
	}
	if e := w.platform.objects[event.DocumentEpoch].doc.Epoch; e != nil {
		fmt.Fprintf(&b, "epoch %d members %v panel %v previous %v\n", e.Number, e.Members, e.Panel, e.PreviousPanel)
	}
	return b.String()
}

// startDaemon starts a new incarnation of the daemon on a VM.
func (w *world) startDaemon(vm model.VM, domain model.FailureDomain) *node {
	n := &node{
		w: w, vm: vm, domain: domain, bootedAt: w.now,
		clockRate:       0.995 + w.rng.Float64()*0.01,
		replyHandlers:   map[event.Token]func(any){},
		openedStreams:   map[event.StreamID]*node{},
		acceptedStreams: map[event.Stream]*node{},
		watches:         map[event.DocumentKind]bool{},
		nextTick:        model.Never,
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
		w.nodes = withoutNode(w.nodes, old)
	}
	w.byVM[vm] = n
	w.nodes = append(w.nodes, n)
	w.platform.listVM(vm, model.VMLive)
	n.step(event.Started{})
	return n
}

func withoutNode(nodes []*node, n *node) []*node {
	var out []*node
	for _, x := range nodes {
		if x != n {
			out = append(out, x)
		}
	}
	return out
}

// kill ends a daemon without a graceful stop and closes its calls to backend
// servers.
func (w *world) kill(n *node) {
	n.dead = true
	for _, b := range w.sortedBackends() {
		b.dropCallsOf(n)
	}
}

func (n *node) clock() model.Time {
	return model.Time(float64(n.w.now-n.bootedAt) * n.clockRate)
}

// post gives an event to the daemon at once, or when it resumes if it is paused.
func (n *node) post(body event.Body) {
	if n.dead {
		return
	}
	if n.paused {
		n.pausedEvents = append(n.pausedEvents, body)
		return
	}
	n.step(body)
}

func (n *node) resume() {
	n.paused = false
	if n.suspended {
		n.suspended = false
		n.bootedAt += n.w.now - n.pausedAt
	}
	n.resumedAt = n.w.now
	inbox := n.pausedEvents
	n.pausedEvents = nil
	n.scheduleTick()
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
		n.applyEffect(e)
	}
	n.w.oracle.checkServingVersion(n)
	n.scheduleTick()
}

// pause stops the process. With suspend its monotonic clock stands still too, as
// on a suspended VM.
func (n *node) pause(suspend bool) {
	n.paused, n.suspended, n.pausedAt = true, suspend, n.w.now
}

// scheduleTick schedules the next Tick.
func (n *node) scheduleTick() {
	wake := n.state.NextWake()
	if wake == n.nextTick && wake > n.clock() || wake == model.Never {
		return
	}
	n.nextTick = wake
	n.tickSeq++
	seq := n.tickSeq
	// A Tick at the same instant as the last event would not advance the time.
	d := max(time.Duration(float64(wake-n.clock())/n.clockRate), 50*time.Microsecond)
	n.w.after(d, func() {
		if seq != n.tickSeq || n.dead || n.paused {
			return
		}
		n.nextTick = model.Never
		n.step(event.Tick{})
	})
}

// resumedSince reports whether a pause of the daemon ended at or after t.
func (n *node) resumedSince(t time.Duration) bool { return n.resumedAt > 0 && n.resumedAt >= t }

// expectReply registers a handler for a reply and returns the reply's token.
func (n *node) expectReply(f func(reply any)) event.Token {
	n.lastToken++
	n.replyHandlers[n.lastToken] = f
	return n.lastToken
}

func (n *node) reply(t event.Token, r any) {
	f := n.replyHandlers[t]
	delete(n.replyHandlers, t)
	if f != nil {
		f(r)
	}
}

// wallStart is the Unix time in ms at which the simulation begins.
const wallStart = 1_700_000_000_000
