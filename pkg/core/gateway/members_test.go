package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

func peerEntry(name string, counter uint64, state DaemonState) DaemonEntry {
	return DaemonEntry{
		Name: name, Incarnation: 1, Counter: counter, CallerAddress: name + ":80", PeerAddress: name + ":70",
		FailureDomain: "b", State: state,
	}
}

// Guards against callers that are sent to a daemon that is not ready, is leaving or is
// gone.
func TestDirectoryNamesOnlyReadyDaemons(t *testing.T) {
	h := newHarness(t)
	h.listLeafs(1, "x")
	if got := h.s.Directory("h", "north"); len(got) != 0 {
		t.Errorf("a daemon without configuration is named: %v", got)
	}
	h.configure(1, nil, plainRoute("/r/", "x"))
	h.step(DaemonsListed{Daemons: []DaemonEntry{peerEntry("d0", 0, DaemonStarting)}})
	if got := h.s.Directory("h", "north"); len(got) != 1 {
		t.Errorf("a daemon that was never heard is named: %v", got)
	}
	h.step(GossipReceived{Daemons: []DaemonEntry{peerEntry("d2", 1, DaemonReady), peerEntry("d3", 1, DaemonReady)}})
	if got := h.s.Directory("h", "north"); len(got) != 3 {
		t.Errorf("directory %v, want three daemons", got)
	}
	h.step(GossipReceived{Daemons: []DaemonEntry{peerEntry("d2", 2, DaemonLeaving)}})
	if got := h.s.Directory("h", "north"); contains(got, "d2:80") {
		t.Errorf("a leaving daemon is named: %v", got)
	}
	for range 4 {
		// An entry whose counter has not increased is no sign of life.
		h.advance(400 * time.Millisecond)
		h.step(GossipReceived{Daemons: []DaemonEntry{peerEntry("d3", 1, DaemonReady)}})
	}
	if got := h.s.Directory("h", "north"); contains(got, "d3:80") {
		t.Errorf("a silent daemon is named: %v", got)
	}
	h.step(GossipReceived{Daemons: []DaemonEntry{peerEntry("d3", 2, DaemonReady)}})
	if got := h.s.Directory("h", "north"); !contains(got, "d3:80") {
		t.Errorf("a daemon that is heard again is not named: %v", got)
	}
	h.step(StopRequested{})
	if got := h.s.Directory("h", "north"); contains(got, "10.0.0.1:80") || h.s.Ready() {
		t.Errorf("a stopping daemon names itself: %v", got)
	}
}

// Guards against a daemon that restarts with its clock set back and that others ignore
// because its incarnation is lower than the known one.
func TestRestartWithEarlierClock(t *testing.T) {
	h := newHarness(t)
	h.listLeafs(1, "x")
	h.configure(1, nil, plainRoute("/r/", "x"))
	before := h.s.self().Incarnation
	known := h.s.self()
	known.Incarnation, known.Counter = before+100, 7
	h.step(GossipReceived{Daemons: []DaemonEntry{peerEntry("d2", 1, DaemonReady), known}})
	if got := h.s.self().Incarnation; got <= before+100 {
		t.Errorf("incarnation %d, not greater than the %d that others know", got, before+100)
	}
	old := peerEntry("d2", 50, DaemonReady)
	old.Incarnation = 0
	h.otherEffects = nil
	h.step(GossipReceived{Daemons: []DaemonEntry{old}})
	told := false
	for _, e := range h.otherEffects {
		if g, ok := e.(Gossip); ok && contains(g.To, "d2:70") && len(g.Daemons) > 1 {
			for _, d := range g.Daemons {
				told = told || (d.Name == "d2" && d.Incarnation == 1)
			}
		}
	}
	if !told {
		t.Errorf("a daemon with an old incarnation is not told of the newer one: %+v", h.otherEffects)
	}
}

