package query

import (
	"container/heap"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// timer is the wake-up time of a run or a forward.
type timer struct {
	at      model.Time
	index   int
	run     *run
	forward *forward
}

// timerHeap orders timers by time; index is -1 for a timer that is not in it.
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

func (h *timerHeap) next() model.Time {
	if len(h.timers) == 0 {
		return model.Never
	}
	return h.timers[0].at
}

func (h *timerHeap) pop() *timer { return heap.Pop(h).(*timer) }

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
