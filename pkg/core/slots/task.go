package slots

import (
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

type taskState uint8

const (
	taskQueued taskState = iota
	taskRunning
	taskDone
)

// task is one sub-request at this daemon.
type task struct {
	sub     model.SubRequest
	stream  *stream
	server  *server
	state   taskState
	arrived model.Time
	sent    model.Time
	// canceled means that effect.CancelBackend was emitted.
	canceled bool

	// Position in the queue and in the deadline heap.
	flow       *flow
	prev, next *task
	heapIndex  int
}

func (t *task) key() attemptKey { return attemptKey{t.stream.id.From, t.sub.Attempt} }

// deadlineHeap is a binary heap of queued tasks, earliest deadline first.
// container/heap would allocate an interface value for every task.
type deadlineHeap []*task

func (h deadlineHeap) first() *task {
	if len(h) == 0 {
		return nil
	}
	return h[0]
}

func (h *deadlineHeap) push(t *task) {
	t.heapIndex = len(*h)
	*h = append(*h, t)
	h.up(t.heapIndex)
}

func (h *deadlineHeap) remove(t *task) {
	i, last := t.heapIndex, len(*h)-1
	h.swap(i, last)
	(*h)[last] = nil
	*h = (*h)[:last]
	if i < last {
		h.down(i)
		h.up(i)
	}
}

func (h deadlineHeap) less(i, j int) bool { return h[i].sub.Deadline < h[j].sub.Deadline }

func (h deadlineHeap) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h deadlineHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h deadlineHeap) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h) {
			return
		}
		if right := child + 1; right < len(h) && h.less(right, child) {
			child = right
		}
		if !h.less(child, i) {
			return
		}
		h.swap(i, child)
		i = child
	}
}
