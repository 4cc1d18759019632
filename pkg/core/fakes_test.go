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

// fakeBackend is a backend server that reports to the oracle what it runs.
type fakeBackend struct {
	w          *world
	definition *model.BackendServer
	shards     map[model.LayoutName]model.ShardName
	versions   []uint64
	// answersUntilWarm is the number of good answers until the caches are warm.
	answersUntilWarm int
	// coldReportedAt is when an answer first told a daemon that the caches are cold,
	// 0 if none did.
	coldReportedAt time.Duration
	// draining: the server has refused new work since drainedAt.
	draining  bool
	drainedAt time.Duration
	// frozen: the server accepts requests but answers none.
	frozen bool
	calls  map[callKey]*backendCall
}

type callKey struct {
	from    model.MemberRef
	attempt model.AttemptID
}

type backendCall struct {
	node  *node
	call  effect.CallBackend
	ended bool
}

func newFakeBackend(w *world, def *model.BackendServer) *fakeBackend {
	return &fakeBackend{w: w, definition: def, shards: map[model.LayoutName]model.ShardName{},
		versions: []uint64{1}, calls: map[callKey]*backendCall{}}
}

func (w *world) sortedBackends() []*fakeBackend {
	var out []*fakeBackend
	for _, s := range w.bundle.Servers {
		out = append(out, w.backends[s.Name])
	}
	return out
}

// placeShards gives each server the shards that the bundle's layouts assign to it.
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

// call sends a sub-request to the server. A request on an open connection arrives
// within a millisecond, so a daemon that has been paused for longer starts no more
// work.
func (b *fakeBackend) call(n *node, c effect.CallBackend) {
	w := b.w
	sent := w.now
	deadline := w.now + time.Duration(float64(c.Deadline-n.clock())/n.clockRate)
	arrive := 100*time.Microsecond + time.Duration(w.rng.Int64N(int64(900*time.Microsecond)))
	w.after(arrive, func() {
		key := callKey{c.From, c.Sub.Attempt}
		r := &backendCall{node: n, call: c}
		if n.dead || deadline <= w.now {
			b.finishCall(key, r, model.OutcomeTimeout)
			return
		}
		if b.draining {
			w.oracle.checkDrainRefusal(b, n)
			b.finishCall(key, r, model.OutcomeShed)
			return
		}
		b.calls[key] = r
		w.oracle.checkRun(b, n, c, sent)
		took := 4*time.Millisecond + time.Duration(w.rng.Int64N(int64(4*time.Millisecond)))
		if w.rng.IntN(100) < 3 {
			took += 80 * time.Millisecond
		}
		outcome := b.callOutcome(c)
		if b.frozen || w.now+took > deadline {
			took, outcome = deadline-w.now, model.OutcomeTimeout
		}
		w.after(took, func() { b.finishCall(key, r, outcome) })
	})
}

func (b *fakeBackend) callOutcome(c effect.CallBackend) model.Outcome {
	if b.shards[c.Sub.Snapshot.Layout] != c.Sub.Shard || !slices.Contains(b.versions, c.Sub.Snapshot.IndexVersion) {
		return model.OutcomeVersionGone
	}
	return model.OutcomeOK
}

func (b *fakeBackend) finishCall(key callKey, r *backendCall, o model.Outcome) {
	if r.ended {
		return
	}
	r.ended = true
	delete(b.calls, key)
	sub := r.call.Sub
	res := model.SubResult{Attempt: sub.Attempt, Shard: sub.Shard, Server: sub.Server, Snapshot: sub.Snapshot,
		Outcome: o, ServiceTime: 5 * time.Millisecond}
	switch o {
	case model.OutcomeOK:
		b.answersUntilWarm = max(0, b.answersUntilWarm-1)
		doc := fmt.Sprintf("%s|%s|%s|%d", sub.RequestID, sub.Shard, sub.Snapshot.Layout, sub.Snapshot.IndexVersion)
		res.Items = []model.Item{{ID: string(sub.Shard), Score: 1, Doc: []byte(doc)}}
		res.Count = 1
		switch fault := b.w.rng.IntN(1000); {
		case fault < b.w.truncatePerMille:
			res.Items = nil
		case fault < 2*b.w.truncatePerMille:
			// An answer from another index version, which it names correctly.
			res.Snapshot.IndexVersion++
			doc = fmt.Sprintf("%s|%s|%s|%d", sub.RequestID, sub.Shard, sub.Snapshot.Layout, res.Snapshot.IndexVersion)
			res.Items[0].Doc = []byte(doc)
		}
	case model.OutcomeVersionGone:
		res.Versions = slices.Clone(b.versions)
	}
	// Only a response of the server itself can say that it is cold.
	cold := b.answersUntilWarm > 0 && (o == model.OutcomeOK || o == model.OutcomeVersionGone)
	b.w.after(200*time.Microsecond, func() {
		if cold && b.coldReportedAt == 0 {
			b.coldReportedAt = b.w.now
		}
		r.node.post(event.BackendAnswered{From: r.call.From, Result: res, Cold: cold,
			Draining: o == model.OutcomeShed, Load: len(b.calls)})
	})
}

func (b *fakeBackend) cancelCall(n *node, from model.MemberRef, a model.AttemptID) {
	key := callKey{from, a}
	if r := b.calls[key]; r != nil && r.node == n {
		b.w.after(300*time.Microsecond, func() { b.finishCall(key, r, model.OutcomeCanceled) })
	}
}

