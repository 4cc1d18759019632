package edge

import (
	"testing"
	"time"
)

// Guards against a proof of a view of which one kind was not read as recently as the others.
func TestReadingCountsFromOldestKind(t *testing.T) {
	l := newReadLog(nil)
	start := time.Now()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	l.record(KindConfig, at(1))
	if _, ok := l.record(KindServers, at(2)); ok {
		t.Error("all kinds count as read before the evacuations were")
	}
	if oldest, ok := l.record(KindEvacuations, at(3)); !ok || !oldest.Equal(at(1)) {
		t.Errorf("read since %v, %v, want the time of the configuration", oldest.Sub(start), ok)
	}
	if _, ok := l.record(KindServers, at(5)); ok {
		t.Error("told again although the configuration is as old as before")
	}
	if oldest, ok := l.record(KindConfig, at(4)); !ok || !oldest.Equal(at(3)) {
		t.Errorf("read since %v, %v, want the time of the evacuations", oldest.Sub(start), ok)
	}
	// An answer that comes late proves nothing newer.
	if _, ok := l.record(KindEvacuations, at(2)); ok {
		t.Error("told of a reading that is older than the known one")
	}
}
