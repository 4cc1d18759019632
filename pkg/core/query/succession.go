package query

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// ownerCheck is the time between checks whether the owner that runs an attempt
// is still the owner. A VM that dies without closing its connections is
// replaced as owner long before its streams end.
const ownerCheck = 250 * time.Millisecond

// checkAt returns when to look at a shard whose attempt is live. Only
// idempotent queries can do something about a lost owner.
func (r *run) checkAt(now model.Time, sh *shardRun) model.Time {
	if !r.req.Idempotent || !r.owned() {
		return sh.hedgeAt
	}
	return min(sh.hedgeAt, now.Add(ownerCheck))
}

// ownerLost ends the shard's attempts at servers that have another owner by
// now. A planned handover waits for running attempts, so these are lost.
func (s *State) ownerLost(c *step, r *run, i int) bool {
	if !r.req.Idempotent || !r.owned() {
		return false
	}
	lost := false
	for j := range r.attempts {
		a := &r.attempts[j]
		if a.shard != i || a.state != attemptLive {
			continue
		}
		owner, ok := s.view.Owner(a.server)
		if !ok || owner.MemberRef == a.owner {
			continue
		}
		lost = true
		s.cancelLost(c, a)
		s.attemptFailed(c, r, a, model.OutcomeLost)
		a.state = attemptCanceled
	}
	return lost && r.shards[i].live == 0
}

// cancelLost cancels an attempt at its former owner. The stream keeps waiting
// for it, so that it is closed with the query.
func (s *State) cancelLost(c *step, a *attempt) {
	if st := s.streams[a.stream]; st != nil {
		st.waiting++
		c.out.Add(effect.SendCancel{Peer: st.peer, Address: st.address, Attempts: []model.AttemptID{a.id}})
	}
}
