package edge

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
)

var (
	// ErrHistoryGone means that the store no longer has the changes since a
	// revision.
	ErrHistoryGone = errors.New("edge: the store's history is gone")
	// ErrStore means that a call to the store failed.
	ErrStore = errors.New("edge: call to the store failed")
	// ErrConflict means that an object was changed or created by another writer.
	ErrConflict = errors.New("edge: the object was changed by another writer")
)

// Object is one object of the store.
type Object struct {
	Name     string          `json:"name"`
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// Change is one change of an object.
type Change struct {
	Object  Object
	Deleted bool
}

// Kind names a kind of object that daemons follow.
type Kind string

// Kinds that daemons follow.
const (
	KindConfig      Kind = "config"
	KindServers     Kind = "servers"
	KindEvacuations Kind = "evacuations"
	KindDaemons     Kind = "daemons"
)

// Kinds are all kinds that daemons follow.
var Kinds = []Kind{KindConfig, KindServers, KindEvacuations, KindDaemons}

// Store is the platform's store.
type Store interface {
	// List returns all objects of a kind and the revision of the list; it may be
	// seconds old and is cheap with mayBeStale. Errors: ErrStore.
	List(ctx context.Context, kind Kind, mayBeStale bool) ([]Object, uint64, error)
	// Watch waits up to wait for changes after a revision and returns the
	// revision to go on from. Errors: ErrStore, ErrHistoryGone.
	Watch(ctx context.Context, kind Kind, since uint64, wait time.Duration) ([]Change, uint64, error)
	// Create makes an object; ErrConflict if it exists, with the object.
	Create(ctx context.Context, kind Kind, name string, value any) (Object, error)
	// Replace changes an object that still has the revision.
	Replace(ctx context.Context, kind Kind, o Object, value any) error
	// Remove deletes an object.
	Remove(ctx context.Context, kind Kind, name string) error
}

// Decoder reads the values of the store's objects.
type Decoder interface {
	Config(value json.RawMessage) (*gateway.Config, error)
	Server(name string, value json.RawMessage) (gateway.Server, error)
}

// Sources of what a follower knows, as they stand in log lines.
const (
	sourceStore  = "store"
	sourceDaemon = "daemon"
)

const (
	// watchFresh is the time within which one of the daemons that hear each other
	// asks the store anew: a watch may be cut off without notice.
	watchFresh = 2 * time.Second
	// maxWatchWait bounds the wait of a watch; the store counts each one as a call.
	maxWatchWait = 12 * time.Second
	// refreshWait is the wait of a watch that is made because another daemon knows
	// of a change.
	refreshWait = 300 * time.Millisecond
	// watchSlack is the time that an answer may take after the wait.
	watchSlack = 700 * time.Millisecond
	// listTimeout bounds a list.
	listTimeout = 2 * time.Second
	// watchPause gathers changes of leafs, which come in series, in one answer.
	watchPause = 300 * time.Millisecond
	// firstBackoff and maxBackoff bound the pause after a failed call.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
	// outageMemory is how long after an outage missing entries may come back.
	outageMemory = 2500 * time.Millisecond
)

// Follower keeps a view of the store and posts its changes.
type Follower struct {
	store   Store
	decoder Decoder
	post    func(gateway.Event)
	setView func(uint64)
	// onBad is told of objects that cannot be read.
	onBad func(kind Kind, name string, err error)

	// rank returns this daemon's place among those that tell each other of
	// changes, from 0, and their number.
	rank func() (place, count int)

	mu          sync.Mutex
	view        map[Kind]Followed
	lastFailure time.Time
	// before are states whose history is gone until they are listed anew.
	before map[Kind]Followed
	// failing means that the last call failed, turn is closed and replaced when a
	// loop that waits may go on.
	failing  bool
	watching bool
	turn     chan struct{}
	// waiting are the watches that Refresh cuts short.
	waiting map[Kind]context.CancelFunc
	refresh map[Kind]bool
	// changed are the kinds whose last watch brought a change.
	changed map[Kind]bool
}

// FollowerConfig is what a Follower is made of.
type FollowerConfig struct {
	Store   Store
	Decoder Decoder
	Post    func(gateway.Event)
	// SetView is told of the revision of the latest change of leafs and
	// evacuations.
	SetView func(uint64)
	// OnInvalid is told of objects that cannot be read.
	OnInvalid func(kind Kind, name string, err error)
	// Rank returns this daemon's place among those that tell each other of
	// changes, from 0, and their number.
	Rank func() (place, count int)
}

// NewFollower returns a follower without a view.
func NewFollower(c FollowerConfig) *Follower {
	return &Follower{
		store: c.Store, decoder: c.Decoder, post: c.Post, setView: c.SetView, onBad: c.OnInvalid, rank: c.Rank,
		view: map[Kind]Followed{}, before: map[Kind]Followed{}, turn: make(chan struct{}), waiting: map[Kind]context.CancelFunc{}, refresh: map[Kind]bool{}, changed: map[Kind]bool{},
	}
}

// Follow keeps one kind up to date until ctx ends: by watches of the store if
// this daemon is to watch it, otherwise by what other daemons tell.
func (f *Follower) Follow(ctx context.Context, kind Kind) error {
	f.firstList(ctx, kind)
	backoff := firstBackoff
	for f.awaitTurn(ctx, kind) {
		err := f.round(ctx, kind)
		switch {
		case ctx.Err() != nil:
		case err == nil:
			backoff = firstBackoff
			if kind == KindServers {
				sleep(ctx, watchPause)
			}
		case errors.Is(err, ErrHistoryGone):
			f.forget(kind)
		default:
			f.note(false)
			if kind != KindConfig {
				f.tryConfig()
			}
			sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
		}
	}
	return ctx.Err()
}

// firstList lists a kind when the daemon starts. It may be seconds old: watches
// or other daemons bring the rest, and daemons that have just started are many
// when a fleet starts.
func (f *Follower) firstList(ctx context.Context, kind Kind) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	objects, revision, err := f.store.List(ctx, kind, true)
	if err != nil {
		f.note(false)
		return
	}
	f.note(true)
	f.replace(kind, newFollowed(objects, revision), sourceStore, f.afterOutage())
}

