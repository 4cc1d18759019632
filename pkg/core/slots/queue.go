package slots

import (
	"slices"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// A lower class with waiting tasks gets one in guaranteedStartEvery
	// starts.
	guaranteedStartEvery = 10
	// reserveDivisor sets the part of the queue, 1/reserveDivisor, that is
	// reserved for each class. Without the reserve a queue full of urgent work
	// would refuse all bulk work, and the starts guaranteed to bulk work would
	// go unused.
	reserveDivisor = 10
	// minShare is the least share that a caller counts with; callers without a
	// share have it.
	minShare = 0.01
)

// queue holds the waiting tasks of one backend server.
type queue struct {
	classes [model.NumClasses]classQueue
	length  int
}

// classQueue holds the tasks of one class, with one flow per caller. Callers
// are served by start-time fair queueing: each start advances the flow's
// virtual time by the inverse of the caller's share, and the flow with the
// least virtual time is next.
type classQueue struct {
	flows       []*flow
	length      int
	virtualTime float64
	// passedOver counts starts of other classes since the last start of this
	// one, while it had waiting tasks.
	passedOver int
	// spare is an empty flow kept for reuse.
	spare *flow
}

// flow holds the tasks of one caller and class in order of arrival.
type flow struct {
	class       *classQueue
	caller      model.CallerName
	share       float64
	virtualTime float64
	first, last *task
	length      int
}

func (q *queue) push(t *task, share float64) {
	c := &q.classes[t.sub.Class]
	f := c.flow(t.sub.Caller, share)
	t.flow, t.prev, t.next = f, f.last, nil
	if f.last == nil {
		f.first = t
	} else {
		f.last.next = t
	}
	f.last = t
	f.length++
	c.length++
	q.length++
}

// flow returns the caller's flow. A new one starts at the class's virtual
// time, so that a caller gains no credit while it is idle.
func (c *classQueue) flow(caller model.CallerName, share float64) *flow {
	for _, f := range c.flows {
		if f.caller == caller {
			return f
		}
	}
	f := c.spare
	c.spare = nil
	if f == nil {
		f = new(flow)
	}
	*f = flow{class: c, caller: caller, share: max(share, minShare), virtualTime: c.virtualTime}
	c.flows = append(c.flows, f)
	return f
}

// remove removes a waiting task from the queue.
func (q *queue) remove(t *task) {
	f := t.flow
	if t.prev == nil {
		f.first = t.next
	} else {
		t.prev.next = t.next
	}
	if t.next == nil {
		f.last = t.prev
	} else {
		t.next.prev = t.prev
	}
	t.flow, t.prev, t.next = nil, nil, nil
	c := f.class
	f.length--
	c.length--
	q.length--
	if f.length == 0 {
		i := slices.Index(c.flows, f)
		c.flows = slices.Delete(c.flows, i, i+1)
		c.spare = f
	}
	if c.length == 0 {
		c.passedOver = 0
	}
}

// pop removes and returns the task to start next, nil if the queue is empty.
func (q *queue) pop() *task {
	if q.length == 0 {
		return nil
	}
	class := q.nextClass()
	for i := range q.classes {
		if i != class && q.classes[i].length > 0 {
			q.classes[i].passedOver++
		}
	}
	c := &q.classes[class]
	c.passedOver = 0
	f := c.nextFlow()
	c.virtualTime = f.virtualTime
	f.virtualTime += 1 / f.share
	t := f.first
	q.remove(t)
	return t
}

// nextClass returns the lowest class that is due for a guaranteed start, or
// else the highest class with waiting tasks.
func (q *queue) nextClass() int {
	for i := len(q.classes) - 1; i > 0; i-- {
		if q.classes[i].length > 0 && q.classes[i].passedOver >= guaranteedStartEvery-1 {
			return i
		}
	}
	for i := range q.classes {
		if q.classes[i].length > 0 {
			return i
		}
	}
	return -1
}

func (c *classQueue) nextFlow() *flow {
	next := c.flows[0]
	for _, f := range c.flows[1:] {
		if f.virtualTime < next.virtualTime {
			next = f
		}
	}
	return next
}

// tasksAhead returns the number of waiting tasks that go before a new task of
// the class.
func (q *queue) tasksAhead(class model.Class) int {
	n := 0
	for i := range q.classes[:class+1] {
		n += q.classes[i].length
	}
	return n
}

// chooseVictim returns the waiting task to refuse when the queue is full, or
// nil if the new task itself is to be refused. The lowest class that is above
// its reserve loses a task first, and within a class the newest task of the
// caller that is furthest over its share.
func (q *queue) chooseVictim(t *task, share float64, limit int) *task {
	reserve := max(1, limit/reserveDivisor)
	own := int(t.sub.Class)
	belowReserve := q.classes[own].length < reserve
	for i := len(q.classes) - 1; i >= 0; i-- {
		c := &q.classes[i]
		if i == own && !belowReserve {
			return c.chooseVictim(t.sub.Caller, share)
		}
		if c.length > reserve && (i > own || belowReserve) {
			worst, _ := c.mostOverShare()
			return worst.last
		}
	}
	return nil
}

// chooseVictim does the same within a class. The new task counts as its
// caller's newest.
func (c *classQueue) chooseVictim(caller model.CallerName, share float64) *task {
	arriving := 1.0
	for _, f := range c.flows {
		if f.caller == caller {
			arriving += float64(f.length)
		}
	}
	worst, load := c.mostOverShare()
	if arriving/max(share, minShare) >= load {
		return nil
	}
	return worst.last
}

// mostOverShare returns the flow of the caller that is furthest over its
// share, and its number of tasks divided by the share.
func (c *classQueue) mostOverShare() (*flow, float64) {
	var worst *flow
	most := 0.0
	for _, f := range c.flows {
		if load := float64(f.length) / f.share; load > most {
			worst, most = f, load
		}
	}
	return worst, most
}
