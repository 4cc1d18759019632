// Package placement computes which daemons own a backend server and which form the
// panel of an epoch. All functions are pure: every daemon with the same epoch and
// bundle gets the same result.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Owners returns the indexes of members in the order in which they may own the server:
// members of its failure domain first, and within each group by rendezvous hashing of
// server and VM. The caller must leave out members that must not own anything.
func Owners(server model.ServerName, domain model.FailureDomain, members []model.Member) []int {
	return newPlacer(members).owners(server, domain, nil)
}

// Table holds the order of owners of every backend server of a bundle.
type Table struct {
	members []model.Member
	orders  map[model.ServerName][]int
}

// NewTable computes the order of owners of all backend servers of the bundle that hold
// a shard. Within each group of an order, members that are already the first owner of
// another replica of the same shard come last, so that the replicas of a shard go to
// different VMs where possible. A server that holds several shards is placed with the
// first of them that the bundle lists.
func NewTable(b *model.Bundle, members []model.Member) *Table {
	t := &Table{members: members, orders: make(map[model.ServerName][]int, len(b.Servers))}
	p := newPlacer(members)
	for i := range b.Services {
		for j := range b.Services[i].Layouts {
			shards := b.Services[i].Layouts[j].Shards
			for k := range shards {
				t.placeShard(b, p, &shards[k])
			}
		}
	}
	return t
}

// Owners returns the server's owners in order; nil if the bundle places no shard on it.
func (t *Table) Owners(server model.ServerName) []model.Member {
	order := t.orders[server]
	if order == nil {
		return nil
	}
	owners := make([]model.Member, len(order))
	for i, m := range order {
		owners[i] = t.members[m]
	}
	return owners
}

// Order returns the server's owners in order, as indexes of the members passed to
// NewTable. The slice must not be changed.
func (t *Table) Order(server model.ServerName) []int { return t.orders[server] }

func (t *Table) placeShard(b *model.Bundle, p *placer, shard *model.Shard) {
	if len(t.members) == 0 {
		return
	}
	firstOwners := make([]int, 0, len(shard.Replicas))
	for _, r := range shard.Replicas {
		server, ok := b.Server(r)
		if !ok {
			continue
		}
		order := t.orders[r]
		if order == nil {
			order = p.owners(r, server.FailureDomain, firstOwners)
			t.orders[r] = order
		}
		firstOwners = append(firstOwners, order[0])
	}
}

// placer ranks members. It computes the hashes of their VMs only once.
type placer struct {
	members []model.Member
	hashes  []uint64
	ranks   []rank
}

// rank is the sort key of a member for one server. A lower group comes first, then a
// higher score, then the VM's name.
type rank struct {
	member int
	group  int
	score  uint64
}

// Groups of members in the order of owners. Members to avoid come last within their
// group of same or other failure domains.
const (
	groupSameDomain = iota
	groupSameDomainAvoided
	groupOtherDomain
	groupOtherDomainAvoided
)

func newPlacer(members []model.Member) *placer {
	p := &placer{
		members: members,
		hashes:  make([]uint64, len(members)),
		ranks:   make([]rank, len(members)),
	}
	for i := range members {
		p.hashes[i] = xxhash.Sum64String(string(members[i].VM))
	}
	return p
}

func (p *placer) owners(server model.ServerName, domain model.FailureDomain, avoid []int) []int {
	hash := xxhash.Sum64String(string(server))
	for i := range p.members {
		group := groupOtherDomain
		if p.members[i].FailureDomain == domain {
			group = groupSameDomain
		}
		if slices.Contains(avoid, i) {
			group++
		}
		p.ranks[i] = rank{member: i, group: group, score: mixBits(hash ^ p.hashes[i])}
	}
	slices.SortFunc(p.ranks, p.compare)
	order := make([]int, len(p.ranks))
	for i := range p.ranks {
		order[i] = p.ranks[i].member
	}
	return order
}

func (p *placer) compare(a, b rank) int {
	if a.group != b.group {
		return a.group - b.group
	}
	if a.score != b.score {
		return cmp.Compare(b.score, a.score)
	}
	return cmp.Compare(p.members[a.member].VM, p.members[b.member].VM)
}

// mixBits is the finalizer of SplitMix64. It spreads the combination of two hashes over
// all bits, which their exclusive or alone does not.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
