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

// settleTime is the time within which take-outs, drains and an accepted
// configuration must take effect.
const settleTime = 3 * time.Second

// oracle checks the invariants against what the fake backend servers ran and what
// the callers were told.
type oracle struct {
	w        *world
	failures []string
	// nonIdempotent counts the runs of non-idempotent requests by request and shard.
	nonIdempotent map[string]int
	// runs counts the sub-requests that backend servers ran, by request.
	runs map[model.RequestID]int
	// resent are the idempotent requests that callers sent more than once. A
	// refusal then describes one of the submissions; another may have run.
	resent map[model.RequestID]bool
	// domainOutAt and serverDrainedAt say when the panel accepted the controls that
	// take a failure domain or a server out of service.
	domainOutAt     map[model.FailureDomain]time.Duration
	serverDrainedAt map[model.ServerName]time.Duration
	// controlsAccepted is set once the panel has accepted the current controls.
	controlsAccepted bool
	// bundleAcceptedAt is when the panel accepted each bundle version.
	bundleAcceptedAt map[uint64]time.Duration
	// highestBundle is the highest accepted bundle version with which the daemon on
	// each VM has served.
	highestBundle   map[model.VM]uint64
	answers         int
	completeAnswers int
	refusals        map[model.RefusalKind]int
	refusalReasons  map[string]int
	missingReasons  map[model.MissingReason]int
	// drainRefusals counts the sub-requests that draining servers refused.
	drainRefusals int
	// answersByLayout counts the answers by partition layout. indexVersionRises
	// counts how often an answer had a higher index version than all before it.
	answersByLayout     map[model.LayoutName]int
	indexVersionRises   int
	highestIndexVersion uint64
	// lastCompleteAt is when the last complete answer came, longestGap the longest
	// time between two of them.
	lastCompleteAt time.Duration
	longestGap     time.Duration
}

func newOracle(w *world) *oracle {
	return &oracle{w: w, nonIdempotent: map[string]int{}, runs: map[model.RequestID]int{}, resent: map[model.RequestID]bool{},
		domainOutAt: map[model.FailureDomain]time.Duration{}, serverDrainedAt: map[model.ServerName]time.Duration{},
		bundleAcceptedAt: map[uint64]time.Duration{}, highestBundle: map[model.VM]uint64{},
		refusals: map[model.RefusalKind]int{}, refusalReasons: map[string]int{}, missingReasons: map[model.MissingReason]int{}, answersByLayout: map[model.LayoutName]int{}}
}

func (o *oracle) failf(format string, args ...any) {
	o.failures = append(o.failures, fmt.Sprintf("%v: ", o.w.now)+fmt.Sprintf(format, args...))
}

// checkRun is called by a backend server when it starts to run a sub-request.
// sentAt is when the daemon sent the sub-request.
func (o *oracle) checkRun(b *fakeBackend, n *node, c effect.CallBackend, sentAt time.Duration) {
	sub := c.Sub
	o.runs[sub.RequestID]++
	if len(b.calls) > b.definition.Slots {
		var daemons []string
		for k := range b.calls {
			daemons = append(daemons, k.from.String())
		}
		o.failf("slots: %s runs %d sub-requests on %d slots, for the entry daemons %v", b.definition.Name, len(b.calls), b.definition.Slots, daemons)
	}
	for _, other := range b.calls {
		if other.node != n {
			o.failf("single owner: %s got work from %s while it works for %s", b.definition.Name, n.vm, other.node.vm)
			break
		}
	}
	// A server turns cold without warning, and daemons learn it from its first
	// answer after that. What was sent before that answer is not a violation.
	if b.answersUntilWarm > 0 && b.coldReportedAt > 0 && sentAt > b.coldReportedAt && len(b.calls) > b.definition.Cold.Slots {
		o.failf("cold start: %s runs %d sub-requests, more than the %d that it bears while cold", b.definition.Name, len(b.calls), b.definition.Cold.Slots)
	}
	if at, ok := o.domainOutAt[b.definition.FailureDomain]; ok && o.w.now > at+settleTime {
		o.failf("take-out: %s in %s got new work %v after the take-out from %s", b.definition.Name, b.definition.FailureDomain, o.w.now-at, n.vm)
	}
	if at, ok := o.serverDrainedAt[b.definition.Name]; ok && o.w.now > at+settleTime {
		o.failf("drain: %s got new work %v after the drain", b.definition.Name, o.w.now-at)
	}
	if !sub.Idempotent {
		key := string(sub.RequestID) + "/" + string(sub.Shard)
		o.nonIdempotent[key]++
		if o.nonIdempotent[key] > 1 {
			o.failf("at most once: %s ran %d times", key, o.nonIdempotent[key])
		}
	}
}

