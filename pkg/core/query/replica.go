package query

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// plannedAttempt is the replica chosen for one attempt at a shard.
type plannedAttempt struct {
	shard  int
	kind   attemptKind
	server model.ServerName
	// owner is the daemon that sends to the server: the server's owner, or this
	// daemon if the service does not route through owners.
	owner   model.MemberRef
	address string
	// tries counts the query's earlier attempts at the shard on this server.
	tries int
	// rank orders replicas with equal tries; the smallest is chosen.
	rank float64
}

// chooseReplica chooses the replica for the next attempt at a shard. A replica
// qualifies if its owner reports it as usable and serving the snapshot,
// controls do not exclude it, a daemon that sends to it is known, and the
// query's last attempt at it, if any, did not end as drained or version_gone.
// Of these, the replica that the query tried least is chosen. Ties are broken
// by rendezvous hashing with the request id, weighted by slots and expected
// time. If none qualifies, reason says why.
func (s *State) chooseReplica(c *eventContext, r *run, i int) (best plannedAttempt, reason model.MissingReason) {
	sh := &r.shards[i]
	var drained, ownerless, gone int
	found := false
	for _, server := range sh.shard.Replicas {
		if s.serverOut(c, r.bundle, server) {
			drained++
			continue
		}
		report, ok := s.view.Report(server)
		if !ok || !report.Usable {
			continue
		}
		tries, last := r.triesAt(i, server)
		if last == model.OutcomeDrained {
			drained++
			continue
		}
		if last == model.OutcomeVersionGone {
			gone++
			continue
		}
		if !r.serves(sh, &report) {
			continue
		}
		p := plannedAttempt{shard: i, server: server, tries: tries}
		if !s.setOwner(r, &p) {
			ownerless++
			continue
		}
		p.rank = rendezvous(r.idHash, server) / s.replicaWeight(c.Now, &report)
		if !found || p.preferredOver(&best) {
			best, found = p, true
		}
	}
	switch {
	case found:
		return best, ""
	case ownerless > 0:
		return best, model.MissingNoOwner
	case gone > 0:
		return best, model.MissingVersionGone
	case drained > 0 && drained == len(sh.shard.Replicas):
		return best, model.MissingDrained
	}
	return best, model.MissingNoReplica
}

// serves reports whether the server has the shard in the version of the run's
// snapshot.
func (r *run) serves(sh *shardRun, report *model.ServerReport) bool {
	versions := versionsOf(report, r.snapshot.Layout, sh.shard.Name, r.versionGoneReplies)
	return slices.Contains(versions, r.snapshot.IndexVersion)
}

// routesViaOwners reports whether the query's sub-requests go through the
// owners of the servers.
func (r *run) routesViaOwners() bool {
	return r.policy.Routing == model.RoutingOwned || r.policy.Routing == ""
}

// setOwner sets the daemon that sends to the server. It returns false if the
// server's owner is needed and not known.
func (s *State) setOwner(r *run, p *plannedAttempt) bool {
	if !r.routesViaOwners() {
		p.owner = s.view.Self()
		return true
	}
	owner, ok := s.view.Owner(p.server)
	p.owner, p.address = owner.MemberRef, owner.PeerAddress
	return ok
}

// triesAt returns how often the shard was tried at the server in the current
// snapshot, and the outcome of the last such attempt.
func (r *run) triesAt(shard int, server model.ServerName) (n int, last model.Outcome) {
	if r.shards[shard].tries == 0 {
		return 0, last
	}
	for j := range r.attempts {
		a := &r.attempts[j]
		if a.shard == shard && a.server == server {
			n++
			last = a.outcome
		}
	}
	return n, last
}

func (p *plannedAttempt) preferredOver(q *plannedAttempt) bool {
	switch {
	case p.tries != q.tries:
		return p.tries < q.tries
	case p.rank != q.rank:
		return p.rank < q.rank
	}
	return p.server < q.server
}

// rendezvous returns a pseudo-random number for the pair with an exponential
// distribution. Choosing the server with the smallest quotient of this number
// and its weight selects servers in proportion to their weights.
func rendezvous(hash uint64, server model.ServerName) float64 {
	// Multiplying by an odd constant spreads the combined hashes over all bits.
	const spread = 0x9e3779b97f4a7c15
	x := (hash ^ xxhash.Sum64String(string(server))) * spread
	x ^= x >> 32
	// A float64 holds 53 bits exactly. The added half keeps the logarithm
	// finite.
	return -math.Log((float64(x>>11) + 0.5) / (1 << 53))
}
