package query

import (
	"slices"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// run is one running query.
type run struct {
	token event.Token
	req   model.Request
	// hash of the request id spreads queries over replicas.
	hash uint64
	// bundle and policy are those in effect when the query was admitted.
	bundle  *model.Bundle
	policy  *model.Policy
	service *service
	arrived model.Time
	// answerAt is when the query ends with what it has.
	answerAt model.Time
	// subDeadline is that of the sub-requests.
	subDeadline model.Time
	timer       timer

	snapshot model.Snapshot
	moved    bool
	// gone is what servers said of their versions with version_gone.
	gone   []served
	shards []shardRun
	// open counts the shards that are neither answered nor missing.
	open     int
	answered int
	// attempts of the current snapshot in order of their ids.
	attempts []attempt
	streams  []event.StreamID
	// sent counts all attempts, those of an earlier snapshot included.
	sent int
	// left is set when a byte of the request may have left for a backend
	// server, unknown when an attempt that left may have run without result.
	left    bool
	unknown bool

	// leastQueue is the shortest queue time of an answered shard, and shed is
	// whether an owner refused a sub-request for want of room or time.
	leastQueue time.Duration
	shed       bool

	// retryAfter is the longest one that a backend server asked for.
	retryAfter time.Duration

	// entry is the at-most-once entry of a non-idempotent request.
	entry     *onceEntry
	waiters   []waiter
	abandoned bool
}

type shardState uint8

const (
	shardOpen shardState = iota
	shardAnswered
	shardMissing
)

// shardRun is one asked shard of a run.
type shardRun struct {
	shard *model.Shard
	state shardState
	items []model.Item
	// reason is why the shard is missing, or would be if the query ended now.
	reason model.MissingReason
	// last is the outcome of the last attempt that ended.
	last model.Outcome
	// live counts attempts without an outcome, tries all attempts.
	live   int
	tries  int
	hedged bool
	// dueAt is when to look at the shard: to hedge or to check the owner while
	// an attempt is live, else to try again.
	dueAt   model.Time
	hedgeAt model.Time
}

// attempt is one sub-request sent.
type attempt struct {
	id      model.AttemptID
	shard   int
	server  model.ServerName
	owner   model.MemberRef
	stream  event.StreamID
	sentAt  model.Time
	kind    attemptKind
	state   attemptState
	outcome model.Outcome
}

type attemptKind uint8

const (
	attemptFirst attemptKind = iota
	attemptHedge
	attemptRetry
)

type attemptState uint8

const (
	attemptLive attemptState = iota
	attemptCanceled
	attemptEnded
)

// stream is an Execute stream that has not ended.
type stream struct {
	run     *run
	peer    model.VM
	address string
	// waiting counts its attempts without a result, results those with one.
	waiting int
	results int
}

// waiter is a repeat of a running non-idempotent request.
type waiter struct {
	token    event.Token
	deadline model.Time
}

func (r *run) attempt(id model.AttemptID) (int, bool) {
	return slices.BinarySearchFunc(r.attempts, id, func(a attempt, id model.AttemptID) int {
		switch {
		case a.id < id:
			return -1
		case a.id > id:
			return 1
		}
		return 0
	})
}

// wakeAt is the earliest time at which the run has something to do.
func (r *run) wakeAt() model.Time {
	at := r.answerAt
	for i := range r.shards {
		if r.shards[i].state == shardOpen {
			at = min(at, r.shards[i].dueAt)
		}
	}
	for _, w := range r.waiters {
		at = min(at, w.deadline)
	}
	return at
}

// miss ends an open shard without a result.
func (r *run) miss(i int, reason model.MissingReason) {
	sh := &r.shards[i]
	sh.state = shardMissing
	sh.reason = reason
	r.open--
}

// settle ends the event for a run: it sends what was picked and finishes the
// run if no shard is open.
func (s *State) settle(c *step, r *run) {
	s.flush(c, r)
	if r.open == 0 {
		s.finish(c, r)
	}
}

// schedule makes the run wake no later than at.
func (s *State) schedule(r *run, at model.Time) {
	if at < model.Never && (r.timer.index < 0 || at < r.timer.at) {
		s.timers.set(&r.timer, at)
	}
}

// runDue does what a run's timer asked for.
func (s *State) runDue(c *step, r *run) {
	if c.Now >= r.answerAt {
		s.finish(c, r)
		return
	}
	s.expireWaiters(c, r)
	// A move to another snapshot replaces the shards within the loop.
	for i := 0; i < len(r.shards); i++ {
		if r.shards[i].state == shardOpen && r.shards[i].dueAt <= c.Now {
			s.shardDue(c, r, i)
		}
	}
	s.flush(c, r)
	if r.open == 0 {
		s.finish(c, r)
		return
	}
	s.timers.set(&r.timer, r.wakeAt())
}

// shardDue checks on a shard that waits for an attempt, or tries it again.
func (s *State) shardDue(c *step, r *run, i int) {
	sh := &r.shards[i]
	sh.dueAt = model.Never
	if sh.live == 0 {
		s.tryAgain(c, r, i)
		return
	}
	if s.ownerLost(c, r, i) {
		return
	}
	if sh.hedgeAt <= c.Now {
		s.hedge(c, r, i)
	}
	sh.dueAt = r.checkAt(c.Now, sh)
}
