package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/rollout"
)

// testWatchInterval is the time between the turns of daemons that watch the store.
const testWatchInterval = 2 * time.Second

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
		OnInvalid: func(Kind, string, error) {}, Turn: func() gateway.WatchTurn { return gateway.WatchTurn{Count: 1, Interval: testWatchInterval} },
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

// noLag is the lag of a process that reads at once.
func noLag() time.Duration { return 0 }
