package edge

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
)

// eachFleetOfEra runs a test with a small and a large fleet over a store that names its
// era.
func eachFleetOfEra(t *testing.T, f func(t *testing.T, fleet *modelFleet)) {
	for _, size := range []int{8, 195} {
		if size > 60 && testing.Short() {
			continue
		}
		for round := range max(1, 4/(size/8)) {
			t.Run(fmt.Sprintf("%d daemons, round %d", size, round), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fleet := newModelFleetOfEra(t, size, 4)
					fleet.silentCopies = round%2 == 0
					f(t, fleet)
				})
			})
		}
	}
}

// restore makes the store come back from a copy. In every other fleet the running watches
// break off silently.
func (f *modelFleet) restore(age time.Duration) {
	if f.silentCopies {
		f.store.mute()
	}
	f.store.restore(age)
}

// putConfig writes a version of the configuration.
func (f *modelFleet) putConfig(version uint64) {
	f.store.put(KindConfig, configName, gateway.Config{Version: version})
}

// checkVersion reports daemons in touch with another version of the configuration.
func (f *modelFleet) checkVersion(what string, want uint64) {
	f.t.Helper()
	for _, run := range f.inTouch() {
		run.runtime.Inspect(func(s *gateway.State) {
			if got := s.Version(); got != want {
				f.t.Errorf("%s: %s has version %d, want %d", what, run.daemon.entry.Name, got, want)
			}
		})
	}
}

// checkEra reports daemons in touch that do not know the store's era.
func (f *modelFleet) checkEra(what string) {
	f.t.Helper()
	for _, run := range f.inTouch() {
		run.runtime.Inspect(func(s *gateway.State) {
			if got := s.Status().View.Era; got != f.store.era {
				f.t.Errorf("%s: %s tells of era %d, want %d", what, run.daemon.entry.Name, got, f.store.era)
			}
		})
	}
}

// checkLeafsUsed reports daemons in touch that do not use as many leafs as expected.
func (f *modelFleet) checkLeafsUsed(what string, want int) {
	f.t.Helper()
	for _, run := range f.inTouch() {
		run.runtime.Inspect(func(s *gateway.State) {
			used := 0
			for _, leaf := range s.Leafs("") {
				if !leaf.Draining && !leaf.Evacuated {
					used++
				}
			}
			if used != want {
				f.t.Errorf("%s: %s uses %d leafs, want %d", what, run.daemon.entry.Name, used, want)
			}
		})
	}
}

// withdraw writes what a copy that is 3 s old lacks: a version of the configuration, an
// evacuation, a leaf's report that it drains, the removal of a leaf and that of a leaf's
// successor's predecessor.
func (f *modelFleet) withdraw() {
	f.putLeaf(7, false)
	time.Sleep(5 * time.Second)
	f.putConfig(8)
	f.putLeaf(3, true)
	f.store.remove(KindServers, leafName(4))
	f.store.put(KindEvacuations, "osijek-b", struct{}{})
	time.Sleep(2 * time.Second)
}

// checkWithdrawn reports daemons in touch that take back what withdraw wrote.
func (f *modelFleet) checkWithdrawn(what string) {
	f.t.Helper()
	f.checkVersion(what, 8)
	f.checkEvacuated(what, "osijek-b")
	f.checkLeafUnused(what, 3)
	f.checkLeafUnused(what, 4)
}

