package gateway

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// relayFirst chooses the daemons whose entries are passed on first: those with a role and those
// next in line. Of daemons that are to watch the store it takes also those that were not heard
// recently, so that all daemons choose the same ones, and those that do watch.
func (s *State) relayFirst(active []DaemonEntry) {
	first := make(map[string]bool, len(active)+maxWatchers+spareWatchers)
	for _, e := range active {
		first[e.Name] = true
	}
	order := s.storeOrderOf(s.alive)
	for _, e := range order[:min(len(order), maxWatchers+spareWatchers)] {
		first[e.Name] = true
	}
	for _, d := range s.latestWatchers() {
		first[d.Name] = true
	}
	for name, d := range s.daemons {
		relayed := first[name]
		if relayed && !d.relayedFirst {
			d.relayedSince = s.now
		}
		d.relayedFirst = relayed
	}
}

// latestWatchers returns the daemons that were the last to tell that they watch the store.
func (s *State) latestWatchers() []*daemon {
	var watching []*daemon
	for _, name := range s.daemonNames() {
		if d := s.daemons[name]; d.Watching && s.alive(d) {
			watching = append(watching, d)
		}
	}
	slices.SortStableFunc(watching, func(a, b *daemon) int { return cmp.Compare(b.toldAt, a.toldAt) })
	return watching[:min(len(watching), maxWatchers)]
}

// storeOrder returns the daemons that may watch the store, this one included: the responsive
// ones. Those that leave come last, and after them those whose calls to the store fail. Failure
// domains take turns, so that the first daemons, which watch the store, are in as many domains
// as there are; within a domain daemons are ordered by a hash of the name.
func (s *State) storeOrder() []DaemonEntry { return s.storeOrderOf(s.isResponsive) }

// storeCandidates returns this daemon and those that fulfil a condition, in no order.
func (s *State) storeCandidates(isCandidate func(*daemon) bool) []DaemonEntry {
	self := s.opt.Self
	self.StoreDown = s.storeDown
	if s.stopping {
		self.State = DaemonLeaving
	}
	out := []DaemonEntry{self}
	for _, d := range s.daemons {
		if isCandidate(d) {
			out = append(out, d.DaemonEntry)
		}
	}
	return out
}

// storeOrderOf is storeOrder with another condition.
func (s *State) storeOrderOf(isCandidate func(*daemon) bool) []DaemonEntry {
	order := s.storeCandidates(isCandidate)
	unfitLast := func(a, b DaemonEntry) int {
		return cmp.Or(compareBool(a.StoreDown, b.StoreDown), compareBool(a.State == DaemonLeaving, b.State == DaemonLeaving))
	}
	slices.SortFunc(order, func(a, b DaemonEntry) int { return cmp.Or(unfitLast(a, b), compareByHash(a, b)) })
	turns, turnOf := map[string]int{}, make(map[string]int, len(order))
	for _, e := range order {
		turnOf[e.Name] = turns[e.FailureDomain]
		turns[e.FailureDomain]++
	}
	slices.SortStableFunc(order, func(a, b DaemonEntry) int {
		return cmp.Or(unfitLast(a, b), cmp.Compare(turnOf[a.Name], turnOf[b.Name]))
	})
	return order
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// placeOfSelf returns this daemon's place in an order.
func (s *State) placeOfSelf(order []DaemonEntry) int {
	return slices.IndexFunc(order, s.isSelf)
}

// StoreRank returns this daemon's place, from 0, among the daemons that may watch the store,
// and the number of these whose calls to the store work, this one included.
func (s *State) StoreRank() (place, count int) {
	order := s.storeOrder()
	return s.placeOfSelf(order), s.countReaching(order)
}

// countReaching returns the number of daemons whose calls to the store work, this one included.
func (s *State) countReaching(entries []DaemonEntry) int {
	count := 0
	for _, e := range entries {
		if !e.StoreDown || s.isSelf(e) {
			count++
		}
	}
	return count
}

// updateWatcher decides whether this daemon watches the store: if it is one of the first
// that may, or if it has watched so far and leaves or is not relieved. One whose calls fail needs
// no relief.
func (s *State) updateWatcher() {
	m := &s.members
	order := s.watchOrder()
	watcher := s.placeOfSelf(order) < maxWatchers || m.watcher && (s.stopping || !s.storeDown && !s.isRelieved(order))
	if s.now < model.Time(watcherStartDelay) && !s.opt.IsSeed {
		watcher = false
	}
	if watcher != m.watcher {
		m.watcher, m.watcherSince, m.selfGossipPending = watcher, s.now, true
		s.emit(WatchStore{On: watcher})
	}
	s.forgetStoreFailure()
	s.logWatchers(order[:min(len(order), maxWatchers)])
}

// isRelieved reports whether as many daemons as are to watch the store come before this one in
// the order and have told recently that they do. Without that, a daemon that has taken over from
// others that were lost would give the watch back to them while they still count as responsive.
func (s *State) isRelieved(order []DaemonEntry) bool {
	watching := 0
	for _, e := range order[:s.placeOfSelf(order)] {
		if d := s.daemons[e.Name]; d.Watching && s.toldWithin(d, s.watchSilence()) {
			watching++
		}
	}
	return watching >= maxWatchers
}

// watchOrder returns the daemons that may watch the store in the order in which they are to.
// While no daemon is heard that watches, only those count that have told of themselves since:
// the others may have been lost together with the watchers.
func (s *State) watchOrder() []DaemonEntry {
	silence := s.watchSilence()
	if s.WatchAge() < silence {
		return s.storeOrder()
	}
	return s.storeOrderOf(func(d *daemon) bool { return s.toldWithin(d, silence) })
}

// isWatching reports whether this daemon watches the store, has read it since it began to, and its
// calls to the store work: only then do the others rely on it.
func (s *State) isWatching() bool {
	return s.members.watcher && !s.storeDown && s.proof.hasRead && s.proof.readAt >= s.members.watcherSince
}

// watchSilence is how long no daemon may tell that it watches the store.
func (s *State) watchSilence() time.Duration {
	if s.entriesAreRelayed() {
		return s.opt.MaxSilence + 2*largeGossipInterval
	}
	return s.opt.MaxSilence
}

// WatchAge returns how long ago a daemon last told that it watches the store; 0 if this one
// does.
func (s *State) WatchAge() time.Duration {
	if s.isWatching() {
		return 0
	}
	latest := model.Time(0)
	for _, d := range s.daemons {
		if d.Watching {
			latest = max(latest, d.toldAt)
		}
	}
	return s.now.Sub(latest)
}

// logWatchers logs the daemons that this one expects to watch the store, and whether it does,
// when that changes.
func (s *State) logWatchers(watchers []DaemonEntry) {
	names := make([]string, len(watchers))
	for i, e := range watchers {
		names[i] = e.Name
	}
	entry := Log{Kind: LogWatchersChanged, Detail: strings.Join(names, ",")}
	if s.members.watcher {
		entry.Number = 1
	}
	if entry != s.members.watchersLogged {
		s.members.watchersLogged = entry
		s.emit(entry)
	}
}
