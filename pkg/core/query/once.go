package query

import (
	"container/list"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// rangeLife is how long ids of a range may be used after the lookup that
	// issued it: the 2 s for which a lookup may be cached and ample time for
	// repeats.
	rangeLife = 60 * time.Second
	// clockSkew bounds the difference of two daemons' wall clocks.
	clockSkew = 5 * time.Second
	// onceLimit bounds the table: 65 s at about 750 requests/s.
	onceLimit = 50_000
	// onceBytesLimit bounds the stored answers.
	onceBytesLimit = 64 << 20
	// itemOverhead is the memory of an item beside its text, in bytes.
	itemOverhead = 64
)

// onceEntry remembers a non-idempotent request that was started here. While it
// runs, run is set; after that answer or refusal, or neither when the answer
// was dropped to bound the memory.
type onceEntry struct {
	id      model.RequestID
	issued  int64
	keepTo  model.Time
	run     *run
	answer  *model.Answer
	refusal *model.Refusal
	bytes   int
	// element is the entry's place in order, stored that in answers.
	element *list.Element
	stored  *list.Element
}

// onceTable holds the entries of all ids that were started here and may still
// be used. An entry is freed by the monotonic clock; freed then bounds the
// issue times that are refused as expired. So an id that is neither in the
// table nor expired was never started, even if the wall clock is set back.
type onceTable struct {
	entries map[model.RequestID]*onceEntry
	// order lists the entries in order of arrival, answers those with an answer.
	order   *list.List
	answers *list.List
	bytes   int
	// freed is the latest issue time of a freed entry, in Unix ms.
	freed int64
}

func newOnceTable() onceTable {
	return onceTable{
		entries: make(map[model.RequestID]*onceEntry),
		order:   list.New(),
		answers: list.New(),
	}
}

func (t *onceTable) full() bool { return t.order.Len() >= onceLimit }

// expired reports whether ids issued then (Unix ms) may no longer be started.
func (t *onceTable) expired(issued, wall int64) bool {
	return issued <= t.freed || wall >= issued+rangeLife.Milliseconds()
}

// add notes that the request is about to start.
func (t *onceTable) add(r *run, issued int64, now model.Time) *onceEntry {
	e := &onceEntry{id: r.req.ID, issued: issued, keepTo: now.Add(rangeLife + clockSkew), run: r}
	e.element = t.order.PushBack(e)
	t.entries[e.id] = e
	return e
}

func (t *onceTable) remove(e *onceEntry) {
	t.dropAnswer(e)
	t.order.Remove(e.element)
	delete(t.entries, e.id)
}

// expire frees the entries that have been kept long enough.
func (t *onceTable) expire(now model.Time) {
	for front := t.order.Front(); front != nil; front = t.order.Front() {
		e := front.Value.(*onceEntry)
		if e.run != nil || now < e.keepTo {
			return
		}
		t.freed = max(t.freed, e.issued)
		t.remove(e)
	}
}

// store keeps the outcome of a request for its repeats. Nothing is kept of one
// that did not run, which may therefore be repeated.
func (t *onceTable) store(e *onceEntry, answer *model.Answer, refusal *model.Refusal) {
	e.run = nil
	if refusal != nil && refusal.Kind != model.MayHaveRun {
		t.remove(e)
		return
	}
	e.refusal = refusal
	if answer == nil {
		return
	}
	e.answer = answer
	e.bytes = answerBytes(answer)
	e.stored = t.answers.PushBack(e)
	t.bytes += e.bytes
	for t.bytes > onceBytesLimit {
		t.dropAnswer(t.answers.Front().Value.(*onceEntry))
	}
}

// dropAnswer forgets a stored answer; repeats then get may_have_run.
func (t *onceTable) dropAnswer(e *onceEntry) {
	if e.stored == nil {
		return
	}
	t.answers.Remove(e.stored)
	t.bytes -= e.bytes
	e.stored, e.answer, e.bytes = nil, nil, 0
}

func answerBytes(a *model.Answer) int {
	n := 0
	for i := range a.Items {
		n += itemOverhead + len(a.Items[i].ID) + len(a.Items[i].Doc)
	}
	return n
}