// Guards against a configuration, an evacuation, a drain and a removal that are taken back
// because the store came back from a copy without them, at any moment afterwards and by
// daemons that start later, and against a fleet that does not follow the new era.
func TestCopyTakesNothingBack(t *testing.T) {
	eachFleetOfEra(t, func(t *testing.T, f *modelFleet) {
		f.withdraw()
		f.restore(3 * time.Second)
		copied := time.Now()
		for i := range 12 {
			time.Sleep(250 * time.Millisecond)
			f.checkWithdrawn(fmt.Sprintf("%d ms after the copy", 250*(i+1)))
		}
		sleepUntil(copied, f.drainBound)
		f.checkEra("after the copy")
		f.restart(len(f.daemons) / 2)
		time.Sleep(f.contact + 10*time.Millisecond)
		f.checkWithdrawn("after a restart")
		// All is written again, in another order and at revisions that were used before.
		f.store.put(KindEvacuations, "osijek-b", struct{}{})
		f.putLeaf(3, true)
		f.store.remove(KindServers, leafName(4))
		f.putConfig(8)
		time.Sleep(f.drainBound)
		f.checkWithdrawn("after all was written again")
		f.store.remove(KindEvacuations, "osijek-b")
		f.putLeaf(3, false)
		f.putConfig(9)
		time.Sleep(f.drainBound)
		f.checkVersion("after the next words", 9)
		f.checkLeafsUsed("after the next words", 23)
	})
}

// Guards against two copies in a row that together take back what each alone does not, and
// against daemons that start between them.
func TestTwoCopiesInARow(t *testing.T) {
	eachFleetOfEra(t, func(t *testing.T, f *modelFleet) {
		f.withdraw()
		f.restore(3 * time.Second)
		f.restore(0)
		time.Sleep(time.Second)
		f.checkWithdrawn("after two copies at once")
		f.putLeaf(3, true)
		f.restart(len(f.daemons) / 2)
		time.Sleep(f.contact + 10*time.Millisecond)
		f.restore(f.contact + time.Second)
		for range 8 {
			time.Sleep(500 * time.Millisecond)
			f.checkWithdrawn("after the next copy")
		}
		f.checkEra("after the next copy")
	})
}

// Guards against leafs that a copy lacks or shows in an older state and that are lost or
// never used again: they are kept like after an outage, and their next write counts.
func TestLeafsComeBackAfterCopy(t *testing.T) {
	eachFleetOfEra(t, func(t *testing.T, f *modelFleet) {
		f.putLeaf(30, false)
		f.putLeaf(5, true)
		time.Sleep(2 * time.Second)
		f.checkLeafsUsed("before the copy", 24)
		f.restore(3 * time.Second)
		time.Sleep(time.Second)
		f.checkLeafsUsed("1 s after the copy", 24)
		f.putLeaf(30, false)
		f.putLeaf(5, false)
		time.Sleep(f.drainBound)
		f.checkLeafsUsed("after the leafs have written again", 25)
	})
}

// Guards against a reshard whose versions go back, and leafs of the new layout that are
// lost, because the store came back from a copy in the middle of it.
func TestCopyDuringReshard(t *testing.T) {
	eachFleetOfEra(t, func(t *testing.T, f *modelFleet) {
		for i := 30; i < 36; i++ {
			f.putLeaf(i, false)
		}
		f.putConfig(8)
		time.Sleep(time.Second)
		for i := range 6 {
			f.store.remove(KindServers, leafName(i))
		}
		time.Sleep(time.Second)
		f.restore(3 * time.Second)
		time.Sleep(500 * time.Millisecond)
		for i := 30; i < 36; i++ {
			f.putLeaf(i, false)
		}
		f.restart(1)
		f.putConfig(8)
		for range 6 {
			time.Sleep(time.Second)
			f.checkVersion("after the copy", 8)
			f.checkLeafsUsed("after the copy", 24)
		}
	})
}

// Guards against registrations that a copy lacks and that nobody writes again, and against
// daemons that others forget meanwhile.
func TestRegistrationsAfterCopy(t *testing.T) {
	eachFleetOfEra(t, func(t *testing.T, f *modelFleet) {
		late := f.daemons[len(f.daemons)-1]
		late.kill()
		f.store.remove(KindDaemons, late.entry.Name)
		time.Sleep(3 * time.Second)
		late.start()
		time.Sleep(time.Second)
		f.restore(2 * time.Second)
		known := map[string]int{}
		for range 20 {
			time.Sleep(250 * time.Millisecond)
			for _, run := range f.inTouch() {
				name := run.daemon.entry.Name
				run.runtime.Inspect(func(s *gateway.State) {
					n := 0
					for _, d := range s.Daemons() {
						if d.Alive || d.HeardMS >= 0 {
							n++
						}
					}
					if n < known[name] {
						t.Errorf("%s knows %d daemons that it has heard, and knew %d before", name, n, known[name])
					}
					known[name] = n
				})
			}
		}
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		objects, _ := f.store.stateAt(KindDaemons, time.Now())
		if len(objects) != len(f.daemons) {
			t.Errorf("%d daemons are registered, want %d", len(objects), len(f.daemons))
		}
	})
}

