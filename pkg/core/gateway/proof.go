package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// A daemon's view of the store is proven as of a moment if it lacks no change from before: this
// daemon has read all kinds from the store then, or another one has and told of nothing that this
// one does not know. A daemon whose view is not proven for proofLimit reads the store itself. So
// each daemon that reaches the store keeps Options.ApplyWithin, whoever else fails to.

// Parts of Options.ApplyWithin. What is left is for the reading itself and for machines that run
// late.
const (
	// watchPart is the time within which some daemon's watches end, which proves its view.
	// relayedWatchPart is that where proofs arrive by way of other daemons.
	watchPart        = 0.5
	relayedWatchPart = 0.2
	// proofPart is the age of a proof at which a daemon reads the store itself. A random part
	// of up to proofSpreadPart is added: the first to read tell the others.
	proofPart        = 0.7
	relayedProofPart = 0.66
	proofSpreadPart  = 0.1
)

const (
	// DefaultApplyWithin replaces Options.ApplyWithin if that is not set.
	DefaultApplyWithin = 3 * time.Second
	// maxWatchInterval bounds the time within which some daemon's watches end.
	maxWatchInterval = 2 * time.Second
	// proofRelayTime is how long news of a reading takes to nearly all daemons of a large fleet.
	// Without it, a short Options.ApplyWithin would make each of them read the store all the time.
	proofRelayTime = 2300 * time.Millisecond
	// minReadPause and maxReadPause bound the time after which a daemon reads the store again
	// that could not be read, as multiples of Options.MaxSilence. A daemon without a path to
	// the store counts as cut off for that long at least.
	minReadPause = 1.6
	maxReadPause = 2.6
	// storeDownMemory is how long a daemon that does not watch the store counts a failed call,
	// as a multiple of Options.MaxSilence.
	storeDownMemory = 3.3
)

// proofState is what is known about the age of this daemon's view.
type proofState struct {
	// readAt is when this daemon last read all kinds from the store; valid if hasRead.
	readAt  model.Time
	hasRead bool
	// provenAt is the latest moment as of which the view is proven; 0 if there is none.
	provenAt model.Time
	// dueAt is when it is next checked whether the store is to be read. readAfter is the
	// earliest time for that, spread the random part of the limit.
	dueAt, readAfter model.Time
	spread           time.Duration
	// rand is not State.rand, so that the random choices among leafs do not depend on it.
	rand *rand.Rand
}

// reading is what a daemon knew when it last read the store.
type reading struct {
	at      model.Time
	version uint64
	view    ViewRevisions
}

// eraBegins forgets this daemon's readings, which are of an earlier era of the store. The view
// counts as proven for another limit: daemons first list all kinds anew.
func (p *proofState) eraBegins(now model.Time, limit time.Duration) {
	p.hasRead = false
	p.readAfter = max(p.readAfter, now.Add(limit))
}

// StoreRead means that this daemon has read all kinds from the store, the one that was read
// first an Age ago, and knows no less than the store held then.
type StoreRead struct{ Age time.Duration }

// ReadStore reads all kinds from the store now. StoreRead or a failed StoreReached follows.
type ReadStore struct{}

func (StoreRead) event()  {}
func (ReadStore) effect() {}

// WatchTurn is a daemon's turn among those that watch the store.
type WatchTurn struct {
	// Place is that of the daemon, from 0, among Count.
	Place, Count int
	// Interval is the time between the turns of two daemons.
	Interval time.Duration
}

// WatchTurn returns this daemon's turn.
func (s *State) WatchTurn() WatchTurn {
	place, count := s.StoreRank()
	return WatchTurn{Place: place, Count: min(count, maxWatchers), Interval: s.watchInterval()}
}

// applyPart returns a part of Options.ApplyWithin.
func (s *State) applyPart(part float64) time.Duration {
	return time.Duration(part * float64(s.opt.ApplyWithin))
}

func (s *State) watchInterval() time.Duration {
	part := watchPart
	if s.entriesAreRelayed() {
		part = relayedWatchPart
	}
	return min(maxWatchInterval, s.applyPart(part))
}

