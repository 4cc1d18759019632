package core_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// fakeBackend is a backend server that keeps what it ran for the oracle.
type fakeBackend struct {
	w        *world
	def      *model.BackendServer
	shards   map[model.LayoutName]model.ShardName
	versions []uint64
	// coldLeft is the number of good answers until the caches are warm.
	coldLeft int
	// coldTold is when an answer first told a daemon that the caches are cold.
	coldTold time.Duration
	// draining: the server refuses new work, drainedAt says since when.
	draining  bool
	drainedAt time.Duration
	frozen    bool
	running   map[runKey]*run
}

type runKey struct {
	from    model.MemberRef
	attempt model.AttemptID
}

type run struct {
	node  *node
	call  effect.CallBackend
	ended bool
}

func newFakeBackend(w *world, def *model.BackendServer) *fakeBackend {
	return &fakeBackend{w: w, def: def, shards: map[model.LayoutName]model.ShardName{},
		versions: []uint64{1}, running: map[runKey]*run{}}
}

func (w *world) sortedBackends() []*fakeBackend {
	var out []*fakeBackend
	for _, s := range w.bundle.Servers {
		out = append(out, w.backends[s.Name])
	}
	return out
}

// placeShards makes the servers hold what the bundle's layouts say.
func (w *world) placeShards(b *model.Bundle) {
	for _, svc := range b.Services {
		for _, l := range svc.Layouts {
			for _, sh := range l.Shards {
				for _, r := range sh.Replicas {
					w.backends[r].shards[l.Name] = sh.Name
				}
			}
		}
	}
}

// call starts a sub-request. A request on an open connection arrives within a
// millisecond; that time bounds what a paused daemon can still start.
func (b *fakeBackend) call(n *node, c effect.CallBackend) {
	w := b.w
	sent := w.now
	deadline := w.now + time.Duration(float64(c.Deadline-n.clock())/n.rate)
	arrive := 100*time.Microsecond + time.Duration(w.rng.Int64N(int64(900*time.Microsecond)))
	w.at(arrive, func() {
		key := runKey{c.From, c.Sub.Attempt}
		r := &run{node: n, call: c}
		if n.dead || deadline <= w.now {
			b.finish(key, r, model.OutcomeTimeout)
			return
		}
		if b.draining {
			w.oracle.refusedByDraining(b, n)
			b.finish(key, r, model.OutcomeShed)
			return
		}
		b.running[key] = r
		w.oracle.ran(b, n, c, sent)
		took := 4*time.Millisecond + time.Duration(w.rng.Int64N(int64(4*time.Millisecond)))
		if w.rng.IntN(100) < 3 {
			took += 80 * time.Millisecond
		}
		outcome := b.outcome(c)
		if b.frozen || w.now+took > deadline {
			took, outcome = deadline-w.now, model.OutcomeTimeout
		}
		w.at(took, func() { b.finish(key, r, outcome) })
	})
}

func (b *fakeBackend) outcome(c effect.CallBackend) model.Outcome {
	if b.shards[c.Sub.Snapshot.Layout] != c.Sub.Shard || !slices.Contains(b.versions, c.Sub.Snapshot.IndexVersion) {
		return model.OutcomeVersionGone
	}
	return model.OutcomeOK
}

func (b *fakeBackend) finish(key runKey, r *run, o model.Outcome) {
	if r.ended {
		return
	}
	r.ended = true
	delete(b.running, key)
	sub := r.call.Sub
	res := model.SubResult{Attempt: sub.Attempt, Shard: sub.Shard, Server: sub.Server, Snapshot: sub.Snapshot,
		Outcome: o, ServiceTime: 5 * time.Millisecond}
	switch o {
	case model.OutcomeOK:
		b.coldLeft = max(0, b.coldLeft-1)
		doc := fmt.Sprintf("%s|%s|%s|%d", sub.RequestID, sub.Shard, sub.Snapshot.Layout, sub.Snapshot.IndexVersion)
		res.Items = []model.Item{{ID: string(sub.Shard), Score: 1, Doc: []byte(doc)}}
		res.Count = 1
		switch fault := b.w.rng.IntN(1000); {
		case fault < b.w.truncatePerMille:
			res.Items = nil
		case fault < 2*b.w.truncatePerMille:
			// An answer from another index version, labelled as such.
			res.Snapshot.IndexVersion++
			doc = fmt.Sprintf("%s|%s|%s|%d", sub.RequestID, sub.Shard, sub.Snapshot.Layout, res.Snapshot.IndexVersion)
			res.Items[0].Doc = []byte(doc)
		}
	case model.OutcomeVersionGone:
		res.Versions = slices.Clone(b.versions)
	}
	// Only an answer of the server can say that it is cold.
	cold := b.coldLeft > 0 && (o == model.OutcomeOK || o == model.OutcomeVersionGone)
	b.w.at(200*time.Microsecond, func() {
		if cold && b.coldTold == 0 {
			b.coldTold = b.w.now
		}
		r.node.post(event.BackendAnswered{From: r.call.From, Result: res, Cold: cold,
			Draining: o == model.OutcomeShed, Load: len(b.running)})
	})
}

func (b *fakeBackend) cancel(n *node, from model.MemberRef, a model.AttemptID) {
	key := runKey{from, a}
	if r := b.running[key]; r != nil && r.node == n {
		b.w.at(300*time.Microsecond, func() { b.finish(key, r, model.OutcomeCanceled) })
	}
}

// closeFrom ends everything that a dead daemon had running.
func (b *fakeBackend) closeFrom(n *node) {
	for key, r := range b.running {
		if r.node == n {
			delete(b.running, key)
			r.ended = true
		}
	}
}

func (b *fakeBackend) poll(n *node) {
	if b.frozen {
		b.w.at(500*time.Millisecond, func() { n.post(event.BackendStatus{Server: b.def.Name, Err: "timeout"}) })
		return
	}
	var serves []model.Serving
	for _, svc := range b.w.bundle.Services {
		for _, l := range svc.Layouts {
			if sh, ok := b.shards[l.Name]; ok {
				serves = append(serves, model.Serving{Layout: l.Name, Shard: sh, Versions: slices.Clone(b.versions)})
			}
		}
	}
	// The status lags: it was true when the poll was sent.
	cold, load, draining := b.coldLeft > 0, len(b.running), b.draining
	b.w.at(b.w.delay(), func() {
		n.post(event.BackendStatus{Server: b.def.Name, Draining: draining, Cold: cold, Load: load, Serves: serves})
	})
}

// fakePlatform is the platform's object API and VM list.
type fakePlatform struct {
	w       *world
	objects map[event.DocumentKind]object
	old     map[event.DocumentKind]object
	raws    map[string]event.Document
	vms     []model.VMEntry
	down    bool
	stale   bool
	// loseReply loses the answer of the next write, which takes effect.
	loseReply bool
	calls     int
}

type object struct {
	version uint64
	doc     event.Document
}

func newFakePlatform(w *world) *fakePlatform {
	return &fakePlatform{w: w, objects: map[event.DocumentKind]object{}, old: map[event.DocumentKind]object{},
		raws: map[string]event.Document{}}
}

func (p *fakePlatform) put(kind event.DocumentKind, v any) {
	d := event.Document{Kind: kind}
	switch v := v.(type) {
	case *model.Bundle:
		d.Bundle, d.Version = v, v.Version
	case *model.Controls:
		d.Controls, d.Version = v, v.Version
	case *model.Epoch:
		d.Epoch, d.Version = v, v.Number
	}
	d.Raw = fmt.Appendf(nil, "%s/%d", kind, d.Version)
	p.raws[string(d.Raw)] = d
	p.old[kind] = p.objects[kind]
	p.objects[kind] = object{version: p.objects[kind].version + 1, doc: d}
	for _, n := range p.w.nodes {
		if n.watches[kind] && !p.down {
			p.read(n, kind)
		}
	}
}

