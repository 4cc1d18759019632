package edge

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/rollout"
)

// modelStore is a store with a history, whose lists may be old, whose watches may break
// off silently, and which may turn daemons away.
type modelStore struct {
	mu       sync.Mutex
	revision uint64
	// era rises with each restore.
	era     uint64
	history []modelChange
	// kept is the revision from which on changes can be watched.
	kept uint64
	// staleAge returns the age of the copy that answers a daemon's list which may be stale.
	staleAge func(daemon string) time.Duration
	// muted is the number of times that the running watches broke off silently.
	muted int
	// isDown reports whether the store turns a daemon away.
	isDown func(daemon string) bool
	// silent are the daemons whose calls get no answer, those included that were running when
	// the silence began.
	silent map[string]bool
	// calls counts the calls of each daemon.
	calls map[string]int
	// changed is closed and replaced at each change.
	changed chan struct{}
}

type modelChange struct {
	kind Kind
	at   time.Time
	Change
}

const modelCallTime = 4 * time.Millisecond

func newModelStore() *modelStore {
	return &modelStore{revision: 100, isDown: func(string) bool { return false }, staleAge: func(string) time.Duration { return 0 }, calls: map[string]int{}, changed: make(chan struct{})}
}

func (s *modelStore) put(kind Kind, name string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.write(kind, Change{Object: Object{Name: name, Value: data}})
}

func (s *modelStore) remove(kind Kind, name string) time.Time {
	return s.write(kind, Change{Object: Object{Name: name}, Deleted: true})
}

func (s *modelStore) write(kind Kind, c Change) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	c.Object.Revision = s.revision
	now := time.Now()
	s.history = append(s.history, modelChange{kind, now, c})
	close(s.changed)
	s.changed = make(chan struct{})
	return now
}

// mute makes the running watches silent for good.
func (s *modelStore) mute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted++
}

// forget drops the history up to now.
func (s *modelStore) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = s.revision
}

// restore makes the store come back from a copy that is age old: later writes are gone, and
// their revisions are assigned again. The running watches break off silently if they are
// muted, too.
func (s *modelStore) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now().Add(-age)
	for len(s.history) > 0 && s.history[len(s.history)-1].at.After(at) {
		s.history = s.history[:len(s.history)-1]
	}
	s.revision = 100
	if n := len(s.history); n > 0 {
		s.revision = s.history[n-1].Object.Revision
	}
	s.kept = min(s.kept, s.revision)
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// setStaleAge sets the age of the copies that answer lists which may be stale.
func (s *modelStore) setStaleAge(age func(daemon string) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleAge = age
}

// setDown makes the store turn daemons away from now on.
func (s *modelStore) setDown(isDown func(daemon string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
}

// setSilent makes the store give no answer to daemons from now on.
func (s *modelStore) setSilent(daemons []*modelDaemon) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = map[string]bool{}
	for _, d := range daemons {
		s.silent[d.entry.Name] = true
	}
}

// isSilent reports whether the store gives no answer to a daemon.
func (s *modelStore) isSilent(daemon string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent[daemon]
}

// totalCalls returns the number of calls of all daemons.
func (s *modelStore) totalCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0
	for _, n := range s.calls {
		sum += n
	}
	return sum
}

// stateAt returns the objects of a kind at a time, and the store's revision then. The
// caller holds the lock.
func (s *modelStore) stateAt(kind Kind, at time.Time) ([]Object, uint64) {
	revision := uint64(100)
	objects := map[string]Object{}
	for _, c := range s.history {
		if c.at.After(at) {
			break
		}
		revision = c.Object.Revision
		switch {
		case c.kind != kind:
		case c.Deleted:
			delete(objects, c.Object.Name)
		default:
			objects[c.Object.Name] = c.Object
		}
	}
	var out []Object
	for _, o := range objects {
		out = append(out, o)
	}
	return out, revision
}

// modelStoreClient is a daemon's client of the store. It implements Store.
type modelStoreClient struct {
	*modelStore
	daemon string
	// seen is the latest era that an answer has named.
	seen *atomic.Uint64
}

