package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// gossipInterval is the time between two full messages to each other daemon.
	gossipInterval = 400 * time.Millisecond
	// minGossipInterval is the least time between two messages, which limits those that
	// changes cause.
	minGossipInterval = 50 * time.Millisecond
	// maxFullMeshPeers is the number of other daemons up to which each of them gets
	// every message.
	maxFullMeshPeers = 12
	// nearGossipTargets and farGossipTargets are the numbers of daemons, in this
	// daemon's failure domain and in others, that get a message in large fleets.
	nearGossipTargets = 2
	farGossipTargets  = 1
	// roleGossipTargets is the number of further daemons that get the entry of one with a role,
	// in large fleets.
	roleGossipTargets = 8
	// maxGossipEntries is the number of other daemons that a message describes in large
	// fleets, those with a role first.
	maxGossipEntries = 20
	// largeGossipInterval replaces gossipInterval in large fleets.
	largeGossipInterval = 500 * time.Millisecond
	// inactiveSilence is how long a daemon without a role may be silent in a large fleet,
	// where its entry is passed on rarely.
	inactiveSilence = 15 * time.Second
	// extraRelaySilence is added to Options.MaxSilence in large fleets, where entries
	// arrive by way of other daemons.
	extraRelaySilence = 1500 * time.Millisecond
	// minFetchInterval is the least time between two fetches of another daemon's view
	// by a daemon that does not watch the store, watcherFetchInterval by one that does.
	minFetchInterval     = 150 * time.Millisecond
	watcherFetchInterval = 500 * time.Millisecond
	// configFetchDelay is how long a daemon waits for its own watch of the store to
	// deliver a configuration that another daemon has.
	configFetchDelay = 250 * time.Millisecond
	// viewRefreshDelay is how long a daemon waits for its own watch of the store to
	// deliver a change of leafs that another daemon knows of.
	viewRefreshDelay = 700 * time.Millisecond
	// maxWatchers is the number of daemons that watch the store. The others learn from
	// them, so that the number of calls to the store does not grow with the fleet.
	maxWatchers = 3
	// spareWatchers is the number of daemons next in line to watch the store, and
	// spareActive of those to be active, whose entries are passed on like those of daemons
	// with a role.
	spareWatchers = 3
	spareActive   = 3
	// watcherStartDelay is how long a daemon that has just started waits to hear others
	// before it may watch the store. Seeds do not wait.
	watcherStartDelay = 1200 * time.Millisecond
	// slowFetchDelay is how long a fetch of a daemon's view may take before views of other
	// daemons are fetched first; a fetch takes some milliseconds.
	slowFetchDelay = 300 * time.Millisecond
	// failedFetchDelay is how long after a failed fetch of a daemon's view views of other
	// daemons are fetched first.
	failedFetchDelay = 2 * time.Second
	// viewConfirmDelay is how long after its start a daemon that does not watch the store
	// fetches the view of one that does: that one has watched it since, even if all
	// daemons started together.
	viewConfirmDelay = 1800 * time.Millisecond
	// eraConfirmDelay is how long after it learned of a new era of the store a daemon
	// fetches the view of another: by then that one has listed all kinds in this era.
	eraConfirmDelay = time.Second
	// storeOutageDelay is how long the store must be unreachable before another
	// daemon's view is used.
	storeOutageDelay = 700 * time.Millisecond
	// daemonRetention is the silence after which a daemon's entry is deleted from the
	// store.
	daemonRetention = 60 * time.Second
)

// DaemonState says whether a daemon can receive requests.
type DaemonState uint8

// States of a daemon.
const (
	DaemonStarting DaemonState = iota
	DaemonReady
	DaemonLeaving
)

