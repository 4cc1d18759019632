package gateway

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// gossipInterval is the time between two messages to each other daemon.
	gossipInterval = 400 * time.Millisecond
	// gossipPause bounds the messages that changes cause.
	gossipPause = 50 * time.Millisecond
	// gossipAll is the number of other daemons up to which each of them gets every
	// message.
	gossipAll = 12
	// gossipNear and gossipFar are the numbers of daemons in the own and in other
	// failure domains that get a message in larger fleets.
	gossipNear = 2
	gossipFar  = 1
	// gossipEntries is the number of other daemons that a message tells about in
	// larger fleets, the active ones first.
	gossipEntries = 18
	// largeGossipInterval is gossipInterval in larger fleets.
	largeGossipInterval = 500 * time.Millisecond
	// reserveSilence is how long a daemon of a larger fleet that callers are not
	// sent to may be silent: news of it are passed on seldom.
	reserveSilence = 15 * time.Second
	// relaySilence is added to the silence that is borne in larger fleets, where
	// news come over others.
	relaySilence = 1500 * time.Millisecond
	// fetchPause is the least time between two fetches of another daemon's view by
	// a daemon that does not watch the store, slowFetchPause that by others.
	fetchPause     = 150 * time.Millisecond
	slowFetchPause = 500 * time.Millisecond
	// configPatience is how long a daemon waits for its own watch to bring a
	// version that another daemon has.
	configPatience = 250 * time.Millisecond
	// refreshPatience is how long a daemon waits for its own watch to bring a
	// change of leafs that another daemon knows of.
	refreshPatience = 700 * time.Millisecond
	// watchers is the number of daemons that watch the store; the others learn from
	// them, so that calls to the store do not grow with the fleet.
	watchers = 3
	// watcherGrace is how long a daemon that has just started waits for others
	// before it counts itself as a watcher. Seeds do not wait.
	watcherGrace = 1200 * time.Millisecond
	// storePatience is how long the store may be away before the view of another
	// daemon is used.
	storePatience = 700 * time.Millisecond
	// forgetAfter is the silence after which a daemon's entry is deleted.
	forgetAfter = 60 * time.Second
)

// DaemonState says whether a daemon may get requests.
type DaemonState uint8

// States of a daemon.
const (
	DaemonStarting DaemonState = iota
	DaemonReady
	DaemonLeaving
)

// DaemonEntry is what daemons tell of each other.
type DaemonEntry struct {
	Name string `json:"name"`
	// Incarnation grows with each start of the daemon.
	Incarnation uint64 `json:"incarnation"`
	// Counter grows with each message of the daemon itself.
	Counter       uint64      `json:"counter"`
	CallerAddress string      `json:"callerAddress"`
	PeerAddress   string      `json:"peerAddress"`
	FailureDomain string      `json:"failureDomain"`
	State         DaemonState `json:"state"`
	ConfigVersion uint64      `json:"configVersion"`
	// ViewRevision is the store's revision of the latest change of leafs and
	// evacuations that the daemon knows of.
	ViewRevision uint64 `json:"viewRevision"`
	// StoreDown means that the daemon's calls to the store fail.
	StoreDown bool `json:"storeDown"`
	// Cores is the processor time that the daemon may use, in cores.
	Cores float64 `json:"cores"`
	// CallsPerSecond is the recent number of attempts that the daemon sends.
	CallsPerSecond int `json:"callsPerSecond"`
}

// Brief returns the entry without what the store tells of the daemon.
func (e DaemonEntry) Brief() DaemonEntry {
	e.CallerAddress, e.PeerAddress, e.FailureDomain, e.Cores = "", "", "", 0
	return e
}

// daemon is another daemon.
type daemon struct {
	DaemonEntry
	// heardAt is when its counter last grew; 0 if it never did.
	heardAt model.Time
	listed  bool
	since   model.Time
	// silent means that it was found silent and not heard since.
	silent bool
	// active means that callers are sent to it, since activeSince.
	active      bool
	activeSince model.Time
}

