package membership

import (
	"math/bits"
	"slices"

	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// voters is a set of panel members by their index in the panel.
type voters uint64

func (v voters) with(i int) voters { return v | 1<<i }

// majorityOf reports whether v has more than half of n panel members.
func (v voters) majorityOf(n int) bool { return bits.OnesCount64(uint64(v)) > n/2 }

// epochView is what this daemon knows of one epoch.
type epochView struct {
	epoch *model.Epoch
	self  model.MemberRef
	// learned is when this daemon learned of the epoch.
	learned model.Time
	// grants are the ends of the panel members' grants, by panel index; until
	// is the end of the lease that they make up.
	grants []model.Time
	until  model.Time
	// fences are the promises of panel members never to renew an incarnation.
	fences map[model.MemberRef]voters
	// lost are panel members that restarted or are gone.
	lost voters
	// drained says from when on the previous panel's members have no valid
	// grant outstanding, by index; closers are those that closed the epoch
	// before without having fenced this daemon.
	drained []model.Time
	closers voters
	active  bool
	// retired: everything this daemon owned here continues in the next epoch
	// or is handed over, so this epoch's lease is used no more.
	retired bool
	// entitled are servers that carry-over or a handover gave this daemon;
	// released are those that it handed over.
	entitled map[model.ServerName]bool
	released map[model.ServerName]bool
	homes    map[model.ServerName]model.FailureDomain
	eligible []model.Member
	order    OwnerOrder
	orders   map[model.ServerName][]model.Member
	firsts   map[model.ServerName]int
}

func newEpochView(e *model.Epoch, self model.MemberRef, now model.Time, order OwnerOrder) *epochView {
	v := &epochView{
		epoch:   e,
		learned: now,
		fences:  make(map[model.MemberRef]voters),
		drained: make([]model.Time, len(e.PreviousPanel)),
		homes:   make(map[model.ServerName]model.FailureDomain, len(e.Servers)),
		order:   order,
		orders:  make(map[model.ServerName][]model.Member),
		firsts:  make(map[model.ServerName]int),
	}
	for i := range v.drained {
		v.drained[i] = model.Never
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

// setSelf forgets everything that was given to an earlier incarnation.
func (v *epochView) setSelf(self model.MemberRef) {
	v.self = self
	v.grants = make([]model.Time, len(v.epoch.Panel))
	v.until = 0
	v.closers = 0
	v.entitled = make(map[model.ServerName]bool)
	v.released = make(map[model.ServerName]bool)
}

// grant records a panel member's grant that ends at until.
func (v *epochView) grant(i int, until model.Time) {
	v.grants[i] = max(v.grants[i], until)
	ends := slices.Clone(v.grants)
	slices.Sort(ends)
	// The lease ends when fewer than a majority of the grants are left.
	v.until = ends[(len(ends)-1)/2]
}

// drop ends the lease.
func (v *epochView) drop() {
	clear(v.grants)
	v.until = 0
}

// fence records the promise of panel member i.
func (v *epochView) fence(i int, ref model.MemberRef) {
	before := v.fenced(ref)
	v.fences[ref] = v.fences[ref].with(i)
	if !before && v.fenced(ref) {
		clear(v.firsts)
	}
}

// fenced reports whether a majority of the panel fenced the incarnation.
func (v *epochView) fenced(ref model.MemberRef) bool {
	return v.fences[ref].majorityOf(len(v.epoch.Panel))
}

// barred reports whether fences and losses leave no majority of the panel that
// could grant the incarnation a lease. It is left out of the next epoch then,
// which is safe for any member; it is not enough to act in its place.
func (v *epochView) barred(ref model.MemberRef) bool {
	fences := v.fences[ref] &^ v.lost
	able := voters(1<<len(v.epoch.Panel)-1) &^ (v.fences[ref] | v.lost)
	return fences != 0 && !able.majorityOf(len(v.epoch.Panel))
}

func (v *epochView) isMember() bool {
	m, ok := v.epoch.Member(v.self.VM)
	return ok && m.MemberRef == v.self
}

// owners returns the order of the server's owners in this epoch.
func (v *epochView) owners(server model.ServerName) []model.Member {
	order, ok := v.orders[server]
	if ok {
		return order
	}
	if domain, listed := v.homes[server]; listed {
		order = v.order(server, domain, v.eligible)
	}
	v.orders[server] = order
	return order
}

// first returns the index in the order of the first owner that is not fenced.
func (v *epochView) first(server model.ServerName) int {
	i, ok := v.firsts[server]
	if ok {
		return i
	}
	i = v.after(server, -1)
	v.firsts[server] = i
	return i
}

// after returns the index of the first owner behind i that is not fenced, -1
// if there is none.
func (v *epochView) after(server model.ServerName, i int) int {
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
	i := v.first(server)
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

// mayAct reports whether this daemon owns the server and has the lease.
func (v *epochView) mayAct(now model.Time, server model.ServerName) bool {
	return now < v.until && !v.retired && v.owns(server)
}

// drain records that previous panel member i has no valid grant outstanding
// from at on.
func (v *epochView) drain(i int, at model.Time) { v.drained[i] = min(v.drained[i], at) }

// activeFrom returns when the epoch becomes active as far as is known.
func (v *epochView) activeFrom() model.Time {
	if len(v.drained) == 0 {
		return v.learned
	}
	at := slices.Clone(v.drained)
	slices.Sort(at)
	return at[len(at)/2]
}

func (v *epochView) wake() model.Time {
	if v.active {
		return model.Never
	}
	return v.activeFrom()
}

// closedBefore takes a previous panel member's word that it closed the epoch
// before this one.
func (v *epochView) closedBefore(i int, now model.Time, c event.ClosedEpoch) {
	v.drain(i, now.Add(max(0, LeaseDuration-c.Age)))
	if !slices.Contains(c.Fenced, v.self) {
		v.closers = v.closers.with(i)
	}
}

// alone reports whether a majority of the previous panel closed its epoch
// without having fenced this daemon.
func (v *epochView) alone() bool { return v.closers.majorityOf(len(v.epoch.PreviousPanel)) }

func refIndex(refs []model.MemberRef, ref model.MemberRef) int { return slices.Index(refs, ref) }

func vmIndex(refs []model.MemberRef, vm model.VM) int {
	return slices.IndexFunc(refs, func(r model.MemberRef) bool { return r.VM == vm })
}