// awaitTurn waits until the kind is to be asked for at the store. While calls
// fail only one kind is tried. It reports false when ctx has ended.
func (f *Follower) awaitTurn(ctx context.Context, kind Kind) bool {
	for ctx.Err() == nil {
		f.mu.Lock()
		wanted := f.watching || f.refresh[kind]
		if f.failing && kind != KindConfig {
			wanted = false
		}
		turn := f.turn
		f.mu.Unlock()
		if wanted {
			return true
		}
		select {
		case <-turn:
		case <-ctx.Done():
		}
	}
	return false
}

// tryConfig cuts the watch of the configuration short, since the loops of the
// other kinds wait for it to work after a failure.
func (f *Follower) tryConfig() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh[KindConfig] = true
	if cancel, ok := f.waiting[KindConfig]; ok {
		cancel()
	}
	f.wake()
}

// wake lets loops that wait look again. The caller holds the lock.
func (f *Follower) wake() {
	close(f.turn)
	f.turn = make(chan struct{})
}

// SetWatching makes this daemon watch the store, or leave that to others.
func (f *Follower) SetWatching(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watching = on
	f.wake()
}

// round lists the kind, or waits for its next changes.
func (f *Follower) round(ctx context.Context, kind Kind) error {
	// The reducer's lock is never taken inside f.mu: effects take f.mu inside it.
	place, count := f.rank()
	f.mu.Lock()
	known, ok := f.view[kind]
	wait := f.watchWait(kind, place, count)
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	f.waiting[kind] = cancel
	f.mu.Unlock()
	defer cancel()
	if !ok {
		return f.list(ctx, kind)
	}
	changes, revision, err := f.store.Watch(ctx, kind, known.Revision, wait)
	if err != nil {
		if f.refreshWanted(kind) {
			return nil
		}
		return err
	}
	f.note(true)
	f.apply(kind, changes, revision, sourceStore, f.afterOutage())
	return nil
}