// checkServingVersion is called after each event of a daemon and checks that a
// daemon that serves does not go back to an older bundle. Only accepted versions
// count: a version that no majority of the panel knows yet can be lost with the
// only daemon that read it before a platform outage.
func (o *oracle) checkServingVersion(n *node) {
	st := n.state.Status(n.clock())
	if !st.Ready {
		return
	}
	if st.BundleVersion < o.highestBundle[n.vm] {
		o.failf("revert: %s serves with bundle %d after %d", n.vm, st.BundleVersion, o.highestBundle[n.vm])
	}
	if _, ok := o.bundleAcceptedAt[st.BundleVersion]; ok {
		o.highestBundle[n.vm] = max(o.highestBundle[n.vm], st.BundleVersion)
	}
}

// panelMajority reports whether holds is true of the status of a majority of the
// panel of the epoch that the platform stores.
func (o *oracle) panelMajority(holds func(model.DaemonStatus) bool) bool {
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
		if st := n.state.Status(n.clock()); st.Self == p && st.Epoch == e.Number && holds(st) {
			count++
		}
	}
	return 2*count > len(e.Panel)
}

// recordAcceptance records which versions of the controls and the bundle a
// majority of the panel has. From then on a version counts as accepted.
func (o *oracle) recordAcceptance() {
	if c := o.w.controls; !o.controlsAccepted && o.panelMajority(func(s model.DaemonStatus) bool { return s.ControlsVersion >= c.Version }) {
		o.controlsAccepted = true
		for _, t := range c.TakeOuts {
			o.domainOutAt[t.FailureDomain] = o.w.now
		}
		for _, d := range c.Drains {
			o.serverDrainedAt[d.Server] = o.w.now
		}
	}
	for v := uint64(1); v <= o.w.bundle.Version; v++ {
		if _, ok := o.bundleAcceptedAt[v]; ok {
			continue
		}
		if o.panelMajority(func(s model.DaemonStatus) bool { return s.BundleVersion >= v }) {
			o.bundleAcceptedAt[v] = o.w.now
		}
	}
}

// checkReply checks one reply that a caller got. sentAt is when the caller sent
// the request.
func (o *oracle) checkReply(n *node, req model.Request, r effect.ReplyQuery, sentAt time.Duration) {
	switch {
	case (r.Answer == nil) == (r.Refusal == nil):
		o.failf("reply to %s has not exactly one of answer and refusal", req.ID)
	case r.Refusal != nil:
		o.checkRefusal(n, req, r.Refusal)
	default:
		o.checkAnswer(n, req, r.Answer, sentAt)
	}
}

func (o *oracle) checkRefusal(n *node, req model.Request, r *model.Refusal) {
	o.refusals[r.Kind]++
	o.refusalReasons[r.Reason]++
	if r.Kind == model.NotRun && o.runs[req.ID] > 0 && !o.resent[req.ID] {
		o.failf("not run: %s was refused by %s as not run (%s) but ran %d times", req.ID, n.vm, r.Reason, o.runs[req.ID])
	}
	if r.Reason == "stopping" {
		o.failf("graceful stop: %s refused a request of a caller with a valid lookup answer", n.vm)
	}
}

