// Package query is the entry side of a query as a pure reducer: admission,
// snapshot choice, fan-out, hedging, retries, merge, coverage, the at-most-once
// table and lookup. It does no I/O and reads no clock; every method takes the
// time and randomness from event.Meta and appends its effects to a list.
//
// Invariants: results of two snapshots are never merged; an answer counts
// every asked shard once, as answered or missing; a not_run refusal is given
// only when no byte left for a backend server; a non-idempotent id is started
// at most once by the incarnation that it names.
package query

import (
	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// View gives the facts that other reducers own.
type View interface {
	// Self is this daemon's current incarnation.
	Self() model.MemberRef
	// Bundle is the bundle in effect, nil at first.
	Bundle() *model.Bundle
	Controls() *model.Controls
	Epoch() uint64
	// Admits reports whether this daemon may take new work, and if not, why.
	Admits(m event.Meta) (bool, string)
	// HasLease reports whether this daemon can confirm that it is current.
	HasLease(now model.Time) bool
	// Owner is the daemon that owns the server now.
	Owner(model.ServerName) (model.Member, bool)
	Report(model.ServerName) (model.ServerReport, bool)
	// Peers lists the known daemons by VM name, this one included.
	Peers() []model.MemberReport
}

// Config holds what State needs for its lifetime.
type Config struct{ View View }

// Counts are totals since the start, for metrics.
type Counts struct {
	Admitted  uint64
	Refused   uint64
	Complete  uint64
	Partial   uint64
	Abandoned uint64
	// First, Hedges and Retries count the sub-requests sent. Retries includes
	// those after an attempt that never left for a backend server.
	First   uint64
	Hedges  uint64
	Retries uint64
	Moves   uint64
	Dropped uint64
}

// State is the reducer's state. It is not safe for concurrent use.
type State struct {
	view        View
	lastAttempt model.AttemptID
	lastStream  event.StreamID
	// runs holds each running query by its token and by those of its waiters.
	runs          map[event.Token]*run
	forwards      map[event.Token]*forward
	streams       map[event.StreamID]*stream
	services      map[model.ServiceName]*service
	waits         map[model.ServerName]*serverWait
	once          onceTable
	timers        timerHeap
	bundleVersion uint64
	running       int
	counts        Counts
	// picks and tallies are scratch space that lives for one event.
	picks   []pick
	tallies []tally
}

// step is the input and output of one event.
type step struct {
	event.Meta
	out *effect.List
}

// New returns an empty State.
func New(c Config) *State {
	return &State{
		view:     c.View,
		runs:     make(map[event.Token]*run),
		forwards: make(map[event.Token]*forward),
		streams:  make(map[event.StreamID]*stream),
		services: make(map[model.ServiceName]*service),
		waits:    make(map[model.ServerName]*serverWait),
		once:     newOnceTable(),
	}
}

// Running returns the number of queries that have not ended, those forwarded
// to a peer included.
func (s *State) Running() int { return s.running + len(s.forwards) }

// Counts returns the totals since the start.
func (s *State) Counts() Counts { return s.counts }

// NextWake returns the time at which Tick must be called, model.Never if none.
func (s *State) NextWake() model.Time { return s.timers.next() }

// Tick runs everything that is due: hedges, retries and deadlines.
func (s *State) Tick(m event.Meta, out *effect.List) {
	c := s.begin(m, out)
	for s.timers.next() <= m.Now {
		t := s.timers.pop()
		if t.forward != nil {
			s.forwardExpired(c, t.forward)
			continue
		}
		s.runDue(c, t.run)
	}
}

// begin starts an event and frees what expired.
func (s *State) begin(m event.Meta, out *effect.List) *step {
	s.once.expire(m.Now)
	s.pruneServices()
	return &step{Meta: m, out: out}
}
