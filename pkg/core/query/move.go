package query

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// minMoveTime is the least time for which a query is moved while no latency
// estimate is known.
const minMoveTime = 5 * time.Millisecond

// moveSnapshot moves an idempotent query as a whole to a newer snapshot, once,
// if time remains and the newer one serves more of the query than the pinned
// one still can. All earlier sub-results are discarded.
func (s *State) moveSnapshot(c *step, r *run) bool {
	need := max(r.service.latency.estimate, minMoveTime)
	if r.moved || !r.req.Idempotent || c.Now.Add(need) > r.subDeadline {
		return false
	}
	svc, ok := r.bundle.Service(r.req.Service)
	if !ok {
		return false
	}
	old := r.snapshot
	p, _ := s.choosePin(c, &pinRequest{
		bundle: r.bundle, service: svc, key: r.req.Key, gone: r.gone, newerThan: &old,
	})
	if p.askedServed*len(r.shards) <= r.reachable()*p.asked {
		return false
	}
	c.out.Log(logevent.QueryMoved,
		logevent.Str("request", r.req.ID),
		logevent.Str("from_layout", old.Layout),
		logevent.Int("from_version", old.IndexVersion))
	s.counts.Moves++
	r.moved = true
	s.closeStreams(c, r)
	s.picks = s.picks[:0]
	s.fanOut(c, r, p)
	return true
}

// reachable counts the shards that the pinned snapshot may still answer.
func (r *run) reachable() int {
	n := 0
	for i := range r.shards {
		sh := &r.shards[i]
		if sh.state == shardMissing || sh.state == shardOpen && sh.live == 0 && sh.last == model.OutcomeVersionGone {
			continue
		}
		n++
	}
	return n
}
