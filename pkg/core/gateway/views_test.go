package gateway

import (
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Guards against a daemon that knows the latest change of one kind and therefore does
// not learn of an earlier change of the other kind from another daemon or the store.
func TestRevisionsAreComparedByKind(t *testing.T) {
	for name, c := range map[string]struct{ own, other ViewRevisions }{
		"evacuation before a change of leafs": {ViewRevisions{Servers: 123}, ViewRevisions{Servers: 123, Evacuations: 122}},
		"report of a leaf before an evacuation": {
			ViewRevisions{Servers: 135, Evacuations: 137}, ViewRevisions{Servers: 136, Evacuations: 137},
		},
	} {
		h := newHarness(t)
		h.listLeafs(1, "x")
		h.configure(1, nil, plainRoute("/r/", "x"))
		h.step(ViewAdvanced{c.own})
		e := peerEntry("d2", 1, DaemonReady)
		e.ConfigVersion, e.View = 1, c.other
		h.step(GossipReceived{Daemons: []DaemonEntry{e}})
		if !fetchedViewFrom(h, "d2:70") {
			t.Errorf("%s: a daemon that does not watch the store does not fetch the view", name)
		}
		h.advance(2 * time.Second)
		e.Counter = 2
		h.step(GossipReceived{Daemons: []DaemonEntry{e}})
		h.advance(viewRefreshDelay + gossipInterval)
		if !h.s.members.watcher || !containsEffect[RefreshView](h) {
			t.Errorf("%s: a daemon that watches the store does not read it again", name)
		}
	}
}

// Guards against a change that other daemons are not told of because this daemon told
// them of a later change of the other kind before.
func TestEarlierChangeOfOtherKindIsGossiped(t *testing.T) {
	h := newHarness(t)
	h.listLeafs(1, "x")
	h.step(GossipReceived{Daemons: []DaemonEntry{peerEntry("d2", 1, DaemonReady)}})
	h.step(ViewAdvanced{ViewRevisions{Evacuations: 137}})
	h.advance(time.Second)
	h.otherEffects = nil
	h.step(ViewAdvanced{ViewRevisions{Servers: 136}})
	h.advance(minGossipInterval + time.Millisecond)
	for _, e := range h.otherEffects {
		if g, ok := e.(Gossip); ok && g.Daemons[0].View == (ViewRevisions{Servers: 136, Evacuations: 137}) {
			return
		}
	}
	t.Errorf("the change is not gossiped: %+v", h.otherEffects)
}

func containsEffect[E Effect](h *harness) bool {
	for _, e := range h.otherEffects {
		if _, ok := e.(E); ok {
			return true
		}
	}
	return false
}

// Guards against a daemon that asks one daemon for its view again and again although the
// connection fails or hangs, while others have the view as well.
func TestViewIsFetchedFromAnotherDaemonAfterFailure(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		h := newHarness(t)
		h.listLeafs(1, "x")
		h.configure(1, nil, plainRoute("/r/", "x"))
		hear := func(counter uint64) {
			var entries []DaemonEntry
			for i, name := range []string{"d2", "d3", "d4"} {
				e := peerEntry(name, counter, DaemonReady)
				e.ConfigVersion, e.View.Servers, e.FailureDomain = 1, 9, []string{"b", "b", "c"}[i]
				entries = append(entries, e)
			}
			h.step(GossipReceived{Daemons: entries})
		}
		// d2 comes first in the order of names; d3 is in its domain.
		hear(1)
		if !fetchedViewFrom(h, "d2:70") {
			t.Fatalf("the view is not fetched from the first daemon: %+v", h.otherEffects)
		}
		if !hangs {
			h.step(ViewFetched{Fetch: FetchView{Daemon: "d2", From: "d2:70"}})
		}
		h.otherEffects = nil
		h.advance(slowFetchDelay)
		hear(2)
		if !fetchedViewFrom(h, "d4:70") {
			t.Errorf("hangs %v: the view is not fetched from another domain: %+v", hangs, h.otherEffects)
		}
	}
}

// Guards against a daemon that fetches a view again and again because the other daemon's
// revisions are greater although its view holds nothing new, and against a later change
// that is not fetched then.
func TestFetchedViewIsNotFetchedAgain(t *testing.T) {
	h := newHarness(t)
	h.listLeafs(1, "x")
	h.configure(1, nil, plainRoute("/r/", "x"))
	e := peerEntry("d2", 1, DaemonReady)
	e.ConfigVersion, e.View.Servers = 1, 9
	h.step(GossipReceived{Daemons: []DaemonEntry{e}})
	for _, effect := range h.otherEffects {
		if f, ok := effect.(FetchView); ok {
			h.step(ViewFetched{Fetch: f, OK: true})
		}
	}
	h.otherEffects = nil
	h.advance(2 * minFetchInterval)
	e.Counter++
	h.step(GossipReceived{Daemons: []DaemonEntry{e}})
	if containsEffect[FetchView](h) {
		t.Error("the view is fetched again without a change")
	}
	e.Counter, e.View.Evacuations = e.Counter+1, 8
	h.step(GossipReceived{Daemons: []DaemonEntry{e}})
	if !containsEffect[FetchView](h) {
		t.Error("a later change is not fetched")
	}
}

// Guards against a daemon that does not watch the store and keeps what its old lists at
// the start lacked: it must fetch one view of a daemon that watches, and only one.
func TestViewOfWatcherIsFetchedAfterStart(t *testing.T) {
	h := newHarnessWith(t, Options{Self: DaemonEntry{Name: "self", Incarnation: 1, CallerAddress: "10.0.0.1:80", PeerAddress: "10.0.0.1:70", FailureDomain: "b"}})
	h.listLeafs(1, "x")
	h.configure(1, nil, plainRoute("/r/", "x"))
	fetches := 0
	for i := range 12 {
		var entries []DaemonEntry
		for j, name := range numberedNames("f", 8) {
			e := peerEntry(name, uint64(i+1), DaemonReady)
			e.ConfigVersion, e.FailureDomain = 1, []string{"a", "b", "c"}[j%3]
			entries = append(entries, e)
		}
		h.step(GossipReceived{Daemons: entries})
		h.advance(gossipInterval)
		for _, effect := range h.otherEffects {
			if f, ok := effect.(FetchView); ok {
				fetches++
				if h.now < model.Time(viewConfirmDelay) {
					t.Errorf("fetched after %v", time.Duration(h.now))
				}
				h.step(ViewFetched{Fetch: f, OK: true})
			}
		}
		h.otherEffects = nil
	}
	if place, _ := h.s.StoreRank(); place < maxWatchers {
		t.Fatalf("the daemon is to watch the store: place %d", place)
	}
	if fetches != 1 {
		t.Errorf("%d views were fetched, want 1", fetches)
	}
}
