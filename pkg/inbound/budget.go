// Package inbound bounds the memory that clients' connections take before a request
// reaches its handler. It collects the head of a request (request line and header) as
// bytes, computes what the head will take when net/http has parsed it, and reserves that
// from one budget of the process before it passes the head on.
package inbound

import "sync/atomic"

// Budget bounds the bytes that heads of requests take, on all connections of a process:
// heads that are being received, and parsed heads of requests that are not answered. It is
// safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

const (
	// ordinaryBytes is what an ordinary connection takes at most. A head of 60 lines and
	// 2 KB takes this much; callers send 8 to 12 lines and 0.5 KB.
	ordinaryBytes = 16 << 10
	// extraordinaryShare is the part of the budget that connections with more than
	// ordinaryBytes may use, so that they cannot keep out ordinary ones.
	extraordinaryShare = 0.75
)

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// reserve reserves n bytes for a connection that holds held bytes already.
func (b *Budget) reserve(n, held int64) bool {
	limit := b.limit
	if held+n > ordinaryBytes {
		limit = int64(float64(limit) * extraordinaryShare)
	}
	if b.used.Add(n) > limit {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *Budget) release(n int64) { b.used.Add(-n) }

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }
