package query

import (
	"container/list"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// idRangeLifetime is how long the ids of a range may be used after the
	// lookup that issued it. It covers the time for which a lookup may be
	// cached, LookupMaxAge, and leaves ample time for repeats.
	idRangeLifetime = 60 * time.Second
	// maxClockSkew bounds the difference between the wall clocks of two
	// daemons.
	maxClockSkew = 5 * time.Second
	// maxOnceEntries bounds the table. As entries are kept for 65 s, it allows
	// about 750 requests/s.
	maxOnceEntries = 50_000
	// maxStoredAnswerBytes bounds the memory of the stored answers.
	maxStoredAnswerBytes = 64 << 20
	// itemOverheadBytes is the memory that an item needs in addition to its id
	// and document.
	itemOverheadBytes = 64
)

// onceEntry records a non-idempotent request that was started here. run is set
// while the request runs. Afterwards answer or refusal is set, or neither if
// the answer was dropped to bound the memory.
type onceEntry struct {
	id          model.RequestID
	issued      int64
	keepUntil   model.Time
	run         *run
	answer      *model.Answer
	refusal     *model.Refusal
	answerBytes int
	// arrivalElement is the entry's element in onceTable.byArrival,
	// answerElement the one in onceTable.withAnswer.
	arrivalElement *list.Element
	answerElement  *list.Element
}

// onceTable is the at-most-once table. It holds the entries of all ids that
// were started here and may still be used. Entries are freed by the monotonic
// clock, and ids issued no later than a freed entry's are refused as expired.
// So an id that is neither in the table nor expired was never started, even if
// the wall clock is set back.
type onceTable struct {
	entries map[model.RequestID]*onceEntry
	// byArrival lists all entries in order of arrival, withAnswer those that
	// store an answer.
	byArrival   *list.List
	withAnswer  *list.List
	answerBytes int
	// latestFreedIssue is the latest issue time of a freed entry, in Unix ms.
	latestFreedIssue int64
}

func newOnceTable() onceTable {
	return onceTable{
		entries:    make(map[model.RequestID]*onceEntry),
		byArrival:  list.New(),
		withAnswer: list.New(),
	}
}

func (t *onceTable) isFull() bool { return t.byArrival.Len() >= maxOnceEntries }

// rangeExpired reports whether ids with this issue time (Unix ms) may no longer
// be started.
func (t *onceTable) rangeExpired(issued, wall int64) bool {
	return issued <= t.latestFreedIssue || wall >= issued+idRangeLifetime.Milliseconds()
}

// addEntry records that the request is about to start.
func (t *onceTable) addEntry(r *run, issued int64, now model.Time) *onceEntry {
	e := &onceEntry{id: r.req.ID, issued: issued, keepUntil: now.Add(idRangeLifetime + maxClockSkew), run: r}
	e.arrivalElement = t.byArrival.PushBack(e)
	t.entries[e.id] = e
	return e
}

func (t *onceTable) removeEntry(e *onceEntry) {
	t.dropAnswer(e)
	t.byArrival.Remove(e.arrivalElement)
	delete(t.entries, e.id)
}

// expireEntries frees the entries that have been kept long enough.
func (t *onceTable) expireEntries(now model.Time) {
	for front := t.byArrival.Front(); front != nil; front = t.byArrival.Front() {
		e := front.Value.(*onceEntry)
		if e.run != nil || now < e.keepUntil {
			return
		}
		t.latestFreedIssue = max(t.latestFreedIssue, e.issued)
		t.removeEntry(e)
	}
}

// storeOutcome stores the outcome of a request for its repeats. The entry of a
// request that did not run is removed, so that the request may be repeated.
func (t *onceTable) storeOutcome(e *onceEntry, answer *model.Answer, refusal *model.Refusal) {
	e.run = nil
	if refusal != nil && refusal.Kind != model.MayHaveRun {
		t.removeEntry(e)
		return
	}
	e.refusal = refusal
	if answer == nil {
		return
	}
	e.answer = answer
	e.answerBytes = answerSize(answer)
	e.answerElement = t.withAnswer.PushBack(e)
	t.answerBytes += e.answerBytes
	for t.answerBytes > maxStoredAnswerBytes {
		t.dropAnswer(t.withAnswer.Front().Value.(*onceEntry))
	}
}

// dropAnswer discards a stored answer. Repeats are then refused with
// may_have_run.
func (t *onceTable) dropAnswer(e *onceEntry) {
	if e.answerElement == nil {
		return
	}
	t.withAnswer.Remove(e.answerElement)
	t.answerBytes -= e.answerBytes
	e.answerElement, e.answer, e.answerBytes = nil, nil, 0
}

func answerSize(a *model.Answer) int {
	n := 0
	for i := range a.Items {
		n += itemOverheadBytes + len(a.Items[i].ID) + len(a.Items[i].Doc)
	}
	return n
}
