package query

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const ms = time.Millisecond

var self = model.MemberRef{VM: "vm0", Incarnation: 0xa}

// fakeView is a View that the test sets. At first it has one layout, whose
// shard i has the replicas s<i>a and s<i>b, owned by vm1 and vm2.
type fakeView struct {
	self         model.MemberRef
	bundle       *model.Bundle
	controls     *model.Controls
	refuseReason string
	noLease      bool
	owners       map[model.ServerName]model.Member
	reports      map[model.ServerName]model.ServerReport
	peers        []model.MemberReport
}

func (v *fakeView) Self() model.MemberRef            { return v.self }
func (v *fakeView) Bundle() *model.Bundle            { return v.bundle }
func (v *fakeView) Controls() *model.Controls        { return v.controls }
func (v *fakeView) Epoch() uint64                    { return 3 }
func (v *fakeView) Admits(event.Meta) (bool, string) { return v.refuseReason == "", v.refuseReason }
func (v *fakeView) HasLease(model.Time) bool         { return !v.noLease }
func (v *fakeView) Peers() []model.MemberReport      { return v.peers }
func (v *fakeView) Owner(n model.ServerName) (model.Member, bool) {
	m, ok := v.owners[n]
	return m, ok
}
func (v *fakeView) Report(n model.ServerName) (model.ServerReport, bool) {
	r, ok := v.reports[n]
	return r, ok
}

func member(vm model.VM, domain model.FailureDomain) model.Member {
	return model.Member{
		MemberRef:     model.MemberRef{VM: vm, Incarnation: 0xa},
		FailureDomain: domain, PeerAddress: string(vm) + ":1", CallerAddress: string(vm) + ":2",
	}
}

func newView(shards int) *fakeView {
	v := &fakeView{
		self: self, controls: &model.Controls{},
		owners:  map[model.ServerName]model.Member{},
		reports: map[model.ServerName]model.ServerReport{},
	}
	layout := model.Layout{Name: "l1"}
	b := &model.Bundle{Version: 7}
	for i := range shards {
		name := model.ShardName(fmt.Sprintf("sh%02d", i))
		sh := model.Shard{Name: name, From: fmt.Sprintf("%02d", i), To: fmt.Sprintf("%02d", i+1)}
		for j, suffix := range []string{"a", "b"} {
			server := model.ServerName(fmt.Sprintf("s%02d%s", i, suffix))
			sh.Replicas = append(sh.Replicas, server)
			domain := model.FailureDomain("d" + strconv.Itoa(j+1))
			b.Servers = append(b.Servers, model.BackendServer{Name: server, FailureDomain: domain})
			v.owners[server] = member(model.VM("vm"+strconv.Itoa(j+1)), domain)
			v.reports[server] = model.ServerReport{Server: server, Usable: true, Limit: 2,
				Serves: []model.Serving{{Layout: "l1", Shard: name, Versions: []uint64{4, 5}}}}
		}
		layout.Shards = append(layout.Shards, sh)
	}
	b.Services = []model.Service{{
		Name: "arhiv", Layouts: []model.Layout{layout},
		Callers: []model.Caller{{Name: "bench", Share: 0.5}, {Name: "batch", Share: 0.1}},
		Policy: model.Policy{Mode: model.CoverageFirst, Routing: model.RoutingOwned, MaxDeadline: time.Second,
			HedgePercentile: 95, HedgeBudget: 0.05, RetryBudget: 0.1, MaxInFlight: 1000},
	}}
	b.Index()
	v.bundle = b
	for i, d := range []model.FailureDomain{"d1", "d1", "d2"} {
		v.peers = append(v.peers, model.MemberReport{Member: member(model.VM("vm"+strconv.Itoa(i)), d), Serving: true})
	}
	return v
}

func (v *fakeView) policy() *model.Policy { return &v.bundle.Services[0].Policy }

// setVersions sets the versions that the server's report lists for its first
// shard.
func (v *fakeView) setVersions(server model.ServerName, versions ...uint64) {
	r := v.reports[server]
	r.Serves = slices.Clone(r.Serves)
	r.Serves[0].Versions = versions
	v.reports[server] = r
}

// addLayout adds a later layout of 2 shards. If ready, all their replicas serve
// version 5 of it.
func (v *fakeView) addLayout(ready bool) {
	layout := model.Layout{Name: "l2"}
	for i, servers := range [][]model.ServerName{{"s00a", "s01a"}, {"s02b", "s03b"}} {
		name := model.ShardName(fmt.Sprintf("new%d", i))
		layout.Shards = append(layout.Shards, model.Shard{Name: name, Replicas: servers})
		for _, s := range servers {
			if r := v.reports[s]; ready {
				r.Serves = append(r.Serves, model.Serving{Layout: "l2", Shard: name, Versions: []uint64{5}})
				v.reports[s] = r
			}
		}
	}
	svc := &v.bundle.Services[0]
	svc.Layouts = append(svc.Layouts, layout)
}

// harness drives a State and collects its effects.
type harness struct {
	t     testing.TB
	view  *fakeView
	state *State
	meta  event.Meta
	token event.Token

	out      effect.List
	sentSubs []sentSubRequest
	replies  map[event.Token]effect.ReplyQuery
}

