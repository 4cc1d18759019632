package capacity

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/core/query"
	"github.com/pistachiousher/pistachiousher/pkg/core/slots"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// itemsPerResult is the number of items in a shard's result.
	itemsPerResult = 10
	// docSize is the size of an item's document in bytes.
	docSize = 100
	// reducerCalls is the number of leaf calls of one repetition.
	reducerCalls = 40_000
	repeats      = 5
	queryTime    = 500 * time.Millisecond
)

// errReducer means that a reducer did not do the expected work.
var errReducer = errors.New("capacity: reducer gave unexpected effects")

func defaultPolicy() model.Policy {
	return model.Policy{
		Mode: model.CoverageFirst, Routing: model.RoutingOwned, MaxDeadline: 10 * time.Second,
		HedgePercentile: 95, HedgeBudget: 0.05, RetryBudget: 0.1, QueueLimit: 1000, MaxInFlight: 1000,
	}
}

func newItems(shard int) []model.Item {
	items := make([]model.Item, itemsPerResult)
	for i := range items {
		items[i] = model.Item{ID: fmt.Sprintf("doc-%d-%d", shard, i), Score: 1 / float64(1+i*shard), Doc: newDoc(shard, i)}
	}
	return items
}

// newDoc returns a document of words like those of the backend server stand-in,
// since connections between daemons compress messages.
func newDoc(shard, i int) []byte {
	words := strings.Fields(wideQuery)
	random := rand.New(rand.NewPCG(uint64(shard), uint64(i)))
	var doc []byte
	for len(doc) < docSize {
		doc = fmt.Appendf(doc, "%s %d ", words[random.IntN(len(words))], random.IntN(1000))
	}
	return doc[:docSize]
}

// factsView gives the query and slots reducers fixed facts: every leaf has an
// owner and a usable report.
type factsView struct {
	self    model.MemberRef
	bundle  *model.Bundle
	owners  map[model.ServerName]model.Member
	reports map[model.ServerName]model.ServerReport
}

func (v *factsView) Self() model.MemberRef                    { return v.self }
func (v *factsView) Bundle() *model.Bundle                    { return v.bundle }
func (v *factsView) Controls() *model.Controls                { return nil }
func (v *factsView) Epoch() uint64                            { return epochNumber }
func (v *factsView) Admits(event.Meta) (bool, string)         { return true, "" }
func (v *factsView) Peers() []model.MemberReport              { return nil }
func (v *factsView) MayAct(model.Time, model.ServerName) bool { return true }
func (v *factsView) HasLease(model.Time) bool                 { return true }
func (v *factsView) LeaseUntil(now model.Time) model.Time     { return now.Add(time.Hour) }
func (v *factsView) Daemons() int                             { return DesignDaemons }
func (v *factsView) Owner(n model.ServerName) (model.Member, bool) {
	m, ok := v.owners[n]
	return m, ok
}
func (v *factsView) Report(n model.ServerName) (model.ServerReport, bool) {
	r, ok := v.reports[n]
	return r, ok
}

// newFacts returns leafs with one replica per shard, spread over the given
// number of owners.
func newFacts(shards, owners int) *factsView {
	w := &world{bundle: newBundle(int(math.Ceil(float64(shards) / shardsPerLeafs)))}
	layout := &w.bundle.Services[0].Layouts[0]
	layout.Shards = layout.Shards[:shards]
	layout.Shards[shards-1].To = ""
	for i := range w.bundle.Servers {
		w.bundle.Servers[i].Slots = 1000
	}
	members := newMembers(owners + 1)
	w.epoch = newEpoch(w.bundle, epochNumber, members, nil)
	v := &factsView{
		self:    members[owners].MemberRef,
		bundle:  w.bundle,
		owners:  make(map[model.ServerName]model.Member),
		reports: make(map[model.ServerName]model.ServerReport),
	}
	for i := range w.bundle.Servers {
		name := w.bundle.Servers[i].Name
		v.owners[name] = members[i%owners]
		v.reports[name] = w.newReport(i)
	}
	return v
}

// entry drives the query reducer.
type entry struct {
	state *query.State
	meta  event.Meta
	token event.Token
	out   effect.List
	items [][]model.Item
	// opened is scratch space for the effects of one event.
	opened []effect.OpenExecute
}

// run runs one query to its answer and returns the number of events.
func (x *entry) run() (int, error) {
	x.token++
	x.meta.Now = x.meta.Now.Add(10 * time.Millisecond)
	x.out.Effects = x.out.Effects[:0]
	x.state.QueryArrived(x.meta, event.QueryArrived{Token: x.token, Request: model.Request{
		ID: "bench", Service: serviceName, Caller: callerName, Class: model.Normal, Idempotent: true,
		Deadline: x.meta.Now.Add(queryTime), Query: "linen", TopK: itemsPerResult,
	}}, &x.out)
	x.opened = x.opened[:0]
	for _, e := range x.out.Effects {
		if o, ok := e.(effect.OpenExecute); ok {
			x.opened = append(x.opened, o)
		}
	}
	events, shard := 1, 0
	for _, o := range x.opened {
		for _, sub := range o.Subs {
			x.out.Effects = x.out.Effects[:0]
			x.state.SubResultArrived(x.meta, event.SubResultArrived{Stream: o.Stream, Result: model.SubResult{
				Attempt: sub.Attempt, Shard: sub.Shard, Server: sub.Server, Snapshot: sub.Snapshot, Outcome: model.OutcomeOK,
				Items: x.items[shard], Count: itemsPerResult, ServiceTime: time.Millisecond,
			}}, &x.out)
			shard++
		}
	}
	if !x.answered() {
		return 0, fmt.Errorf("%w: no complete answer after %d results", errReducer, shard)
	}
	for _, o := range x.opened {
		x.out.Effects = x.out.Effects[:0]
		x.state.ExecuteEnded(x.meta, event.ExecuteEnded{Stream: o.Stream}, &x.out)
	}
	return events + shard + len(x.opened), nil
}

