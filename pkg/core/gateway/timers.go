package gateway

import (
	"container/heap"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// timerHeap orders queries by the time at which something is due for them.
type timerHeap []*query

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].wakeAt < h[j].wakeAt }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	q := x.(*query)
	q.heapIndex = len(*h)
	*h = append(*h, q)
}

// Pop implements heap.Interface.
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
	return h[0].wakeAt
}

// setWake sets the time at which something is due for a query.
func (s *State) setWake(q *query, at model.Time) {
	if q.wakeAt == at && q.heapIndex >= 0 {
		return
	}
	q.wakeAt = at
	if q.heapIndex < 0 {
		heap.Push(&s.timers, q)
		return
	}
	heap.Fix(&s.timers, q.heapIndex)
}

func (s *State) cancelWake(q *query) {
	if q.heapIndex >= 0 {
		heap.Remove(&s.timers, q.heapIndex)
	}
}
