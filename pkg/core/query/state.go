// Package query runs queries on their entry daemon as a pure reducer: it admits
// them, chooses a snapshot, fans out to the shards, hedges, retries, merges the
// results and reports the coverage. It also keeps the at-most-once table of
// non-idempotent requests and answers lookups, in which callers ask which
// daemons to use. The package does no I/O and reads no clock: each event method
// takes the time and a random number from event.Meta and appends its effects to
// a list.
//
// Invariants:
//
//   - Results of different snapshots are never merged.
//   - An answer counts each asked shard exactly once, as answered or as
//     missing.
//   - A request is refused with not_run only if no byte of it left for a
//     backend server.
//   - A non-idempotent request id is started at most once, by the daemon
//     incarnation that the id names.
package query

import (
	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// View gives read access to the state of other reducers.
type View interface {
	// Self returns this daemon's current incarnation.
	Self() model.MemberRef
	// Bundle returns the bundle in effect, nil before the first one.
	Bundle() *model.Bundle
	Controls() *model.Controls
	Epoch() uint64
	// Admits reports whether this daemon takes new work, and if not, why.
	Admits(m event.Meta) (bool, string)
	// HasLease reports whether this daemon holds a lease and so can confirm
	// that its configuration is current.
	HasLease(now model.Time) bool
	// Owner returns the daemon that currently owns the server.
	Owner(model.ServerName) (model.Member, bool)
	// Report returns the latest known report on the server by its owner.
	Report(model.ServerName) (model.ServerReport, bool)
	// Peers returns the known daemons ordered by VM name, including this one.
	Peers() []model.MemberReport
}

// Config holds the dependencies of a State.
type Config struct{ View View }

// Counts are totals since the start of the process, for metrics.
type Counts struct {
	Admitted  uint64
	Refused   uint64
	Complete  uint64
	Partial   uint64
	Abandoned uint64
	// FirstAttempts, Hedges and Retries count the sub-requests sent. Retries
	// includes those that follow an attempt which never left for a backend
	// server.
	FirstAttempts  uint64
	Hedges         uint64
	Retries        uint64
	SnapshotMoves  uint64
	DroppedResults uint64
}

// State is the reducer's state. It is not safe for concurrent use.
type State struct {
	view        View
	lastAttempt model.AttemptID
	lastStream  event.StreamID
	// runs holds each running query by its own token and by the tokens of its
	// waiters.
	runs          map[event.Token]*run
	forwards      map[event.Token]*forward
	streams       map[event.StreamID]*stream
	services      map[model.ServiceName]*serviceState
	serverTimes   map[model.ServerName]*serverTimes
	once          onceTable
	timers        timerHeap
	bundleVersion uint64
	running       int
	counts        Counts
	// planned holds the attempts to send at the end of the current event, and
	// tallies the counts of the layout that is being considered. Both are
	// buffers that later events reuse.
	planned []plannedAttempt
	tallies []tally
}

// eventContext holds the input of one event and collects its effects.
type eventContext struct {
	event.Meta
	out *effect.List
}

// New returns an empty State.
func New(c Config) *State {
	return &State{
		view:        c.View,
		runs:        make(map[event.Token]*run),
		forwards:    make(map[event.Token]*forward),
		streams:     make(map[event.StreamID]*stream),
		services:    make(map[model.ServiceName]*serviceState),
		serverTimes: make(map[model.ServerName]*serverTimes),
		once:        newOnceTable(),
	}
}

// Running returns the number of queries that have not ended, including those
// forwarded to a peer.
func (s *State) Running() int { return s.running + len(s.forwards) }

// Counts returns the totals since the start.
func (s *State) Counts() Counts { return s.counts }

// NextWake returns the time at which Tick must be called next, or model.Never.
func (s *State) NextWake() model.Time { return s.timers.nextAt() }

// Tick handles all timers that are due: hedges, retries and deadlines.
func (s *State) Tick(m event.Meta, out *effect.List) {
	c := s.beginEvent(m, out)
	for s.timers.nextAt() <= m.Now {
		t := s.timers.popNext()
		if t.forward != nil {
			s.forwardExpired(c, t.forward)
			continue
		}
		s.handleRunTimer(c, t.run)
	}
}

// beginEvent returns the context of a new event. It first frees expired
// at-most-once entries and the state of removed services and servers.
func (s *State) beginEvent(m event.Meta, out *effect.List) *eventContext {
	s.once.expireEntries(m.Now)
	s.pruneRemoved()
	return &eventContext{Meta: m, out: out}
}
