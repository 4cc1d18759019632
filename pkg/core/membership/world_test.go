package membership

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/documents"
	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// world joins several daemons by an in-memory queue with simulated time.
type world struct {
	rng       *rand.Rand
	now       model.Time
	queue     []queued
	nodes     []*node
	calls     map[event.Token]func(reply func(sentAt model.Time) event.Body)
	nextToken event.Token
	cut       map[[2]model.VM]bool
	loss      float64
	slow      time.Duration
	late      time.Duration // added to the way of every answer
	// down: the platform answers nothing.
	down    bool
	epochs  []*model.Epoch
	bundles []*model.Bundle
	servers int
	listed  map[model.VM]model.VMState
	// work is what backend servers run: server to sender and global end.
	work map[model.ServerName][]work
	log  func(string)
}

type work struct {
	from model.MemberRef
	end  model.Time
}

// node is one process of a daemon.
type node struct {
	w           *world
	vm          model.VM
	mem         *State
	docs        *documents.State
	rate        float64
	wall        int64 // the wall clock in ms at the world's start
	start       model.Time
	dead        bool
	pausedUntil model.Time
	tick        uint64
	watch       map[event.DocumentKind]bool
}

type queued struct {
	at  model.Time
	run func()
}

func newWorld(seed uint64, servers int) *world {
	w := &world{
		rng:    rand.New(rand.NewPCG(seed, 1)),
		calls:  make(map[event.Token]func(func(model.Time) event.Body)),
		cut:    make(map[[2]model.VM]bool),
		listed: make(map[model.VM]model.VMState),
		work:   make(map[model.ServerName][]work),
		log:    func(string) {},
	}
	w.servers = servers
	w.rollOut(0)
	return w
}

// rollOut activates a bundle in which shift moves servers between domains.
func (w *world) rollOut(shift int) {
	b := &model.Bundle{Version: uint64(len(w.bundles) + 1)}
	for i := range w.servers {
		b.Servers = append(b.Servers, model.BackendServer{
			Name:          model.ServerName(fmt.Sprintf("leaf-%02d", i)),
			FailureDomain: model.FailureDomain([]string{"osijek-a", "osijek-b"}[(i+shift)%2]),
		})
	}
	b.Index()
	w.bundles = append(w.bundles, b)
	w.notify(event.DocumentBundle)
}

// at runs what is due at one time in the order of the calls.
func (w *world) at(at model.Time, run func()) {
	i, _ := slices.BinarySearchFunc(w.queue, at+1, func(q queued, at model.Time) int { return cmp.Compare(q.at, at) })
	w.queue = slices.Insert(w.queue, i, queued{at, run})
}

// boot starts a daemon on the VM.
func (w *world) boot(vm model.VM) *node {
	w.listed[vm] = model.VMLive
	n := &node{w: w, vm: vm, start: w.now, rate: 1 + (w.rng.Float64()-0.5)/100, watch: make(map[event.DocumentKind]bool)}
	n.wall = 1_700_000_000_000 + w.rng.Int64N(10_000)
	cfg := Config{
		Self:          model.MemberRef{VM: vm, Incarnation: NewIncarnation(n.wall+int64(w.now)/1e6, w.rng.Uint64())},
		Region:        "istok",
		FailureDomain: model.FailureDomain([]string{"osijek-a", "osijek-b"}[vm[len(vm)-1]%2]),
		PeerAddress:   string(vm), CallerAddress: string(vm),
		Owners: rendezvous, Panel: firstListed,
	}
	n.mem = New(cfg, n)
	n.docs = documents.New(documents.Config{}, n)
	w.nodes = append(w.nodes, n)
	n.post(event.Started{})
	return n
}

func (w *world) find(vm model.VM) *node {
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.vm == vm && !n.dead })
	if i < 0 {
		return nil
	}
	return w.nodes[i]
}

// run lets the given time pass; check runs after every event.
func (w *world) run(d time.Duration, check func()) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && w.queue[0].at <= end {
		q := w.queue[0]
		w.queue = w.queue[1:]
		w.now = max(w.now, q.at)
		q.run()
		check()
	}
	w.now = end
}

// local returns the process's own monotonic time.
func (n *node) local() model.Time { return model.Time(float64(n.w.now-n.start) * n.rate) }

// global converts a time on the process's clock.
func (n *node) global(t model.Time) model.Time {
	return n.start + model.Time(float64(t)/n.rate) + 1
}

// deliver posts an event at a global time, or when a pause then has ended.
func (n *node) deliver(at model.Time, body func() event.Body) {
	n.w.at(at, func() {
		switch {
		case n.dead:
		case n.pausedUntil > n.w.now:
			n.deliver(n.pausedUntil, body)
		default:
			if b := body(); b != nil {
				n.post(b)
			}
		}
	})
}

