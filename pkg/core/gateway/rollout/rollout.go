// Package rollout decides for one service which versions of its software get requests: it
// holds back leafs of versions that nothing allows yet, exposes the target version of an
// order to few requests, compares its answers with those of the versions before, and
// decides whether the order is completed or rolled back. It has no clock, no I/O and no
// goroutine; docs/design/rollouts.md describes the decisions.
package rollout

import (
	"hash/fnv"
	"strconv"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Limits bound the requests that a version gets before it is known to be good.
type Limits struct {
	// Share is the part of the service's requests, Slack a number of requests in addition,
	// both summed over all daemons.
	Share, Slack float64
	// Hold is the time within which a daemon learns of an order. A leaf of another version
	// is held back for this long.
	Hold time.Duration
	// PeerLifetime is how long the progress of another daemon is used.
	PeerLifetime time.Duration
}

// Verdict is the outcome of an order.
type Verdict uint8

// Verdicts.
const (
	Undecided Verdict = iota
	// Completed means that only the target version is used.
	Completed
	// RolledBack means that the target version is not used again.
	RolledBack
)

// String returns the verdict as log lines show it.
func (v Verdict) String() string { return [...]string{"running", "completed", "rolled_back"}[v] }

// Order requests that the traffic of a service be moved to leafs of a version.
type Order struct {
	Service, Target string
	Duration        time.Duration
	// Created is the store's revision in which the object of the order was created, Revision
	// the one of its latest change.
	Created, Revision uint64
	// Era is that of the store in which Revision counts; 0 if the store names none.
	Era uint64
	// Verdict is what the store holds for the target version.
	Verdict Verdict
}

// ID identifies the order among all daemons. It differs from that of the previous order of
// the service also if both are contents of the same object.
func (o Order) ID() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(o.Service + "\x00" + o.Target + "\x00" + strconv.FormatInt(int64(o.Duration), 36) + "\x00" + strconv.FormatUint(o.Created, 36)))
	return h.Sum64()
}

// Leaf is what the decisions need to know about a leaf of the service.
type Leaf struct {
	ID, Version, FailureDomain string
	// StartedMS is when the leaf started, in Unix milliseconds; 0 if unknown.
	StartedMS int64
	// Usable means that the leaf may get work as far as drains and evacuations are concerned.
	Usable bool
}

// State is the state of one service.
type State struct {
	limits   Limits
	versions versions
	leafs    []Leaf
	run      *run
}

// run is the state of the order in force, also after its verdict.
type run struct {
	Order
	id uint64
	// seenAt is when the order was written, as far as known: when this daemon or another
	// that it heard learned of it.
	seenAt model.Time
	// slack is this daemon's part of the slack, of which sampleSlackShare is used.
	slack float64
	// suspect means that the evidence hints at a fault.
	suspect bool
	// requests is the number of this daemon's requests to the service since seenAt, exposed
	// the number of its attempts at leafs of the target version.
	requests, exposed uint64
	ledger            ledger
	// local is what this daemon acts on until the store has a verdict; decidedAt is when it
	// was set.
	local     Verdict
	decidedAt model.Time
	evaluated model.Time
	// testedBad is the number of bad answers at the last test.
	testedBad uint64
	// ramping means that the former versions still get requests in a move to the target.
	ramping bool
	reason  string
	// nextWriteAt is when the verdict is to be written next; writing means that a write has
	// not ended; readBack means that the previous one may have taken effect.
	nextWriteAt       model.Time
	writing, readBack bool
	// rewrite means that the store has lost the verdict, which is in force.
	rewrite bool
	// peers is what other daemons told last about this order.
	peers map[string]peer
}

// peer is the progress that another daemon told last.
type peer struct {
	Progress
	heardAt model.Time
}

// New returns the state of a service without an order.
func New(l Limits) *State {
	return &State{limits: l, versions: newVersions()}
}

// Change says what a call of SetOrder changed.
type Change uint8

// Changes.
const (
	Unchanged Change = iota
	Started
	Withdrawn
	Decided
)

// SetOrder takes over the order that the store holds; nil if there is none. slackShare is
// this daemon's part of the slack. A verdict that was seen for an order is final: an older
// copy of the object does not revert it.
func (s *State) SetOrder(now model.Time, o *Order, slackShare float64) Change {
	if o == nil {
		return s.withdraw()
	}
	if s.run != nil && s.run.id == o.ID() {
		if (o.Era > s.run.Era || s.run.rewrite) && s.run.Verdict != Undecided && o.Verdict == Undecided {
			// The store came back from a copy that is older than the verdict. The object may
			// change again before the verdict is written.
			s.run.rewrite, s.run.Revision, s.run.Era = true, o.Revision, o.Era
			s.run.nextWriteAt = now
		}
		if s.run.Verdict == Undecided || s.run.Verdict == o.Verdict {
			s.run.rewrite = false
			s.run.Revision, s.run.Era = o.Revision, o.Era
		}
		if s.run.Verdict != Undecided || o.Verdict == Undecided {
			return Unchanged
		}
		s.conclude(now, o.Verdict)
		return Decided
	}
	s.withdraw()
	s.run = &run{Order: *o, id: o.ID(), seenAt: now, slack: s.limits.Slack * slackShare, ledger: newLedger(), peers: map[string]peer{}}
	s.run.Verdict = Undecided
	s.versions.startOrder(now, o.Target, s.leafs)
	if o.Verdict != Undecided {
		s.conclude(now, o.Verdict)
		return Decided
	}
	return Started
}

// withdraw ends an order without a verdict. Leafs of its target version are then used only
// if no others are left: nothing has shown that they are good.
func (s *State) withdraw() Change {
	if s.run == nil {
		return Unchanged
	}
	if s.run.Verdict == Undecided {
		s.versions.retire(s.run.Target, lastResort)
	}
	s.run = nil
	return Withdrawn
}

// conclude applies the verdict of the store.
func (s *State) conclude(now model.Time, v Verdict) {
	s.run.Verdict, s.run.local = v, v
	s.run.decidedAt = now
	if v == Completed {
		s.versions.replaceBy(s.run.Target)
	} else {
		s.versions.retire(s.run.Target, never)
	}
}

// running reports whether there is an order without a verdict in the store.
func (s *State) running() bool { return s.run != nil && s.run.Verdict == Undecided }

// Attention reports whether time alone may change the result of Uses or Decide.
func (s *State) Attention() bool {
	return s.running() || s.run != nil && s.run.rewrite || len(s.versions.held) > 0
}

// Order returns the order in force and what this daemon acts on; ok is false without one.
func (s *State) Order() (o Order, acting Verdict, ok bool) {
	if s.run == nil {
		return Order{}, Undecided, false
	}
	return s.run.Order, s.run.local, true
}
