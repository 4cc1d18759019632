package edge

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
)

// eachSize runs a test with fleets on both sides of the size from which messages go to some
// daemons only, and with larger ones, several at once: their time is not the machine's. Bounds are those of the deployments of that size.
func eachSize(t *testing.T, f func(t *testing.T, fleet *modelFleet)) {
	for _, size := range []int{2, 13, 14, 82, 195, 560} {
		if size > 100 && testing.Short() {
			continue
		}
		for round := range max(1, 8/(1+size/10)) {
			t.Run(fmt.Sprintf("%d daemons, round %d", size, round), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { f(t, newDeploymentOfSize(t, size)) })
			})
		}
	}
}

// newDeploymentOfSize starts a fleet with the bounds of the deployments of that size.
func newDeploymentOfSize(t *testing.T, size int) *modelFleet {
	fleet := newModelDeployment(t, 0)
	switch {
	case size > 150:
		fleet.drainBound, fleet.contact = 6*time.Second, 6*time.Second
	case size > 13:
		fleet.drainBound, fleet.contact = 5*time.Second, 5*time.Second
	}
	// As in package edged.
	fleet.maxSilence = fleet.contact * 3 / 10
	fleet.startFleet(size)
	return fleet
}

// firstInLine returns the daemons whose place among those that may watch the store is below a
// number, as they see it themselves.
func (f *modelFleet) firstInLine(number int) []*modelDaemon {
	var out []*modelDaemon
	for _, run := range f.inTouch() {
		run.runtime.Inspect(func(s *gateway.State) {
			if place, _ := s.StoreRank(); place < number {
				out = append(out, run.daemon)
			}
		})
	}
	// One stays, so that there is somebody to judge.
	return out[:min(len(out), len(f.daemons)-1)]
}

// kill ends daemons without a word.
func (f *modelFleet) kill(daemons []*modelDaemon) {
	for _, d := range daemons {
		d.kill()
	}
}

// leave ends daemons in a planned way.
func (f *modelFleet) leave(daemons []*modelDaemon) {
	for _, d := range daemons {
		d.run.Load().runtime.Post(gateway.StopRequested{EndsIn: 6 * time.Second})
	}
	time.Sleep(3 * time.Second)
	f.kill(daemons)
}

// cutOff lets nothing pass between a failure domain and the others.
func (f *modelFleet) cutOff(domain string) {
	isCut := func(to, from gateway.DaemonEntry) bool {
		return (to.FailureDomain == domain) != (from.FailureDomain == domain)
	}
	f.isCut.Store(&isCut)
}

// checkChanges writes a configuration, an evacuation and a leaf's report and reports daemons
// in touch that do not know them in time, and those that send callers to a daemon that has
// ended.
func (f *modelFleet) checkChanges(what string) {
	f.t.Helper()
	changed := time.Now()
	f.putConfig(8)
	f.store.put(KindEvacuations, "osijek-b", struct{}{})
	f.putLeaf(3, true)
	sleepUntil(changed, min(f.drainBound, f.evacuateBound))
	f.checkVersion(what, 8)
	f.checkEvacuated(what, "osijek-b")
	f.checkLeafUnused(what, 3)
	sleepUntil(changed, f.contact+3*time.Second)
	f.checkDirectory(what)
}

// checkDirectory reports daemons in touch that send callers to one that has ended.
func (f *modelFleet) checkDirectory(what string) {
	f.t.Helper()
	ended := map[string]bool{}
	for _, d := range f.daemons {
		ended[d.entry.CallerAddress] = d.run.Load() == nil
	}
	for _, run := range f.inTouch() {
		run.runtime.Inspect(func(s *gateway.State) {
			for _, address := range s.Directory("", "") {
				if ended[address] {
					f.t.Errorf("%s: %s sends callers to %s, which has ended", what, run.daemon.entry.Name, address)
				}
			}
		})
	}
}

