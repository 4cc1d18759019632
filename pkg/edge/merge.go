package edge

import (
	"bytes"
	"container/heap"
)

// recordSize is the size of a record in bytes.
const recordSize = 16

// recordHeap is a min-heap of the greatest records found.
type recordHeap [][]byte

func (h recordHeap) Len() int           { return len(h) }
func (h recordHeap) Less(i, j int) bool { return bytes.Compare(h[i], h[j]) < 0 }
func (h recordHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds a record.
func (h *recordHeap) Push(x any) { *h = append(*h, x.([]byte)) }

// Pop removes the last record.
func (h *recordHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// topRecords returns the k greatest records of all bodies, the greatest first. A record
// that occurs several times counts each time. Bytes at the end of a body that are fewer
// than a record are ignored.
func topRecords(bodies [][]byte, k int) []byte {
	var h recordHeap
	for _, body := range bodies {
		h.addRecords(body, k)
	}
	out := make([]byte, len(h)*recordSize)
	for i := len(h) - 1; i >= 0; i-- {
		copy(out[i*recordSize:], heap.Pop(&h).([]byte))
	}
	return out
}
