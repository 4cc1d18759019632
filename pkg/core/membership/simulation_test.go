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

// simulation runs several daemons on one event queue in memory, with simulated
// time.
type simulation struct {
	rng             *rand.Rand
	now             model.Time
	queue           []scheduledCall
	nodes           []*node
	calls           map[event.Token]func(reply func(sentAt model.Time) event.Body)
	nextToken       event.Token
	cutLinks        map[[2]model.VM]bool
	lossRate        float64
	maxExtraLatency time.Duration
	answerDelay     time.Duration // added to the latency of every answer
	// platformDown means that the platform answers nothing.
	platformDown bool
	epochs       []*model.Epoch
	bundles      []*model.Bundle
	servers      int
	listed       map[model.VM]model.VMState
	// work is what runs on each backend server.
	work map[model.ServerName][]work
	log  func(string)
}

// work is a piece of work on a backend server; end is in global time.
type work struct {
	from model.MemberRef
	end  model.Time
}

// node is one process of a daemon.
type node struct {
	sim         *simulation
	vm          model.VM
	state       *State
	docs        *documents.State
	rate        float64
	wall        int64 // the wall clock in ms at the start of the simulation
	start       model.Time
	dead        bool
	pausedUntil model.Time
	eventCount  uint64
	watch       map[event.DocumentKind]bool
}

type scheduledCall struct {
	at  model.Time
	run func()
}

func newSimulation(seed uint64, servers int) *simulation {
	sim := &simulation{
		rng:      rand.New(rand.NewPCG(seed, 1)),
		calls:    make(map[event.Token]func(func(model.Time) event.Body)),
		cutLinks: make(map[[2]model.VM]bool),
		listed:   make(map[model.VM]model.VMState),
		work:     make(map[model.ServerName][]work),
		log:      func(string) {},
	}
	sim.servers = servers
	sim.activateBundle(0)
	return sim
}

// activateBundle activates a new bundle; shift moves servers between failure
// domains.
func (sim *simulation) activateBundle(shift int) {
	b := &model.Bundle{Version: uint64(len(sim.bundles) + 1)}
	for i := range sim.servers {
		b.Servers = append(b.Servers, model.BackendServer{
			Name:          model.ServerName(fmt.Sprintf("leaf-%02d", i)),
			FailureDomain: model.FailureDomain([]string{"osijek-a", "osijek-b"}[(i+shift)%2]),
		})
	}
	b.Index()
	sim.bundles = append(sim.bundles, b)
	sim.notifyWatchers(event.DocumentBundle)
}

// at schedules run for a time. What is due at the same time runs in the order
// in which it was scheduled.
func (sim *simulation) at(at model.Time, run func()) {
	i, _ := slices.BinarySearchFunc(sim.queue, at+1, func(q scheduledCall, at model.Time) int { return cmp.Compare(q.at, at) })
	sim.queue = slices.Insert(sim.queue, i, scheduledCall{at, run})
}

// startDaemon starts a daemon on the VM.
func (sim *simulation) startDaemon(vm model.VM) *node {
	sim.listed[vm] = model.VMLive
	n := &node{sim: sim, vm: vm, start: sim.now, rate: 1 + (sim.rng.Float64()-0.5)/100, watch: make(map[event.DocumentKind]bool)}
	n.wall = 1_700_000_000_000 + sim.rng.Int64N(10_000)
	cfg := Config{
		Self:          model.MemberRef{VM: vm, Incarnation: NewIncarnation(n.wall+int64(sim.now)/1e6, sim.rng.Uint64())},
		Region:        "istok",
		FailureDomain: model.FailureDomain([]string{"osijek-a", "osijek-b"}[vm[len(vm)-1]%2]),
		PeerAddress:   string(vm), CallerAddress: string(vm),
		Owners: rendezvous, Panel: choosePanel,
	}
	n.state = New(cfg, n)
	n.docs = documents.New(documents.Config{}, n)
	sim.nodes = append(sim.nodes, n)
	n.handleEvent(event.Started{})
	return n
}

func (sim *simulation) findNode(vm model.VM) *node {
	i := slices.IndexFunc(sim.nodes, func(n *node) bool { return n.vm == vm && !n.dead })
	if i < 0 {
		return nil
	}
	return sim.nodes[i]
}

// run advances the time by d and calls check after every event.
func (sim *simulation) run(d time.Duration, check func()) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		q := sim.queue[0]
		sim.queue = sim.queue[1:]
		sim.now = max(sim.now, q.at)
		q.run()
		check()
	}
	sim.now = end
}

// localTime returns the process's own monotonic time.
func (n *node) localTime() model.Time { return model.Time(float64(n.sim.now-n.start) * n.rate) }

// globalTime converts a time on the process's clock to global time.
func (n *node) globalTime(t model.Time) model.Time {
	return n.start + model.Time(float64(t)/n.rate) + 1
}

