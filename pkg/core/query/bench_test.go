package query

import (
	"fmt"
	"testing"

	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// BenchmarkEvent measures the cost per event of queries with 10 items per
// shard, for the current and the planned number of shards.
func BenchmarkEvent(b *testing.B) {
	for _, bm := range []struct{ shards, backlog int }{{10, 2000}, {1900, 20}} {
		b.Run(fmt.Sprintf("shards=%d", bm.shards), func(b *testing.B) { benchmark(b, bm.shards, bm.backlog) })
	}
}

// benchmark runs queries to their end while backlog other queries wait.
func benchmark(b *testing.B, shards, backlog int) {
	h := newHarness(b, shards)
	h.view.policy().MaxInFlight = 10_000
	h.warmUp(10)
	for i := range backlog {
		h.query(fmt.Sprint("backlog", i), nil)
	}
	items := make([][]model.Item, shards)
	for i := range items {
		for j := range 10 {
			items[i] = append(items[i], model.Item{ID: fmt.Sprintf("item%d.%d", i, j), Score: float64(-shards*j - i)})
		}
	}
	req := model.Request{ID: "bench", Service: "arhiv", Caller: "bench", Idempotent: true, Query: "q"}
	events := 0
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; events < b.N; i++ {
		events += h.runQuery(event.QueryArrived{Token: event.Token(1 << 40), Request: req}, items)
	}
}

// runQuery runs one query to its end and returns the number of events.
func (h *harness) runQuery(e event.QueryArrived, items [][]model.Item) (events int) {
	h.setNow(h.meta.Now.Add(1000))
	e.Request.Deadline = h.meta.Now.Add(500 * ms)
	h.out.Effects = h.out.Effects[:0]
	h.state.QueryArrived(h.meta, e, &h.out)
	r := h.state.runs[e.Token]
	for i := range r.attempts {
		a := &r.attempts[i]
		h.out.Effects = h.out.Effects[:0]
		h.state.SubResultArrived(h.meta, event.SubResultArrived{Stream: a.stream, Result: model.SubResult{
			Attempt: a.id, Shard: r.shards[a.shard].shard.Name, Server: a.server, Snapshot: r.snapshot,
			Outcome: model.OutcomeOK, Items: items[a.shard], Count: len(items[a.shard]),
		}}, &h.out)
	}
	for _, id := range r.streams {
		h.state.ExecuteEnded(h.meta, event.ExecuteEnded{Stream: id}, &h.out)
	}
	return 1 + len(r.attempts) + len(r.streams)
}
