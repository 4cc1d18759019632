package edge

import (
	"slices"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
)

// readLog is when the kinds that changes are taken from were last read from the store.
type readLog struct {
	// kinds are those followed, without the daemons, which tell each other of themselves.
	kinds []Kind
	at    map[Kind]time.Time
	// told is the oldest of these times when the reducer was last told of one.
	told time.Time
}

func newReadLog(followed []Kind) readLog {
	if followed == nil {
		followed = Kinds
	}
	kinds := slices.DeleteFunc(slices.Clone(followed), func(kind Kind) bool { return kind == KindDaemons })
	return readLog{kinds: kinds, at: map[Kind]time.Time{}}
}

// others returns the kinds without one.
func (l *readLog) others(kind Kind) []Kind {
	return slices.DeleteFunc(slices.Clone(l.kinds), func(other Kind) bool { return other == kind })
}

// record records that a kind was read, and returns since when all kinds have been read; ok is
// false unless that is later than what was returned before.
func (l *readLog) record(kind Kind, at time.Time) (oldest time.Time, ok bool) {
	if at.After(l.at[kind]) {
		l.at[kind] = at
	}
	for i, k := range l.kinds {
		if t := l.at[k]; i == 0 || t.Before(oldest) {
			oldest = t
		}
	}
	if !oldest.After(l.told) {
		return time.Time{}, false
	}
	l.told = oldest
	return oldest, true
}

// recordRead records that the state of a kind holds what the store of an era held at a moment.
// Invariant: it is called after the changes of that reading were posted.
func (f *Follower) recordRead(kind Kind, at time.Time, era uint64) {
	f.mu.Lock()
	var oldest time.Time
	ok := era >= f.era
	if ok {
		oldest, ok = f.reads.record(kind, at)
	}
	f.mu.Unlock()
	if ok {
		f.post(gateway.StoreRead{Age: time.Since(oldest)})
	}
}

// ReadStore reads the store now, also if this daemon does not watch it: the configuration first,
// and the other kinds once that was answered.
func (f *Follower) ReadStore() {
	f.mu.Lock()
	f.readPending = true
	f.mu.Unlock()
	f.interruptWatches(readWait, KindConfig)
}
