package edge

import (
	"bytes"
	"container/heap"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/pistachiousher/pistachiousher/pkg/leafconn"
)

const (
	// minPartLimitBytes is the smallest limit for the body of a shard's answer.
	minPartLimitBytes = 256 << 10
	// partRecordsPerResult is the number of records that a shard's answer may have for
	// each one that the route asks for.
	partRecordsPerResult = 64
	// partChunkBytes is the size of the reads of a shard's answer.
	partChunkBytes = 4 << 10
)

// maxPartBytes returns the limit for the body of a shard's answer to a route that asks
// for the greatest k records.
func maxPartBytes(k int) int64 {
	return max(minPartLimitBytes, int64(k)*recordSize*partRecordsPerResult)
}

var partChunkPool = sync.Pool{New: func() any { return new([partChunkBytes]byte) }}

// readTopRecords reads the body of a shard's answer and returns its k greatest records
// in no particular order; the merged answer can contain no others. It holds memory for
// these only. A body that is longer than maxPartBytes gives an error that wraps
// leafconn.ErrTooLarge.
func readTopRecords(body io.Reader, k int) ([]byte, error) {
	chunk := partChunkPool.Get().(*[partChunkBytes]byte)
	defer partChunkPool.Put(chunk)
	var h recordHeap
	remaining := maxPartBytes(k)
	for buffered := 0; ; {
		n, err := body.Read(chunk[buffered:])
		buffered += n
		if remaining -= int64(n); remaining < 0 {
			return nil, fmt.Errorf("%w: over %d bytes of records", leafconn.ErrTooLarge, maxPartBytes(k))
		}
		switch {
		case errors.Is(err, io.EOF) && h == nil && buffered <= k*recordSize:
			return bytes.Clone(chunk[:buffered]), nil
		case errors.Is(err, io.EOF):
			h.addRecords(chunk[:buffered], k)
			return bytes.Join(h, nil), nil
		case err != nil:
			return nil, fmt.Errorf("%w: %w", leafconn.ErrReceive, err)
		case buffered == len(chunk):
			rest := h.addRecords(chunk[:], k)
			buffered = copy(chunk[:], rest)
		}
	}
}

// addRecords adds the records of data that are among the k greatest and returns the
// rest, which is shorter than a record. It keeps no reference to data.
func (h *recordHeap) addRecords(data []byte, k int) (rest []byte) {
	for ; len(data) >= recordSize; data = data[recordSize:] {
		record := data[:recordSize]
		switch {
		case k <= 0:
		case len(*h) < k:
			heap.Push(h, bytes.Clone(record))
		case bytes.Compare(record, (*h)[0]) > 0:
			copy((*h)[0], record)
			heap.Fix(h, 0)
		}
	}
	return data
}
