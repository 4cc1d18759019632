package query

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// ownerCheckInterval is the time between checks whether the owner that runs an
// attempt still owns the server. If a VM dies without closing its connections,
// another daemon becomes the owner long before the streams end.
const ownerCheckInterval = 250 * time.Millisecond

// nextCheck returns when to look again at a shard whose attempt is live. Owners
// are checked only for idempotent queries, because only these can be sent
// again.
func (r *run) nextCheck(now model.Time, sh *shardRun) model.Time {
	if !r.req.Idempotent || !r.routesViaOwners() {
		return sh.hedgeAt
	}
	return min(sh.hedgeAt, now.Add(ownerCheckInterval))
}

// failLostAttempts ends the shard's live attempts at servers whose owner has
// changed. A planned handover waits for running attempts, so these are lost. It
// reports whether that left the shard without a live attempt.
func (s *State) failLostAttempts(c *eventContext, r *run, i int) bool {
	if !r.req.Idempotent || !r.routesViaOwners() {
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
		s.cancelAtFormerOwner(c, a)
		s.attemptFailed(c, r, a, model.OutcomeLost)
		a.state = attemptCanceled
	}
	return lost && r.shards[i].liveAttempts == 0
}

// cancelAtFormerOwner cancels an attempt at its former owner. The stream still
// counts it as pending, so that it is closed with the query.
func (s *State) cancelAtFormerOwner(c *eventContext, a *attempt) {
	if st := s.streams[a.stream]; st != nil {
		st.pending++
		c.out.Add(effect.SendCancel{Peer: st.peer, Address: st.address, Attempts: []model.AttemptID{a.id}})
	}
}