// DaemonEntry is what daemons tell each other about a daemon.
type DaemonEntry struct {
	Name string `json:"name"`
	// Incarnation increases with each start of the daemon.
	Incarnation uint64 `json:"incarnation"`
	// Counter increases with each message that the daemon itself sends.
	Counter       uint64      `json:"counter"`
	CallerAddress string      `json:"callerAddress"`
	PeerAddress   string      `json:"peerAddress"`
	FailureDomain string      `json:"failureDomain"`
	State         DaemonState `json:"state"`
	ConfigVersion uint64      `json:"configVersion"`
	// View has the revisions of the latest changes that the daemon knows of.
	View ViewRevisions `json:"view"`
	// StoreDown means that the daemon's calls to the store fail.
	StoreDown bool `json:"storeDown"`
	// Watching means that the daemon watches the store, has read it since it began to, and that
	// its calls to the store work.
	Watching bool `json:"watching,omitempty"`
	// ReadAge is the time since the daemon read all kinds from the store, valid if HasRead.
	HasRead bool          `json:"hasRead,omitempty"`
	ReadAge time.Duration `json:"readAge,omitempty"`
	// Age is the time since the daemon itself told this entry, if it came by way of others.
	Age time.Duration `json:"age,omitempty"`
	// Cores is the CPU time that the daemon may use, in cores.
	Cores float64 `json:"cores"`
	// CallsPerSecond is the recent rate of attempts that the daemon sends.
	CallsPerSecond int `json:"callsPerSecond"`
}

// WithoutStoredFields returns the entry without the fields that the daemon's entry in
// the store contains as well.
func (e DaemonEntry) WithoutStoredFields() DaemonEntry {
	e.CallerAddress, e.PeerAddress, e.FailureDomain, e.Cores = "", "", "", 0
	return e
}

// sameStoredFields reports whether two entries agree in what the store holds.
func (e DaemonEntry) sameStoredFields(x DaemonEntry) bool {
	return e.CallerAddress == x.CallerAddress && e.PeerAddress == x.PeerAddress && e.FailureDomain == x.FailureDomain && e.Cores == x.Cores
}

// daemon is what this daemon knows about another one.
type daemon struct {
	DaemonEntry
	// heardAt is when its counter last increased; 0 if it never did. toldAt is when the
	// daemon itself told the latest entry, which may have come by way of others.
	heardAt, toldAt model.Time
	// listed means that the store's list contained its entry.
	listed bool
	// keptSince is when the store came back from a copy without its entry; 0 if it has
	// one. A running daemon writes its entry again, and holds shares of quotas until then.
	keptSince model.Time
	// removalCountedFrom is when the daemon became known or the deletion of its entry
	// was last requested. The entry is deleted daemonRetention after this time or
	// heardAt, whichever is later.
	removalCountedFrom model.Time
	// silent means that it was reported as silent and has not been heard since.
	silent bool
	// fetchingSince is when the fetch of its view began that has not ended; 0 if none is
	// running. fetchFailedAt is when a fetch last failed; 0 if none did.
	fetchingSince, fetchFailedAt model.Time
	// fetched has the revisions that the daemon had told of when its view was fetched.
	fetched ViewRevisions
	// active means that callers are sent to it.
	active bool
	// relayedFirst means that daemons pass its entry on first since relayedSince, because it
	// has a role in the fleet or is next in line for one.
	relayedFirst bool
	relayedSince model.Time
	// passedOnAt is when this daemon last passed its entry on.
	passedOnAt model.Time
	// responsive means that the daemon has told of itself recently, or had, and its entry was
	// renewed often enough since.
	responsive bool
	// reading is the latest of which it has told.
	reading reading
	// sections are what it last told about its own requests.
	sections receivedSections
}

