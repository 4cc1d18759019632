package query

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// minMoveTime is the shortest remaining time in which a query still moves to
// another snapshot. A longer latency estimate replaces it.
const minMoveTime = 5 * time.Millisecond

// moveSnapshot moves an idempotent query as a whole to a newer snapshot if
// enough time is left and the newer snapshot serves a larger fraction of the
// query than the current one still can. A query moves at most once. All earlier
// sub-results are discarded.
func (s *State) moveSnapshot(c *eventContext, r *run) bool {
	minTime := max(r.service.latency.estimate, minMoveTime)
	if r.moved || !r.req.Idempotent || c.Now.Add(minTime) > r.subDeadline {
		return false
	}
	svc, ok := r.bundle.Service(r.req.Service)
	if !ok {
		return false
	}
	old := r.snapshot
	choice, _ := s.chooseSnapshot(c, &snapshotRequest{
		bundle: r.bundle, service: svc, key: r.req.Key, versionGoneReplies: r.versionGoneReplies, newerThan: &old,
	})
	if choice.askedServed*len(r.shards) <= r.reachableShards()*choice.asked {
		return false
	}
	c.out.Log(logevent.QueryMoved,
		logevent.Str("request", r.req.ID),
		logevent.Str("from_layout", old.Layout),
		logevent.Int("from_version", old.IndexVersion))
	s.counts.SnapshotMoves++
	r.moved = true
	s.closeStreams(c, r)
	s.planned = s.planned[:0]
	s.fanOut(c, r, choice)
	return true
}

// reachableShards counts the shards that are answered or can still be answered
// in the current snapshot.
func (r *run) reachableShards() int {
	n := 0
	for i := range r.shards {
		sh := &r.shards[i]
		if sh.state == shardMissing || sh.state == shardOpen && sh.liveAttempts == 0 && sh.lastOutcome == model.OutcomeVersionGone {
			continue
		}
		n++
	}
	return n
}
