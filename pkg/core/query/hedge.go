package query

import (
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// hedgeBurst bounds the hedges saved up in quiet times.
const hedgeBurst = 20

// hedgeAt returns when an attempt that is sent now is hedged.
func (s *State) hedgeAt(c *step, r *run, sh *shardRun) model.Time {
	estimate := r.service.latency.estimate
	if sh.hedged || estimate == 0 || !r.hedges() || len(sh.shard.Replicas) < 2 {
		return model.Never
	}
	return c.Now.Add(estimate)
}

// hedges reports whether the query may be hedged at all.
func (r *run) hedges() bool {
	return r.req.Idempotent && r.policy.HedgePercentile > 0 && r.policy.Routing != model.RoutingDirect
}

// hedge sends a second attempt to another replica, within the budget. Without
// budget it looks again after the same delay.
func (s *State) hedge(c *step, r *run, i int) {
	sh := &r.shards[i]
	sh.hedgeAt = model.Never
	p, why := s.choose(c, r, i)
	if why != "" || p.tries > 0 || c.Now >= r.subDeadline {
		return
	}
	if !r.service.hedges.take() {
		sh.hedgeAt = s.hedgeAt(c, r, sh)
		return
	}
	sh.hedged = true
	p.kind = attemptHedge
	s.picks = append(s.picks, p)
	c.out.Log(logevent.QueryHedged,
		logevent.Str("request", r.req.ID),
		logevent.Str("shard", sh.shard.Name),
		logevent.Str("server", p.server),
		logevent.Str("owner", p.owner.VM))
}

// sampleLatency records the time that an attempt took. The elapsed time of a
// canceled or unfinished attempt counts too: without it the estimate would
// only know the winners and fall with every hedge.
func (s *State) sampleLatency(c *step, r *run, a *attempt) {
	if r.policy.HedgePercentile > 0 {
		r.service.latency.record(c.Now, c.Now.Sub(a.sentAt), r.policy.HedgePercentile)
	}
}