// watchWait is how long to wait for changes of a kind. A change ends the
// watches of all daemons at once, so the next waits are spread by rank; later
// ones keep the distance. The caller holds the lock.
func (f *Follower) watchWait(kind Kind, place, count int) time.Duration {
	if f.refresh[kind] {
		delete(f.refresh, kind)
		return refreshWait
	}
	if kind == KindDaemons {
		return maxWatchWait
	}
	turns := count
	if f.changed[kind] {
		turns = place + 1
	}
	return min(watchFresh*time.Duration(turns), maxWatchWait)
}

func (f *Follower) refreshWanted(kind Kind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refresh[kind]
}

// Refresh asks the store anew because another daemon knows of a change that the
// own watches did not bring.
func (f *Follower) Refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, kind := range []Kind{KindConfig, KindServers, KindEvacuations} {
		f.refresh[kind] = true
		if cancel, ok := f.waiting[kind]; ok {
			cancel()
		}
	}
	f.wake()
}

func (f *Follower) list(ctx context.Context, kind Kind) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	objects, revision, err := f.store.List(ctx, kind, false)
	if err != nil {
		return err
	}
	f.note(true)
	f.replace(kind, newFollowed(objects, revision), sourceStore, f.afterOutage())
	return nil
}

// forget makes the next round list the kind anew.
func (f *Follower) forget(kind Kind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.before[kind] = f.view[kind]
	delete(f.view, kind)
}

// note records whether a call worked. Invariant: the reducer is told of each
// change from working to failing and back.
func (f *Follower) note(ok bool) {
	f.mu.Lock()
	if !ok {
		f.lastFailure = time.Now()
	}
	if f.failing == ok {
		f.failing = !ok
		f.wake()
	}
	f.mu.Unlock()
	f.post(gateway.StoreReached{OK: ok})
}

func (f *Follower) afterOutage() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.lastFailure.IsZero() && time.Since(f.lastFailure) < outageMemory
}

// Revisions returns the revisions up to which the kinds are known.
func (f *Follower) Revisions() map[Kind]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[Kind]uint64, len(f.view))
	for kind, known := range f.view {
		out[kind] = known.Revision
	}
	return out
}

// View returns what is known beyond the given revisions: changes where they are
// known, otherwise the whole state of a kind.
func (f *Follower) View(since map[Kind]uint64) View {
	outage := f.afterOutage()
	f.mu.Lock()
	defer f.mu.Unlock()
	out := View{Kinds: map[Kind]Followed{}, AfterOutage: outage}
	for kind, known := range f.view {
		revision, has := since[kind]
		if has && known.Revision <= revision {
			continue
		}
		if changes, ok := known.changesSince(revision); has && ok {
			out.Kinds[kind] = changes
		} else {
			out.Kinds[kind] = known.clone()
		}
	}
	return out
}

// Adopt takes over what another daemon knows and this one does not. have are
// the revisions for which the other was asked.
func (f *Follower) Adopt(v View, have map[Kind]uint64) {
	for _, kind := range Kinds {
		theirs, ok := v.Kinds[kind]
		if !ok {
			continue
		}
		if since, asked := have[kind]; asked && theirs.Since <= since && theirs.Since > 0 {
			f.applyFollowed(kind, theirs, v.AfterOutage)
			continue
		}
		f.replace(kind, theirs.clone(), sourceDaemon, v.AfterOutage)
	}
}

// applyFollowed applies the changes that another daemon knows.
func (f *Follower) applyFollowed(kind Kind, theirs Followed, outage bool) {
	var changes []Change
	for _, o := range theirs.Objects {
		changes = append(changes, Change{Object: o})
	}
	for name, revision := range theirs.Deleted {
		changes = append(changes, Change{Object: Object{Name: name, Revision: revision}, Deleted: true})
	}
	f.apply(kind, changes, theirs.Revision, sourceDaemon, outage)
}

// replace takes over the whole state of a kind if it is newer than the known one.
func (f *Follower) replace(kind Kind, next Followed, source string, outage bool) {
	f.mu.Lock()
	known, ok := f.view[kind]
	if ok && known.Revision >= next.Revision {
		f.mu.Unlock()
		return
	}
	if old, had := f.before[kind]; had && source == sourceStore {
		next.follows(old)
		delete(f.before, kind)
	}
	f.view[kind] = next
	f.changed[kind] = true
	f.mu.Unlock()
	f.postAll(kind, source, outage)
}

