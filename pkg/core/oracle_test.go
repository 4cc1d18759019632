package core_test

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// settleTime is the target within which take-outs, drains and accepted
// configuration take effect.
const settleTime = 3 * time.Second

// oracle judges outcomes by what the fakes and the callers saw.
type oracle struct {
	w        *world
	failures []string
	// orders counts the runs of non-idempotent requests by request and shard.
	orders map[string]int
	runs   map[model.RequestID]int
	// resent are idempotent requests that callers sent more than once. A
	// refusal then speaks of one of the submissions; another may have run.
	resent map[model.RequestID]bool
	// closedAt is when a failure domain or server was taken out.
	closedDomain map[model.FailureDomain]time.Duration
	closedServer map[model.ServerName]time.Duration
	// closed is set once the closures of the current controls count.
	closed   bool
	accepted map[uint64]time.Duration
	highest  map[model.VM]uint64
	answers  int
	complete int
	refusals map[model.RefusalKind]int
	reasons  map[string]int
	missing  map[model.MissingReason]int
	// drainRefusals counts what draining servers refused.
	drainRefusals int
	// layouts and versions say which snapshots were answered from.
	layouts   map[model.LayoutName]int
	versions  int
	lastIndex uint64
	// lastComplete is when the last complete answer came.
	lastComplete time.Duration
	maxGap       time.Duration
}

func newOracle(w *world) *oracle {
	return &oracle{w: w, orders: map[string]int{}, runs: map[model.RequestID]int{}, resent: map[model.RequestID]bool{},
		closedDomain: map[model.FailureDomain]time.Duration{}, closedServer: map[model.ServerName]time.Duration{},
		accepted: map[uint64]time.Duration{}, highest: map[model.VM]uint64{},
		refusals: map[model.RefusalKind]int{}, reasons: map[string]int{}, missing: map[model.MissingReason]int{}, layouts: map[model.LayoutName]int{}}
}

func (o *oracle) failf(format string, args ...any) {
	o.failures = append(o.failures, fmt.Sprintf("%v: ", o.w.now)+fmt.Sprintf(format, args...))
}

// ran is called by a backend server when it starts to work.
func (o *oracle) ran(b *fakeBackend, n *node, c effect.CallBackend, sentAt time.Duration) {
	sub := c.Sub
	o.runs[sub.RequestID]++
	if len(b.running) > b.def.Slots {
		var who []string
		for k := range b.running {
			who = append(who, k.from.String())
		}
		o.failf("slots: %s runs %d over %d slots: %v", b.def.Name, len(b.running), b.def.Slots, who)
	}
	// A server turns cold without warning; its first answer after that is the
	// first sign of it. What was sent before that sign is not counted.
	for _, other := range b.running {
		if other.node != n {
			o.failf("single owner: %s works for %s while it works for %s", b.def.Name, n.vm, other.node.vm)
			break
		}
	}
	if b.coldLeft > 0 && b.coldTold > 0 && sentAt > b.coldTold && len(b.running) > b.def.Cold.Slots {
		o.failf("cold start: %s runs %d but bears %d", b.def.Name, len(b.running), b.def.Cold.Slots)
	}
	if at, ok := o.closedDomain[b.def.FailureDomain]; ok && o.w.now > at+settleTime {
		o.failf("take-out: %s in %s got new work %v after the take-out from %s", b.def.Name, b.def.FailureDomain, o.w.now-at, n.vm)
	}
	if at, ok := o.closedServer[b.def.Name]; ok && o.w.now > at+settleTime {
		o.failf("drain: %s got new work %v after the drain", b.def.Name, o.w.now-at)
	}
	if !sub.Idempotent {
		key := string(sub.RequestID) + "/" + string(sub.Shard)
		o.orders[key]++
		if o.orders[key] > 1 {
			o.failf("at most once: %s ran %d times", key, o.orders[key])
		}
	}
}

// stepped checks what a daemon says of its configuration after an event. Only
// an accepted version counts: one that no majority of the panel knows yet can
// be lost with the only daemon that read it before a platform outage.
func (o *oracle) stepped(n *node) {
	st := n.state.Status(n.clock())
	if !st.Ready {
		return
	}
	if st.BundleVersion < o.highest[n.vm] {
		o.failf("revert: %s serves with bundle %d after %d", n.vm, st.BundleVersion, o.highest[n.vm])
	}
	if _, ok := o.accepted[st.BundleVersion]; ok {
		o.highest[n.vm] = max(o.highest[n.vm], st.BundleVersion)
	}
}

// panelKnows reports whether a majority of the panel of the platform's epoch
// is in a state that satisfies know.
func (o *oracle) panelKnows(know func(model.DaemonStatus) bool) bool {
	e := o.w.platform.objects[event.DocumentEpoch].doc.Epoch
	if e == nil {
		return false
	}
	count := 0
	for _, p := range e.Panel {
		n := o.w.byVM[p.VM]
		if n == nil || n.dead {
			continue
		}
		if st := n.state.Status(n.clock()); st.Self == p && st.Epoch == e.Number && know(st) {
			count++
		}
	}
	return 2*count > len(e.Panel)
}

// sampleAcceptance notes from when on a majority of the panel knows a version.
func (o *oracle) sampleAcceptance() {
	if c := o.w.controls; !o.closed && o.panelKnows(func(s model.DaemonStatus) bool { return s.ControlsVersion >= c.Version }) {
		o.closed = true
		for _, t := range c.TakeOuts {
			o.closedDomain[t.FailureDomain] = o.w.now
		}
		for _, d := range c.Drains {
			o.closedServer[d.Server] = o.w.now
		}
	}
	for v := uint64(1); v <= o.w.bundle.Version; v++ {
		if _, ok := o.accepted[v]; ok {
			continue
		}
		if o.panelKnows(func(s model.DaemonStatus) bool { return s.BundleVersion >= v }) {
			o.accepted[v] = o.w.now
		}
	}
}

