package capacity

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/backend"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// wideQuery matches most generated documents, so that the number of items is
// that asked for.
const wideQuery = "binding cover spine thread linen leather glue press ledger archive"

// leafCaller calls one backend server stand-in in another process.
type leafCaller struct {
	process *process
	client  *backend.Client
	next    atomic.Uint64
	items   atomic.Int64
}

func (x *leafCaller) call(topK int) error {
	sub := &model.SubRequest{
		Attempt: model.AttemptID(x.next.Add(1)), RequestID: "entry-001.18b.9f3.1", Service: serviceOf(1), Caller: callerName,
		Idempotent: true, Query: wideQuery, TopK: topK, Server: newServer(0).Name,
		Snapshot: model.Snapshot{Layout: layoutName, IndexVersion: indexVersion}, Shard: model.ShardName(shardName(0)),
	}
	reply := x.client.Search(context.Background(), x.process.addr.Backends[0], model.MemberRef{VM: "entry-001", Incarnation: 1}, sub, time.Now().Add(10*time.Second))
	if reply.Result.Outcome != model.OutcomeOK {
		return fmt.Errorf("%w: %v: %w", errAnswer, reply.Result.Outcome, reply.Err)
	}
	x.items.Add(int64(len(reply.Result.Items)))
	return nil
}

func (x *leafCaller) calls(n, topK int) error {
	return parallel(n, func(int) error { return x.call(topK) })
}

// leafCalls measures calls of backend servers by pkg/backend alone.
func leafCalls(r *Report) error {
	p, err := startProcess(ServeConfig{Leafs: 10, Members: 3, Services: []int{1}})
	if err != nil {
		return err
	}
	defer p.stop()
	x := &leafCaller{process: p, client: backend.New()}
	defer x.client.Close()
	method := fmt.Sprintf("pkg/backend (net/http, JSON) to a stand-in in another process, %d at once, rusage of this process; least of 3", workers)
	byCalls := Series{Name: "leaf_calls", X: "calls", Y: fmt.Sprintf("CPU of the owner, %d items per answer (ms)", itemsPerResult), Method: method}
	byItems := Series{Name: "leaf_items", X: "items per answer", Y: "CPU per call (µs)", Method: method}
	for _, n := range []int{500, 1000, 2000, 4000} {
		used, err := p.least(3, func() error { return x.calls(n, itemsPerResult) })
		if err != nil {
			return err
		}
		byCalls.Points = append(byCalls.Points, Point{float64(n), used.own.Seconds() * kilo})
	}
	const calls = 1500
	for _, topK := range []int{1, 5, 10, 20, 50} {
		x.items.Store(0)
		used, err := p.least(3, func() error { return x.calls(calls, topK) })
		if err != nil {
			return err
		}
		items := float64(x.items.Load()) / (3 * calls)
		byItems.Points = append(byItems.Points, Point{items, micros(used.own, calls)})
	}
	return errors.Join(r.add(byCalls), r.add(byItems))
}