type memberState struct {
	counter      uint64
	changed      bool
	gossipAt     model.Time
	lastGossip   model.Time
	fetchAfter   model.Time
	newerSince   model.Time
	viewRevision uint64
	// behindSince is when another daemon was first known to have seen a change up
	// to behindAt that this one has not; refreshed is the last change for which
	// the store was asked anew.
	behindSince model.Time
	behindAt    uint64
	refreshed   uint64
	// callsPerSecond is measured since measuredAt, when lastCall was measuredCall.
	callsPerSecond int
	measuredAt     model.Time
	measuredCall   CallID
	// share is this daemon's part of what all daemons together may do.
	share float64
	// watcher means that this daemon watches the store.
	watcher bool
}

// SetViewRevision notes the store's revision of the latest change of leafs and
// evacuations.
func (s *State) SetViewRevision(r uint64) {
	if r > s.members.viewRevision {
		s.members.viewRevision = r
		s.members.changed = true
	}
}

// self returns this daemon's entry as it is now.
func (s *State) self() DaemonEntry {
	e := s.opt.Self
	e.Counter = s.members.counter
	e.ConfigVersion = s.Version()
	e.ViewRevision = s.members.viewRevision
	e.StoreDown = s.storeDown
	e.CallsPerSecond = s.members.callsPerSecond
	switch {
	case s.stopping:
		e.State = DaemonLeaving
	case s.Ready():
		e.State = DaemonReady
	}
	return e
}

func (s *State) daemonsListed(e DaemonsListed) {
	listed := map[string]bool{}
	for _, entry := range e.Daemons {
		listed[entry.Name] = true
		if d := s.merge(entry, false); d != nil {
			d.listed = true
		}
	}
	for _, name := range s.daemonNames() {
		if d := s.daemons[name]; d.listed && !listed[name] {
			delete(s.daemons, name)
		}
	}
	s.chooseActive()
}

func (s *State) gossipReceived(e GossipReceived) {
	for _, entry := range e.Daemons {
		s.merge(entry, true)
	}
	if !s.members.watcher {
		s.fetchView()
	}
}

// merge takes over an entry that is newer than the known one. Only a grown
// counter is a sign of life.
func (s *State) merge(e DaemonEntry, alive bool) *daemon {
	if e.Name == s.opt.Self.Name {
		s.outlive(e)
		return nil
	}
	d, ok := s.daemons[e.Name]
	if !ok {
		if e.Name == "" || e.PeerAddress == "" {
			return nil
		}
		d = &daemon{since: s.now, DaemonEntry: e}
		s.daemons[e.Name] = d
		s.emit(Log{Kind: LogDaemonSeen, Subject: e.Name, Detail: e.FailureDomain})
		if alive {
			d.heardAt = s.now
		}
		s.members.changed = true
		return d
	}
	if e.Incarnation < d.Incarnation {
		if alive {
			// It may have started again with an earlier time of day: it must outlive
			// the incarnation that is known here.
			s.emit(Gossip{To: []string{d.PeerAddress}, Daemons: []DaemonEntry{s.self(), d.DaemonEntry}})
		}
		return d
	}
	newer := e.Incarnation > d.Incarnation || e.Counter > d.Counter
	if !newer {
		return d
	}
	if d.ConfigVersion < e.ConfigVersion && s.members.newerSince == 0 && e.ConfigVersion > s.Version() {
		s.members.newerSince = s.now
	}
	if e.PeerAddress == "" {
		e.CallerAddress, e.PeerAddress, e.FailureDomain, e.Cores = d.CallerAddress, d.PeerAddress, d.FailureDomain, d.Cores
	}
	d.DaemonEntry = e
	if alive {
		d.heardAt = s.now
		if d.silent {
			d.silent = false
			s.emit(Log{Kind: LogDaemonSeen, Subject: d.Name, Detail: d.FailureDomain})
		}
	}
	return d
}

// outlive takes a greater incarnation than the one that others know of this
// daemon's name.
func (s *State) outlive(known DaemonEntry) {
	self := &s.opt.Self
	if known.Incarnation > self.Incarnation {
		self.Incarnation = known.Incarnation + 1
		s.members.changed = true
	}
}

