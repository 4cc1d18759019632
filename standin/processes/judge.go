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

// ServerLog is what one backend server logged.
type ServerLog struct {
	Server
	Counts backend.Counts
	Runs   []backend.Run
}

// Logs reads the logs of all backend servers.
func (t *Tier) Logs(ctx context.Context) ([]ServerLog, error) {
	var logs []ServerLog
	for _, s := range Servers() {
		l := ServerLog{Server: s}
		if err := t.get(ctx, t.address[s.Name], "/v1/control/counts", &l.Counts); err != nil {
			return nil, err
		}
		if err := t.get(ctx, t.address[s.Name], "/v1/control/runs", &l.Runs); err != nil {
			return nil, err
		}
		logs = append(logs, l)
	}
	return logs, nil
}

// runKey names the work of one request at one shard, at whichever replica.
type runKey struct {
	request model.RequestID
	shard   backend.Shard
}

// Violations checks what must hold in every run, by the servers' logs: no order
// ran twice, no request ran that the caller was told did not, an answered order
// ran once, no server got more than its slots, and answers match a direct
// search.
func Violations(logs []ServerLog, requests []*Request) []string {
	var bad []string
	ran := make(map[runKey]int)
	ranAt := make(map[model.RequestID]int)
	for _, l := range logs {
		bad = append(bad, slotViolations(l)...)
		for _, r := range l.Runs {
			key := runKey{model.RequestID(r.RequestID), backend.Shard{Layout: r.Layout, Name: r.Shard}}
			ran[key]++
			ranAt[key.request]++
			if !r.Idempotent && ran[key] > 1 {
				bad = append(bad, fmt.Sprintf("order %s ran %d times in shard %s", key.request, ran[key], r.Shard))
			}
		}
	}
	want := expected()
	for _, r := range requests {
		if text := r.violation(ranAt[r.ID], want); text != "" {
			bad = append(bad, fmt.Sprintf("%s request %s of %s: %s", r.Service, r.ID, r.Sent.Format(time.StampMilli), text))
		}
	}
	return bad
}

func slotViolations(l ServerLog) []string {
	var bad []string
	if l.Counts.Violations > 0 || l.Counts.MaxRunning > Slots {
		bad = append(bad, fmt.Sprintf("%s: %d requests over its %d slots, %d at once", l.Name, l.Counts.Violations, Slots, l.Counts.MaxRunning))
	}
	if l.Counts.RunsDropped > 0 {
		bad = append(bad, fmt.Sprintf("%s: its log lacks %d runs", l.Name, l.Counts.RunsDropped))
	}
	return bad
}

// violation compares how a request ended with how often its servers ran it.
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

// expected searches the corpus directly in each layout.
func expected() map[string][]cluster.Item {
	docs := backend.Generate(Corpus)
	want := make(map[string][]cluster.Item)
	for layout, n := range map[string]int{LayoutQuarters: 4, LayoutHalves: 2, "all": 1} {
		l := model.Layout{Name: model.LayoutName(layout)}
		for i := range n {
			v := shard(layout, i, n)
			l.Shards = append(l.Shards, model.Shard{Name: model.ShardName(v.Name), From: v.From, To: v.To})
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

// RunsBetween counts the runs of a server that began in [from, to).
func (l ServerLog) RunsBetween(from, to time.Time) int {
	n := 0
	for _, r := range l.Runs {
		if !r.Start.Before(from) && r.Start.Before(to) {
			n++
		}
	}
	return n
}