// Guards against a daemon that is cut off from the store and keeps an old configuration
// or view although another daemon has a newer one.
func TestFetchNewerViewFromDaemon(t *testing.T) {
	h := newHarness(t)
	h.listLeafs(1, "x")
	h.configure(1, nil, plainRoute("/r/", "x"))
	h.step(ViewAdvanced{ViewRevisions{Servers: 5}})
	newer := peerEntry("d2", 1, DaemonReady)
	newer.ConfigVersion, newer.View.Servers = 2, 5
	h.step(GossipReceived{Daemons: []DaemonEntry{peerEntry("d2", 0, DaemonReady)}})
	h.step(GossipReceived{Daemons: []DaemonEntry{newer}})
	h.advance(time.Second)
	if !fetchedViewFrom(h, "d2:70") {
		t.Error("the newer configuration was not fetched within 1 s")
	}
	h.configure(2, nil, plainRoute("/r/", "x"))
	h.otherEffects = nil
	h.step(StoreReached{OK: false})
	h.advance(time.Second)
	newer.Counter, newer.View.Servers = 2, 9
	h.step(GossipReceived{Daemons: []DaemonEntry{newer}})
	h.advance(600 * time.Millisecond)
	if !fetchedViewFrom(h, "d2:70") {
		t.Error("the newer view was not fetched while the store could not be reached")
	}
}

// Guards against a watch of the store that has broken off unnoticed: when another
// daemon knows of a newer change, this one must read the store again, once.
func TestRefreshViewWhenBehindOtherDaemon(t *testing.T) {
	h := newHarness(t)
	h.listLeafs(1, "x")
	h.configure(1, nil, plainRoute("/r/", "x"))
	h.step(ViewAdvanced{ViewRevisions{Servers: 5}})
	h.advance(2 * time.Second)
	for i := range 6 {
		e := peerEntry("d2", uint64(i+1), DaemonReady)
		e.ConfigVersion, e.View.Servers = 1, 8
		h.step(GossipReceived{Daemons: []DaemonEntry{e}})
		h.advance(400 * time.Millisecond)
	}
	n := 0
	for _, e := range h.otherEffects {
		if _, ok := e.(RefreshView); ok {
			n++
		}
	}
	if n != 1 {
		t.Errorf("the store was read again %d times, want once", n)
	}
}

func fetchedViewFrom(h *harness, from string) bool {
	for _, e := range h.otherEffects {
		if f, ok := e.(FetchView); ok && f.From == from {
			return true
		}
	}
	return false
}

// Guards against watches of the store that are assigned to daemons which cannot reach
// it: the rank counts only those that can.
func TestRankCountsOnlyDaemonsWithStore(t *testing.T) {
	h := newHarness(t)
	isolated := peerEntry("d0", 1, DaemonReady)
	isolated.StoreDown = true
	h.step(GossipReceived{Daemons: []DaemonEntry{isolated, peerEntry("d2", 1, DaemonReady), peerEntry("a", 1, DaemonReady)}})
	_, count := h.s.StoreRank()
	if count != 3 {
		t.Errorf("%d daemons are counted, want 3", count)
	}
	h.step(StoreReached{OK: false})
	if !h.s.self().StoreDown {
		t.Error("the own entry does not say that the store cannot be reached")
	}
}

// newLargeFleet returns a harness with count daemons in three failure domains and leafs
// in two of them.
func newLargeFleet(t *testing.T, count int) *harness {
	t.Helper()
	h := newHarness(t)
	h.listLeafs(2, "x")
	h.configure(1, map[string]ServiceConfig{"x": {MaxConnections: 67}}, plainRoute("/r/", "x"))
	h.s.opt.Self.Cores = 0.8
	h.hearFleet(count, 1)
	h.advance(time.Second)
	h.hearFleet(count, 2)
	h.advance(100 * time.Millisecond)
	return h
}

// hearFleet delivers gossip of all other daemons of a fleet.
func (h *harness) hearFleet(count int, counter uint64) {
	var entries []DaemonEntry
	for i, name := range numberedNames("f", count-1) {
		e := peerEntry(name, counter, DaemonReady)
		e.FailureDomain = []string{"a", "b", "c"}[i%3]
		e.Cores = []float64{0.192, 0.4, 0.8}[i%5%3]
		entries = append(entries, e)
	}
	h.step(GossipReceived{Daemons: entries})
}

// Guards against a number of store watchers that grows with the fleet, and against a
// fleet without any.
func TestNumberOfStoreWatchers(t *testing.T) {
	for _, count := range []int{2, 6, 90} {
		watching := 0
		all := append(numberedNames("f", count-1), "d1")
		for _, self := range all {
			h := newHarnessWith(t, Options{Self: DaemonEntry{Name: self, PeerAddress: self + ":70", FailureDomain: peerEntry(self, 1, DaemonReady).FailureDomain}})
			h.now = model.Time(2 * watcherStartDelay)
			var others []DaemonEntry
			for _, name := range all {
				if name != self {
					others = append(others, peerEntry(name, 1, DaemonReady))
				}
			}
			h.step(GossipReceived{Daemons: others})
			h.advance(500 * time.Millisecond)
			if h.s.members.watcher {
				watching++
			}
		}
		if want := min(count, maxWatchers); watching != want {
			t.Errorf("%d of %d daemons watch the store, want %d", watching, count, want)
		}
	}
}

