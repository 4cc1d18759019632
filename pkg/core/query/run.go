package query

import (
	"slices"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// run is the state of one running query.
type run struct {
	token event.Token
	req   model.Request
	// idHash is the hash of the request id, which spreads queries over
	// replicas.
	idHash uint64
	// bundle and policy are those in effect when the query was admitted.
	bundle    *model.Bundle
	policy    *model.Policy
	service   *serviceState
	arrivedAt model.Time
	// answerAt is when the query is answered with the results that have
	// arrived.
	answerAt model.Time
	// subDeadline is the deadline of the sub-requests.
	subDeadline model.Time
	timer       timer

	snapshot model.Snapshot
	moved    bool
	// versionGoneReplies lists the versions that servers named when they
	// answered version_gone.
	versionGoneReplies []versionGoneReply
	shards             []shardRun
	// openShards counts the shards that are neither answered nor missing.
	openShards     int
	answeredShards int
	// attempts holds the attempts in the current snapshot, ordered by id.
	attempts []attempt
	streams  []event.StreamID
	// attemptsSent counts all attempts, including those in an earlier snapshot.
	attemptsSent int
	// mayHaveLeft is set when a byte of the request may have left for a backend
	// server, outcomeUnknown when an attempt that left may have run without
	// returning a result.
	mayHaveLeft    bool
	outcomeUnknown bool

	// minQueueTime is the shortest queue time of an answered shard.
	// refusedByOwner is set when an owner refused a sub-request because its
	// queue was full or the deadline would pass first.
	minQueueTime   time.Duration
	refusedByOwner bool

	// retryAfter is the longest retry delay that a sub-result asked for.
	retryAfter time.Duration

	// entry is the at-most-once entry of a non-idempotent request, else nil.
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

// shardRun is the state of one asked shard of a run.
type shardRun struct {
	shard *model.Shard
	state shardState
	items []model.Item
	// reason is why the shard is missing, or why it would be if the query ended
	// now.
	reason model.MissingReason
	// lastOutcome is the outcome of the attempt that ended last.
	lastOutcome model.Outcome
	// liveAttempts counts the attempts without an outcome, tries all attempts.
	liveAttempts int
	tries        int
	hedged       bool
	// dueAt is when to look at the shard again: to hedge or to check for a
	// change of owner while an attempt is live, otherwise to try again.
	dueAt   model.Time
	hedgeAt model.Time
}

// attempt is a sub-request that was sent.
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
	// pending counts the attempts on the stream that still await a result,
	// received those whose result was accepted.
	pending  int
	received int
}

// waiter is a repeat of a running non-idempotent request that waits for its
// outcome.
type waiter struct {
	token    event.Token
	deadline model.Time
}

// attemptIndex returns the position in r.attempts of the attempt with the id.
func (r *run) attemptIndex(id model.AttemptID) (int, bool) {
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

// wakeAt returns the earliest time at which the run has something to do.
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

// markMissing ends an open shard without a result.
func (r *run) markMissing(i int, reason model.MissingReason) {
	sh := &r.shards[i]
	sh.state = shardMissing
	sh.reason = reason
	r.openShards--
}

// endEvent sends the attempts that were planned for the run during the event,
// and finishes the run if no shard is open.
func (s *State) endEvent(c *eventContext, r *run) {
	s.sendPlanned(c, r)
	if r.openShards == 0 {
		s.finishRun(c, r)
	}
}

// scheduleWake makes the run's timer fire no later than at.
func (s *State) scheduleWake(r *run, at model.Time) {
	if at < model.Never && (r.timer.index < 0 || at < r.timer.at) {
		s.timers.set(&r.timer, at)
	}
}

// handleRunTimer does everything that is due for the run.
func (s *State) handleRunTimer(c *eventContext, r *run) {
	if c.Now >= r.answerAt {
		s.finishRun(c, r)
		return
	}
	s.expireWaiters(c, r)
	// A move to another snapshot replaces r.shards during the loop.
	for i := 0; i < len(r.shards); i++ {
		if r.shards[i].state == shardOpen && r.shards[i].dueAt <= c.Now {
			s.handleShardTimer(c, r, i)
		}
	}
	s.sendPlanned(c, r)
	if r.openShards == 0 {
		s.finishRun(c, r)
		return
	}
	s.timers.set(&r.timer, r.wakeAt())
}

// handleShardTimer tries a shard again if it has no live attempt. Otherwise, it
// checks the owner and hedges if that is due.
func (s *State) handleShardTimer(c *eventContext, r *run, i int) {
	sh := &r.shards[i]
	sh.dueAt = model.Never
	if sh.liveAttempts == 0 {
		s.tryShard(c, r, i)
		return
	}
	if s.failLostAttempts(c, r, i) {
		return
	}
	if sh.hedgeAt <= c.Now {
		s.hedgeShard(c, r, i)
	}
	sh.dueAt = r.nextCheck(c.Now, sh)
}