// memberState is the state of this daemon's gossip, of its role among the daemons, and
// of the exchange of views with them.
type memberState struct {
	counter uint64
	// fullGossipPending asks for a full message soon, selfGossipPending for one about
	// this daemon alone.
	fullGossipPending, selfGossipPending bool
	nextGossipAt                         model.Time
	lastGossipAt                         model.Time
	nextFetchAt                          model.Time
	// newerConfigSince is when another daemon was first known to have a newer
	// configuration; 0 if none has.
	newerConfigSince model.Time
	// heardConfig is the latest version of the configuration that another daemon has told of,
	// at heardConfigAt.
	heardConfig   uint64
	heardConfigAt model.Time
	// view has the revisions of the latest changes that this daemon has applied.
	view ViewRevisions
	// peerOutageAt is when another daemon last reported that it cannot reach the store.
	peerOutageAt model.Time
	// relayedAt is when an entry of a third daemon last came by way of another; 0 if none
	// did.
	relayedAt model.Time
	// behindSince is when another daemon was first known to have seen a change that this
	// one has not; 0 if there is none. refreshed has the revisions up to which the store
	// has been read again for that reason.
	behindSince model.Time
	refreshed   ViewRevisions
	// callsPerSecond is the rate of attempts measured last, at callRateAt; callRateFrom
	// is the last attempt before that time.
	callsPerSecond int
	callRateAt     model.Time
	callRateFrom   CallID
	// quotaShare is this daemon's share of the quotas that all daemons divide among
	// themselves; 0 if not yet computed.
	quotaShare float64
	// selfActive means that callers without a region are sent to this daemon, selfNamed that
	// those of any region are; writerTurn is its place, from 0, in the order in which daemons
	// write verdicts of roll-outs.
	selfActive bool
	selfNamed  bool
	writerTurn int
	// watcher means that this daemon watches the store since watcherSince.
	watcher      bool
	watcherSince model.Time
	// watchersLogged is the last log entry about the watchers of the store.
	watchersLogged Log
	// viewConfirmed means that a view was fetched after confirmAfter.
	viewConfirmed bool
	// eraSeenAt is when the latest era of the store became known.
	eraSeenAt model.Time
	// listed means that the store's last list contained this daemon's entry. listedEra is
	// the era of that list.
	listed    bool
	listedEra uint64
	// registered means that this daemon's entry is in the store as far as is known,
	// registeredBefore that it was at some time.
	registered, registeredBefore bool
}

// self returns this daemon's current entry.
func (s *State) self() DaemonEntry {
	e := s.opt.Self
	e.Counter = s.members.counter
	e.ConfigVersion = s.Version()
	e.View = s.members.view
	e.StoreDown = s.storeDown
	e.CallsPerSecond = s.members.callsPerSecond
	e.Watching = s.isWatching()
	e.HasRead, e.ReadAge = s.ownReading()
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
	copied := e.Era > s.members.listedEra
	outdated := false
	for _, entry := range e.Daemons {
		listed[entry.Name] = true
		outdated = outdated || entry.Name == s.opt.Self.Name && !entry.sameStoredFields(s.opt.Self)
		if d := s.mergeEntry(entry, false); d != nil {
			d.listed = true
		}
	}
	for _, name := range s.daemonNames() {
		d := s.daemons[name]
		switch {
		case listed[name]:
			d.keptSince = 0
		case !d.listed:
		case copied:
			d.keptSince = s.now
		case d.keptSince == 0:
			delete(s.daemons, name)
		}
	}
	self := listed[s.opt.Self.Name]
	if (s.members.listed || copied) && !self || copied && outdated {
		// The daemon was cut off for so long that another one has deleted its entry, or
		// the store came back from a copy without it.
		s.emit(RegisterDaemon{})
	}
	if self || s.members.listed {
		s.members.registered = self
	}
	s.members.listed, s.members.listedEra = self, max(s.members.listedEra, e.Era)
	s.updateActive()
	s.updateQuotaHolding()
}

// daemonNames returns the names of the other daemons in sorted order, so that effects
// do not depend on the iteration order of a map.
func (s *State) daemonNames() []string { return slices.Sorted(maps.Keys(s.daemons)) }

// checkSilentDaemons marks and logs daemons that have become silent. The first of those that
// watch the store also deletes the entries of daemons that have been silent for
// daemonRetention.
func (s *State) checkSilentDaemons() {
	for _, name := range s.daemonNames() {
		d := s.daemons[name]
		d.responsive = s.isResponsive(d)
		if !d.silent && d.heardAt > 0 && !s.alive(d) {
			d.silent = true
			s.emit(Log{Kind: LogDaemonSilent, Subject: d.Name, Detail: d.FailureDomain, Duration: s.now.Sub(d.heardAt)})
		}
		gone := s.now.Sub(max(d.heardAt, d.removalCountedFrom)) > daemonRetention
		if d.keptSince > 0 && s.now.Sub(max(d.heardAt, d.keptSince)) > daemonRetention {
			delete(s.daemons, name)
			continue
		}
		if gone && s.isFirstWatcher() {
			s.emit(RemoveDaemon{Name: d.Name})
			d.removalCountedFrom = s.now
		}
	}
}

// isFirstWatcher reports whether this daemon is the first of those that watch the store, so that
// only one daemon deletes entries.
func (s *State) isFirstWatcher() bool {
	return s.isWatching() && s.placeOfSelf(s.storeOrder()) == 0
}
