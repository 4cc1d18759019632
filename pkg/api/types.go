// Package api is the caller-facing HTTP and JSON interface: its types,
// handlers and client.
package api

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Headers of every response.
const (
	HeaderBundleVersion = "Pistachiousher-Bundle-Version"
	HeaderEpoch         = "Pistachiousher-Epoch"
)

// Limits of a request.
const (
	// MaxBodyBytes bounds a request body in bytes.
	MaxBodyBytes = 64 << 10
	// MaxTopK bounds the items asked for.
	MaxTopK = 10_000
	// MaxDeadline bounds deadline_ms; the service's policy may be lower.
	MaxDeadline = 10 * time.Minute
	// maxNameBytes bounds ids and names in bytes.
	maxNameBytes = 256
)

// QueryRequest is the body of POST /v1/services/{service}/query.
type QueryRequest struct {
	Caller     model.CallerName `json:"caller"`
	RequestID  model.RequestID  `json:"request_id"`
	Class      string           `json:"class,omitempty"`
	Idempotent bool             `json:"idempotent"`
	// DeadlineMS is the time that the caller waits, in milliseconds.
	DeadlineMS int64  `json:"deadline_ms"`
	Query      string `json:"query"`
	Key        string `json:"key,omitempty"`
	TopK       int    `json:"top_k"`
}

// InvalidError says what is wrong with a request.
type InvalidError struct{ Reason string }

// Error implements error.
func (e *InvalidError) Error() string { return "api: invalid request: " + e.Reason }

func invalid(format string, args ...any) error {
	return &InvalidError{Reason: fmt.Sprintf(format, args...)}
}

// Validate returns an *InvalidError if a field is outside its limits.
func (q *QueryRequest) Validate() error {
	deadline := time.Duration(q.DeadlineMS) * time.Millisecond
	switch {
	case q.Caller == "" || len(q.Caller) > maxNameBytes:
		return invalid("caller must have 1 to %d bytes", maxNameBytes)
	case q.RequestID == "" || len(q.RequestID) > maxNameBytes:
		return invalid("request_id must have 1 to %d bytes", maxNameBytes)
	case q.DeadlineMS <= 0 || q.DeadlineMS > MaxDeadline.Milliseconds():
		return invalid("deadline_ms must be 1 to %d, is %d", MaxDeadline.Milliseconds(), deadline.Milliseconds())
	case q.TopK <= 0 || q.TopK > MaxTopK:
		return invalid("top_k must be 1 to %d, is %d", MaxTopK, q.TopK)
	}
	if _, err := model.ParseClass(q.Class); err != nil {
		return invalid("class must be urgent, normal or bulk, is %q", q.Class)
	}
	return nil
}

// request returns a valid QueryRequest as a model.Request, and the time left
// until its deadline.
func (q *QueryRequest) request(service model.ServiceName) (model.Request, time.Duration) {
	class, _ := model.ParseClass(q.Class)
	return model.Request{
		ID:         q.RequestID,
		Service:    service,
		Caller:     q.Caller,
		Class:      class,
		Idempotent: q.Idempotent,
		Query:      q.Query,
		Key:        q.Key,
		TopK:       q.TopK,
	}, time.Duration(q.DeadlineMS) * time.Millisecond
}

// Snapshot names the version that all items of an answer come from.
type Snapshot struct {
	Layout       model.LayoutName `json:"layout"`
	IndexVersion uint64           `json:"index_version"`
}

// MissingShard names a shard that the answer lacks.
type MissingShard struct {
	Shard  model.ShardName     `json:"shard"`
	Reason model.MissingReason `json:"reason"`
}

// Shards says how many of the shards that were asked an answer covers.
type Shards struct {
	Asked    int            `json:"asked"`
	Answered int            `json:"answered"`
	Missing  []MissingShard `json:"missing"`
}

// Item is one result. Doc is unchanged from what the backend server sent.
type Item struct {
	ID    string          `json:"id"`
	Score float64         `json:"score"`
	Doc   json.RawMessage `json:"doc,omitempty"`
}

// AnswerHead is an answer without its items.
type AnswerHead struct {
	RequestID     model.RequestID   `json:"request_id"`
	Service       model.ServiceName `json:"service"`
	Snapshot      Snapshot          `json:"snapshot"`
	BundleVersion uint64            `json:"bundle_version"`
	Epoch         uint64            `json:"epoch"`
	Shards        Shards            `json:"shards"`
	Complete      bool              `json:"complete"`
	Attempts      int               `json:"attempts"`
	// Count and Checksum let the caller detect a truncated answer.
	Count    int    `json:"count"`
	Checksum string `json:"checksum"`
}

// Answer is the body of a successful query.
type Answer struct {
	AnswerHead
	Items []Item `json:"items"`
}

// Refusal is the body of the response to a request that was refused.
type Refusal struct {
	RequestID    model.RequestID   `json:"request_id,omitempty"`
	Kind         model.RefusalKind `json:"refusal"`
	Reason       string            `json:"reason"`
	RetryAfterMS int64             `json:"retry_after_ms"`
}

// NewRefusal returns a refusal in its JSON form.
func NewRefusal(r *model.Refusal) Refusal {
	return Refusal{RequestID: r.RequestID, Kind: r.Kind, Reason: r.Reason, RetryAfterMS: r.RetryAfter.Milliseconds()}
}

// Model returns the refusal as a model.Refusal.
func (r *Refusal) Model() *model.Refusal {
	after := time.Duration(r.RetryAfterMS) * time.Millisecond
	return &model.Refusal{RequestID: r.RequestID, Kind: r.Kind, Reason: r.Reason, RetryAfter: after}
}

// Address is a daemon that the caller may use.
type Address struct {
	VM              model.VM            `json:"vm"`
	FailureDomain   model.FailureDomain `json:"failure_domain"`
	Address         string              `json:"address"`
	RequestIDPrefix string              `json:"request_id_prefix"`
}

// Lookup is the body of GET /v1/lookup. Addresses are in order of preference
// and may be used for MaxAgeMS after the request was sent.
type Lookup struct {
	Addresses     []Address `json:"addresses"`
	MaxAgeMS      int64     `json:"max_age_ms"`
	BundleVersion uint64    `json:"bundle_version"`
	Epoch         uint64    `json:"epoch"`
}

// NewLookup returns a lookup reply in its JSON form.
func NewLookup(r *effect.ReplyLookup) Lookup {
	out := Lookup{
		Addresses:     make([]Address, len(r.Addresses)),
		MaxAgeMS:      r.MaxAge.Milliseconds(),
		BundleVersion: r.BundleVersion,
		Epoch:         r.Epoch,
	}
	for i, a := range r.Addresses {
		out.Addresses[i] = Address(a)
	}
	return out
}
