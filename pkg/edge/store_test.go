package edge

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
)

// Guards against changes that a watching daemon misses: entries that are added, removed
// or undecodable, or that change while the store drops its history.
func TestFollowerWatches(t *testing.T) {
	s := newFakeStore()
	f := newRecordingFollower(s)
	f.SetWatching(true)
	startFollowing(t, f)
	f.awaitLeafs(t, time.Second, "[a]")
	s.put("b", "1")
	s.remove("a")
	f.awaitLeafs(t, time.Second, "[b]")
	s.put("c", `"bad"`)
	s.put("b", `"bad"`)
	f.awaitLeafs(t, time.Second, "[]")
	s.mu.Lock()
	s.historyGone, s.changes = map[Kind]bool{KindServers: true}, nil
	s.mu.Unlock()
	s.put("d", "1")
	f.awaitLeafs(t, 2*time.Second, "[d]")
}

// Guards against a daemon that waits for a watch that was cut off without notice: it
// must query the store again within the bound, and at once when another daemon knows of
// a change.
func TestFollowerSilentWatch(t *testing.T) {
	for _, refresh := range []bool{false, true} {
		s := newFakeStore()
		f := newRecordingFollower(s)
		f.SetWatching(true)
		s.silent = true
		startFollowing(t, f)
		f.awaitLeafs(t, time.Second, "[a]")
		time.Sleep(50 * time.Millisecond)
		s.mu.Lock()
		s.silent = false
		s.mu.Unlock()
		s.put("b", "1")
		bound := testWatchInterval + watchGrace + maxBackoff
		if refresh {
			f.Refresh()
			bound = refreshWait + watchGrace
		}
		f.awaitLeafs(t, bound, "[a b]")
	}
}

// Guards against watches that end at the same moments in all daemons that watch the store,
// so that a change is missed for longer than the interval while watches are silent.
func TestWatchesOfAFleetEndInTurn(t *testing.T) {
	for count := 1; count <= 3; count++ {
		start := time.Now()
		var ends []time.Duration
		for place := range count {
			// Each daemon's first watch begins at another time.
			at := rand.N(10 * time.Second)
			for at < time.Minute {
				at += untilTurn(start.Add(at), gateway.WatchTurn{Place: place, Count: count, Interval: testWatchInterval})
				ends = append(ends, at)
			}
		}
		slices.Sort(ends)
		for i := 1; i < len(ends) && ends[i] < 50*time.Second; i++ {
			if gap := ends[i] - ends[i-1]; ends[i-1] > 20*time.Second && gap > testWatchInterval {
				t.Errorf("%d daemons: no watch ends for %v", count, gap)
			}
		}
	}
}

// Guards against changes that do not reach daemons that do not watch the store, against
// views with more than the changes, and against old views that undo newer changes.
func TestFollowerAdopts(t *testing.T) {
	s := newFakeStore()
	watching, other := newRecordingFollower(s), newRecordingFollower(s)
	watching.SetWatching(true)
	startFollowing(t, watching)
	startFollowing(t, other)
	other.awaitLeafs(t, time.Second, "[a]")
	other.awaitConfirmed(t, confirmBound)
	s.put("b", "1")
	s.remove("a")
	watching.awaitLeafs(t, time.Second, "[b]")
	have := other.Positions()
	view := watching.View(have)
	if kind := view.Kinds[KindServers]; len(kind.Objects) != 1 || len(kind.Deleted) != 1 {
		t.Errorf("view: %+v, want only the changes", kind)
	}
	// The view travels as JSON.
	data, err := json.Marshal(view)
	if err != nil {
		t.Fatal(err)
	}
	var received View
	if err := json.Unmarshal(data, &received); err != nil {
		t.Fatal(err)
	}
	other.Adopt("b", received, have)
	other.awaitLeafs(t, time.Second, "[b]")
	empty := newRecordingFollower(s)
	empty.Adopt("b", watching.View(nil), nil)
	empty.awaitLeafs(t, time.Second, "[b]")
	// An older view must not undo newer changes.
	empty.Adopt("b", received, map[Kind]Position{KindServers: {}})
	empty.awaitLeafs(t, time.Second, "[b]")
	if empty.View(empty.Positions()).Kinds[KindServers].Revision != 0 {
		t.Error("a view is sent to a daemon that knows it already")
	}
}

// Guards against a daemon that loses its view in an outage of the store, and against
// entries that expired meanwhile being reported as removed without the mark
// AfterOutage.
func TestFollowerOutage(t *testing.T) {
	s := newFakeStore()
	f := newRecordingFollower(s)
	f.SetWatching(true)
	startFollowing(t, f)
	f.awaitLeafs(t, time.Second, "[a]")
	s.mu.Lock()
	s.down = true
	s.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	f.awaitLeafs(t, 0, "[a]")
	s.remove("a")
	s.mu.Lock()
	s.down = false
	s.mu.Unlock()
	f.awaitLeafs(t, 2*time.Second, "[]")
	f.mu.Lock()
	defer f.mu.Unlock()
	reported := false
	for _, e := range f.events {
		removed, ok := e.(gateway.ServerRemoved)
		reported = reported || (ok && removed.AfterOutage)
	}
	if !reported {
		t.Errorf("no removal is marked AfterOutage: %+v", f.events)
	}
}

// Guards against deletions that are kept for other daemons without bound.
func TestDeletionsAreBounded(t *testing.T) {
	f := newKindState(nil, Position{Revision: 1})
	for i := range maxDeleted + 10 {
		f.applyChanges([]Change{{Object: Object{Name: fmt.Sprint(i), Revision: uint64(i + 2)}, Deleted: true}}, uint64(i+2))
	}
	if len(f.Deleted) > maxDeleted {
		t.Errorf("%d deletions are kept", len(f.Deleted))
	}
	if _, ok := f.changesSince(Position{Revision: 1}); ok {
		t.Error("changes are returned though deletions were dropped")
	}
}

// Guards against a daemon that sends whole states again and again after the store
// dropped its history, and against deletions in that gap that other daemons miss.
func TestListAfterHistoryIsGone(t *testing.T) {
	s := newFakeStore()
	f := newRecordingFollower(s)
	f.SetWatching(true)
	startFollowing(t, f)
	f.awaitLeafs(t, time.Second, "[a]")
	have := f.Positions()
	s.put("b", "1")
	s.remove("a")
	s.mu.Lock()
	s.historyGone, s.changes = map[Kind]bool{KindServers: true}, nil
	s.mu.Unlock()
	s.put("c", "1")
	f.awaitLeafs(t, 2*time.Second, "[b c]")
	view := f.View(have).Kinds[KindServers]
	if _, ok := view.Deleted["a"]; !ok || len(view.Objects) != 2 || view.Since > have[KindServers].Revision {
		t.Errorf("view: %+v", view)
	}
}

// Guards against a daemon that takes over an older view of another daemon, with leafs
// that were removed, while it lists anew what the store's lost history does not tell.
func TestOlderViewIsRefusedWhileHistoryIsGone(t *testing.T) {
	s := newFakeStore()
	older := newRecordingFollower(s)
	startFollowing(t, older)
	older.awaitLeafs(t, time.Second, "[a]")
	older.awaitConfirmed(t, confirmBound)
	s.put("b", "1")
	s.remove("a")
	f := newRecordingFollower(s)
	f.SetWatching(true)
	startFollowing(t, f)
	f.awaitLeafs(t, time.Second, "[b]")
	s.mu.Lock()
	s.historyGone, s.changes, s.listsFail = map[Kind]bool{KindServers: true, KindConfig: true}, nil, true
	s.mu.Unlock()
	time.Sleep(2 * testWatchInterval)
	since := f.Positions()
	f.Adopt("b", older.View(since), since)
	f.awaitLeafs(t, 0, "[b]")
	if got := f.View(nil).Kinds[KindServers].Revision; got < 3 {
		t.Errorf("other daemons are told revision %d, want that of the last change", got)
	}
	s.mu.Lock()
	s.listsFail = false
	s.mu.Unlock()
	s.put("c", "1")
	f.awaitLeafs(t, 2*time.Second, "[b c]")
}

// Guards against two sources of changes, as a watch and another daemon's view, whose
// changes reach the reducer in another order than that in which they were recorded: an
// older list of evacuations would stay in force.
func TestChangesArePostedInTheirOrder(t *testing.T) {
	var mu sync.Mutex
	var last gateway.EvacuationsListed
	firstPosted, release := make(chan struct{}), make(chan struct{})
	f := NewFollower(FollowerConfig{
		Store: newFakeStore(), Decoder: fakeDecoder{}, OnInvalid: func(Kind, string, error) {}, Turn: func() gateway.WatchTurn { return gateway.WatchTurn{Count: 1, Interval: testWatchInterval} },
		Post: func(e gateway.Event) {
			listed, ok := e.(gateway.EvacuationsListed)
			if !ok {
				return
			}
			if len(listed.FailureDomains) == 1 {
				close(firstPosted)
				<-release
			}
			mu.Lock()
			defer mu.Unlock()
			last = listed
		},
	})
	view := func(revision uint64, domains ...string) View {
		state := KindState{Revision: revision, Changed: revision, Objects: map[string]Object{}, Deleted: map[string]uint64{}}
		for _, domain := range domains {
			state.Objects[domain] = Object{Name: domain, Revision: revision}
		}
		return View{Kinds: map[Kind]KindState{KindEvacuations: state}}
	}
	var adopting sync.WaitGroup
	adopting.Go(func() { f.Adopt("b", view(5, "a"), nil) })
	<-firstPosted
	adopting.Go(func() { f.Adopt("b", view(6, "a", "b"), nil) })
	time.Sleep(50 * time.Millisecond)
	close(release)
	adopting.Wait()
	if len(last.FailureDomains) != 2 {
		t.Errorf("the reducer was told last of the evacuations %v, want those of the later view", last.FailureDomains)
	}
}

// Guards against a daemon that takes its view for current because a list in several pages
// holds a late change, although an earlier one is missing: it would not ask others for
// the rest, and send requests to leafs that have left.
func TestViewIsKnownUpToTheRevisionOfTheList(t *testing.T) {
	known := newKindState([]Object{{Name: "a", Revision: 4}, {Name: "b", Revision: 9}}, Position{Revision: 5})
	if known.Changed > 5 || known.Revision != 5 {
		t.Errorf("changed at %d, known up to %d; want both up to 5", known.Changed, known.Revision)
	}
	known.applyChanges([]Change{{Object: Object{Name: "c", Revision: 8}}}, 8)
	if known.Changed != 8 || known.Revision != 8 {
		t.Errorf("changed at %d, known up to %d; want 8", known.Changed, known.Revision)
	}
}
