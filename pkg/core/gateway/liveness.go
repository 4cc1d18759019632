package gateway

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// roleSilence is how long a daemon may be silent and still have a role in the fleet, or get
// one: watch the store, or be named to callers.
func (s *State) roleSilence() time.Duration {
	if s.entriesAreRelayed() {
		return s.opt.MaxSilence + extraRelaySilence
	}
	return s.opt.MaxSilence
}

// noteStall records that the reducer takes its next step so late that the daemon cannot have
// run in between: it gossips more often.
func (s *State) noteStall(now model.Time) {
	if now.Sub(s.now) >= s.opt.MaxSilence {
		s.stalledAt = now
	}
}

// entriesAreRelayed reports whether other daemons are heard by way of third ones, because
// this daemon or another one takes the fleet for a large one.
func (s *State) entriesAreRelayed() bool {
	return s.largeFleet() || s.members.relayedAt > 0 && s.now.Sub(s.members.relayedAt) < inactiveSilence
}

// isResponsive reports whether a daemon may have a role: it has told of itself recently, or
// had, and its entry was renewed often enough since. Without the second condition a daemon
// would lose its role whenever its entry takes long to arrive. It ends, however often the
// entry is renewed, when the daemon has told nothing for twice as long.
func (s *State) isResponsive(d *daemon) bool {
	silence := s.roleSilence()
	kept := d.responsive && d.relayedFirst && s.now.Sub(d.heardAt) < silence && s.toldWithin(d, 2*silence)
	return kept || s.toldWithin(d, silence)
}

// isNameable reports whether callers may be sent to a daemon: it has told of itself recently.
// Unlike a role, that does not last longer because older entries of it still arrive.
func (s *State) isNameable(d *daemon) bool { return s.toldWithin(d, s.roleSilence()) }

// toldWithin reports whether a daemon has told of itself within a time.
func (s *State) toldWithin(d *daemon, silence time.Duration) bool {
	return !d.silent && d.heardAt > 0 && s.now.Sub(d.toldAt) < silence
}

// alive reports whether a daemon has been heard recently enough to count as running. In
// large fleets that is known late of a daemon whose entry is not passed on first: a role
// rests on isResponsive.
func (s *State) alive(d *daemon) bool {
	switch {
	case d.heardAt == 0 || d.silent:
		return false
	case !s.entriesAreRelayed():
		return s.now.Sub(d.heardAt) < s.opt.MaxSilence
	case d.relayedFirst:
		return s.now.Sub(max(d.heardAt, d.relayedSince)) < s.roleSilence()
	}
	return s.toldWithin(d, inactiveSilence)
}

// markHeard records that a daemon told of itself a time ago.
func (s *State) markHeard(d *daemon, age time.Duration) {
	d.heardAt = s.now
	d.toldAt = max(d.toldAt, s.now.Add(-age))
	if d.StoreDown {
		s.members.peerOutageAt = s.now
	}
	d.responsive = d.responsive || age < s.roleSilence()
	if d.silent {
		d.silent = false
		s.emit(Log{Kind: LogDaemonSeen, Subject: d.Name, Detail: d.FailureDomain})
	}
}

// noteRelays records that entries of third daemons came with a message: they lack what the
// store tells.
func (s *State) noteRelays(entries []DaemonEntry) {
	for _, e := range entries {
		if e.PeerAddress == "" && e.Name != s.opt.Self.Name {
			s.members.relayedAt = max(s.now, model.Time(1))
			return
		}
	}
}
