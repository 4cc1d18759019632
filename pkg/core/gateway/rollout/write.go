package rollout

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// writeDue reports whether the verdict is to be written now.
func (s *State) writeDue(now model.Time, in Situation) bool {
	r := s.run
	if r.local == Undecided || r.writing || now < r.nextWriteAt || now < r.decidedAt.Add(time.Duration(in.Turn)*writeTurn) {
		return false
	}
	if r.local == RolledBack {
		return true
	}
	moving := now.Sub(r.decidedAt) - time.Duration(in.Turn)*writeTurn
	if moving < minMoveTime || moving < maxMoveTime && (in.Open > 0 || !s.othersMoved(now)) {
		return false
	}
	if r.ledger.bad > 0 && s.condemned(r.ledger.groups(), moveLevel, finalLevelElsewhere) {
		// The version has turned bad during the move.
		r.decide(now, RolledBack, "bad answers during the move")
	}
	return true
}

// othersMoved reports whether all daemons that tell of the order send to the target version
// only and have no open attempts elsewhere.
func (s *State) othersMoved(now model.Time) bool {
	for _, p := range s.run.peers {
		if now.Sub(p.heardAt) < s.limits.PeerLifetime && (p.Acting != Completed || p.Open > 0) {
			return false
		}
	}
	return true
}

// WriteOutcome is the end of a write of the verdict.
type WriteOutcome uint8

// Outcomes of a write.
const (
	// Written means that the store has taken the verdict.
	Written WriteOutcome = iota
	// Conflict means that the object has changed; its present state follows.
	Conflict
	// Failed means that the write may or may not have taken effect.
	Failed
)

// VerdictWritten records the end of a write that Decide asked for. It reports whether the
// verdict is in force now.
func (s *State) VerdictWritten(now model.Time, order uint64, v Verdict, outcome WriteOutcome) bool {
	if s.run == nil || s.run.id != order {
		return false
	}
	r := s.run
	r.writing = false
	r.nextWriteAt = now.Add(writeRetryInterval)
	switch outcome {
	case Written:
		r.readBack = false
		r.rewrite = false
		if r.Verdict == Undecided {
			s.conclude(now, v)
			return true
		}
	case Conflict, Failed:
		r.readBack = true
	}
	return false
}

// rewriteVerdict asks for the verdict in force to be written again if the store has lost it.
func (s *State) rewriteVerdict(now model.Time, in Situation) Result {
	r := s.run
	if r == nil || !r.rewrite || r.writing || now < r.nextWriteAt.Add(time.Duration(in.Turn)*writeTurn) {
		return Result{}
	}
	r.writing = true
	return Result{
		Acting: r.Verdict, Reason: r.reason, Write: true, Service: r.Service, Target: r.Target, Order: r.id, Era: r.Era, Revision: r.Revision,
	}
}