func newHarness(t testing.TB, shards int) *harness {
	v := newView(shards)
	return &harness{t: t, view: v, state: New(Config{View: v}),
		meta:    event.Meta{Now: model.Time(time.Second), Wall: 1_000_000, Rand: 5},
		replies: map[event.Token]effect.ReplyQuery{}}
}

// apply runs one event and collects its effects.
func (h *harness) apply(run func()) {
	h.t.Helper()
	h.out.Effects = h.out.Effects[:0]
	run()
	for _, e := range h.out.Effects {
		switch e := e.(type) {
		case effect.OpenExecute:
			for _, sub := range e.Subs {
				h.sentSubs = append(h.sentSubs, sentSubRequest{e.Stream, e.Peer, sub})
			}
		case effect.ReplyQuery:
			if _, ok := h.replies[e.Token]; ok || (e.Answer == nil) == (e.Refusal == nil) {
				h.t.Fatalf("second or wrong reply: %+v", e)
			}
			h.replies[e.Token] = e
		}
	}
}

// advance moves the clocks forward by d and calls Tick whenever the state asks
// for it.
func (h *harness) advance(d time.Duration) {
	h.t.Helper()
	end := h.meta.Now.Add(d)
	for h.state.NextWake() <= end {
		h.setNow(max(h.state.NextWake(), h.meta.Now))
		h.apply(func() { h.state.Tick(h.meta, &h.out) })
	}
	h.setNow(end)
}

func (h *harness) setNow(now model.Time) {
	h.meta.Wall += now.Sub(h.meta.Now).Milliseconds()
	h.meta.Now = now
}

func (h *harness) query(id string, change func(*event.QueryArrived)) event.Token {
	h.t.Helper()
	h.token++
	e := event.QueryArrived{Token: h.token, Request: model.Request{
		ID: model.RequestID(id), Service: "arhiv", Caller: "bench", Class: model.Normal,
		Idempotent: true, Deadline: h.meta.Now.Add(500 * ms), Query: "q",
	}}
	if change != nil {
		change(&e)
	}
	h.apply(func() { h.state.QueryArrived(h.meta, e, &h.out) })
	return h.token
}

func nonIdempotent(e *event.QueryArrived) { e.Request.Idempotent = false }

// takeSubs returns the sub-requests sent since the last call.
func (h *harness) takeSubs() []sentSubRequest {
	all := h.sentSubs
	h.sentSubs = nil
	return all
}

type sentSubRequest struct {
	stream event.StreamID
	peer   model.VM
	sub    model.SubRequest
}

func (x sentSubRequest) result(o model.Outcome) event.SubResultArrived {
	r := event.SubResultArrived{Stream: x.stream, Result: model.SubResult{
		Attempt: x.sub.Attempt, Shard: x.sub.Shard, Server: x.sub.Server, Snapshot: x.sub.Snapshot, Outcome: o,
	}}
	if o == model.OutcomeOK {
		id := fmt.Sprintf("%s@%d", x.sub.Shard, x.sub.Snapshot.IndexVersion)
		r.Result.Items = []model.Item{{ID: id, Score: float64(x.sub.Attempt)}}
		r.Result.Count = 1
	}
	return r
}

func (h *harness) deliver(r event.SubResultArrived) {
	h.t.Helper()
	h.apply(func() { h.state.SubResultArrived(h.meta, r, &h.out) })
}

func (h *harness) endStream(stream event.StreamID, notSent bool) {
	h.t.Helper()
	h.apply(func() { h.state.ExecuteEnded(h.meta, event.ExecuteEnded{Stream: stream, NotSent: notSent}, &h.out) })
}

func (h *harness) wantAnswer(t event.Token) *model.Answer {
	h.t.Helper()
	a := h.replies[t].Answer
	if a == nil {
		h.t.Fatalf("no answer to %d: %+v", t, h.replies[t].Refusal)
	}
	if a.Asked != a.Answered+len(a.Missing) || a.Complete != (len(a.Missing) == 0) {
		h.t.Fatalf("wrong coverage: %+v", a)
	}
	return a
}

func (h *harness) wantRefusal(t event.Token, kind model.RefusalKind) *model.Refusal {
	h.t.Helper()
	r := h.replies[t].Refusal
	if r == nil || r.Kind != kind {
		h.t.Fatalf("want refusal %s, got refusal %+v and answer %+v", kind, r, h.replies[t].Answer)
	}
	return r
}

// checkFreed fails the test if state of any query is left.
func (h *harness) checkFreed() {
	h.t.Helper()
	s := h.state
	left := []int{len(s.runs), len(s.streams), len(s.forwards), len(s.timers.timers), s.Running()}
	for _, sv := range s.services {
		left = append(left, sv.running, len(sv.runningByCaller))
	}
	if slices.Max(left) != 0 {
		h.t.Fatalf("runs, streams, forwards, timers, running, then running and callers of each service left: %v", left)
	}
}

// requestID returns a request id that self may start.
func (h *harness) requestID(n int) string {
	return requestIDPrefix(self, h.meta.Wall, 1) + "." + strconv.Itoa(n)
}
