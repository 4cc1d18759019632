package leafconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

var (
	// ErrTooLarge means that a leaf sent more than an answer may have. The request may
	// have run.
	ErrTooLarge = errors.New("leafconn: the answer is too large")
	// ErrBudgetExhausted means that the bodies that are held leave no room for the
	// answer in the pool's budget. The request may have run.
	ErrBudgetExhausted = errors.New("leafconn: no room for the answer in the memory budget")
)

const (
	// maxHeadBytes bounds the head of an answer together with the informational answers
	// before it.
	maxHeadBytes = 16 << 10
	// maxInformationalAnswers is the number of informational answers that may precede
	// an answer.
	maxInformationalAnswers = 4
	// maxAnswerBytes bounds the body of an answer that is kept whole, unless the budget
	// allows less.
	maxAnswerBytes = 16 << 20
	// maxAnswerShare is the share of the budget that one answer may take.
	maxAnswerShare = 0.25
	// initialBodyBytes is the size at which the buffer of a body starts, even if the
	// leaf states a greater length.
	initialBodyBytes = 4 << 10
)

// Budget bounds the bytes that a process holds for bodies. It is safe for concurrent
// use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve reserves n bytes. If fewer are left, it reserves none and returns false.
func (b *Budget) Reserve(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// ReserveWithin is Reserve for a use that may take only a share of the budget: it fails if
// more than that share would be reserved.
func (b *Budget) ReserveWithin(n int64, share float64) bool {
	if b.used.Add(n) > int64(float64(b.limit)*share) {
		b.used.Add(-n)
		return false
	}
	return true
}

// Return gives back n reserved bytes.
func (b *Budget) Return(n int64) { b.used.Add(-n) }

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

// answerLimit returns how many bytes one answer may take at most.
func (b *Budget) answerLimit() int64 {
	return min(maxAnswerBytes, int64(float64(b.limit)*maxAnswerShare))
}

// limitedReader reads from a connection until remaining is used up, and then fails with
// ErrTooLarge. receiveHead sets remaining.
type limitedReader struct {
	raw       net.Conn
	remaining int64
}

// Read implements io.Reader.
func (m *limitedReader) Read(p []byte) (int, error) {
	if m.remaining <= 0 {
		return 0, ErrTooLarge
	}
	n, err := m.raw.Read(p[:min(int64(len(p)), m.remaining)])
	m.remaining -= int64(n)
	return n, err
}

// ReadWhole reads a body into memory that it reserves from the budget; held is the
// number of bytes reserved, and 0 after an error.
func (b *Budget) ReadWhole(resp *http.Response) (body []byte, held int64, err error) {
	limit := b.answerLimit()
	if resp.ContentLength > limit {
		return nil, 0, ErrTooLarge
	}
	size := int64(initialBodyBytes)
	if resp.ContentLength >= 0 {
		size = min(size, resp.ContentLength)
	}
	defer func() {
		if err != nil {
			b.Return(held)
			held = 0
		}
	}()
	for n := 0; ; {
		if int64(n) == int64(len(body)) {
			if resp.ContentLength == int64(n) {
				return body, held, nil
			}
			if n > 0 {
				size = min(2*int64(n), limit+1)
				if resp.ContentLength > 0 {
					size = min(size, resp.ContentLength)
				}
			}
			if int64(n) > limit {
				return nil, held, ErrTooLarge
			}
			if !b.Reserve(size - held) {
				return nil, held, ErrBudgetExhausted
			}
			held = size
			grown := make([]byte, size)
			copy(grown, body)
			body = grown
		}
		read, err := resp.Body.Read(body[n:])
		n += read
		switch {
		case errors.Is(err, io.EOF):
			return body[:n], held, nil
		case err != nil:
			return nil, held, fmt.Errorf("%w: %w", ErrReceive, err)
		}
	}
}