// Guards against watchers that are all in one failure domain: when it is cut off, nobody
// sees that leafs leave until the watchers are replaced.
func TestWatchersAreInSeveralDomains(t *testing.T) {
	for seed := range 20 {
		domainOf := map[string]string{}
		all := numberedNames(fmt.Sprintf("f%d-", seed), 12)
		for i, name := range all {
			domainOf[name] = fmt.Sprint("domain-", i%4)
		}
		domains := map[string]bool{}
		watching := 0
		for _, self := range all {
			h := newHarnessWith(t, Options{Self: DaemonEntry{Name: self, PeerAddress: self + ":70", FailureDomain: domainOf[self]}})
			var others []DaemonEntry
			for _, name := range all {
				if name != self {
					e := peerEntry(name, 1, DaemonReady)
					e.FailureDomain = domainOf[name]
					others = append(others, e)
				}
			}
			h.step(GossipReceived{Daemons: others})
			if place, _ := h.s.StoreRank(); place < maxWatchers {
				watching++
				domains[domainOf[self]] = true
			}
		}
		if watching != maxWatchers || len(domains) != maxWatchers {
			t.Errorf("names %d: %d watchers in %d of 4 domains, want %d in as many", seed, watching, len(domains), maxWatchers)
		}
	}
}

// Guards against a daemon that does not watch the store and learns of changes late.
func TestNonWatcherFetchesNewerViewAtOnce(t *testing.T) {
	h := newHarness(t)
	h.listLeafs(1, "x")
	h.configure(1, nil, plainRoute("/r/", "x"))
	e := peerEntry("d2", 1, DaemonReady)
	e.ConfigVersion, e.View.Servers = 1, 9
	h.step(GossipReceived{Daemons: []DaemonEntry{e}})
	if !fetchedViewFrom(h, "d2:70") {
		t.Error("the newer view of another daemon is not fetched at once")
	}
}

// Guards against a daemon that has not called the store during an outage and drops
// leafs whose entries expired in it, although other daemons have reported the outage.
// Living leafs register again within two seconds.
func TestLapsedEntryKeptAfterOutageOfOthers(t *testing.T) {
	h := newHarness(t)
	h.listLeafs(1, "x")
	h.configure(1, nil, plainRoute("/r/", "x"))
	isolated := peerEntry("d2", 1, DaemonReady)
	isolated.StoreDown = true
	h.step(GossipReceived{Daemons: []DaemonEntry{isolated}})
	h.advance(500 * time.Millisecond)
	h.step(GossipReceived{Daemons: []DaemonEntry{peerEntry("d2", 2, DaemonReady)}})
	h.step(ServerRemoved{ID: "x-0"})
	if q := h.request("/r/", time.Second); len(h.calls(q)) != 1 {
		t.Errorf("final answer %+v while the entry may come back", h.answers[q])
	}
}

// Guards against a living daemon that was cut off for so long that others deleted its
// entry, and that daemons which start later never learn about.
func TestRegisterAgainWhenEntryWasDeleted(t *testing.T) {
	h := newHarness(t)
	registrations := func() int {
		n := 0
		for _, e := range h.otherEffects {
			if _, ok := e.(RegisterDaemon); ok {
				n++
			}
		}
		return n
	}
	own, other := peerEntry("d1", 0, DaemonStarting), peerEntry("d2", 0, DaemonStarting)
	h.step(DaemonsListed{Daemons: []DaemonEntry{other}})
	if n := registrations(); n != 0 {
		t.Errorf("%d registrations before the entry was seen, besides the one at the start", n)
	}
	h.step(DaemonsListed{Daemons: []DaemonEntry{own, other}})
	h.step(DaemonsListed{Daemons: []DaemonEntry{other}})
	h.step(DaemonsListed{Daemons: []DaemonEntry{other}})
	if n := registrations(); n != 1 {
		t.Errorf("%d registrations after the entry was deleted, want 1", n)
	}
	h.step(DaemonsListed{Daemons: []DaemonEntry{own, other}})
	h.step(DaemonsListed{Daemons: []DaemonEntry{other}})
	if n := registrations(); n != 2 {
		t.Errorf("%d registrations after the entry was deleted twice, want 2", n)
	}
}