func (s *modelStore) client(daemon string) modelStoreClient {
	return modelStoreClient{s, daemon, new(atomic.Uint64)}
}

// begin counts a call and lets its time pass. The answer, whatever it is, names the era.
func (c modelStoreClient) begin(ctx context.Context) error {
	time.Sleep(modelCallTime)
	c.mu.Lock()
	c.calls[c.daemon]++
	c.mu.Unlock()
	if c.isSilent(c.daemon) {
		<-ctx.Done()
		return ErrStore
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isDown(c.daemon) {
		return ErrStore
	}
	c.seen.Store(c.era)
	return nil
}

// Era implements Store.
func (c modelStoreClient) Era() uint64 { return c.seen.Load() }

func (c modelStoreClient) List(ctx context.Context, kind Kind, mayBeStale bool) ([]Object, Position, error) {
	if err := c.begin(ctx); err != nil {
		return nil, Position{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Now()
	if mayBeStale {
		at = at.Add(-c.staleAge(c.daemon))
	}
	objects, revision := c.stateAt(kind, at)
	for i := range objects {
		objects[i].Era = c.era
	}
	return objects, Position{c.era, revision}, nil
}

func (c modelStoreClient) Watch(ctx context.Context, kind Kind, since Position, wait time.Duration) ([]Change, Position, error) {
	if err := c.begin(ctx); err != nil {
		return nil, Position{}, err
	}
	end := time.After(wait)
	c.mu.Lock()
	begun := c.muted
	c.mu.Unlock()
	for ended := false; ; {
		c.mu.Lock()
		if c.muted != begun || c.silent[c.daemon] {
			c.mu.Unlock()
			<-ctx.Done()
			return nil, Position{}, ErrStore
		}
		if since.Revision < c.kept || since.Revision > c.revision {
			c.mu.Unlock()
			return nil, Position{}, ErrHistoryGone
		}
		var out []Change
		first, _ := slices.BinarySearchFunc(c.history, since.Revision+1, func(m modelChange, r uint64) int { return int(m.Object.Revision) - int(r) })
		for _, m := range c.history[first:] {
			if m.kind == kind {
				m.Object.Era = c.era
				out = append(out, m.Change)
			}
		}
		at, changed := Position{c.era, c.revision}, c.changed
		c.seen.Store(c.era)
		c.mu.Unlock()
		if len(out) > 0 || ended {
			return out, at, nil
		}
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-ctx.Done():
			return nil, Position{}, ErrStore
		}
	}
}

func (c modelStoreClient) Create(ctx context.Context, kind Kind, name string, value any) (Object, error) {
	if err := c.begin(ctx); err != nil {
		return Object{}, err
	}
	c.mu.Lock()
	objects, _ := c.stateAt(kind, time.Now())
	c.mu.Unlock()
	for _, o := range objects {
		if o.Name == name {
			o.Era = c.Era()
			return o, ErrConflict
		}
	}
	c.put(kind, name, value)
	return Object{Name: name, Era: c.Era()}, nil
}

func (c modelStoreClient) Replace(ctx context.Context, kind Kind, o Object, value any) error {
	if err := c.begin(ctx); err != nil {
		return err
	}
	if o.Era != c.Era() {
		return ErrEraChanged
	}
	c.put(kind, o.Name, value)
	return nil
}

func (c modelStoreClient) WriteVerdict(ctx context.Context, service string, at Position, target string, verdict rollout.Verdict) error {
	if err := c.begin(ctx); err != nil {
		return err
	}
	if at.Era != c.Era() {
		return ErrEraChanged
	}
	c.mu.Lock()
	objects, _ := c.stateAt(KindRollouts, time.Now())
	c.mu.Unlock()
	for _, o := range objects {
		if o.Name == service && o.Revision == at.Revision {
			order, err := modelDecoder{}.Rollout(o)
			if err != nil {
				return err
			}
			order.Verdict = verdict
			c.put(KindRollouts, service, order)
			return nil
		}
	}
	return ErrConflict
}

func (c modelStoreClient) Remove(ctx context.Context, kind Kind, name string) error {
	if err := c.begin(ctx); err != nil {
		return err
	}
	c.remove(kind, name)
	return nil
}