func (s *State) daemonNames() []string {
	names := make([]string, 0, len(s.daemons))
	for name := range s.daemons {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (s *State) alive(d *daemon) bool {
	silence := s.opt.Silence
	since := d.heardAt
	switch {
	case !s.largeFleet():
	case d.active:
		silence += relaySilence
		since = max(since, d.activeSince)
	default:
		silence = reserveSilence
	}
	return d.heardAt > 0 && !d.silent && s.now.Sub(since) < silence
}

// largeFleet reports whether messages go to a few daemons at a time.
func (s *State) largeFleet() bool { return len(s.daemons) > gossipAll }

// gossip tells others of this daemon and of those heard last, and looks after
// what is due with it.
func (s *State) gossip() {
	due := s.now >= s.members.gossipAt
	if s.members.changed && s.now.Sub(s.members.lastGossip) >= gossipPause {
		due = true
	}
	if !due {
		if s.members.changed {
			s.members.gossipAt = min(s.members.gossipAt, s.members.lastGossip.Add(gossipPause))
		}
		return
	}
	s.members.changed = false
	s.members.lastGossip = s.now
	s.members.gossipAt = s.now.Add(gossipInterval)
	if s.largeFleet() {
		s.members.gossipAt = s.now.Add(largeGossipInterval)
	}
	s.members.counter++
	s.measureCalls()
	s.noteSilent()
	s.chooseActive()
	s.chooseWatchers()
	s.fetchView()
	s.refreshView()
	if to := s.gossipTargets(); len(to) > 0 {
		s.emit(Gossip{To: to, Daemons: s.gossipEntries()})
	}
}

func (s *State) noteSilent() {
	for _, name := range s.daemonNames() {
		d := s.daemons[name]
		if !d.silent && d.heardAt > 0 && !s.alive(d) {
			d.silent = true
			s.emit(Log{Kind: LogDaemonSilent, Subject: d.Name, Detail: d.FailureDomain, Age: s.now.Sub(d.heardAt)})
		}
		gone := s.now.Sub(max(d.heardAt, d.since)) > forgetAfter
		if gone && !s.storeDown && s.firstAlive() {
			s.emit(RemoveDaemon{Name: d.Name})
			d.since = s.now
		}
	}
}

// firstAlive reports whether no living daemon's name sorts before this one's,
// so that one daemon alone deletes entries.
func (s *State) firstAlive() bool {
	for name, d := range s.daemons {
		if name < s.opt.Self.Name && s.alive(d) {
			return false
		}
	}
	return true
}

// gossipTargets are all other daemons or, in larger fleets, a few at random,
// most of them near.
func (s *State) gossipTargets() []string {
	var to []string
	if !s.largeFleet() {
		for _, name := range s.daemonNames() {
			to = append(to, s.daemons[name].PeerAddress)
		}
	} else {
		var near, far []string
		for _, name := range s.daemonNames() {
			if d := s.daemons[name]; d.FailureDomain == s.opt.Self.FailureDomain {
				near = append(near, d.PeerAddress)
			} else {
				far = append(far, d.PeerAddress)
			}
		}
		to = append(s.sample(near, gossipNear), s.sample(far, gossipFar)...)
	}
	if !s.serversKnown {
		to = append(to, s.opt.Seeds...)
	}
	return to
}

// sample returns up to n of the values at random.
func (s *State) sample(values []string, n int) []string {
	s.rand.Shuffle(len(values), func(i, j int) { values[i], values[j] = values[j], values[i] })
	return values[:min(n, len(values))]
}

// gossipEntries are this daemon's entry and, if its messages do not reach all
// daemons at once, those that were heard last.
func (s *State) gossipEntries() []DaemonEntry {
	if !s.largeFleet() {
		return []DaemonEntry{s.self()}
	}
	var known []*daemon
	for _, d := range s.daemons {
		if s.alive(d) {
			known = append(known, d)
		}
	}
	first := func(d *daemon) int {
		if d.active {
			return 0
		}
		return 1
	}
	slices.SortFunc(known, func(a, b *daemon) int {
		return cmp.Or(cmp.Compare(first(a), first(b)), cmp.Compare(b.heardAt, a.heardAt), strings.Compare(a.Name, b.Name))
	})
	out := []DaemonEntry{s.self()}
	for _, d := range known[:min(len(known), gossipEntries)] {
		out = append(out, d.Brief())
	}
	return out
}

// fetchView asks another daemon for its view when the own way to the store does
// not bring what others have.
func (s *State) fetchView() {
	if s.now < s.members.fetchAfter {
		return
	}
	best := s.bestView()
	if best == nil {
		s.members.newerSince = 0
		return
	}
	m := &s.members
	newer := best.ConfigVersion > s.Version()
	patient := newer && s.config != nil && m.watcher && !s.storeDown && s.now.Sub(m.newerSince) < configPatience
	stale := s.storeDown && s.now.Sub(s.storeDownSince) >= storePatience && best.ViewRevision > m.viewRevision
	if (newer && !patient) || stale || !m.watcher || (!s.serversKnown && best.ViewRevision > 0) {
		pause := slowFetchPause
		if !m.watcher {
			pause = fetchPause
		}
		m.fetchAfter = s.now.Add(pause)
		s.emit(FetchView{From: best.PeerAddress})
	}
}

// refreshView asks the store anew when another daemon has known of a change
// for a while: the own watch may be cut off without notice.
func (s *State) refreshView() {
	m := &s.members
	newest := uint64(0)
	for _, d := range s.daemons {
		if s.alive(d) {
			newest = max(newest, d.ViewRevision)
		}
	}
	switch {
	case !m.watcher || s.storeDown || newest <= m.viewRevision || newest <= m.refreshed:
		m.behindAt = 0
	case m.behindAt == 0:
		m.behindAt, m.behindSince = newest, s.now
	case s.now.Sub(m.behindSince) >= refreshPatience:
		m.refreshed, m.behindAt = newest, 0
		s.emit(RefreshView{})
	}
}

// betterView reports whether a daemon's view is the better one to fetch, of two
// that are newer than the own: the nearer, then the newer.
func (s *State) betterView(a, b *daemon) bool {
	near := func(d *daemon) int {
		if d.FailureDomain == s.opt.Self.FailureDomain {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(near(a), near(b)), cmp.Compare(a.ConfigVersion, b.ConfigVersion), cmp.Compare(a.ViewRevision, b.ViewRevision),
	) > 0
}

// bestView returns the living daemon whose view is best to fetch; nil if none
// has anything newer than this daemon.
func (s *State) bestView() *daemon {
	var best *daemon
	for _, name := range s.daemonNames() {
		d := s.daemons[name]
		if !s.alive(d) || (d.ConfigVersion <= s.Version() && d.ViewRevision <= s.members.viewRevision) {
			continue
		}
		if best == nil || s.betterView(d, best) {
			best = d
		}
	}
	return best
}

// maxAddresses bounds the answer to a look-up.
const maxAddresses = 64

// Directory returns the addresses that callers from a region may use for a
// host: those of the active daemons, in the home regions of the host's routes
// or the caller's own. It is empty if there are none.
func (s *State) Directory(host, region string) []string {
	active := s.active(s.directoryRegions(host, region))
	out := make([]string, 0, len(active))
	for _, e := range active {
		out = append(out, e.CallerAddress)
	}
	return out[:min(len(out), maxAddresses)]
}

func (s *State) directoryRegions(host, region string) []string {
	if s.config == nil {
		return nil
	}
	homes := s.config.regions(host)
	if homes == nil || region == "" {
		return homes
	}
	return append(slices.Clone(homes), region)
}

// AliveRank returns this daemon's place among those that are heard and reach
// the store, from 0, and their number. The order has nothing to do with failure
// domains, so that the first daemons lie in several.
func (s *State) AliveRank() (place, count int) {
	count = 1
	self := s.opt.Self.Name
	for name, d := range s.daemons {
		if !s.alive(d) || d.StoreDown {
			continue
		}
		count++
		if a, b := nameHash(name), nameHash(self); a < b || (a == b && name < self) {
			place++
		}
	}
	return place, count
}

// chooseWatchers decides whether this daemon watches the store.
func (s *State) chooseWatchers() {
	place, _ := s.AliveRank()
	watcher := place < watchers
	if s.now < model.Time(watcherGrace) && !s.opt.IsSeed {
		watcher = false
	}
	if !watcher {
		// Calls that failed before say nothing of the store as it is now.
		s.storeDown = false
	}
	if watcher != s.members.watcher {
		s.members.watcher = watcher
		s.emit(WatchStore{On: watcher})
	}
}

// Watchers returns the number of daemons that watch the store, of those heard.
func (s *State) Watchers() int {
	_, count := s.AliveRank()
	return min(count, watchers)
}
