package gateway

import (
	"container/heap"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// timerHeap orders open queries by the time at which they need attention.
type timerHeap []*query

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].wake < h[j].wake }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push adds a query.
func (h *timerHeap) Push(x any) {
	q := x.(*query)
	q.heapIndex = len(*h)
	*h = append(*h, q)
}

// Pop removes the last query.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	q := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	q.heapIndex = -1
	return q
}

func (h timerHeap) next() model.Time {
	if len(h) == 0 {
		return model.Never
	}
	return h[0].wake
}

// setWake changes the time at which a query needs attention.
func (s *State) setWake(q *query, at model.Time) {
	if q.wake == at && q.heapIndex >= 0 {
		return
	}
	q.wake = at
	if q.heapIndex < 0 {
		heap.Push(&s.timers, q)
		return
	}
	heap.Fix(&s.timers, q.heapIndex)
}

func (s *State) dropWake(q *query) {
	if q.heapIndex >= 0 {
		heap.Remove(&s.timers, q.heapIndex)
	}
}
