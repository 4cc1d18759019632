package capacity

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/api"
	"github.com/pistachiousher/pistachiousher/pkg/controls"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

func encodeControls(version uint64) ([]byte, error) {
	return controls.Encode(&model.Controls{Version: version})
}

// queryShards are the shards of the measured services.
var queryShards = []int{5, 10, 20, 40}

// daemonQueries measures whole queries at one daemon that is also the owner of
// all leafs, against the shards of a query. The slope is the cost of a leaf call
// through the runtime, the reducer and the backend client; the rest of a query,
// with its caller in this process, is the intercept.
func daemonQueries(r *Report) error {
	p, err := startProcess(ServeConfig{Leafs: 10, Members: 3, Services: queryShards})
	if err != nil {
		return err
	}
	defer p.stop()
	var services []testService
	first := 0
	for _, n := range queryShards {
		services = append(services, testService{name: string(serviceOf(n)), first: first, leafs: p.addr.Backends[first : first+n]})
		first += n
	}
	t, err := newTestbed(1, testYAML(services, backendSlots, 2*backendSlots))
	if err != nil {
		return err
	}
	defer t.close()
	s := Series{
		Name: "daemon_query", X: "shards per query", Y: "CPU per query of the daemon and its caller (µs)",
		Method: fmt.Sprintf("pkg/daemon, owner of all leafs, stand-ins in another process, %d queries at once, %d items; least of 3", workers, itemsPerResult),
	}
	q := &querier{address: *t.daemons[0].caller.Load()}
	for _, n := range queryShards {
		service := serviceOf(n)
		var last error
		if err := await(settleTimeout, func() bool { last = q.query(service); return last == nil }); err != nil {
			return fmt.Errorf("%s: %w: %w", service, err, last)
		}
		queries := 12_000 / n
		used, err := p.least(3, func() error {
			return parallel(queries, func(int) error { return q.query(service) })
		})
		if err != nil {
			return err
		}
		s.Points = append(s.Points, Point{float64(n), micros(used.own, queries)})
	}
	return r.add(s)
}

// querier sends queries and takes complete answers only.
type querier struct {
	client  api.Client
	address string
	next    atomic.Int64
}

func (q *querier) query(service model.ServiceName) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	answer, _, err := q.client.Query(ctx, q.address, service, api.QueryRequest{
		Caller: callerName, RequestID: model.RequestID(fmt.Sprintf("q%d", q.next.Add(1))), Idempotent: true,
		DeadlineMS: 5000, Query: wideQuery, TopK: itemsPerResult,
	})
	if err != nil {
		return err
	}
	if !answer.Complete {
		return fmt.Errorf("%w: %d of %d shards", errAnswer, answer.Shards.Answered, answer.Shards.Asked)
	}
	return nil
}