func (x *entry) answered() bool {
	for _, e := range x.out.Effects {
		if r, ok := e.(effect.ReplyQuery); ok {
			return r.Answer != nil && r.Answer.Complete
		}
	}
	return false
}

// entryReducer measures the CPU time of the query reducer per query, against
// the shards of a query, with the design scale's 3.4 shards per owner.
func entryReducer(r *Report) error {
	perQuery := Series{
		Name: "entry_reducer", X: "shards per query", Y: "CPU per query (µs)",
		Method: fmt.Sprintf("pkg/core/query alone, %d items per shard, one owner per 3.4 shards; least of %d", itemsPerResult, repeats),
	}
	perEvent := Series{
		Name: "entry_event", X: "shards per query", Y: "CPU per event (µs)", Method: perQuery.Method,
	}
	for _, shards := range []int{10, 100, 500, 1000, 1900} {
		owners := max(1, shards*DesignDaemons/DesignShards)
		v := newFacts(shards, owners)
		x := &entry{state: query.New(query.Config{View: v}), meta: event.Meta{Now: model.Time(time.Second), Wall: 1}}
		for i := range shards {
			x.items = append(x.items, newItems(i))
		}
		queries := max(3, reducerCalls/shards)
		events := 0
		used, err := leastCPU(repeats, func() error {
			events = 0
			for range queries {
				n, err := x.run()
				if err != nil {
					return err
				}
				events += n
			}
			return nil
		})
		if err != nil {
			return err
		}
		perQuery.Points = append(perQuery.Points, Point{float64(shards), micros(used, queries)})
		perEvent.Points = append(perEvent.Points, Point{float64(shards), micros(used, events)})
	}
	return errors.Join(r.add(perQuery), r.add(perEvent))
}

// owner drives the slots reducer.
type owner struct {
	state  *slots.State
	view   *factsView
	meta   event.Meta
	stream event.StreamID
	next   model.AttemptID
	out    effect.List
	calls  []effect.CallBackend
	items  []model.Item
}

// execute runs one message of k sub-requests to its last result.
func (x *owner) execute(k int) error {
	x.stream++
	x.meta.Now = x.meta.Now.Add(time.Millisecond)
	from := x.view.self
	subs := make([]model.SubRequest, k)
	for i := range subs {
		x.next++
		subs[i] = model.SubRequest{
			Attempt: x.next, RequestID: "bench", Service: serviceName, Caller: callerName, Class: model.Normal,
			Idempotent: true, Deadline: x.meta.Now.Add(queryTime), Query: "linen", TopK: itemsPerResult,
			Snapshot: model.Snapshot{Layout: layoutName, IndexVersion: indexVersion},
			Shard:    x.view.bundle.Services[0].Layouts[0].Shards[i].Name, Server: x.view.bundle.Servers[i].Name,
		}
	}
	x.out.Effects = x.out.Effects[:0]
	x.state.ExecuteArrived(x.meta, event.ExecuteArrived{
		Stream: event.Stream{From: from, ID: x.stream}, Subs: subs,
	}, &x.out)
	x.calls = x.calls[:0]
	for _, e := range x.out.Effects {
		if c, ok := e.(effect.CallBackend); ok {
			x.calls = append(x.calls, c)
		}
	}
	if len(x.calls) != k {
		return fmt.Errorf("%w: %d calls for %d sub-requests", errReducer, len(x.calls), k)
	}
	for i := range x.calls {
		c := &x.calls[i]
		x.out.Effects = x.out.Effects[:0]
		x.state.BackendAnswered(x.meta, event.BackendAnswered{From: from, Result: model.SubResult{
			Attempt: c.Sub.Attempt, Shard: c.Sub.Shard, Server: c.Sub.Server, Snapshot: c.Sub.Snapshot,
			Outcome: model.OutcomeOK, Items: x.items, Count: len(x.items), ServiceTime: time.Millisecond,
		}}, &x.out)
	}
	return nil
}

// messageSizes are the sub-requests per Execute message that are measured.
var messageSizes = []int{1, 10, 50, 100, 200}

// ownerReducer measures the CPU time of the slots reducer per Execute message,
// against the sub-requests of a message.
func ownerReducer(r *Report) error {
	s := Series{
		Name: "owner_reducer", X: "sub-requests per message", Y: "CPU per message (µs)",
		Method: fmt.Sprintf("pkg/core/slots alone, free slots, least of %d", repeats),
	}
	for _, k := range messageSizes {
		v := newFacts(k, 1)
		x := &owner{state: slots.New(&slots.Config{View: v}), view: v, meta: event.Meta{Now: model.Time(time.Second), Wall: 1}, items: newItems(1)}
		x.state.Refresh(x.meta, &x.out)
		messages := reducerCalls / k
		used, err := leastCPU(repeats, func() error {
			for range messages {
				if err := x.execute(k); err != nil {
					return err
				}
			}
			return nil
		})
		if err != nil {
			return err
		}
		s.Points = append(s.Points, Point{float64(k), micros(used, messages)})
	}
	return r.add(s)
}
