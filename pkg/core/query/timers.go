package query

import (
	"container/heap"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// timer is the wake-up time of a run or of a forwarded request.
type timer struct {
	at      model.Time
	index   int
	run     *run
	forward *forward
}

// timerHeap is a heap of timers ordered by time. The index of a timer that is
// not in the heap is -1.
type timerHeap struct{ timers []*timer }

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h *timerHeap) Len() int           { return len(h.timers) }
func (h *timerHeap) Less(i, j int) bool { return h.timers[i].at < h.timers[j].at }

func (h *timerHeap) Swap(i, j int) {
	h.timers[i], h.timers[j] = h.timers[j], h.timers[i]
	h.timers[i].index = i
	h.timers[j].index = j
}

func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(h.timers)
	h.timers = append(h.timers, t)
}

func (h *timerHeap) Pop() any {
	last := len(h.timers) - 1
	t := h.timers[last]
	h.timers[last] = nil
	h.timers = h.timers[:last]
	t.index = -1
	return t
}

// nextAt returns the earliest time, or model.Never if there is no timer.
func (h *timerHeap) nextAt() model.Time {
	if len(h.timers) == 0 {
		return model.Never
	}
	return h.timers[0].at
}

func (h *timerHeap) popNext() *timer { return heap.Pop(h).(*timer) }

// set moves the timer to at, adding it if necessary.
func (h *timerHeap) set(t *timer, at model.Time) {
	if t.index >= 0 {
		if t.at == at {
			return
		}
		t.at = at
		heap.Fix(h, t.index)
		return
	}
	t.at = at
	heap.Push(h, t)
}

func (h *timerHeap) remove(t *timer) {
	if t.index >= 0 {
		heap.Remove(h, t.index)
	}
}
