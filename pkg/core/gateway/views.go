package gateway

import (
	"cmp"
	"slices"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// ViewRevisions are the store's revisions of the latest changes that a daemon knows of.
// Each kind has its own: a daemon may know the latest change of one kind and lack an
// earlier one of the other. All are revisions of one era of the store; those of different
// eras do not compare.
type ViewRevisions struct {
	// Era is 0 if the store names none.
	Era         uint64 `json:"era,omitempty"`
	Servers     uint64 `json:"servers"`
	Evacuations uint64 `json:"evacuations"`
	Rollouts    uint64 `json:"rollouts"`
}

// merge returns the greater revision of each kind, of the later era.
func (v ViewRevisions) merge(w ViewRevisions) ViewRevisions {
	if v.Era != w.Era {
		if v.Era > w.Era {
			return v
		}
		return w
	}
	return ViewRevisions{
		Era: v.Era, Servers: max(v.Servers, w.Servers), Evacuations: max(v.Evacuations, w.Evacuations), Rollouts: max(v.Rollouts, w.Rollouts),
	}
}

// exceeds reports whether v is of a later era than w, or of the same one with a greater
// revision of any kind.
func (v ViewRevisions) exceeds(w ViewRevisions) bool {
	if v.Era != w.Era {
		return v.Era > w.Era
	}
	return v.Servers > w.Servers || v.Evacuations > w.Evacuations || v.Rollouts > w.Rollouts
}

// viewAdvanced records the revisions of changes that this daemon has applied.
func (s *State) viewAdvanced(e ViewAdvanced) {
	if e.Revisions.exceeds(s.members.view) {
		s.members.view = s.members.view.merge(e.Revisions)
		s.members.selfGossipPending = true
	}
}

// fetchView asks another daemon for its configuration and leafs if these are newer and
// this daemon does not watch the store, or its own watch has not delivered them in
// time.
func (s *State) fetchView() {
	if s.now < s.members.nextFetchAt {
		return
	}
	best := s.bestViewSource()
	if best == nil {
		s.members.newerConfigSince = 0
		return
	}
	m := &s.members
	newer := best.ConfigVersion > s.Version()
	awaitWatch := newer && s.config != nil && m.watcher && !s.storeDown && s.now.Sub(m.newerConfigSince) < configFetchDelay
	stale := s.storeDown && s.now.Sub(s.storeDownSince) >= storeOutageDelay && s.hasNewerView(best)
	if (newer && !awaitWatch) || stale || !m.watcher || (!s.serversKnown && best.View.Servers > 0) {
		pause := watcherFetchInterval
		if !m.watcher {
			pause = minFetchInterval
		}
		m.nextFetchAt = s.now.Add(pause)
		s.fetchFrom(best)
	}
}

// fetchFrom fetches a daemon's view.
func (s *State) fetchFrom(d *daemon) {
	if d.fetchingSince == 0 {
		d.fetchingSince = s.now
	}
	s.emit(FetchView{
		Daemon: d.Name, From: d.PeerAddress, View: d.View, Retained: !s.members.viewConfirmed && s.storeEra > 0, Capacities: s.startCapacity == nil,
	})
}

// confirmView fetches the view of a daemon that watches the store once after the start,
// also if it tells of nothing new: the lists that this daemon has read at its start may
// lack deletions. With eras, each daemon does so once in each era, and from one of those
// that run longest: they know what was in force before the store came back from a copy.
func (s *State) confirmView() {
	m := &s.members
	if m.viewConfirmed || (m.watcher && s.storeEra == 0) || s.now < m.confirmAfter() || s.now < m.nextFetchAt {
		return
	}
	if s.storeEra > 0 {
		s.fetchFromOldest()
		return
	}
	var watching []*daemon
	order := s.storeOrder()
	for _, e := range order[:min(len(order), maxWatchers)] {
		if d, ok := s.daemons[e.Name]; ok && !d.StoreDown && !s.fetchFails(d) {
			watching = append(watching, d)
		}
	}
	if len(watching) > 0 {
		m.nextFetchAt = s.now.Add(minFetchInterval)
		s.fetchFrom(watching[s.rand.IntN(len(watching))])
	}
}

// confirmAfter returns when a view is to be fetched that confirms this daemon's lists.
func (m *memberState) confirmAfter() model.Time {
	return max(model.Time(viewConfirmDelay), m.eraSeenAt.Add(eraConfirmDelay))
}

// fetchFromOldest fetches the view of one of the living daemons that run longest, in this
// daemon's era. A quarter of them share the fetches of a fleet, but no fewer than three.
func (s *State) fetchFromOldest() {
	var known []*daemon
	for _, name := range s.daemonNames() {
		if d := s.daemons[name]; s.isResponsive(d) && !s.fetchFails(d) && d.View.Era >= s.storeEra {
			known = append(known, d)
		}
	}
	if len(known) == 0 {
		return
	}
	slices.SortStableFunc(known, func(a, b *daemon) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	oldest := known[:min(len(known), max(3, len(known)/4))]
	s.members.nextFetchAt = s.now.Add(minFetchInterval)
	s.fetchFrom(oldest[s.rand.IntN(len(oldest))])
}

// storeEraSeen records the latest era of the store. Other daemons may know what this one
// was not told in the era before.
func (s *State) storeEraSeen(e StoreEraSeen) {
	if e.Era <= s.storeEra {
		return
	}
	s.storeEra, s.members.eraSeenAt, s.members.viewConfirmed = e.Era, s.now, false
	s.proof.eraBegins(s.now, s.proofLimit())
	if e.Copied {
		s.emit(Log{Kind: LogStoreCopied, Number: int64(e.Era)})
	}
}

// viewFetched records whether a daemon's view could be fetched.
func (s *State) viewFetched(e ViewFetched) {
	d, ok := s.daemons[e.Fetch.Daemon]
	if !ok {
		return
	}
	d.fetchingSince, d.fetchFailedAt = 0, 0
	if e.OK {
		d.fetched = d.fetched.merge(e.Fetch.View)
		s.members.viewConfirmed = s.members.viewConfirmed || s.now >= s.members.confirmAfter() && e.Fetch.View.Era >= s.storeEra && (e.Fetch.Retained || s.storeEra == 0)
		s.adoptReadings()
		s.startFromCapacities(d.Name, e.Capacities)
	} else {
		d.fetchFailedAt = s.now
	}
}

// hasNewerView reports whether a daemon may know of a change that this one does not. A
// view that was fetched holds nothing new even if its revisions are greater: a daemon that
// has listed a kind anew takes the revision of the list for that of the latest change.
func (s *State) hasNewerView(d *daemon) bool {
	return d.View.exceeds(s.members.view.merge(d.fetched))
}

// fetchFails reports whether the last fetch of a daemon's view has failed or takes long.
// A daemon can be heard and yet not be reached, while packets pass one way only.
func (s *State) fetchFails(d *daemon) bool {
	return d.fetchingSince > 0 && s.now.Sub(d.fetchingSince) >= slowFetchDelay ||
		d.fetchFailedAt > 0 && s.now.Sub(d.fetchFailedAt) < failedFetchDelay
}

// failedFetchDomains returns the failure domains with a daemon whose view could not be
// fetched.
func (s *State) failedFetchDomains() map[string]bool {
	var out map[string]bool
	for _, d := range s.daemons {
		if s.fetchFails(d) {
			if out == nil {
				out = map[string]bool{}
			}
			out[d.FailureDomain] = true
		}
	}
	return out
}

// refreshView asks for the store to be read again if another daemon has known of a
// change for viewRefreshDelay: this daemon's own watch may have broken off unnoticed.
func (s *State) refreshView() {
	m := &s.members
	newest := ViewRevisions{}
	for _, d := range s.daemons {
		if s.alive(d) {
			newest = newest.merge(d.View)
		}
	}
	switch {
	case !m.watcher || s.storeDown || !newest.exceeds(m.view.merge(m.refreshed)):
		m.behindSince = 0
	case m.behindSince == 0:
		m.behindSince = s.now
	case s.now.Sub(m.behindSince) >= viewRefreshDelay:
		m.refreshed, m.behindSince = newest, 0
		s.emit(RefreshView{})
	}
}

// betterView reports whether a's view is better to fetch than b's, both being newer
// than this daemon's: one outside of the domains from which a fetch failed, then one whose
// own fetch did not fail, then a responsive one, then the nearer one, then the newer one. A
// daemon that cannot reach the store does not count as near, since it may hold leafs and
// configurations that were withdrawn long ago.
func (s *State) betterView(a, b *daemon, failedDomains map[string]bool) bool {
	canFetch := func(d *daemon) int {
		switch {
		case !failedDomains[d.FailureDomain]:
			return 2
		case !s.fetchFails(d):
			return 1
		}
		return 0
	}
	near := func(d *daemon) bool { return d.FailureDomain == s.opt.Self.FailureDomain && !d.StoreDown }
	return cmp.Or(
		cmp.Compare(canFetch(a), canFetch(b)), compareBool(s.isResponsive(a), s.isResponsive(b)), compareBool(near(a), near(b)),
		cmp.Compare(a.ConfigVersion, b.ConfigVersion),
		cmp.Compare(a.View.Era, b.View.Era),
		cmp.Compare(a.View.Evacuations, b.View.Evacuations), cmp.Compare(a.View.Servers, b.View.Servers),
		cmp.Compare(a.View.Rollouts, b.View.Rollouts),
	) > 0
}

// bestViewSource returns the living daemon whose view is best to fetch; nil if none has
// anything newer than this daemon.
func (s *State) bestViewSource() *daemon {
	var best *daemon
	failedDomains := s.failedFetchDomains()
	for _, name := range s.daemonNames() {
		d := s.daemons[name]
		if !s.alive(d) || (d.ConfigVersion <= s.Version() && !s.hasNewerView(d)) {
			continue
		}
		if best == nil || s.betterView(d, best, failedDomains) {
			best = d
		}
	}
	return best
}