// deliver makes the node handle an event at a global time, or at the end of
// the pause if the node is paused then.
func (n *node) deliver(at model.Time, body func() event.Body) {
	n.sim.at(at, func() {
		switch {
		case n.dead:
		case n.pausedUntil > n.sim.now:
			n.deliver(n.pausedUntil, body)
		default:
			if b := body(); b != nil {
				n.handleEvent(b)
			}
		}
	})
}

func (n *node) handleEvent(body event.Body) {
	m := event.Meta{Now: n.localTime(), Wall: n.wall + int64(n.sim.now)/1e6, Rand: n.sim.rng.Uint64()}
	var out effect.List
	n.route(m, body, &out)
	n.docs.Tick(m, &out)
	for i := 0; i < len(out.Effects); i++ {
		n.executeEffect(m, out.Effects[i], &out)
	}
	n.eventCount++
	eventCount := n.eventCount
	// A Tick follows at the next wake time unless another event comes first.
	n.deliver(n.globalTime(min(n.state.NextWake(), n.docs.NextWake())), func() event.Body {
		if eventCount != n.eventCount {
			return nil
		}
		return event.Tick{}
	})
}

func (n *node) learnVersions(m event.Meta, h model.Header, out *effect.List) {
	if h.From.VM != n.vm && n.docs.Behind(h) {
		n.docs.PeerVersions(m, h, string(h.From.VM), out)
	}
}

func (n *node) route(m event.Meta, body event.Body, out *effect.List) {
	switch e := body.(type) {
	case event.Started:
		n.state.Start(m, out)
		n.docs.Start(m, out)
	case event.Tick:
		n.state.Tick(m, out)
	case leaveRequested:
		n.state.AnnounceLeaving(m, out)
		n.state.Leave(m, out)
	case event.HeartbeatArrived:
		n.learnVersions(m, e.Header, out)
		n.state.HeartbeatArrived(m, e, out)
	case event.HeartbeatAnswered:
		n.learnVersions(m, e.Header, out)
		n.state.HeartbeatAnswered(m, e, out)
	case event.HeartbeatFailed:
		n.state.HeartbeatFailed(m, e, out)
	case event.ExchangeArrived:
		n.learnVersions(m, e.Header, out)
		n.state.ExchangeArrived(m, e, out)
	case event.ExchangeAnswered:
		n.learnVersions(m, e.Header, out)
		n.state.ExchangeAnswered(m, e, out)
	case event.HandoverArrived:
		n.state.HandoverArrived(m, e, out)
	case event.HandoverAnswered:
		n.state.HandoverAnswered(m, e, out)
	case event.VMListRead:
		n.state.VMListRead(m, e, out)
	case event.EpochWritten:
		n.state.EpochWritten(m, e, out)
	case event.DocumentArrived:
		n.docs.DocumentArrived(m, e, out)
		if e.Document.Kind == event.DocumentEpoch {
			n.state.EpochArrived(m, e.Document.Epoch, e.ObjectVersion, out)
		}
	case event.DocumentFailed:
		n.docs.DocumentFailed(m, e, out)
		if e.Kind == event.DocumentEpoch && e.NotFound {
			n.state.EpochArrived(m, nil, 0, out)
		}
	case event.DocumentRequested:
		n.docs.DocumentRequested(m, e, out)
	case event.DocumentConfirmed:
		n.docs.DocumentConfirmed(m, e, out)
	}
}

// node implements the views of its reducers.

func (n *node) Bundle() *model.Bundle               { return n.docs.Bundle() }
func (n *node) Versions() (bundle, controls uint64) { return n.docs.Versions() }
func (n *node) Header() model.Header                { return n.state.Header() }
func (n *node) OnPanel() bool                       { return n.state.OnPanel() }
func (n *node) HasEpoch() bool                      { return n.state.Current() != nil }
func (n *node) InFlight(s model.ServerName) int {
	return len(slices.DeleteFunc(slices.Clone(n.sim.work[s]), func(k work) bool {
		return k.from.VM != n.vm || k.end <= n.sim.now
	}))
}

func (n *node) Seeds() []string {
	var seeds []string
	for _, o := range n.sim.nodes {
		if !o.dead && o != n && len(seeds) < 3 {
			seeds = append(seeds, string(o.vm))
		}
	}
	return seeds
}

func (n *node) Reports() []model.ServerReport {
	var list []model.ServerReport
	for _, s := range n.state.Owned(n.localTime()) {
		list = append(list, model.ServerReport{Server: s, Sequence: uint64(n.localTime())})
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

func choosePanel(members []model.Member, listed func(model.VM) bool, keep []model.MemberRef, limit int) []model.MemberRef {
	panel := slices.Clone(keep[:min(len(keep), limit)])
	for _, m := range members {
		if len(panel) < limit && listed(m.VM) && !slices.Contains(panel, m.MemberRef) {
			panel = append(panel, m.MemberRef)
		}
	}
	return panel
}