// apply takes over changes of a kind up to a revision, unless they are known.
func (f *Follower) apply(kind Kind, changes []Change, revision uint64, source string, outage bool) {
	f.mu.Lock()
	known, ok := f.view[kind]
	if !ok || revision < known.Revision {
		f.mu.Unlock()
		return
	}
	known.apply(changes, revision)
	f.view[kind] = known
	f.changed[kind] = len(changes) > 0
	f.mu.Unlock()
	if len(changes) == 0 {
		return
	}
	if kind != KindServers {
		f.postAll(kind, source, outage)
		return
	}
	for _, c := range changes {
		f.postServer(c, outage)
	}
	f.setView(known.Changed)
}

func (f *Follower) postServer(c Change, outage bool) {
	name := c.Object.Name
	if c.Deleted {
		f.post(gateway.ServerRemoved{ID: name, AfterOutage: outage})
		return
	}
	server, err := f.decoder.Server(name, c.Object.Value)
	if err != nil {
		f.onBad(KindServers, name, err)
		f.post(gateway.ServerRemoved{ID: name})
		return
	}
	f.post(gateway.ServerChanged{Server: server})
}

// postAll posts the whole state of a kind.
func (f *Follower) postAll(kind Kind, source string, outage bool) {
	f.mu.Lock()
	known := f.view[kind].clone()
	f.mu.Unlock()
	switch kind {
	case KindConfig:
		f.postConfig(known.Objects, source)
	case KindServers:
		f.post(f.servers(known.Objects, outage))
		f.setView(known.Changed)
	case KindEvacuations:
		e := gateway.EvacuationsListed{}
		for name := range known.Objects {
			e.FailureDomains = append(e.FailureDomains, name)
		}
		f.post(e)
		f.setView(known.Changed)
	case KindDaemons:
		f.post(f.daemons(known.Objects))
	}
}

// configName is the name of the object that holds the configuration.
const configName = "main"

func (f *Follower) postConfig(objects map[string]Object, source string) {
	o, ok := objects[configName]
	if !ok {
		return
	}
	c, err := f.decoder.Config(o.Value)
	if err != nil {
		f.onBad(KindConfig, configName, err)
		return
	}
	f.post(gateway.ConfigSeen{Config: c, Source: source})
}

func (f *Follower) servers(objects map[string]Object, outage bool) gateway.ServersListed {
	e := gateway.ServersListed{AfterOutage: outage}
	for name, o := range objects {
		server, err := f.decoder.Server(name, o.Value)
		if err != nil {
			f.onBad(KindServers, name, err)
			continue
		}
		e.Servers = append(e.Servers, server)
	}
	return e
}

func (f *Follower) daemons(objects map[string]Object) gateway.DaemonsListed {
	e := gateway.DaemonsListed{}
	for name, o := range objects {
		var entry gateway.DaemonEntry
		if err := json.Unmarshal(o.Value, &entry); err != nil {
			f.onBad(KindDaemons, name, err)
			continue
		}
		entry.Name = name
		e.Daemons = append(e.Daemons, entry)
	}
	return e
}

// Register writes the daemon's own entry, until it is there or ctx ends.
func (f *Follower) Register(ctx context.Context, entry gateway.DaemonEntry) error {
	backoff := firstBackoff
	for ctx.Err() == nil {
		err := f.register(ctx, entry)
		if err == nil {
			return nil
		}
		f.note(false)
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
	return ctx.Err()
}

func (f *Follower) register(ctx context.Context, entry gateway.DaemonEntry) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	old, err := f.store.Create(ctx, KindDaemons, entry.Name, entry)
	if !errors.Is(err, ErrConflict) {
		return err
	}
	var known gateway.DaemonEntry
	if json.Unmarshal(old.Value, &known) == nil && known == entry {
		return nil
	}
	return f.store.Replace(ctx, KindDaemons, old, entry)
}

// RemoveDaemon deletes the entry of a daemon in the background.
func (f *Follower) RemoveDaemon(name string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
		defer cancel()
		if err := f.store.Remove(ctx, KindDaemons, name); err != nil {
			f.onBad(KindDaemons, name, err)
		}
	}()
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
