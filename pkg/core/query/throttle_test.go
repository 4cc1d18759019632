package query

import (
	"fmt"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// runQueued runs n queries whose sub-results report the queue time that queue
// gives for their shard. It returns how many were refused before their fan-out.
func runQueued(h *harness, n int, queue func(model.ShardName) time.Duration) (refused int) {
	for i := range n {
		h.meta.Rand = uint64(i) << 57
		before := h.state.Counts().Admitted
		h.query(fmt.Sprint("q", i), nil)
		if h.state.Counts().Admitted == before {
			refused++
			h.takeSubs()
			continue
		}
		for _, x := range h.takeSubs() {
			r := x.result(model.OutcomeOK)
			r.Result.QueueTime = queue(x.sub.Shard)
			h.deliver(r)
		}
		h.advance(ms)
	}
	return refused
}

// Guards against fanning out queries of a service whose queues are all long,
// against refusing queries for one long queue, and against refusals that
// outlast the overload.
func TestThrottle(t *testing.T) {
	h := newHarness(t, 5)
	firstShardSlow := func(s model.ShardName) time.Duration {
		if s == "sh00" {
			return time.Second
		}
		return 0
	}
	if n := runQueued(h, 100, firstShardSlow); n > 0 {
		t.Errorf("%d queries refused because of one shard", n)
	}
	allShardsSlow := func(model.ShardName) time.Duration { return time.Second }
	if n := runQueued(h, 100, allShardsSlow); n < 50 || n == 100 {
		t.Errorf("%d of 100 queries of an overloaded service refused", n)
	}
	h.advance(10 * queueTimeHalfLife)
	if n := runQueued(h, 100, firstShardSlow); n > 0 {
		t.Errorf("%d queries refused after the overload", n)
	}
}

// Guards against sending all queries to one replica because of an old report,
// and against sending as many to a replica with a long queue as to the other.
func TestReplicaSpread(t *testing.T) {
	h := newHarness(t, 1)
	countFirstReplica := func(n int) (a int) {
		for i := range n {
			h.query(fmt.Sprint("q", i), nil)
			x := h.takeSubs()[0]
			r := x.result(model.OutcomeOK)
			r.Result.ServiceTime = 20 * ms
			if x.sub.Server == "s00a" {
				a++
				r.Result.QueueTime = 20 * ms
			}
			h.deliver(r)
			h.advance(ms)
		}
		return a
	}
	report := h.view.reports["s00a"]
	report.Load = 4 * report.Limit
	h.view.reports["s00a"] = report
	if a := countFirstReplica(400); a < 40 || a > 160 {
		t.Errorf("%d of 400 queries went to the replica with twice the time, want about 80", a)
	}
}

// Guards against refusing queries because a single one met long queues, as
// after a stall of the processor.
func TestThrottleSingleSample(t *testing.T) {
	for _, before := range []int{0, 20} {
		h := newHarness(t, 5)
		runQueued(h, before, func(model.ShardName) time.Duration { return 0 })
		runQueued(h, 1, func(model.ShardName) time.Duration { return time.Second })
		if n := runQueued(h, 100, func(model.ShardName) time.Duration { return 0 }); n > 0 {
			t.Errorf("%d of 100 queries refused after one long queue, %d queries before it", n, before)
		}
	}
}
