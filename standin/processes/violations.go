package processes

import (
	"context"
	"fmt"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/api"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/standin/backend"
	"github.com/pistachiousher/pistachiousher/standin/cluster"
)

// ServerLog holds the counts and the log of runs of one backend server.
type ServerLog struct {
	Server
	Counts backend.Counts
	Runs   []backend.Run
}

// Logs fetches the counts and the logs of runs of all backend servers.
func (t *Tier) Logs(ctx context.Context) ([]ServerLog, error) {
	var logs []ServerLog
	for _, s := range Servers() {
		l := ServerLog{Server: s}
		if err := t.getJSON(ctx, t.serverAddresses[s.Name], "/v1/control/counts", &l.Counts); err != nil {
			return nil, err
		}
		if err := t.getJSON(ctx, t.serverAddresses[s.Name], "/v1/control/runs", &l.Runs); err != nil {
			return nil, err
		}
		logs = append(logs, l)
	}
	return logs, nil
}

// requestShard identifies one request at one shard, whichever replica ran it.
type requestShard struct {
	request model.RequestID
	shard   backend.Shard
}

// Violations checks the servers' logs against the requests and describes each
// breach of these invariants: no order ran twice in a shard; no request refused
// as not run or invalid was run, and none was refused as invalid; a completely
// answered order ran once; no server got more requests than it has slots; and
// complete answers equal a direct search. A log that dropped runs is reported too,
// as it proves nothing about them.
func Violations(logs []ServerLog, requests []*Request) []string {
	var bad []string
	ran := make(map[requestShard]int)
	runsOf := make(map[model.RequestID]int)
	for _, l := range logs {
		bad = append(bad, slotViolations(l)...)
		for _, r := range l.Runs {
			key := requestShard{model.RequestID(r.RequestID), backend.Shard{Layout: r.Layout, Name: r.Shard}}
			ran[key]++
			runsOf[key.request]++
			if !r.Idempotent && ran[key] > 1 {
				bad = append(bad, fmt.Sprintf("order %s ran %d times in shard %s", key.request, ran[key], r.Shard))
			}
		}
	}
	want := expectedItems()
	for _, r := range requests {
		if text := r.violation(runsOf[r.ID], want); text != "" {
			bad = append(bad, fmt.Sprintf("%s request %s sent at %s: %s", r.Service, r.ID, r.Sent.Format(time.StampMilli), text))
		}
	}
	return bad
}

func slotViolations(l ServerLog) []string {
	var bad []string
	if l.Counts.Violations > 0 || l.Counts.MaxRunning > Slots {
		bad = append(bad, fmt.Sprintf("%s: %d requests arrived while all %d slots were taken, at most %d ran at once", l.Name, l.Counts.Violations, Slots, l.Counts.MaxRunning))
	}
	if l.Counts.RunsDropped > 0 {
		bad = append(bad, fmt.Sprintf("%s: %d runs were dropped from its log", l.Name, l.Counts.RunsDropped))
	}
	return bad
}

// violation compares the outcome of a request with how often the servers ran it.
// It returns a description of the mismatch, or "".
func (r *Request) violation(ran int, want map[string][]cluster.Item) string {
	refused := r.Refused()
	switch {
	case (refused == model.NotRun || refused == model.Invalid) && ran > 0:
		return fmt.Sprintf("refused as %s, but ran %d times", refused, ran)
	case refused == model.Invalid:
		return "refused as invalid: " + r.Err.Error()
	case !r.Idempotent && r.Complete() && ran != 1:
		return fmt.Sprintf("answered completely, but ran %d times", ran)
	case r.Complete() && !sameItems(r.Answer.Items, want[string(r.Answer.Snapshot.Layout)]):
		return fmt.Sprintf("answer of %d items differs from the direct search", len(r.Answer.Items))
	}
	return ""
}

// expectedItems returns the results of a direct search of the corpus, by layout.
func expectedItems() map[string][]cluster.Item {
	docs := backend.Generate(Corpus)
	want := make(map[string][]cluster.Item)
	for layout, shards := range map[string]int{LayoutQuarters: 4, LayoutHalves: 2, "all": 1} {
		l := model.Layout{Name: model.LayoutName(layout)}
		for i := range shards {
			s := evenShard(layout, i, shards)
			l.Shards = append(l.Shards, model.Shard{Name: model.ShardName(s.Name), From: s.From, To: s.To})
		}
		want[layout] = cluster.Search(&l, docs, queryText, topK, "")
	}
	return want
}

func sameItems(got []api.Item, want []cluster.Item) bool {
	if len(got) != len(want) || len(want) == 0 {
		return false
	}
	for i, w := range want {
		if got[i].ID != w.ID || got[i].Score != w.Score {
			return false
		}
	}
	return true
}

// RunsBetween counts the runs that the server started in [from, to).
func (l ServerLog) RunsBetween(from, to time.Time) int {
	n := 0
	for _, r := range l.Runs {
		if !r.Start.Before(from) && r.Start.Before(to) {
			n++
		}
	}
	return n
}
