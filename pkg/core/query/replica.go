package query

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// pick is a replica chosen for one attempt of a shard.
type pick struct {
	shard  int
	kind   attemptKind
	server model.ServerName
	// peer owns the server or, without ownership, is this daemon.
	peer    model.VM
	address string
	// tries counts the query's earlier attempts at the server.
	tries int
	load  int
	hash  uint64
}

// choose picks the replica for the next attempt of a shard: usable by its
// owner's report, serving the snapshot, not drained, owner known; the least
// tried by this query first, then the less loaded, then by rendezvous hashing
// with the request id. Without one it returns the reason.
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
		p := pick{shard: i, server: server, tries: tries, load: loadLevel(&report)}
		if !s.route(r, &p) {
			ownerless++
			continue
		}
		p.hash = rendezvous(r.hash, server)
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

// route sets the daemon that sends to the server.
func (s *State) route(r *run, p *pick) bool {
	if r.policy.Routing != model.RoutingOwned && r.policy.Routing != "" {
		p.peer = s.view.Self().VM
		return true
	}
	owner, ok := s.view.Owner(p.server)
	p.peer, p.address = owner.VM, owner.PeerAddress
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
	case p.load != q.load:
		return p.load < q.load
	case p.hash != q.hash:
		return p.hash < q.hash
	}
	return p.server < q.server
}

// loadLevel is the load in powers of two of the limit. Reports are up to a few
// hundred ms old; finer steps would send every query to the same replica until
// the next report.
func loadLevel(report *model.ServerReport) int {
	return bits.Len(uint(max(report.Load, 0) / max(report.Limit, 1)))
}

func rendezvous(request uint64, server model.ServerName) uint64 {
	// Multiplying by an odd constant spreads the mixed hashes over all bits.
	const spread = 0x9e3779b97f4a7c15
	x := (request ^ xxhash.Sum64String(string(server))) * spread
	return x ^ x>>32
}