// dropCallsOf ends the calls of a daemon that was killed, without an answer.
func (b *fakeBackend) dropCallsOf(n *node) {
	for key, r := range b.calls {
		if r.node == n {
			delete(b.calls, key)
			r.ended = true
		}
	}
}

func (b *fakeBackend) answerPoll(n *node) {
	if b.frozen {
		b.w.after(500*time.Millisecond, func() { n.post(event.BackendStatus{Server: b.definition.Name, Err: "timeout"}) })
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
	// The status lags: it is that of the time at which the poll was sent.
	cold, load, draining := b.answersUntilWarm > 0, len(b.calls), b.draining
	b.w.after(b.w.messageDelay(), func() {
		n.post(event.BackendStatus{Server: b.definition.Name, Draining: draining, Cold: cold, Load: load, Serves: serves})
	})
}

// fakePlatform is the platform's object API and VM list.
type fakePlatform struct {
	w               *world
	objects         map[event.DocumentKind]platformObject
	previousObjects map[event.DocumentKind]platformObject
	documentsByRaw  map[string]event.Document
	vms             []model.VMEntry
	// unavailable: every call fails.
	unavailable bool
	// servesPrevious: reads return the version of an object before the last write.
	servesPrevious bool
	// losesNextReply: the next epoch write takes effect, but its answer is lost.
	losesNextReply bool
	calls          int
}

type platformObject struct {
	version uint64
	doc     event.Document
}

func newFakePlatform(w *world) *fakePlatform {
	return &fakePlatform{w: w, objects: map[event.DocumentKind]platformObject{}, previousObjects: map[event.DocumentKind]platformObject{},
		documentsByRaw: map[string]event.Document{}}
}

func (p *fakePlatform) putObject(kind event.DocumentKind, v any) {
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
	p.documentsByRaw[string(d.Raw)] = d
	p.previousObjects[kind] = p.objects[kind]
	p.objects[kind] = platformObject{version: p.objects[kind].version + 1, doc: d}
	for _, n := range p.w.nodes {
		if n.watches[kind] && !p.unavailable {
			p.readObject(n, kind)
		}
	}
}

// repeatWatchAnswers answers all watches without a change, as the platform does
// when they time out.
func (p *fakePlatform) repeatWatchAnswers() {
	for _, n := range p.w.nodes {
		for _, kind := range []event.DocumentKind{event.DocumentBundle, event.DocumentControls, event.DocumentEpoch} {
			if n.watches[kind] && !p.unavailable {
				p.readObject(n, kind)
			}
		}
	}
}

func (p *fakePlatform) decode(_ event.DocumentKind, raw []byte) event.Document {
	return p.documentsByRaw[string(raw)]
}

func (p *fakePlatform) readObject(n *node, kind event.DocumentKind) {
	p.calls++
	p.w.after(2*p.w.messageDelay(), func() {
		o := p.objects[kind]
		if p.servesPrevious && p.previousObjects[kind].version > 0 {
			o = p.previousObjects[kind]
		}
		switch {
		case n.rejectsBundles && kind == event.DocumentBundle:
			n.post(event.DocumentFailed{Kind: kind, Err: "rejected"})
		case p.unavailable:
			n.post(event.DocumentFailed{Kind: kind, Err: "unavailable"})
			if n.watches[kind] {
				p.w.after(500*time.Millisecond, func() { p.readObject(n, kind) })
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

// readVMList answers with a VM list that is up to a second old.
func (p *fakePlatform) readVMList(n *node) {
	list := slices.Clone(p.vms)
	p.calls++
	p.w.after(time.Duration(p.w.rng.Int64N(int64(time.Second))), func() {
		if p.unavailable {
			n.post(event.VMListRead{Err: "unavailable"})
			return
		}
		n.post(event.VMListRead{VMs: list})
	})
}

func (p *fakePlatform) writeEpoch(n *node, e effect.WriteEpoch) {
	p.calls++
	p.w.after(p.w.messageDelay(), func() {
		answer := event.EpochWritten{Number: e.Epoch.Number}
		switch {
		case p.unavailable:
			answer.Err = "unavailable"
		case p.objects[event.DocumentEpoch].version != e.ObjectVersion:
			answer.Conflict = true
		default:
			p.putObject(event.DocumentEpoch, e.Epoch)
			answer.ObjectVersion = p.objects[event.DocumentEpoch].version
			if p.losesNextReply {
				p.losesNextReply = false
				answer = event.EpochWritten{Number: e.Epoch.Number, Err: "no answer"}
			}
		}
		p.w.after(p.w.messageDelay(), func() { n.post(answer) })
	})
}

func (p *fakePlatform) confirmDocument(n *node, e effect.ConfirmDocument) {
	p.calls++
	p.w.after(p.w.messageDelay(), func() {
		answer := event.DocumentConfirmed{Kind: e.Kind}
		o := p.objects[e.Kind]
		switch {
		case p.unavailable:
			answer.Err = "unavailable"
		case o.version != e.ObjectVersion:
			answer.Conflict = true
		default:
			o.version++
			p.objects[e.Kind] = o
			answer.ObjectVersion = o.version
		}
		p.w.after(p.w.messageDelay(), func() { n.post(answer) })
	})
}