// proofLimit is the age of a proof from which on this daemon reads the store itself.
func (s *State) proofLimit() time.Duration {
	if s.entriesAreRelayed() {
		return max(s.applyPart(relayedProofPart), s.watchInterval()+proofRelayTime)
	}
	return s.applyPart(proofPart)
}

// ProofAge returns for how long the view has not been proven, at most since the start.
func (s *State) ProofAge() time.Duration { return s.now.Sub(s.proof.provenAt) }

// storeRead records a reading of this daemon. If it lacked a proof, so may the others, which are
// told at once.
func (s *State) storeRead(e StoreRead) {
	p := &s.proof
	at := s.now.Add(-e.Age)
	if p.hasRead {
		at = max(at, p.readAt)
	}
	p.readAt, p.hasRead = at, true
	if s.ProofAge() >= s.proofLimit() {
		s.members.selfGossipPending = true
	}
	p.provenAt = max(p.provenAt, p.readAt)
}

// ownReading returns the age of this daemon's last reading if others can take it for a proof.
func (s *State) ownReading() (ok bool, age time.Duration) {
	if age = s.now.Sub(s.proof.readAt); !s.proof.hasRead || age >= s.opt.ApplyWithin {
		return false, 0
	}
	return true, age
}

// noteReading records what an entry tells of a daemon's reading.
func (s *State) noteReading(d *daemon) {
	if d.HasRead {
		d.reading = reading{s.now.Add(-d.Age - d.ReadAge), d.ConfigVersion, d.View}
		s.adoptReading(d)
	}
}

// latestReader returns the daemon whose reading is passed on: of those that watch the store the one
// that read it last; nil without one.
func latestReader(daemons []*daemon) *daemon {
	var latest *daemon
	for _, d := range daemons {
		if d.Watching && d.HasRead && (latest == nil || d.reading.at > latest.reading.at) {
			latest = d
		}
	}
	return latest
}

// adoptReading takes a daemon's reading for a proof of this daemon's view, if that lacks nothing
// that the other knew. Revisions do not show what a list lacks that was old when it was read: a
// view that is known from such lists alone is not proven by another daemon.
func (s *State) adoptReading(d *daemon) {
	continuous := s.Version() > 0 && s.serversKnown && (s.proof.hasRead || s.members.viewConfirmed)
	r, view := d.reading, s.members.view
	if !continuous || r.at <= s.proof.provenAt || r.version > s.Version() || r.view.Era != view.Era || r.view.exceeds(view.merge(d.fetched)) {
		return
	}
	s.proof.provenAt = r.at
}

// adoptReadings takes the readings of all daemons for proofs, after this daemon's view changed.
func (s *State) adoptReadings() {
	for _, d := range s.daemons {
		s.adoptReading(d)
	}
}

// readStoreIfDue reads the store if this daemon's view has not been proven for too long.
func (s *State) readStoreIfDue() {
	p := &s.proof
	if s.now < p.dueAt {
		return
	}
	s.adoptReadings()
	p.dueAt = max(p.readAfter, p.provenAt.Add(s.proofLimit()+p.spread))
	if p.spread == 0 {
		p.spread = s.randomBetween(0, s.applyPart(proofSpreadPart))
		p.dueAt = p.dueAt.Add(p.spread)
	}
	if s.now < p.dueAt {
		return
	}
	silence := float64(s.opt.MaxSilence)
	p.readAfter = s.now.Add(s.randomBetween(time.Duration(minReadPause*silence), time.Duration(maxReadPause*silence)))
	p.dueAt, p.spread = p.readAfter, 0
	s.emit(ReadStore{})
	s.emit(Log{Kind: LogViewUnproven, Duration: s.ProofAge()})
}

func (s *State) randomBetween(a, b time.Duration) time.Duration {
	return a + time.Duration(s.proof.rand.Float64()*float64(b-a))
}

// forgetStoreFailure makes a daemon that does not watch the store forget that a call failed long
// ago: it cannot tell from that whether the store is down now.
func (s *State) forgetStoreFailure() {
	memory := time.Duration(storeDownMemory * float64(s.opt.MaxSilence))
	if !s.members.watcher && s.now.Sub(s.storeFailedAt) >= memory {
		s.storeDown = false
	}
}
