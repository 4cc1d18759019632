package gateway

import (
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// newProofHarness returns a daemon that has read the store and does not watch it, in a small fleet
// with a bound of 3 s, and the entries of five daemons that say that they do.
func newProofHarness(t *testing.T) (h *harness, watching []DaemonEntry) {
	h = newHarnessWith(t, Options{ApplyWithin: 3 * time.Second, Self: DaemonEntry{Name: "z-last", Incarnation: 1, PeerAddress: "10.0.0.1:70", FailureDomain: "a"}})
	h.configure(5, nil)
	h.listLeafs(1, "s")
	h.step(StoreRead{})
	for _, name := range []string{"w1", "w2", "w3", "w4", "w5"} {
		e := peerEntry(name, 1, DaemonReady)
		e.ConfigVersion, e.FailureDomain, e.Watching = 5, "a", true
		watching = append(watching, e)
	}
	return h, watching
}

// hear lets daemons tell of themselves every 200 ms. change changes their entries before.
func (h *harness) hear(entries []DaemonEntry, d time.Duration, change func(*DaemonEntry)) {
	h.t.Helper()
	for end := h.now.Add(d); h.now < end; h.advance(200 * time.Millisecond) {
		for i := range entries {
			entries[i].Counter++
			change(&entries[i])
			h.step(GossipReceived{Daemons: []DaemonEntry{entries[i]}})
		}
	}
}

// readings returns the number of times that the daemon read the store for lack of a proof.
func (h *harness) readings() int {
	n := 0
	for _, e := range h.otherEffects {
		if _, ok := e.(ReadStore); ok {
			n++
		}
	}
	return n
}

func freshReading(e *DaemonEntry) { e.HasRead, e.ReadAge = true, 100*time.Millisecond }

// Guards against a daemon that relies on others that say that they watch the store and read
// nothing (CONFIG).
func TestStoreIsReadWithoutProof(t *testing.T) {
	h, watching := newProofHarness(t)
	h.hear(watching, 5*time.Second, freshReading)
	if n := h.readings(); n > 0 {
		t.Fatalf("%d readings while others read", n)
	}
	stopped := h.now
	for h.readings() == 0 && h.now.Sub(stopped) < 10*time.Second {
		h.hear(watching, 200*time.Millisecond, func(e *DaemonEntry) { e.ReadAge += 200 * time.Millisecond })
	}
	if waited := h.now.Sub(stopped); waited > 2600*time.Millisecond {
		t.Errorf("read %v after the last proof, with a bound of 3 s", waited)
	}
	if h.s.members.watcher {
		t.Error("the daemon watches the store, which others do")
	}
}

// Guards against a proof by a daemon that knows of a change which this one has not fetched.
func TestNewerViewIsNoProof(t *testing.T) {
	for what, change := range map[string]func(*DaemonEntry){
		"a version":     func(e *DaemonEntry) { e.ConfigVersion = 6 },
		"a leaf":        func(e *DaemonEntry) { e.View.Servers = 9 },
		"an evacuation": func(e *DaemonEntry) { e.View.Evacuations = 9 },
		"another era":   func(e *DaemonEntry) { e.View.Era = 2 },
	} {
		h, watching := newProofHarness(t)
		h.hear(watching, 5*time.Second, freshReading)
		h.hear(watching, 4*time.Second, func(e *DaemonEntry) {
			freshReading(e)
			change(e)
		})
		if h.readings() == 0 {
			t.Errorf("%s that is not known here: the view counts as proven", what)
		}
	}
}

// Guards against a proof from before the store came back from a copy.
func TestReadingOfEarlierEraIsNoProof(t *testing.T) {
	h, watching := newProofHarness(t)
	h.step(StoreEraSeen{Era: 2})
	h.step(ViewAdvanced{Revisions: ViewRevisions{Era: 2}})
	h.step(StoreRead{})
	h.hear(watching, 4*time.Second, func(e *DaemonEntry) {
		freshReading(e)
		e.View.Era = 1
	})
	if h.readings() == 0 {
		t.Error("the view counts as proven by readings of the era before")
	}
}

// Guards against daemons that say that they watch the store before they have read it.
func TestWatchIsToldAfterReading(t *testing.T) {
	h := newHarness(t)
	h.step(StoreReached{OK: false})
	h.step(StoreReached{OK: true})
	h.storeFails = true
	h.advance(2 * time.Second)
	if !h.s.members.watcher || h.s.self().Watching {
		t.Fatalf("watcher %v, told %v before the first reading", h.s.members.watcher, h.s.self().Watching)
	}
	h.step(StoreRead{})
	if !h.s.self().Watching {
		t.Error("not told after a reading")
	}
	h.step(StoreReached{Cause: "down"})
	if h.s.self().Watching {
		t.Error("told after a failed call")
	}
}

// Guards against a daemon that forgets that its call failed and is taken for one that may watch
// the store, and against one that never counts again.
func TestFailedReadingIsRemembered(t *testing.T) {
	h, watching := newProofHarness(t)
	h.hear(watching, 2*time.Second, freshReading)
	h.step(StoreReached{Cause: "silent"})
	h.hear(watching, time.Second, freshReading)
	if !h.s.self().StoreDown {
		t.Error("forgotten after a second")
	}
	h.hear(watching, 5*time.Second, freshReading)
	if h.s.self().StoreDown {
		t.Error("remembered after 6 s in which others read the store")
	}
}

// Guards against an outage of the whole store in which nobody or everybody watches it.
func TestFirstDaemonsWatchAFailingStore(t *testing.T) {
	h, others := newProofHarness(t)
	fails := func(e *DaemonEntry) { e.Watching, e.StoreDown = false, true }
	h.hear(others, 2*time.Second, fails)
	h.step(StoreReached{Cause: "down"})
	h.hear(others, 2*time.Second, fails)
	place, reaching := h.s.StoreRank()
	if place < maxWatchers || h.s.members.watcher {
		t.Errorf("place %d, watcher %v: the daemon comes after five that fail as well", place, h.s.members.watcher)
	}
	if reaching != 1 {
		t.Errorf("%d daemons count as reaching the store, want this one alone", reaching)
	}
	h.step(StoreReached{OK: true})
	if place, _ := h.s.StoreRank(); place != 0 {
		t.Errorf("place %d of the only daemon whose calls work", place)
	}
}

// Guards against a store that is read again at once and by all after each failure.
func TestReadingsOfFailingStoreAreSpaced(t *testing.T) {
	h, others := newProofHarness(t)
	h.step(StoreReached{Cause: "down"})
	h.hear(others, 20*time.Second, func(e *DaemonEntry) { e.Watching, e.StoreDown = false, true })
	pause := time.Duration(minReadPause * float64(h.s.opt.MaxSilence))
	if n, most := h.readings(), int(20*time.Second/pause); n < 5 || n > most {
		t.Errorf("%d readings in 20 s, want 5 to %d", n, most)
	}
}

// Guards against a daemon that was paused and takes what it knew before for fresh.
func TestPausedDaemonReadsStoreAtOnce(t *testing.T) {
	h, watching := newProofHarness(t)
	h.hear(watching, 5*time.Second, freshReading)
	h.now = h.now.Add(30 * time.Second)
	h.step(Tick{})
	if h.readings() != 1 {
		t.Errorf("%d readings after a pause of 30 s, want 1", h.readings())
	}
	if age := h.s.ProofAge(); age > time.Second {
		t.Errorf("the proof is %v old after the reading", age)
	}
}

// Guards against a reading that seems younger than it is when it comes by way of others.
func TestAgeOfReadingIncludesItsWay(t *testing.T) {
	h, watching := newProofHarness(t)
	h.hear(watching, 5*time.Second, freshReading)
	from := watching[0]
	h.advance(time.Second)
	from.Counter++
	from.HasRead, from.ReadAge, from.Age = true, 300*time.Millisecond, 400*time.Millisecond
	h.step(GossipReceived{Daemons: []DaemonEntry{from}, Waited: 200 * time.Millisecond})
	if at, want := h.s.daemons[from.Name].reading.at, h.now.Add(-900*time.Millisecond); at != want {
		t.Errorf("read %v ago, want 900 ms", h.now.Sub(at))
	}
	if h.s.proof.provenAt < h.now.Add(-1300*time.Millisecond) || h.s.proof.provenAt > model.Time(h.now) {
		t.Errorf("proven %v ago", h.s.ProofAge())
	}
}