func (o *oracle) checkAnswer(n *node, req model.Request, a *model.Answer, sentAt time.Duration) {
	o.answers++
	o.answersByLayout[a.Snapshot.Layout]++
	if a.Snapshot.IndexVersion > o.highestIndexVersion {
		o.indexVersionRises++
		o.highestIndexVersion = a.Snapshot.IndexVersion
	}
	if a.RequestID != req.ID {
		o.failf("reply: %s got the answer to %s", req.ID, a.RequestID)
	}
	if a.Asked != a.Answered+len(a.Missing) || a.Complete != (len(a.Missing) == 0) {
		o.failf("coverage: %s asked %d answered %d missing %d complete %v", req.ID, a.Asked, a.Answered, len(a.Missing), a.Complete)
	}
	if want := o.shardCount(req, a.Snapshot.Layout); want != a.Asked {
		o.failf("coverage: %s asked %d shards, layout %s has %d", req.ID, a.Asked, a.Snapshot.Layout, want)
	}
	if len(a.Items) != a.Answered {
		o.failf("coverage: %s has items of %d shards but says %d answered", req.ID, len(a.Items), a.Answered)
	}
	for _, it := range a.Items {
		f := strings.Split(string(it.Doc), "|")
		if f[0] != string(req.ID) {
			o.failf("reply: the answer to %s has an item of %s", req.ID, f[0])
		}
		if f[2] != string(a.Snapshot.Layout) || f[3] != strconv.FormatUint(a.Snapshot.IndexVersion, 10) {
			o.failf("snapshot: %s labelled %v has an item of %s/%s", req.ID, a.Snapshot, f[2], f[3])
		}
	}
	for _, m := range a.Missing {
		o.missingReasons[m.Reason]++
	}
	if a.Complete {
		o.completeAnswers++
		o.longestGap = max(o.longestGap, o.w.now-o.lastCompleteAt)
		o.lastCompleteAt = o.w.now
	}
	for v, at := range o.bundleAcceptedAt {
		if sentAt > at+settleTime && a.BundleVersion < v {
			o.failf("in force: %s answered with bundle %d a request that was sent %v after bundle %d was accepted", n.vm, a.BundleVersion, sentAt-at, v)
		}
	}
}

func (o *oracle) shardCount(req model.Request, layout model.LayoutName) int {
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

// exited is called when a daemon exits gracefully, and checks that it has replied
// to every request.
func (o *oracle) exited(n *node) {
	if st := n.state.Status(n.clock()); st.Running > 0 {
		o.failf("graceful stop: %s exits with %d queries running", n.vm, st.Running)
	}
}

// checkRepeat checks the reply to a request that was sent before. Such a request
// may be refused for more reasons, but what the reply says must still be true.
func (o *oracle) checkRepeat(n *node, req model.Request, reply any, sentAt time.Duration) {
	r := reply.(effect.ReplyQuery)
	if r.Refusal != nil {
		if r.Refusal.Kind == model.NotRun && !req.Idempotent && o.runs[req.ID] > 0 {
			o.failf("not run: repeat of %s at %s was refused as not run (%s) but it ran", req.ID, n.vm, r.Refusal.Reason)
		}
		return
	}
	if !req.Idempotent {
		// The answer may be the stored outcome of the first run, with the bundle of
		// that time.
		sentAt = 0
	}
	o.checkAnswer(n, req, r.Answer, sentAt)
}

// checkDrainRefusal is called by a backend server that refuses work because it
// drains.
func (o *oracle) checkDrainRefusal(b *fakeBackend, n *node) {
	o.drainRefusals++
	if o.w.now > b.drainedAt+settleTime && o.w.now > n.resumedAt+settleTime {
		o.failf("drain: %s got new work from %s %v after it began to drain", b.definition.Name, n.vm, o.w.now-b.drainedAt)
	}
}

// forgetClosures discards the take-outs and drains of the previous controls.
func (o *oracle) forgetClosures() {
	o.controlsAccepted = false
	clear(o.domainOutAt)
	clear(o.serverDrainedAt)
}
