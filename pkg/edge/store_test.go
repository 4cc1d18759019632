package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/rollout"
)

// fakeStore holds one list of objects for all kinds and fails on request.
type fakeStore struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]Object
	changes  []Change
	// historyGone are the kinds whose next watch fails with ErrHistoryGone.
	historyGone map[Kind]bool
	down        bool
	// listsFail makes lists fail while watches work.
	listsFail bool
	calls     int
	// silent makes watches return nothing until their context ends.
	silent bool
	// created counts the calls of Create.
	created int
	// old, if set, answers lists that may be stale, as of oldRevision.
	old         []Object
	oldRevision uint64
	era         uint64
	// verdicts counts the calls of WriteVerdict.
	verdicts int
}

// Era implements Store.
func (s *fakeStore) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *fakeStore) put(name, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := Object{Name: name, Revision: s.revision, Value: json.RawMessage(value)}
	s.objects[name] = o
	s.changes = append(s.changes, Change{Object: o})
}

func (s *fakeStore) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.objects, name)
	s.changes = append(s.changes, Change{Object: Object{Name: name, Revision: s.revision}, Deleted: true})
}

// List implements Store.
func (s *fakeStore) List(_ context.Context, _ Kind, mayBeStale bool) ([]Object, Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down || s.listsFail {
		return nil, Position{}, ErrStore
	}
	if mayBeStale && s.old != nil {
		return s.old, Position{s.era, s.oldRevision}, nil
	}
	var out []Object
	for _, o := range s.objects {
		out = append(out, o)
	}
	return out, Position{s.era, s.revision}, nil
}

// Watch implements Store.
func (s *fakeStore) Watch(ctx context.Context, kind Kind, since Position, wait time.Duration) ([]Change, Position, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	end := time.Now().Add(wait)
	for {
		s.mu.Lock()
		down, gone, silent := s.down, s.historyGone[kind], s.silent
		var out []Change
		for _, c := range s.changes {
			if c.Object.Revision > since.Revision {
				out = append(out, c)
			}
		}
		at := Position{s.era, s.revision}
		delete(s.historyGone, kind)
		s.mu.Unlock()
		switch {
		case down, ctx.Err() != nil:
			return nil, Position{}, ErrStore
		case gone:
			return nil, Position{}, ErrHistoryGone
		case silent:
			<-ctx.Done()
			return nil, Position{}, ErrStore
		case len(out) > 0 || time.Now().After(end):
			return out, at, nil
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// Create implements Store.
func (s *fakeStore) Create(_ context.Context, _ Kind, name string, value any) (Object, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return Object{}, err
	}
	s.put(name, string(data))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.created++
	return s.objects[name], nil
}

// Replace implements Store.
func (s *fakeStore) Replace(context.Context, Kind, Object, any) error { return nil }

// Remove implements Store.
func (s *fakeStore) Remove(context.Context, Kind, string) error { return nil }

// WriteVerdict implements Store.
func (s *fakeStore) WriteVerdict(context.Context, string, Position, string, rollout.Verdict) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.verdicts++
	return nil
}

type fakeDecoder struct{}

// HideKeys implements Decoder.
func (fakeDecoder) HideKeys(v json.RawMessage, _ bool) (json.RawMessage, error) { return v, nil }

// Rollout implements Decoder.
func (fakeDecoder) Rollout(o Object) (gateway.RolloutOrder, error) {
	return gateway.RolloutOrder{Service: o.Name}, nil
}

// Config implements Decoder.
func (fakeDecoder) Config(v json.RawMessage) (*gateway.Config, error) {
	var c gateway.Config
	return &c, json.Unmarshal(v, &c)
}

// Server implements Decoder.
func (fakeDecoder) Server(name string, v json.RawMessage) (gateway.Server, error) {
	if string(v) == `"bad"` {
		return gateway.Server{}, errors.New("bad")
	}
	return gateway.Server{ID: name}, nil
}

// recordingFollower is a Follower that records its events and the leafs that result
// from them.
type recordingFollower struct {
	*Follower
	mu      sync.Mutex
	leafs   map[string]bool
	events  []gateway.Event
	reached []bool
}

func newRecordingFollower(s Store) *recordingFollower {
	f := &recordingFollower{leafs: map[string]bool{}}
	f.Follower = NewFollower(FollowerConfig{
		Store: s, Decoder: fakeDecoder{}, Post: f.record,
		OnInvalid: func(Kind, string, error) {}, Rank: func() (int, int) { return 0, 1 },
	})
	return f
}

func (f *recordingFollower) record(e gateway.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, e)
	switch e := e.(type) {
	case gateway.ServersListed:
		f.leafs = map[string]bool{}
		for _, s := range e.Servers {
			f.leafs[s.ID] = true
		}
	case gateway.ServerChanged:
		f.leafs[e.Server.ID] = true
	case gateway.ServerRemoved:
		delete(f.leafs, e.ID)
	case gateway.StoreReached:
		f.reached = append(f.reached, e.OK)
	}
}

func (f *recordingFollower) leafNames() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for name := range f.leafs {
		out = append(out, name)
	}
	slices.Sort(out)
	return fmt.Sprint(out)
}

func (f *recordingFollower) awaitLeafs(t *testing.T, bound time.Duration, want string) {
	t.Helper()
	for end := time.Now().Add(bound); f.leafNames() != want; time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("leafs %s after %v, want %s", f.leafNames(), bound, want)
		}
	}
}

func startFollowing(t *testing.T, f *recordingFollower) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	for _, kind := range []Kind{KindConfig, KindServers} {
		loops.Go(func() { _ = f.Follow(ctx, kind) })
	}
	t.Cleanup(func() { cancel(); loops.Wait() })
}

func newFakeStore() *fakeStore {
	s := &fakeStore{objects: map[string]Object{}}
	s.put("a", "1")
	return s
}

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
		bound := fleetWatchInterval + watchGrace + maxBackoff
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
				at += untilTurn(start.Add(at), place, count)
				ends = append(ends, at)
			}
		}
		slices.Sort(ends)
		for i := 1; i < len(ends) && ends[i] < 50*time.Second; i++ {
			if gap := ends[i] - ends[i-1]; ends[i-1] > 20*time.Second && gap > fleetWatchInterval {
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
	other.Adopt(received, have)
	other.awaitLeafs(t, time.Second, "[b]")
	empty := newRecordingFollower(s)
	empty.Adopt(watching.View(nil), nil)
	empty.awaitLeafs(t, time.Second, "[b]")
	// An older view must not undo newer changes.
	empty.Adopt(received, map[Kind]Position{KindServers: {}})
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
	time.Sleep(2 * fleetWatchInterval)
	since := f.Positions()
	f.Adopt(older.View(since), since)
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
		Store: newFakeStore(), Decoder: fakeDecoder{}, OnInvalid: func(Kind, string, error) {}, Rank: func() (int, int) { return 0, 1 },
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
	adopting.Go(func() { f.Adopt(view(5, "a"), nil) })
	<-firstPosted
	adopting.Go(func() { f.Adopt(view(6, "a", "b"), nil) })
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