// Guards against entries of ended daemons that nobody deletes because the daemon whose turn it
// is cannot reach the store.
func TestEntriesAreDeletedWhileStoreTurnsFirstDaemonAway(t *testing.T) {
	h := newHarness(t)
	first, ended := peerEntry("a1", 1, DaemonReady), peerEntry("d2", 1, DaemonReady)
	first.StoreDown = true
	h.step(DaemonsListed{Daemons: []DaemonEntry{first, ended, peerEntry("d1", 0, DaemonReady)}})
	h.step(GossipReceived{Daemons: []DaemonEntry{first, ended}})
	for end := h.s.now.Add(daemonRetention + 5*time.Second); h.s.now < end; {
		h.advance(500 * time.Millisecond)
		first.Counter++
		h.step(GossipReceived{Daemons: []DaemonEntry{first}})
	}
	removals := 0
	for _, e := range h.otherEffects {
		if x, ok := e.(RemoveDaemon); ok && x.Name == ended.Name {
			removals++
		}
	}
	if removals == 0 {
		t.Errorf("nobody deletes the entry of %s", ended.Name)
	}
}

// Guards against callers in a failure domain that is cut off and whose daemons name
// only each other, and against a directory that stays empty because the daemons of
// other domains have ended.
func TestDirectoryOfIsolatedDomainIsEmpty(t *testing.T) {
	cutOff := func(leafsAnswer bool) *harness {
		h := newHarness(t)
		h.configure(1, nil, plainRoute("/r/", "s"))
		h.listLeafs(2, "s")
		near := peerEntry("d0", 1, DaemonReady)
		near.FailureDomain = "a"
		h.step(GossipReceived{Daemons: []DaemonEntry{near, peerEntry("d2", 1, DaemonReady)}})
		if got := h.s.Directory("h", "north"); len(got) != 3 {
			t.Fatalf("directory %v, want three daemons", got)
		}
		for i := range 8 {
			near.Counter++
			h.step(GossipReceived{Daemons: []DaemonEntry{near}})
			q := h.request("/r/", 200*time.Millisecond)
			for _, c := range h.calls(q) {
				o := OutcomeSucceeded
				if c.Server == "s-1" && (!leafsAnswer || i < 2) {
					o = OutcomeNotSent
				}
				h.finishCall(c, o)
			}
			h.advance(250 * time.Millisecond)
		}
		return h
	}
	// Leaf s-1 is in the other domain; it may be that no request was sent to it.
	h := cutOff(false)
	h.s.servers["s-1"].connectFailures, h.s.servers["s-1"].connectAfter = 1, h.now
	if got := h.s.Directory("h", "north"); len(got) != 0 {
		t.Errorf("a domain that is cut off names %v", got)
	}
	h.advance(recentAnswerWindow + 100*time.Millisecond)
	near := peerEntry("d0", 99, DaemonReady)
	near.FailureDomain = "a"
	h.step(GossipReceived{Daemons: []DaemonEntry{near}})
	if got := h.s.Directory("h", "north"); len(got) != 2 {
		t.Errorf("without failed connections the directory is %v, want the two daemons of the domain", got)
	}
	h = cutOff(true)
	h.s.servers["s-1"].lastAnswerAt = h.now
	if got := h.s.Directory("h", "north"); len(got) != 2 {
		t.Errorf("while leafs of the other domain answer the directory is %v, want the two daemons", got)
	}
}

// Guards against a daemon that has just started and takes over, from a near daemon that
// is cut off from the store, leafs and a configuration that were withdrawn.
func TestFirstViewComesFromDaemonWithStore(t *testing.T) {
	h := newHarness(t)
	entry := func(name, domain string, revision uint64, cutOff bool) DaemonEntry {
		return DaemonEntry{
			Name: name, Incarnation: 1, Counter: 1, CallerAddress: "10.0.0.2:80", PeerAddress: name + ":70",
			FailureDomain: domain, State: DaemonReady, ConfigVersion: revision, View: ViewRevisions{Servers: revision, Evacuations: revision}, StoreDown: cutOff,
		}
	}
	h.step(GossipReceived{Daemons: []DaemonEntry{entry("cut", "a", 10, true), entry("far", "b", 20, false)}})
	h.advance(time.Second)
	first := ""
	for _, e := range h.otherEffects {
		if f, ok := e.(FetchView); ok && first == "" {
			first = f.From
		}
	}
	if first != "far:70" {
		t.Errorf("the first view is fetched from %q, want the daemon that reaches the store", first)
	}
}