// answered checks one reply that a caller got. sentAt is when it sent the
// request.
func (o *oracle) answered(n *node, req model.Request, r effect.ReplyQuery, sentAt time.Duration) {
	switch {
	case (r.Answer == nil) == (r.Refusal == nil):
		o.failf("reply to %s has not exactly one of answer and refusal", req.ID)
	case r.Refusal != nil:
		o.refused(n, req, r.Refusal)
	default:
		o.checkAnswer(n, req, r.Answer, sentAt)
	}
}

func (o *oracle) refused(n *node, req model.Request, r *model.Refusal) {
	o.refusals[r.Kind]++
	o.reasons[r.Reason]++
	if r.Kind == model.NotRun && o.runs[req.ID] > 0 && !o.resent[req.ID] {
		o.failf("not run: %s was refused by %s as not run (%s) but ran %d times", req.ID, n.vm, r.Reason, o.runs[req.ID])
	}
	if r.Reason == "stopping" {
		o.failf("graceful stop: %s cut a request of a caller with a fresh lookup", n.vm)
	}
}

func (o *oracle) checkAnswer(n *node, req model.Request, a *model.Answer, sentAt time.Duration) {
	o.answers++
	o.layouts[a.Snapshot.Layout]++
	if a.Snapshot.IndexVersion > o.lastIndex {
		o.versions++
		o.lastIndex = a.Snapshot.IndexVersion
	}
	if a.RequestID != req.ID {
		o.failf("own answer: %s got the answer to %s", req.ID, a.RequestID)
	}
	if a.Asked != a.Answered+len(a.Missing) || a.Complete != (len(a.Missing) == 0) {
		o.failf("coverage: %s asked %d answered %d missing %d complete %v", req.ID, a.Asked, a.Answered, len(a.Missing), a.Complete)
	}
	if want := o.shardsOf(req, a.Snapshot.Layout); want != a.Asked {
		o.failf("coverage: %s asked %d shards, layout %s has %d", req.ID, a.Asked, a.Snapshot.Layout, want)
	}
	if len(a.Items) != a.Answered {
		o.failf("coverage: %s has items of %d shards but says %d answered", req.ID, len(a.Items), a.Answered)
	}
	for _, it := range a.Items {
		f := strings.Split(string(it.Doc), "|")
		if f[0] != string(req.ID) {
			o.failf("own answer: %s has an item of %s", req.ID, f[0])
		}
		if f[2] != string(a.Snapshot.Layout) || f[3] != strconv.FormatUint(a.Snapshot.IndexVersion, 10) {
			o.failf("snapshot: %s labelled %v has an item of %s/%s", req.ID, a.Snapshot, f[2], f[3])
		}
	}
	for _, m := range a.Missing {
		o.missing[m.Reason]++
	}
	if a.Complete {
		o.complete++
		o.maxGap = max(o.maxGap, o.w.now-o.lastComplete)
		o.lastComplete = o.w.now
	}
	for v, at := range o.accepted {
		if sentAt > at+settleTime && a.BundleVersion < v {
			o.failf("in force: answer of %s with bundle %d to a request sent %v after %d was accepted", n.vm, a.BundleVersion, sentAt-at, v)
		}
	}
}

func (o *oracle) shardsOf(req model.Request, layout model.LayoutName) int {
	svc, ok := o.w.bundle.Service(req.Service)
	if !ok {
		return -1
	}
	l, ok := svc.Layout(layout)
	if !ok {
		return -1
	}
	if req.Key != "" {
		return 1
	}
	return len(l.Shards)
}

// exited checks that a daemon that ends gracefully owes nobody an answer.
func (o *oracle) exited(n *node) {
	if st := n.state.Status(n.clock()); st.Running > 0 {
		o.failf("graceful stop: %s exits with %d queries running", n.vm, st.Running)
	}
}

// repeated checks the reply to a request that was sent before. Such a request
// may be refused in more ways, but what is said must be true all the same.
func (o *oracle) repeated(n *node, req model.Request, reply any, sentAt time.Duration) {
	r := reply.(effect.ReplyQuery)
	if r.Refusal != nil {
		if r.Refusal.Kind == model.NotRun && !req.Idempotent && o.runs[req.ID] > 0 {
			o.failf("not run: repeat of %s at %s was refused as not run (%s) but it ran", req.ID, n.vm, r.Refusal.Reason)
		}
		return
	}
	if !req.Idempotent {
		// The stored outcome of the first run, under the bundle of that time.
		sentAt = 0
	}
	o.checkAnswer(n, req, r.Answer, sentAt)
}

// refusedByDraining is called by a server that refuses work because it drains.
func (o *oracle) refusedByDraining(b *fakeBackend, n *node) {
	o.drainRefusals++
	if o.w.now > b.drainedAt+settleTime && o.w.now > n.resumedAt+settleTime {
		o.failf("drain: %s got new work from %s %v after it began to drain", b.def.Name, n.vm, o.w.now-b.drainedAt)
	}
}

// controlsChanged forgets the closures of the controls before.
func (o *oracle) controlsChanged() {
	o.closed = false
	clear(o.closedDomain)
	clear(o.closedServer)
}
