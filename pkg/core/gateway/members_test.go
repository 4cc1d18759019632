package gateway

import (
	"testing"
	"time"
)

func peerEntry(name string, counter uint64, state DaemonState) DaemonEntry {
	return DaemonEntry{
		Name: name, Incarnation: 1, Counter: counter, CallerAddress: name + ":80", PeerAddress: name + ":70",
		FailureDomain: "b", State: state,
	}
}

// Guards against callers that are sent to a daemon that is not ready, leaves or
// is gone.
func TestDirectory(t *testing.T) {
	w := newWorld(t)
	w.leafs(1, "x")
	if got := w.s.Directory("h", "north"); len(got) != 0 {
		t.Errorf("a daemon without configuration is named: %v", got)
	}
	w.configure(1, nil, plain("/r/", "x"))
	w.post(DaemonsListed{Daemons: []DaemonEntry{peerEntry("d0", 0, DaemonStarting)}})
	if got := w.s.Directory("h", "north"); len(got) != 1 {
		t.Errorf("a daemon that was never heard is named: %v", got)
	}
	w.post(GossipReceived{Daemons: []DaemonEntry{peerEntry("d2", 1, DaemonReady), peerEntry("d3", 1, DaemonReady)}})
	if got := w.s.Directory("h", "north"); len(got) != 3 {
		t.Errorf("directory %v, want three daemons", got)
	}
	w.post(GossipReceived{Daemons: []DaemonEntry{peerEntry("d2", 2, DaemonLeaving)}})
	if got := w.s.Directory("h", "north"); has(got, "d2:80") {
		t.Errorf("a leaving daemon is named: %v", got)
	}
	for range 4 {
		// Old news are no sign of life.
		w.pass(400 * time.Millisecond)
		w.post(GossipReceived{Daemons: []DaemonEntry{peerEntry("d3", 1, DaemonReady)}})
	}
	if got := w.s.Directory("h", "north"); has(got, "d3:80") {
		t.Errorf("a silent daemon is named: %v", got)
	}
	w.post(GossipReceived{Daemons: []DaemonEntry{peerEntry("d3", 2, DaemonReady)}})
	if got := w.s.Directory("h", "north"); !has(got, "d3:80") {
		t.Errorf("a daemon that is heard again is not named: %v", got)
	}
	w.post(StopRequested{})
	if got := w.s.Directory("h", "north"); has(got, "10.0.0.1:80") || w.s.Ready() {
		t.Errorf("a stopping daemon names itself: %v", got)
	}
}

// Guards against a daemon that restarts with an earlier time of day and is
// ignored by the others as an old incarnation.
func TestRestartWithEarlierClock(t *testing.T) {
	w := newWorld(t)
	w.leafs(1, "x")
	w.configure(1, nil, plain("/r/", "x"))
	before := w.s.self().Incarnation
	known := w.s.self()
	known.Incarnation, known.Counter = before+100, 7
	w.post(GossipReceived{Daemons: []DaemonEntry{peerEntry("d2", 1, DaemonReady), known}})
	if got := w.s.self().Incarnation; got <= before+100 {
		t.Errorf("incarnation %d, others know %d", got, before+100)
	}
	old := peerEntry("d2", 50, DaemonReady)
	old.Incarnation = 0
	w.other = nil
	w.post(GossipReceived{Daemons: []DaemonEntry{old}})
	told := false
	for _, e := range w.other {
		if g, ok := e.(Gossip); ok && has(g.To, "d2:70") && len(g.Daemons) > 1 {
			for _, d := range g.Daemons {
				told = told || (d.Name == "d2" && d.Incarnation == 1)
			}
		}
	}
	if !told {
		t.Errorf("a daemon with an old incarnation is not told of the newer one: %+v", w.other)
	}
}

// Guards against a daemon that is cut off from the store and keeps an old
// configuration or view though another daemon has a newer one.
func TestFetchFromDaemon(t *testing.T) {
	w := newWorld(t)
	w.leafs(1, "x")
	w.configure(1, nil, plain("/r/", "x"))
	w.s.SetViewRevision(5)
	newer := peerEntry("d2", 1, DaemonReady)
	newer.ConfigVersion, newer.ViewRevision = 2, 5
	w.post(GossipReceived{Daemons: []DaemonEntry{peerEntry("d2", 0, DaemonReady)}})
	w.post(GossipReceived{Daemons: []DaemonEntry{newer}})
	w.pass(time.Second)
	if !fetched(w, "d2:70") {
		t.Error("the newer configuration was not fetched within 1 s")
	}
	w.configure(2, nil, plain("/r/", "x"))
	w.other = nil
	w.post(StoreReached{OK: false})
	w.pass(time.Second)
	newer.Counter, newer.ViewRevision = 2, 9
	w.post(GossipReceived{Daemons: []DaemonEntry{newer}})
	w.pass(600 * time.Millisecond)
	if !fetched(w, "d2:70") {
		t.Error("the newer view was not fetched while the store was away")
	}
}

// Guards against a watch that went silent: a change that another daemon knows of
// makes this one ask the store anew, once.
func TestRefreshWhenBehind(t *testing.T) {
	w := newWorld(t)
	w.leafs(1, "x")
	w.configure(1, nil, plain("/r/", "x"))
	w.s.SetViewRevision(5)
	for i := range 6 {
		e := peerEntry("d2", uint64(i+1), DaemonReady)
		e.ConfigVersion, e.ViewRevision = 1, 8
		w.post(GossipReceived{Daemons: []DaemonEntry{e}})
		w.pass(400 * time.Millisecond)
	}
	n := 0
	for _, e := range w.other {
		if _, ok := e.(RefreshView); ok {
			n++
		}
	}
	if n != 1 {
		t.Errorf("the store was asked anew %d times, want once", n)
	}
}

func fetched(w *world, from string) bool {
	for _, e := range w.other {
		if f, ok := e.(FetchView); ok && f.From == from {
			return true
		}
	}
	return false
}

// Guards against watches of the store that are spread over daemons which cannot
// reach it: the place counts only those that can.
func TestRankCountsDaemonsWithStore(t *testing.T) {
	w := newWorld(t)
	cut := peerEntry("d0", 1, DaemonReady)
	cut.StoreDown = true
	w.post(GossipReceived{Daemons: []DaemonEntry{cut, peerEntry("d2", 1, DaemonReady), peerEntry("a", 1, DaemonReady)}})
	if place, count := w.s.AliveRank(); place != 1 || count != 3 {
		t.Errorf("place %d of %d, want 1 of 3", place, count)
	}
	w.post(StoreReached{OK: false})
	if !w.s.self().StoreDown {
		t.Error("others are not told that the store is out of reach")
	}
}
