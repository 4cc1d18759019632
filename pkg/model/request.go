package model

import (
	"fmt"
	"time"
)

// RequestID is chosen by the caller. The id of a non-idempotent request has the
// form <vm>.<incarnation hex>.<nonce>.<n>, whose first three parts are the prefix
// that a lookup answer gave to the caller.
type RequestID string

// Request is one query of a caller as received by the entry daemon.
type Request struct {
	ID         RequestID
	Service    ServiceName
	Caller     CallerName
	Class      Class
	Idempotent bool
	// Deadline is on the clock of the daemon that has this copy of the Request.
	Deadline Time
	Query    string
	// Key limits the request to the shard whose key range holds it. If it is empty,
	// all shards are asked.
	Key  string
	TopK int
}

// Item is one search result. Daemons pass Doc on without decoding it.
type Item struct {
	ID    string
	Score float64
	Doc   []byte
}

// MissingReason says why an answer has no items of a shard.
type MissingReason string

// Reasons for a missing shard.
const (
	MissingDeadline    MissingReason = "deadline"
	MissingNoOwner     MissingReason = "no_owner"
	MissingDrained     MissingReason = "drained"
	MissingVersionGone MissingReason = "version_gone"
	MissingShed        MissingReason = "shed"
	MissingFailed      MissingReason = "failed"
	MissingNoReplica   MissingReason = "no_replica"
)

// MissingShard names a shard that is missing in an answer.
type MissingShard struct {
	Shard  ShardName
	Reason MissingReason
}

// Answer is the merged answer to a Request. Asked equals Answered plus
// len(Missing); Complete is true exactly when Missing is empty.
type Answer struct {
	RequestID     RequestID
	Service       ServiceName
	Snapshot      Snapshot
	BundleVersion uint64
	Asked         int
	Answered      int
	Missing       []MissingShard
	Complete      bool
	Items         []Item
	// Attempts counts the sub-requests sent: first attempts, hedges and retries.
	Attempts int
}

// RefusalKind says whether a refused request can have had an effect.
type RefusalKind string

// Kinds of refusal.
const (
	// NotRun means that no byte of the request was sent to a backend server.
	NotRun RefusalKind = "not_run"
	// MayHaveRun means that a backend server may have run the request.
	MayHaveRun RefusalKind = "may_have_run"
	// Invalid means that the request itself is invalid. It did not run.
	Invalid RefusalKind = "invalid"
)

// Refusal is the reply to a request that gets no Answer.
type Refusal struct {
	RequestID  RequestID
	Kind       RefusalKind
	Reason     string
	RetryAfter time.Duration
}

// AttemptID identifies a sub-request among those of one incarnation of an entry
// daemon.
type AttemptID uint64

// SubRequest is one attempt to run a request at one replica of one shard.
type SubRequest struct {
	Attempt    AttemptID
	RequestID  RequestID
	Service    ServiceName
	Caller     CallerName
	Class      Class
	Idempotent bool
	Deadline   Time
	Query      string
	Key        string
	TopK       int
	Snapshot   Snapshot
	Shard      ShardName
	Server     ServerName
}

// Outcome is how a sub-request ended.
type Outcome uint8

// Outcomes of a sub-request.
const (
	OutcomeUnknown Outcome = iota
	OutcomeOK
	// Not sent: no byte was sent to the backend server.
	OutcomeNotOwner
	OutcomeDrained
	OutcomeQueueFull
	OutcomeExpired
	OutcomeUnreachable
	// Sent, and the backend server answered that it did not run the sub-request.
	OutcomeShed
	OutcomeVersionGone
	// Sent, and the sub-request may have run.
	OutcomeFailed
	OutcomeTimeout
	OutcomeCanceled
	OutcomeLost
	numOutcomes
)

var outcomeNames = [numOutcomes]string{
	"unknown", "ok", "not_owner", "drained", "queue_full", "expired", "unreachable",
	"shed", "version_gone", "failed", "timeout", "canceled", "lost",
}

// String returns the name used in logs and metrics.
func (o Outcome) String() string {
	if o < numOutcomes {
		return outcomeNames[o]
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}

// NotSent reports whether no byte of the attempt was sent to a backend server.
func (o Outcome) NotSent() bool { return o >= OutcomeNotOwner && o <= OutcomeUnreachable }

// NotRun reports whether the attempt is known not to have run.
func (o Outcome) NotRun() bool { return o >= OutcomeNotOwner && o <= OutcomeVersionGone }

// SubResult is the result of a SubRequest. Only the items of an OutcomeOK
// result with len(Items) == Count may enter an answer.
type SubResult struct {
	Attempt  AttemptID
	Shard    ShardName
	Server   ServerName
	Snapshot Snapshot
	Outcome  Outcome
	Items    []Item
	// Count is the number of items that the backend server says it sent.
	Count int
	// Versions are the index versions of the layout that the server has. They are
	// set with OutcomeVersionGone.
	Versions    []uint64
	ServiceTime time.Duration
	QueueTime   time.Duration
	RetryAfter  time.Duration
}