func (n *node) post(body event.Body) {
	m := event.Meta{Now: n.local(), Wall: n.wall + int64(n.w.now)/1e6, Rand: n.w.rng.Uint64()}
	var out effect.List
	n.route(m, body, &out)
	n.docs.Tick(m, &out)
	for i := 0; i < len(out.Effects); i++ {
		n.execute(m, out.Effects[i], &out)
	}
	n.tick++
	tick := n.tick
	// A Tick is due at the next wake unless another event came first.
	n.deliver(n.global(min(n.mem.NextWake(), n.docs.NextWake())), func() event.Body {
		if tick != n.tick {
			return nil
		}
		return event.Tick{}
	})
}

func (n *node) learn(m event.Meta, h model.Header, out *effect.List) {
	if h.From.VM != n.vm && n.docs.Behind(h) {
		n.docs.PeerVersions(m, h, string(h.From.VM), out)
	}
}

func (n *node) route(m event.Meta, body event.Body, out *effect.List) {
	switch e := body.(type) {
	case event.Started:
		n.mem.Start(m, out)
		n.docs.Start(m, out)
	case event.Tick:
		n.mem.Tick(m, out)
	case leaveStart:
		n.mem.AnnounceLeaving(m, out)
		n.mem.Leave(m, out)
	case event.HeartbeatArrived:
		n.learn(m, e.Header, out)
		n.mem.HeartbeatArrived(m, e, out)
	case event.HeartbeatAnswered:
		n.learn(m, e.Header, out)
		n.mem.HeartbeatAnswered(m, e, out)
	case event.HeartbeatFailed:
		n.mem.HeartbeatFailed(m, e, out)
	case event.ExchangeArrived:
		n.learn(m, e.Header, out)
		n.mem.ExchangeArrived(m, e, out)
	case event.ExchangeAnswered:
		n.learn(m, e.Header, out)
		n.mem.ExchangeAnswered(m, e, out)
	case event.HandoverArrived:
		n.mem.HandoverArrived(m, e, out)
	case event.HandoverAnswered:
		n.mem.HandoverAnswered(m, e, out)
	case event.VMListRead:
		n.mem.VMListRead(m, e, out)
	case event.EpochWritten:
		n.mem.EpochWritten(m, e, out)
	case event.DocumentArrived:
		n.docs.DocumentArrived(m, e, out)
		if e.Document.Kind == event.DocumentEpoch {
			n.mem.EpochArrived(m, e.Document.Epoch, e.ObjectVersion, out)
		}
	case event.DocumentFailed:
		n.docs.DocumentFailed(m, e, out)
		if e.Kind == event.DocumentEpoch && e.NotFound {
			n.mem.EpochArrived(m, nil, 0, out)
		}
	case event.DocumentRequested:
		n.docs.DocumentRequested(m, e, out)
	case event.DocumentConfirmed:
		n.docs.DocumentConfirmed(m, e, out)
	}
}

// The node is the View of its reducers.

func (n *node) Bundle() *model.Bundle               { return n.docs.Bundle() }
func (n *node) Versions() (bundle, controls uint64) { return n.docs.Versions() }
func (n *node) Header() model.Header                { return n.mem.Header() }
func (n *node) OnPanel() bool                       { return n.mem.OnPanel() }
func (n *node) HasEpoch() bool                      { return n.mem.Current() != nil }
func (n *node) InFlight(s model.ServerName) int {
	return len(slices.DeleteFunc(slices.Clone(n.w.work[s]), func(k work) bool {
		return k.from.VM != n.vm || k.end <= n.w.now
	}))
}

func (n *node) Seeds() []string {
	var seeds []string
	for _, o := range n.w.nodes {
		if !o.dead && o != n && len(seeds) < 3 {
			seeds = append(seeds, string(o.vm))
		}
	}
	return seeds
}

func (n *node) Reports() []model.ServerReport {
	var list []model.ServerReport
	for _, s := range n.mem.Owned(n.local()) {
		list = append(list, model.ServerReport{Server: s, Sequence: uint64(n.local())})
	}
	return list
}

// rendezvous orders members of the server's domain first, then by hash.
func rendezvous(s model.ServerName, d model.FailureDomain, members []model.Member) []model.Member {
	score := func(m model.Member) uint64 {
		h := fnv.New64a()
		h.Write([]byte(string(s) + "/" + string(m.VM) + strconv.Itoa(len(m.VM))))
		v := h.Sum64() * 0x9e3779b97f4a7c15 >> 1
		if m.FailureDomain == d {
			v |= 1 << 63
		}
		return v
	}
	return slices.SortedFunc(slices.Values(members), func(a, b model.Member) int {
		return cmp.Compare(score(b), score(a))
	})
}

func firstListed(members []model.Member, listed func(model.VM) bool, keep []model.MemberRef, limit int) []model.MemberRef {
	panel := slices.Clone(keep[:min(len(keep), limit)])
	for _, m := range members {
		if len(panel) < limit && listed(m.VM) && !slices.Contains(panel, m.MemberRef) {
			panel = append(panel, m.MemberRef)
		}
	}
	return panel
}