// Guards against an evacuation that a copy lacks and that stays in force for ever, since the
// store cannot show its withdrawal, and against one that ends too early.
func TestHeldEvacuationEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newModelFleetOfEra(t, 8, 4)
		f.store.put(KindEvacuations, "osijek-b", struct{}{})
		time.Sleep(2 * time.Second)
		f.restore(3 * time.Second)
		time.Sleep(evacuationRetention - 10*time.Second)
		f.restart(2)
		time.Sleep(8 * time.Second)
		f.checkEvacuated("before the end", "osijek-b")
		time.Sleep(10 * time.Second)
		f.checkLeafsUsed("after the end", 24)
		// An evacuation that the operator withdrew is in force again if a copy shows it.
		f.store.put(KindEvacuations, "vukovar", struct{}{})
		time.Sleep(3 * time.Second)
		f.store.remove(KindEvacuations, "vukovar")
		time.Sleep(2 * time.Second)
		f.checkLeafsUsed("after the withdrawal", 24)
		f.restore(3 * time.Second)
		time.Sleep(f.evacuateBound)
		f.checkEvacuated("that a copy shows again", "vukovar")
	})
}

// Guards against a copy that makes each daemon of a fleet call the store.
func TestCopyCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newModelFleetOfEra(t, 60, 4)
		count := func() int {
			f.store.mu.Lock()
			defer f.store.mu.Unlock()
			return len(f.store.calls)
		}
		f.store.mu.Lock()
		clear(f.store.calls)
		f.store.mu.Unlock()
		f.putLeaf(3, true)
		time.Sleep(time.Second)
		f.restore(2 * time.Second)
		time.Sleep(5 * time.Second)
		f.checkEra("after the copy")
		if n := count(); n > 3 {
			t.Errorf("%d daemons called the store, want those that watch it", n)
		}
	})
}

// Guards against bytes of gossip and views that change although the store names no era.
func TestWithoutErasNothingChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newModelFleet(t, 8)
		f.putLeaf(3, true)
		f.store.remove(KindServers, leafName(4))
		f.store.put(KindEvacuations, "osijek-b", struct{}{})
		time.Sleep(3 * time.Second)
		for _, run := range f.inTouch() {
			data, err := json.Marshal(run.follower.View(nil))
			if err != nil {
				t.Fatal(err)
			}
			var view map[string]any
			if err := json.Unmarshal(data, &view); err != nil {
				t.Fatal(err)
			}
			for _, name := range []string{"era", "retained"} {
				if _, ok := view[name]; ok {
					t.Errorf("a view has the field %s", name)
				}
			}
			for kind, state := range view["kinds"].(map[string]any) {
				if _, ok := state.(map[string]any)["era"]; ok {
					t.Errorf("the state of %s has an era", kind)
				}
			}
			if kept := run.follower.RetainedObjects(); len(kept) > 0 {
				t.Errorf("retained: %v", kept)
			}
		}
	})
}

// Guards against daemons that start while the store comes back from a copy, with old lists,
// and take back what daemons that run longer know.
func TestStartsDuringCopy(t *testing.T) {
	eachFleetOfEra(t, func(t *testing.T, f *modelFleet) {
		f.withdraw()
		f.store.setStaleAge(func(string) time.Duration { return 3 * time.Second })
		f.restart(len(f.daemons) / 4)
		time.Sleep(200 * time.Millisecond)
		f.restore(4 * time.Second)
		f.restart(len(f.daemons) / 4)
		for range 16 {
			time.Sleep(500 * time.Millisecond)
			f.checkWithdrawn("after the copy")
		}
		f.checkEra("after the copy")
	})
}
