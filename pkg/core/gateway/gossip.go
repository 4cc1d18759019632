package gateway

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

func (s *State) gossipReceived(e GossipReceived) {
	s.noteRelays(e.Daemons)
	if e.Waited >= s.opt.MaxSilence {
		s.stalledAt = s.now
	}
	for _, entry := range e.Daemons {
		entry.Age += e.Waited
		s.mergeEntry(entry, true)
	}
	s.sectionsReceived(e)
	if s.members.watcher {
		s.refreshView()
	} else {
		s.fetchView()
	}
}

// mergeEntry takes over an entry if it is newer than the known one, and returns the
// daemon that it describes; nil for this daemon itself and for an incomplete entry. An
// entry that came by gossip and has a higher counter shows that its daemon is alive;
// one from the store's list does not.
func (s *State) mergeEntry(e DaemonEntry, fromGossip bool) *daemon {
	if e.Name == s.opt.Self.Name {
		s.raiseIncarnation(e)
		return nil
	}
	d, ok := s.daemons[e.Name]
	if !ok {
		if e.Name == "" || e.PeerAddress == "" {
			return nil
		}
		s.configHeard(e)
		d = &daemon{removalCountedFrom: s.now, DaemonEntry: e}
		s.daemons[e.Name] = d
		s.emit(Log{Kind: LogDaemonSeen, Subject: e.Name, Detail: e.FailureDomain})
		if fromGossip {
			s.markHeard(d, e.Age)
		}
		s.members.fullGossipPending = true
		s.noteReading(d)
		return d
	}
	if e.Incarnation < d.Incarnation {
		if fromGossip {
			// The daemon may have restarted with its clock set back. Told of the
			// incarnation that is known here, it takes a greater one.
			s.emit(Gossip{To: []string{d.PeerAddress}, Daemons: []DaemonEntry{s.self(), d.DaemonEntry}})
		}
		return d
	}
	newer := e.Incarnation > d.Incarnation || e.Counter > d.Counter
	if !newer {
		return d
	}
	if d.ConfigVersion < e.ConfigVersion && s.members.newerConfigSince == 0 && e.ConfigVersion > s.Version() {
		s.members.newerConfigSince = s.now
	}
	if e.PeerAddress == "" {
		e.CallerAddress, e.PeerAddress, e.FailureDomain, e.Cores = d.CallerAddress, d.PeerAddress, d.FailureDomain, d.Cores
	}
	s.configHeard(e)
	d.DaemonEntry = e
	if fromGossip {
		s.markHeard(d, e.Age)
	}
	s.noteReading(d)
	return d
}

// raiseIncarnation makes this daemon's incarnation greater than the one that others
// know for its name.
func (s *State) raiseIncarnation(known DaemonEntry) {
	self := &s.opt.Self
	// No daemon uses the greatest number, since none could be greater.
	if known.Incarnation > self.Incarnation && known.Incarnation < math.MaxUint64 {
		self.Incarnation = known.Incarnation + 1
		s.restartCounts()
		s.members.fullGossipPending = true
	}
}

// largeFleet reports whether there are so many daemons that each message goes to only a
// few of them.
func (s *State) largeFleet() bool { return len(s.daemons) > maxFullMeshPeers }

// gossipIfDue sends gossip if it is due. Before a full message it also updates what
// depends on the other daemons: who is silent, active or watches the store, and whose
// view to fetch.
func (s *State) gossipIfDue() {
	m := &s.members
	earliest := m.lastGossipAt.Add(minGossipInterval)
	switch {
	case s.now >= m.nextGossipAt, m.fullGossipPending && s.now >= earliest:
	case m.selfGossipPending && s.now >= earliest:
		s.gossipSelf()
		return
	case s.quotaUrgent() && s.now >= m.lastGossipAt.Add(quotaGossipInterval):
		s.gossipQuota()
		return
	default:
		return
	}
	m.fullGossipPending, m.selfGossipPending = false, false
	m.lastGossipAt = s.now
	s.members.nextGossipAt = s.now.Add(gossipInterval)
	if s.largeFleet() {
		s.members.nextGossipAt = s.now.Add(largeGossipInterval)
	}
	s.members.counter++
	s.measureCallRate()
	s.checkSilentDaemons()
	s.updateActive()
	s.updateQuotaHolding()
	s.updateWatcher()
	s.fetchView()
	s.confirmView()
	s.refreshView()
	to, sections := s.gossipTargets(), s.ownSections()
	told := slices.Concat(to, s.directTargets(to, sections))
	s.emitGossip(to, s.gossipEntries(), sections)
	s.tellOfRole(told)
}

// tellOfRole sends the entry of a daemon that watches the store, or is named to callers, in a
// large fleet to more daemons than the message before it, so that all hear it before they give
// its role to another one. Those that need its sections were told directly: it goes without.
func (s *State) tellOfRole(told []string) {
	if !s.members.watcher && !s.members.selfNamed || !s.largeFleet() {
		return
	}
	others := slices.DeleteFunc(s.peerAddresses(), func(address string) bool { return slices.Contains(told, address) })
	if to := s.randomSample(others, roleGossipTargets); len(to) > 0 {
		s.emit(Gossip{To: to, Daemons: []DaemonEntry{s.self()}})
	}
}

// nextGossipTime returns when the next message is due.
func (s *State) nextGossipTime() model.Time {
	m := &s.members
	switch {
	case m.fullGossipPending || m.selfGossipPending:
		return min(m.nextGossipAt, m.lastGossipAt.Add(minGossipInterval))
	case s.quotaUrgent():
		return min(m.nextGossipAt, m.lastGossipAt.Add(quotaGossipInterval))
	}
	return m.nextGossipAt
}

// gossipSelf tells others, between two full messages, that this daemon knows of a new
// configuration or change of leafs. Its own entry is enough for them to fetch the
// change and pass it on. Its sections go along: a message without them would end them.
func (s *State) gossipSelf() {
	s.members.selfGossipPending = false
	s.members.lastGossipAt = s.now
	s.members.counter++
	s.fetchView()
	s.emitGossip(s.gossipTargets(), []DaemonEntry{s.self()}, s.ownSections())
}

// gossipTargets returns the addresses of all other daemons or, in large fleets, of a
// few random ones, most of them in this daemon's failure domain. Until the leafs are
// known the seeds are added.
func (s *State) gossipTargets() []string {
	var to []string
	if !s.largeFleet() {
		to = s.peerAddresses()
	} else {
		var near, far []string
		for _, name := range s.daemonNames() {
			if d := s.daemons[name]; d.FailureDomain == s.opt.Self.FailureDomain {
				near = append(near, d.PeerAddress)
			} else {
				far = append(far, d.PeerAddress)
			}
		}
		to = append(s.randomSample(near, nearGossipTargets), s.randomSample(far, farGossipTargets)...)
	}
	if !s.serversKnown {
		to = append(to, s.opt.Seeds...)
	}
	return to
}

// peerAddresses returns the addresses of all other daemons.
func (s *State) peerAddresses() []string {
	var out []string
	for _, name := range s.daemonNames() {
		out = append(out, s.daemons[name].PeerAddress)
	}
	return out
}

// randomSample returns up to n of the values in random order. It reorders values.
func (s *State) randomSample(values []string, n int) []string {
	s.rand.Shuffle(len(values), func(i, j int) { values[i], values[j] = values[j], values[i] })
	return values[:min(n, len(values))]
}

// gossipEntries returns this daemon's entry and, if its messages do not go to all
// daemons, those of daemons that watch the store, then of others with a role or next in
// line for one, in turn if they are many, then of those that were heard last.
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
	class := func(d *daemon) int {
		switch {
		case d.relayedFirst && d.Watching:
			return 0
		case d.relayedFirst:
			return 1
		}
		return 2
	}
	slices.SortFunc(known, func(a, b *daemon) int {
		inTurn := 0
		if a.relayedFirst && b.relayedFirst {
			inTurn = cmp.Compare(a.passedOnAt, b.passedOnAt)
		}
		return cmp.Or(cmp.Compare(class(a), class(b)), inTurn, cmp.Compare(b.heardAt, a.heardAt), strings.Compare(a.Name, b.Name))
	})
	out := []DaemonEntry{s.self()}
	latest := latestReader(known)
	for _, d := range known[:min(len(known), maxGossipEntries)] {
		entry := d.WithoutStoredFields()
		entry.Age = s.now.Sub(d.toldAt)
		if d != latest {
			entry.HasRead, entry.ReadAge = false, 0
		}
		d.passedOnAt = s.now
		out = append(out, entry)
	}
	return out
}