// Guards against a directory that names other daemons of a route's home region again and again,
// because those are passed on first that callers without a region are sent to.
func TestDirectoryOfRegionIsStable(t *testing.T) {
	t.Parallel()
	for _, size := range []int{13, 82, 195} {
		t.Run(fmt.Sprintf("%d daemons", size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newModelDeployment(t, 0)
				f.twoRegions, f.contact, f.maxSilence = true, 5*time.Second, 1500*time.Millisecond
				f.startFleet(size)
				f.store.put(KindConfig, configName, gateway.Config{Version: 8, Routes: []*gateway.Route{{Name: "r", Host: "h", PathPrefix: "/", HomeRegions: []string{"baranja"}}}})
				time.Sleep(10 * time.Second)
				lists := map[string]map[string]bool{"h": {}, "any region": {}}
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					for _, run := range f.inTouch() {
						run.runtime.Inspect(func(s *gateway.State) {
							for host, seen := range lists {
								seen[strings.Join(s.Directory(host, ""), " ")] = true
							}
						})
					}
				}
				for host, seen := range lists {
					// One of the daemons named may be replaced by the next in line for a while.
					if len(seen) > 9 {
						t.Errorf("%s: %d different lists of %d daemons in 10 s, want at most 9", host, len(seen), size)
					}
				}
			})
		})
	}
}

// Guards against callers that are sent to daemons that ended long before, because entries of
// these are still passed on (DRAIN).
func TestDirectoryAfterHalfOfFleetIsLost(t *testing.T) {
	t.Parallel()
	eachSize(t, func(t *testing.T, f *modelFleet) {
		f.kill(f.firstInLine(max(1, len(f.daemons)/2)))
		time.Sleep(f.contact + 3*time.Second)
		f.checkDirectory("after half of the fleet was lost")
	})
}

// Guards against callers that are sent to daemons that ended half of the allowed time before:
// the other half is for slow machines and for entries that wait on their way (DRAIN).
func TestDirectoryAtHalfOfBound(t *testing.T) {
	t.Parallel()
	eachSize(t, func(t *testing.T, f *modelFleet) {
		for _, lost := range []int{1, 9, len(f.daemons) / 2} {
			f.kill(f.firstInLine(lost))
			time.Sleep((f.contact + 3*time.Second) / 2)
			f.checkDirectory(fmt.Sprintf("half of the bound after the loss of %d more", lost))
		}
	})
}

// Guards against a fleet that nobody tells of changes because those that watch the store have
// left in a planned way and are still taken for living (CONFIG, DRAIN, EVAC).
func TestChangesAfterWatchersLeave(t *testing.T) {
	t.Parallel()
	eachSize(t, func(t *testing.T, f *modelFleet) {
		f.leave(f.firstInLine(3))
		f.checkChanges("after the watchers have left")
	})
}

// Guards against the same after the watchers, and those next in line, were lost without a word.
func TestChangesAfterWatchersAreLost(t *testing.T) {
	t.Parallel()
	for _, lost := range []int{3, 6, 9} {
		eachSize(t, func(t *testing.T, f *modelFleet) {
			f.kill(f.firstInLine(lost))
			f.checkChanges(fmt.Sprintf("after the first %d in line were lost", lost))
		})
	}
}

