package membership

import (
	"math/bits"
	"slices"

	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// panelSet is a set of panel members, as a bit mask of their indexes in the
// panel.
type panelSet uint64

func (v panelSet) with(i int) panelSet { return v | 1<<i }

// majorityOf reports whether the set has more than half of n panel members.
func (v panelSet) majorityOf(n int) bool { return bits.OnesCount64(uint64(v)) > n/2 }

// epochView is what this daemon knows of one epoch.
type epochView struct {
	epoch *model.Epoch
	self  model.MemberRef
	// learnedAt is when this daemon learned of the epoch.
	learnedAt model.Time
	// grants are the ends of the panel members' grants, by panel index.
	// leaseEnd is the end of the lease that they make up.
	grants   []model.Time
	leaseEnd model.Time
	// fences has, for each incarnation, the panel members that fenced it, that
	// is, promised never to grant it a lease again in this epoch.
	fences map[model.MemberRef]panelSet
	// lost are the panel members that restarted or are gone.
	lost panelSet
	// grantsEnd is, by index in the previous panel, the time from which the
	// member has no valid grant outstanding; model.Never if that is not known.
	// closedUnfenced are the members that closed the previous epoch without
	// having fenced this daemon.
	grantsEnd      []model.Time
	closedUnfenced panelSet
	active         bool
	// retired means that everything that this daemon owned in this epoch
	// continues in the next epoch or is handed over, so this epoch's lease is
	// no longer used.
	retired bool
	// entitled are the servers that carry-over or a handover gave this daemon;
	// released are those that it handed over.
	entitled        map[model.ServerName]bool
	released        map[model.ServerName]bool
	homes           map[model.ServerName]model.FailureDomain
	eligible        []model.Member
	ownerOrder      OwnerOrder
	orderCache      map[model.ServerName][]model.Member
	firstOwnerCache map[model.ServerName]int
}

func newEpochView(e *model.Epoch, self model.MemberRef, now model.Time, order OwnerOrder) *epochView {
	v := &epochView{
		epoch:           e,
		learnedAt:       now,
		fences:          make(map[model.MemberRef]panelSet),
		grantsEnd:       make([]model.Time, len(e.PreviousPanel)),
		homes:           make(map[model.ServerName]model.FailureDomain, len(e.Servers)),
		ownerOrder:      order,
		orderCache:      make(map[model.ServerName][]model.Member),
		firstOwnerCache: make(map[model.ServerName]int),
	}
	for i := range v.grantsEnd {
		v.grantsEnd[i] = model.Never
	}
	for _, h := range e.Servers {
		v.homes[h.Server] = h.FailureDomain
	}
	v.eligible = slices.DeleteFunc(slices.Clone(e.Members), func(m model.Member) bool { return m.Leaving })
	if len(v.eligible) == 0 {
		v.eligible = e.Members
	}
	v.setSelf(self)
	return v
}

// setSelf changes the incarnation and drops everything that an earlier one was
// granted.
func (v *epochView) setSelf(self model.MemberRef) {
	v.self = self
	v.grants = make([]model.Time, len(v.epoch.Panel))
	v.leaseEnd = 0
	v.closedUnfenced = 0
	v.entitled = make(map[model.ServerName]bool)
	v.released = make(map[model.ServerName]bool)
}

// recordGrant records the grant of panel member i, which ends at until.
func (v *epochView) recordGrant(i int, until model.Time) {
	v.grants[i] = max(v.grants[i], until)
	ends := slices.Clone(v.grants)
	slices.Sort(ends)
	// The lease ends when fewer than a majority of the grants are left.
	v.leaseEnd = ends[(len(ends)-1)/2]
}

// clearLease ends the lease by dropping all grants.
func (v *epochView) clearLease() {
	clear(v.grants)
	v.leaseEnd = 0
}

// recordFence records that panel member i fenced the incarnation.
func (v *epochView) recordFence(i int, ref model.MemberRef) {
	before := v.fenced(ref)
	v.fences[ref] = v.fences[ref].with(i)
	if !before && v.fenced(ref) {
		clear(v.firstOwnerCache)
	}
}

// fenced reports whether a majority of the panel fenced the incarnation.
func (v *epochView) fenced(ref model.MemberRef) bool {
	return v.fences[ref].majorityOf(len(v.epoch.Panel))
}

// cannotGetLease reports whether a panel member that is not lost fenced the
// incarnation, and fewer than a majority of the panel can still grant it a
// lease. Any such member may safely be left out of the next epoch, but no
// other daemon may act in its place on this ground alone.
func (v *epochView) cannotGetLease(ref model.MemberRef) bool {
	fences := v.fences[ref] &^ v.lost
	canGrant := panelSet(1<<len(v.epoch.Panel)-1) &^ (v.fences[ref] | v.lost)
	return fences != 0 && !canGrant.majorityOf(len(v.epoch.Panel))
}

func (v *epochView) isMember() bool {
	m, ok := v.epoch.Member(v.self.VM)
	return ok && m.MemberRef == v.self
}

// owners returns the order of the server's owners in this epoch, empty if the
// epoch does not list the server.
func (v *epochView) owners(server model.ServerName) []model.Member {
	order, ok := v.orderCache[server]
	if ok {
		return order
	}
	if domain, listed := v.homes[server]; listed {
		order = v.ownerOrder(server, domain, v.eligible)
	}
	v.orderCache[server] = order
	return order
}

// firstOwnerIndex returns the index in the order of the first owner that is
// not fenced, -1 if there is none.
func (v *epochView) firstOwnerIndex(server model.ServerName) int {
	i, ok := v.firstOwnerCache[server]
	if ok {
		return i
	}
	i = v.nextOwnerIndex(server, -1)
	v.firstOwnerCache[server] = i
	return i
}

// nextOwnerIndex returns the index of the first owner after i that is not
// fenced, -1 if there is none.
func (v *epochView) nextOwnerIndex(server model.ServerName, i int) int {
	order := v.owners(server)
	for i++; i < len(order); i++ {
		if !v.fenced(order[i].MemberRef) {
			return i
		}
	}
	return -1
}

// firstOwner returns the first owner that is not fenced.
func (v *epochView) firstOwner(server model.ServerName) (model.Member, bool) {
	i := v.firstOwnerIndex(server)
	if i < 0 {
		return model.Member{}, false
	}
	return v.owners(server)[i], true
}

// owns reports whether this daemon alone may act for the server in this epoch
// whenever it has the epoch's lease.
func (v *epochView) owns(server model.ServerName) bool {
	if v.released[server] {
		return false
	}
	if v.entitled[server] {
		return true
	}
	if !v.active {
		return false
	}
	o, ok := v.firstOwner(server)
	return ok && o.MemberRef == v.self
}

// mayAct reports whether this daemon owns the server in this epoch and holds
// the epoch's lease at now.
func (v *epochView) mayAct(now model.Time, server model.ServerName) bool {
	return now < v.leaseEnd && !v.retired && v.owns(server)
}

// recordGrantsEnd records that member i of the previous panel has no valid
// grant outstanding from at on.
func (v *epochView) recordGrantsEnd(i int, at model.Time) { v.grantsEnd[i] = min(v.grantsEnd[i], at) }

// activeFrom returns when the epoch becomes active, as far as is known: when a
// majority of the previous panel has no grants outstanding.
func (v *epochView) activeFrom() model.Time {
	if len(v.grantsEnd) == 0 {
		return v.learnedAt
	}
	at := slices.Clone(v.grantsEnd)
	slices.Sort(at)
	return at[len(at)/2]
}

func (v *epochView) wake() model.Time {
	if v.active {
		return model.Never
	}
	return v.activeFrom()
}

// recordClosed records that member i of the previous panel closed the previous
// epoch.
func (v *epochView) recordClosed(i int, now model.Time, c event.ClosedEpoch) {
	v.recordGrantsEnd(i, now.Add(max(0, LeaseDuration-c.Age)))
	if !slices.Contains(c.Fenced, v.self) {
		v.closedUnfenced = v.closedUnfenced.with(i)
	}
}

// hasUnfencedMajority reports whether a majority of the previous panel closed
// its epoch without having fenced this daemon.
func (v *epochView) hasUnfencedMajority() bool {
	return v.closedUnfenced.majorityOf(len(v.epoch.PreviousPanel))
}

func refIndex(refs []model.MemberRef, ref model.MemberRef) int { return slices.Index(refs, ref) }

func vmIndex(refs []model.MemberRef, vm model.VM) int {
	return slices.IndexFunc(refs, func(r model.MemberRef) bool { return r.VM == vm })
}
