package slots

import (
	"slices"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// floorStarts guarantees a waiting lower class one in so many starts.
	floorStarts = 10
	// reserveFraction is the part of the queue, 1/reserveFraction, that other
	// classes cannot take from a class. Without it a full queue of urgent work
	// would refuse all bulk work and the guaranteed starts would be unused.
	reserveFraction = 10
	// minShare stands in for the share of a caller that has none.
	minShare = 0.01
)

// queue holds the waiting tasks of one backend server.
type queue struct {
	classes [model.NumClasses]classQueue
	length  int
}

// classQueue holds the tasks of one class, one lane per caller. Callers are
// served by start-time fair queueing: each start advances a lane's virtual
// time by the inverse of the caller's share, and the earliest lane is next.
type classQueue struct {
	lanes   []*lane
	length  int
	virtual float64
	// passed counts starts of other classes while this one waited.
	passed int
	// free is a lane to use again.
	free *lane
}

// lane holds the tasks of one caller and class in order of arrival.
type lane struct {
	class       *classQueue
	caller      model.CallerName
	share       float64
	virtual     float64
	first, last *task
	length      int
}

func (q *queue) push(t *task, share float64) {
	c := &q.classes[t.sub.Class]
	l := c.lane(t.sub.Caller, share)
	t.lane, t.prev, t.next = l, l.last, nil
	if l.last == nil {
		l.first = t
	} else {
		l.last.next = t
	}
	l.last = t
	l.length++
	c.length++
	q.length++
}

// lane returns the caller's lane, a new one beginning at the class's virtual
// time so that an idle caller saves up nothing.
func (c *classQueue) lane(caller model.CallerName, share float64) *lane {
	for _, l := range c.lanes {
		if l.caller == caller {
			return l
		}
	}
	l := c.free
	c.free = nil
	if l == nil {
		l = new(lane)
	}
	*l = lane{class: c, caller: caller, share: max(share, minShare), virtual: c.virtual}
	c.lanes = append(c.lanes, l)
	return l
}

// remove takes a waiting task out of the queue.
func (q *queue) remove(t *task) {
	l := t.lane
	if t.prev == nil {
		l.first = t.next
	} else {
		t.prev.next = t.next
	}
	if t.next == nil {
		l.last = t.prev
	} else {
		t.next.prev = t.prev
	}
	t.lane, t.prev, t.next = nil, nil, nil
	c := l.class
	l.length--
	c.length--
	q.length--
	if l.length == 0 {
		i := slices.Index(c.lanes, l)
		c.lanes = slices.Delete(c.lanes, i, i+1)
		c.free = l
	}
	if c.length == 0 {
		c.passed = 0
	}
}

// pop takes the task that is to start next; nil if none waits.
func (q *queue) pop() *task {
	if q.length == 0 {
		return nil
	}
	class := q.nextClass()
	for i := range q.classes {
		if i != class && q.classes[i].length > 0 {
			q.classes[i].passed++
		}
	}
	c := &q.classes[class]
	c.passed = 0
	l := c.nextLane()
	c.virtual = l.virtual
	l.virtual += 1 / l.share
	t := l.first
	q.remove(t)
	return t
}

// nextClass returns a class that is due by its guaranteed starts, the lowest
// first, or else the highest class with waiting tasks.
func (q *queue) nextClass() int {
	for i := len(q.classes) - 1; i > 0; i-- {
		if q.classes[i].length > 0 && q.classes[i].passed >= floorStarts-1 {
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

func (c *classQueue) nextLane() *lane {
	next := c.lanes[0]
	for _, l := range c.lanes[1:] {
		if l.virtual < next.virtual {
			next = l
		}
	}
	return next
}

// ahead returns the number of waiting tasks that a new one of the class would
// wait for.
func (q *queue) ahead(class model.Class) int {
	n := 0
	for i := range q.classes[:class+1] {
		n += q.classes[i].length
	}
	return n
}

// makeRoom decides who gives way when the queue is full: a waiting task to
// shed, or nil if the new task itself is the one to refuse. The lowest class
// gives way first, down to its reserved places, and within a class the newest
// task of the caller that is furthest over its share.
func (q *queue) makeRoom(t *task, share float64, limit int) *task {
	reserve := max(1, limit/reserveFraction)
	own := int(t.sub.Class)
	entitled := q.classes[own].length < reserve
	for i := len(q.classes) - 1; i >= 0; i-- {
		c := &q.classes[i]
		if i == own && !entitled {
			return c.makeRoom(t.sub.Caller, share)
		}
		if c.length > reserve && (i > own || entitled) {
			worst, _ := c.mostOver()
			return worst.last
		}
	}
	return nil
}

// makeRoom does the same within a class, where the new task counts as its
// caller's newest.
func (c *classQueue) makeRoom(caller model.CallerName, share float64) *task {
	arriving := 1.0
	for _, l := range c.lanes {
		if l.caller == caller {
			arriving += float64(l.length)
		}
	}
	worst, load := c.mostOver()
	if arriving/max(share, minShare) >= load {
		return nil
	}
	return worst.last
}

// mostOver returns the lane that is furthest over its share and its load in
// tasks per share.
func (c *classQueue) mostOver() (*lane, float64) {
	var worst *lane
	most := 0.0
	for _, l := range c.lanes {
		if load := float64(l.length) / l.share; load > most {
			worst, most = l, load
		}
	}
	return worst, most
}