// repeatWatches answers all watches once more, as happens when they time out.
func (p *fakePlatform) repeatWatches() {
	for _, n := range p.w.nodes {
		for _, kind := range []event.DocumentKind{event.DocumentBundle, event.DocumentControls, event.DocumentEpoch} {
			if n.watches[kind] && !p.down {
				p.read(n, kind)
			}
		}
	}
}

func (p *fakePlatform) decode(_ event.DocumentKind, raw []byte) event.Document {
	return p.raws[string(raw)]
}

func (p *fakePlatform) read(n *node, kind event.DocumentKind) {
	p.calls++
	p.w.at(2*p.w.delay(), func() {
		o := p.objects[kind]
		if p.stale && p.old[kind].version > 0 {
			o = p.old[kind]
		}
		switch {
		case n.rejects && kind == event.DocumentBundle:
			n.post(event.DocumentFailed{Kind: kind, Err: "rejected"})
		case p.down:
			n.post(event.DocumentFailed{Kind: kind, Err: "unavailable"})
			if n.watches[kind] {
				p.w.at(500*time.Millisecond, func() { p.read(n, kind) })
			}
		case o.version == 0:
			n.post(event.DocumentFailed{Kind: kind, NotFound: true, Err: "not found"})
		default:
			n.post(event.DocumentArrived{Document: o.doc, ObjectVersion: o.version})
		}
	})
}

func (p *fakePlatform) listVM(vm model.VM, state model.VMState) {
	p.unlistVM(vm)
	p.vms = append(p.vms, model.VMEntry{VM: vm, State: state})
	slices.SortFunc(p.vms, func(a, b model.VMEntry) int { return strings.Compare(string(a.VM), string(b.VM)) })
}

func (p *fakePlatform) unlistVM(vm model.VM) {
	p.vms = slices.DeleteFunc(slices.Clone(p.vms), func(e model.VMEntry) bool { return e.VM == vm })
}

// readVMs answers with a list that is up to a second old.
func (p *fakePlatform) readVMs(n *node) {
	list := slices.Clone(p.vms)
	p.calls++
	p.w.at(time.Duration(p.w.rng.Int64N(int64(time.Second))), func() {
		if p.down {
			n.post(event.VMListRead{Err: "unavailable"})
			return
		}
		n.post(event.VMListRead{VMs: list})
	})
}

func (p *fakePlatform) writeEpoch(n *node, e effect.WriteEpoch) {
	p.calls++
	p.w.at(p.w.delay(), func() {
		answer := event.EpochWritten{Number: e.Epoch.Number}
		switch {
		case p.down:
			answer.Err = "unavailable"
		case p.objects[event.DocumentEpoch].version != e.ObjectVersion:
			answer.Conflict = true
		default:
			p.put(event.DocumentEpoch, e.Epoch)
			answer.ObjectVersion = p.objects[event.DocumentEpoch].version
			if p.loseReply {
				p.loseReply = false
				answer = event.EpochWritten{Number: e.Epoch.Number, Err: "no answer"}
			}
		}
		p.w.at(p.w.delay(), func() { n.post(answer) })
	})
}

func (p *fakePlatform) confirm(n *node, e effect.ConfirmDocument) {
	p.calls++
	p.w.at(p.w.delay(), func() {
		answer := event.DocumentConfirmed{Kind: e.Kind}
		o := p.objects[e.Kind]
		switch {
		case p.down:
			answer.Err = "unavailable"
		case o.version != e.ObjectVersion:
			answer.Conflict = true
		default:
			o.version++
			p.objects[e.Kind] = o
			answer.ObjectVersion = o.version
		}
		p.w.at(p.w.delay(), func() { n.post(answer) })
	})
}
