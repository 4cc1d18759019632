package demo

import (
	"fmt"
	"sync"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/api"
	"github.com/pistachiousher/pistachiousher/pkg/loadgen"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/standin/backend"
	"github.com/pistachiousher/pistachiousher/standin/cluster"
)

// expectedResults caches the results of direct searches, which are slow.
type expectedResults struct {
	cluster *cluster.Cluster

	mu    sync.Mutex
	items map[string][]cluster.Item
}

// check compares an answer with a direct search over the shards that it does not
// list as missing, and its number of shards asked with the service's. It
// describes the first difference, or returns "" if there is none.
func (e *expectedResults) check(service model.ServiceName, q api.QueryRequest, a *api.Answer) string {
	if asked := e.countShards(service, q.Key); a.Shards.Asked != asked {
		return fmt.Sprintf("request %s: answer says that %d shards were asked, want %d", a.RequestID, a.Shards.Asked, asked)
	}
	want, err := e.search(service, q, a.Shards.Missing)
	if err != nil {
		return err.Error()
	}
	if len(a.Items) != len(want) {
		return fmt.Sprintf("request %s, %q to %s: %d items, the direct search has %d", a.RequestID, q.Query, service, len(a.Items), len(want))
	}
	for i, w := range want {
		if got := a.Items[i]; got.ID != w.ID || got.Score != w.Score {
			return fmt.Sprintf("request %s, %q to %s: item %d is %s, the direct search has %s", a.RequestID, q.Query, service, i, got.ID, w.ID)
		}
	}
	return ""
}

// countShards returns the number of shards that a query must ask.
func (e *expectedResults) countShards(service model.ServiceName, key string) int {
	s, ok := e.cluster.Bundle().Service(service)
	if !ok {
		return 0
	}
	n := 0
	for _, shard := range s.Layouts[len(s.Layouts)-1].Shards {
		if key == "" || shard.Holds(key) {
			n++
		}
	}
	return n
}

func (e *expectedResults) search(service model.ServiceName, q api.QueryRequest, missing []api.MissingShard) ([]cluster.Item, error) {
	names := make([]model.ShardName, len(missing))
	for i, m := range missing {
		names[i] = m.Shard
	}
	id := fmt.Sprintf("%s %q %q %d %q", service, q.Query, q.Key, q.TopK, names)
	e.mu.Lock()
	defer e.mu.Unlock()
	if items, ok := e.items[id]; ok {
		return items, nil
	}
	items, err := e.cluster.Expect(service, q.Query, q.TopK, q.Key, names...)
	if err == nil {
		e.items[id] = items
	}
	return items, err
}

// sentRequests records the requests of the load with their outcomes.
type sentRequests struct {
	mu  sync.Mutex
	all []sentRequest
}

type sentRequest struct {
	id         model.RequestID
	idempotent bool
	outcome    loadgen.Outcome
}

func (s *sentRequests) add(id model.RequestID, idempotent bool, o loadgen.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, sentRequest{id: id, idempotent: idempotent, outcome: o})
}

// shardRun identifies the work of a request at one shard.
type shardRun struct {
	id    model.RequestID
	shard backend.Shard
}

// checkRuns compares what the backend servers ran with the outcomes reported to
// callers.
func (d *demo) checkRuns() {
	runs := make(map[shardRun]int)
	shards := make(map[model.RequestID]int)
	for _, s := range d.cluster.Bundle().Servers {
		server := d.cluster.Backend(s.Name)
		if n := server.Counts().RunsDropped; n > 0 {
			d.report.addFault("%s dropped %d entries of its log, so the checks are not complete", s.Name, n)
		}
		if n := server.Counts().Violations; n > 0 {
			d.report.addFault("%s got %d requests above its slots", s.Name, n)
		}
		for _, r := range server.Runs() {
			work := shardRun{id: model.RequestID(r.RequestID), shard: backend.Shard{Layout: r.Layout, Name: r.Shard}}
			if runs[work]++; runs[work] == 1 {
				shards[work.id]++
			}
		}
		if s.FailureDomain == outDomain {
			d.checkDomain(s.Name, server.Runs())
		}
	}
	d.checkRequests(runs, shards)
	if d.report.RunsBefore == 0 || d.report.RunsAfter == 0 {
		d.report.addFault("%s ran %d requests before it was taken out and %d after it was brought back; both must be above 0",
			outDomain, d.report.RunsBefore, d.report.RunsAfter)
	}
}

// checkDomain checks the runs of a backend server in the failure domain that was
// taken out: it reports runs that started later than stopWorkLimit after the
// take-out and before the failure domain was brought back.
func (d *demo) checkDomain(name model.ServerName, runs []backend.Run) {
	for _, r := range runs {
		switch {
		case r.Start.Before(d.takenOut):
			d.report.RunsBefore++
		case !r.Start.Before(d.broughtBack):
			d.report.RunsAfter++
		default:
			after := r.Start.Sub(d.takenOut)
			d.report.LastWorkSeconds = max(d.report.LastWorkSeconds, after.Seconds())
			if after > stopWorkLimit {
				d.report.addFault("%s got new work %v after %s was taken out", name, after.Round(time.Millisecond), outDomain)
			}
		}
	}
}

// checkRequests checks that requests that are not idempotent ran at most once at
// each shard, and somewhere if answered completely, and that requests refused as
// not run did not run.
func (d *demo) checkRequests(runs map[shardRun]int, shards map[model.RequestID]int) {
	orders := make(map[model.RequestID]bool)
	for _, s := range d.sent.all {
		if s.outcome == loadgen.NotRun && s.id != "" && shards[s.id] > 0 {
			d.report.addFault("request %s was refused as not run but ran", s.id)
		}
		if !s.idempotent {
			orders[s.id] = true
			d.report.Orders++
		}
		if !s.idempotent && s.outcome == loadgen.Complete && shards[s.id] == 0 {
			d.report.addFault("order %s was answered but ran nowhere", s.id)
		}
	}
	for work, n := range runs {
		if orders[work.id] && n > 1 {
			d.report.addFault("order %s ran %d times at shard %s", work.id, n, work.shard.Name)
		}
	}
}