// Guards against a fleet in which nobody watches the store so long that a change is in force too
// late, or in which a successor gives the watch back while nobody else has it.
func TestWatchIsTakenOver(t *testing.T) {
	t.Parallel()
	// passingOn is the part of the bound that is left for the change to reach all daemons.
	const passingOn = time.Second
	eachSize(t, func(t *testing.T, f *modelFleet) {
		lost := time.Now()
		f.kill(f.firstInLine(9))
		sleepUntil(lost, min(f.drainBound, f.evacuateBound)-passingOn)
		for range 60 {
			if len(f.watchers()) == 0 {
				t.Fatalf("nobody watches the store %v after the first 9 in line were lost", time.Since(lost))
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// Guards against a moment in which nobody watches the store while the watchers leave in a
// planned way.
func TestWatchIsHandedOver(t *testing.T) {
	t.Parallel()
	eachSize(t, func(t *testing.T, f *modelFleet) {
		go f.leave(f.firstInLine(3))
		for range 200 {
			time.Sleep(20 * time.Millisecond)
			if len(f.watchers()) == 0 {
				t.Fatal("nobody watches the store")
			}
		}
	})
}

// Guards against the same while half of a fleet leaves, a few daemons at a time: those that
// take over the watch leave next.
func TestChangesWhileFleetLeaves(t *testing.T) {
	t.Parallel()
	eachSize(t, func(t *testing.T, f *modelFleet) {
		for step := 0; step < 5; step++ {
			leaving := f.firstInLine(4)
			if len(f.inTouch()) < 8 {
				break
			}
			go f.leave(leaving)
			time.Sleep(1300 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		f.checkChanges("while the fleet leaves")
	})
}

// Guards against the same while daemons are lost and, in addition, a domain is cut off or the
// store turns a third of the others away.
func TestChangesAfterLossAndOneMoreFault(t *testing.T) {
	t.Parallel()
	faults := map[string]func(f *modelFleet){
		"a domain is cut off": func(f *modelFleet) { f.cutOff(modelDomains[0]) },
		"the store turns some away": func(f *modelFleet) {
			turnedAway := map[string]bool{}
			for i, d := range f.daemons {
				turnedAway[d.entry.Name] = i%3 == 1
			}
			f.store.setDown(func(daemon string) bool { return turnedAway[daemon] })
		},
	}
	for what, cause := range faults {
		t.Run(what, func(t *testing.T) {
			eachSize(t, func(t *testing.T, f *modelFleet) {
				cause(f)
				f.kill(f.firstInLine(3))
				f.checkChanges("while " + what)
			})
		})
	}
}

// Guards against roles that change hands in a calm fleet, and against gossip about them that
// takes more than what is allowed for.
func TestRolesOfCalmFleet(t *testing.T) {
	t.Parallel()
	const (
		samples  = 200
		interval = 100 * time.Millisecond
		// mostBytes leaves a third of 19 kB a second for views.
		mostBytes = 19_000 * 2 / 3
	)
	eachSize(t, func(t *testing.T, f *modelFleet) {
		before := map[*modelDaemon]int64{}
		for _, d := range f.daemons {
			before[d] = d.gossipBytes.Load()
		}
		watcherSamples, expected := 0, min(3, len(f.daemons))
		for range samples {
			time.Sleep(interval)
			watchers := len(f.watchers())
			watcherSamples += watchers
			if watchers < expected {
				t.Errorf("%d daemons watch the store, want %d", watchers, expected)
			}
		}
		if mean := float64(watcherSamples) / samples; mean > float64(expected)+0.5 {
			t.Errorf("%.2f daemons watch the store on average, want %d", mean, expected)
		}
		var most, sum int64
		for _, d := range f.daemons {
			sent := d.gossipBytes.Load() - before[d]
			most, sum = max(most, sent), sum+sent
		}
		seconds := (samples * interval).Seconds()
		received := float64(sum) / float64(len(f.daemons)) / seconds
		sent := float64(most) / seconds
		t.Logf("at most %.0f bytes of gossip sent a second, %.0f received, %.2f watchers", sent, received, float64(watcherSamples)/samples)
		if sent+received > mostBytes {
			t.Errorf("%.0f bytes of gossip a second, want at most %d", sent+received, mostBytes)
		}
	})
}

// Guards against a failure domain that is cut off from the watchers and waits for what they
// tell although it reaches the store.
func TestChangesWhileDomainIsCutOff(t *testing.T) {
	t.Parallel()
	eachSize(t, func(t *testing.T, f *modelFleet) {
		watched := f.watchingDomains()
		domain := modelDomains[len(modelDomains)-1]
		for _, d := range modelDomains {
			if !watched[d] {
				domain = d
			}
		}
		f.cutOff(domain)
		f.checkChanges("while " + domain + " is cut off")
	})
}
