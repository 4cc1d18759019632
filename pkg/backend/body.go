package backend

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// deadlineWidth is the number of bytes reserved for deadline_ms, so that the
// length of the body is known before the value is.
const deadlineWidth = 12

var (
	// errExpired is returned when a body is read after the request's deadline.
	errExpired = errors.New("backend: deadline passed before the request was sent")
	// errBodyClosed is returned when a body is read again after it was closed.
	errBodyClosed = errors.New("backend: request body is already closed")
)

// searchBody is the body of POST /v1/search without deadline_ms.
type searchBody struct {
	AttemptID    string            `json:"attempt_id"`
	RequestID    model.RequestID   `json:"request_id"`
	Service      model.ServiceName `json:"service"`
	Layout       model.LayoutName  `json:"layout"`
	Shard        model.ShardName   `json:"shard"`
	IndexVersion uint64            `json:"index_version"`
	Query        string            `json:"query"`
	Key          string            `json:"key,omitempty"`
	TopK         int               `json:"top_k"`
	Idempotent   bool              `json:"idempotent"`
}

// deadlineBody is a request body that can be read once. It sets deadline_ms, the
// time left, when the transport starts to send it. If it were set earlier, time
// spent waiting for a connection or a pause of the process would let the server
// work past the owner's lease.
type deadlineBody struct {
	prefix   []byte
	deadline time.Time
	unread   []byte
	started  bool
	closed   bool
}

// attemptID returns the id of an attempt that is unique among all daemons, each
// of which numbers its own attempts.
func attemptID(from model.MemberRef, a model.AttemptID) string {
	return fmt.Sprintf("%s.%d", from, a)
}

// newBody returns the request body for a sub-request.
func newBody(id string, sub *model.SubRequest, deadline time.Time) (*deadlineBody, error) {
	encoded, err := json.Marshal(searchBody{
		AttemptID:    id,
		RequestID:    sub.RequestID,
		Service:      sub.Service,
		Layout:       sub.Snapshot.Layout,
		Shard:        sub.Shard,
		IndexVersion: sub.Snapshot.IndexVersion,
		Query:        sub.Query,
		Key:          sub.Key,
		TopK:         sub.TopK,
		Idempotent:   sub.Idempotent,
	})
	if err != nil {
		return nil, fmt.Errorf("backend: encode sub-request: %w", err)
	}
	prefix := append(encoded[:len(encoded)-1], `,"deadline_ms":`...)
	return &deadlineBody{prefix: prefix, deadline: deadline}, nil
}

// size returns the length of the body in bytes.
func (b *deadlineBody) size() int64 { return int64(len(b.prefix) + deadlineWidth + 1) }

// Read implements io.Reader.
func (b *deadlineBody) Read(p []byte) (int, error) {
	if b.closed {
		return 0, errBodyClosed
	}
	if !b.started {
		b.started = true
		left := time.Until(b.deadline).Milliseconds()
		if left <= 0 {
			return 0, errExpired
		}
		b.unread = fmt.Appendf(b.prefix, "%-*d}", deadlineWidth, left)
	}
	if len(b.unread) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *deadlineBody) Close() error {
	b.closed = true
	return nil
}
