package query

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// pick is a replica chosen for one attempt of a shard.
type pick struct {
	shard  int
	kind   attemptKind
	server model.ServerName
	// owner owns the server or, without ownership, is this daemon.
	owner   model.MemberRef
	address string
	// tries counts the query's earlier attempts at the server.
	tries int
	// order is the place among the replicas; the smallest is chosen.
	order float64
}

// choose picks the replica for the next attempt of a shard: usable by its
// owner's report, serving the snapshot, not drained, owner known; the least
// tried by this query first, then by rendezvous hashing with the request id,
// weighted by slots and expected time. Without one it returns the reason.
func (s *State) choose(c *step, r *run, i int) (best pick, why model.MissingReason) {
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
		p := pick{shard: i, server: server, tries: tries}
		if !s.route(r, &p) {
			ownerless++
			continue
		}
		p.order = rendezvous(r.hash, server) / s.weight(c.Now, &report)
		if !found || p.before(&best) {
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

// serves reports whether the server has the pinned version of the shard.
func (r *run) serves(sh *shardRun, report *model.ServerReport) bool {
	versions := versionsOf(report, r.snapshot.Layout, sh.shard.Name, r.gone)
	return slices.Contains(versions, r.snapshot.IndexVersion)
}

// owned reports whether the query's sub-requests go through owners.
func (r *run) owned() bool {
	return r.policy.Routing == model.RoutingOwned || r.policy.Routing == ""
}

// route sets the daemon that sends to the server.
func (s *State) route(r *run, p *pick) bool {
	if !r.owned() {
		p.owner = s.view.Self()
		return true
	}
	owner, ok := s.view.Owner(p.server)
	p.owner, p.address = owner.MemberRef, owner.PeerAddress
	return ok
}

// triesAt returns how often the shard was tried at the server in the current
// snapshot and the last outcome there.
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

func (p *pick) before(q *pick) bool {
	switch {
	case p.tries != q.tries:
		return p.tries < q.tries
	case p.order != q.order:
		return p.order < q.order
	}
	return p.server < q.server
}

// rendezvous returns an exponentially distributed number for the pair. The
// smallest quotient of such a number and a weight chooses in proportion to the
// weights.
func rendezvous(request uint64, server model.ServerName) float64 {
	// Multiplying by an odd constant spreads the mixed hashes over all bits.
	const spread = 0x9e3779b97f4a7c15
	x := (request ^ xxhash.Sum64String(string(server))) * spread
	x ^= x >> 32
	// 53 bits fill a float64; the half keeps the logarithm finite.
	return -math.Log((float64(x>>11) + 0.5) / (1 << 53))
}
