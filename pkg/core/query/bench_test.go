package query

import (
	"fmt"
	"testing"

	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// BenchmarkEvent runs queries of 10 shards with 10 items each and reports the
// cost per event, with a backlog of 2000 other queries.
func BenchmarkEvent(b *testing.B) {
	h := newHarness(b, 10)
	h.v.policy().MaxInFlight = 10_000
	h.warm(10)
	for i := range 2000 {
		h.query(fmt.Sprint("backlog", i), nil)
	}
	items := make([][]model.Item, 10)
	for i := range items {
		for j := range 10 {
			items[i] = append(items[i], model.Item{ID: fmt.Sprint("item", i, j), Score: float64(100 - 10*j - i)})
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
func (h *harness) runQuery(e event.QueryArrived, items [][]model.Item) int {
	h.set(h.meta.Now.Add(1000))
	e.Request.Deadline = h.meta.Now.Add(500 * ms)
	h.reset()
	h.s.QueryArrived(h.meta, e, &h.out)
	n := 1
	r := h.s.runs[e.Token]
	for i := range r.attempts {
		a := &r.attempts[i]
		h.reset()
		h.s.SubResultArrived(h.meta, event.SubResultArrived{Stream: a.stream, Result: model.SubResult{
			Attempt: a.id, Shard: r.shards[a.shard].shard.Name, Server: a.server, Snapshot: r.snapshot,
			Outcome: model.OutcomeOK, Items: items[a.shard], Count: len(items[a.shard]),
		}}, &h.out)
		n++
	}
	for _, id := range r.streams {
		h.reset()
		h.s.ExecuteEnded(h.meta, event.ExecuteEnded{Stream: id}, &h.out)
		n++
	}
	return n
}
