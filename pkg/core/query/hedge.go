package query

import (
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// hedgeBurst bounds the unused hedges that a service accumulates.
const hedgeBurst = 20

// hedgeAt returns when to hedge an attempt that is sent now, or model.Never.
func (s *State) hedgeAt(c *eventContext, r *run, sh *shardRun) model.Time {
	estimate := r.service.latency.estimate
	if sh.hedged || estimate == 0 || !r.mayHedge() || len(sh.shard.Replicas) < 2 {
		return model.Never
	}
	return c.Now.Add(estimate)
}

// mayHedge reports whether the query may be hedged at all.
func (r *run) mayHedge() bool {
	return r.req.Idempotent && r.policy.HedgePercentile > 0 && r.policy.Routing != model.RoutingDirect
}

// hedgeShard plans a second attempt at another replica if the budget allows it.
// Otherwise, the hedge becomes due again after the same delay.
func (s *State) hedgeShard(c *eventContext, r *run, i int) {
	sh := &r.shards[i]
	sh.hedgeAt = model.Never
	p, reason := s.chooseReplica(c, r, i)
	if reason != "" || p.tries > 0 || c.Now >= r.subDeadline {
		return
	}
	if !r.service.hedgeTokens.tryTake() {
		sh.hedgeAt = s.hedgeAt(c, r, sh)
		return
	}
	sh.hedged = true
	p.kind = attemptHedge
	s.planned = append(s.planned, p)
	c.out.Log(logevent.QueryHedged,
		logevent.Str("request", r.req.ID),
		logevent.Str("shard", sh.shard.Name),
		logevent.Str("server", p.server),
		logevent.Str("owner", p.owner.VM))
}

// recordLatency records how long an attempt took. The elapsed time of a
// canceled or unfinished attempt counts too. Otherwise, the estimate would
// contain only the faster attempts and fall with every hedge.
func (s *State) recordLatency(c *eventContext, r *run, a *attempt) {
	if r.policy.HedgePercentile > 0 {
		r.service.latency.record(c.Now, c.Now.Sub(a.sentAt), r.policy.HedgePercentile)
	}
}
