package edge

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
)

const (
	// evacuationRetention is how long an evacuation that the store's copy lacks stays in
	// force without another word of the operator. Operators write again what a copy lacks,
	// a person within about a minute. The withdrawal of an evacuation that the store no
	// longer has cannot be seen there, so that without an end the failure domain would stay
	// out of use until it is evacuated again.
	evacuationRetention = 2 * time.Minute
	// retention is how long other objects that the store no longer shows are retained. A
	// copy is some seconds old and cannot show what was deleted that long before.
	retention = 10 * time.Minute
	// maxRetained bounds the retained objects of a kind; the oldest are dropped. A leaf's
	// entry has about 300 bytes.
	maxRetained = 1000
)

// Retained is the last state of an object before the store came back from a copy. It
// prevails over an older state that the store shows afterwards.
type Retained struct {
	// Object has the era in which it was last seen, or in which it was deleted.
	Object Object `json:"object"`
	// Gone means that the object was deleted after that.
	Gone bool `json:"gone,omitempty"`
	// SinceMS is the Unix time in milliseconds since when it has been retained.
	SinceMS int64 `json:"sinceMs"`
}

// retainedKinds are the kinds whose objects are retained. Entries of daemons are written
// again by the daemons.
var retainedKinds = []Kind{KindConfig, KindServers, KindEvacuations}

// compareObjects compares the age of two states of an object by what their writers say:
// leafs number their writes from their start, and the configuration has a version. It
// returns -1 for values that cannot be decoded, so that they prevail over nothing.
func (f *Follower) compareObjects(kind Kind, a, b Object) int {
	switch kind {
	case KindConfig:
		x, errX := f.decoder.Config(a.Value)
		y, errY := f.decoder.Config(b.Value)
		if errX == nil && errY == nil {
			return cmp.Compare(x.Version, y.Version)
		}
	case KindServers:
		x, errX := f.decoder.Server(a.Name, a.Value)
		y, errY := f.decoder.Server(b.Name, b.Value)
		if errX == nil && errY == nil {
			return cmp.Or(cmp.Compare(x.StartedMS, y.StartedMS), cmp.Compare(x.Sequence, y.Sequence))
		}
	}
	return -1
}

// prevails reports whether a retained object prevails over the stored one of the same
// name. An object that was deleted and written again in the same era is a new one.
func (f *Follower) prevails(kind Kind, r Retained, stored Object) bool {
	if stored.Era <= r.Object.Era {
		return false
	}
	c := f.compareObjects(kind, r.Object, stored)
	return c > 0 || (c == 0 && r.Gone)
}

// isInForce reports whether a retained object that the store does not show is in force:
// evacuations and the configuration are until the operator's next word, leafs are treated
// like those whose entries lapsed in an outage.
func (r Retained) isInForce(kind Kind) bool {
	return !r.Gone && (kind == KindConfig || kind == KindEvacuations)
}

// effectiveObject returns the state of an object that is in force; ok is false if there is
// none. The caller holds the lock.
func (f *Follower) effectiveObject(kind Kind, known KindState, name string) (o Object, ok bool) {
	stored, shown := known.Objects[name]
	r, kept := f.retained[kind][name]
	switch {
	case !kept:
	case shown && f.prevails(kind, r, stored):
		return r.Object, !r.Gone
	case !shown && r.isInForce(kind):
		return r.Object, true
	}
	return stored, shown
}

// effectiveObjects returns the objects of a kind that are in force, and the names of
// evacuations that are so although the store does not show them. The caller holds the lock.
func (f *Follower) effectiveObjects(kind Kind) (objects map[string]Object, held []string) {
	known := f.view[kind]
	objects = make(map[string]Object, len(known.Objects))
	maps.Copy(objects, known.Objects)
	for name := range f.retained[kind] {
		o, ok := f.effectiveObject(kind, known, name)
		if !ok {
			delete(objects, name)
			continue
		}
		if _, shown := objects[name]; !shown {
			held = append(held, name)
		}
		objects[name] = o
	}
	slices.Sort(held)
	return objects, held
}

// retainPrevious retains what a state of an earlier era shows and the state that replaces
// it lacks or shows in an older state. The caller holds the lock.
func (f *Follower) retainPrevious(kind Kind, known, next KindState) {
	if !slices.Contains(retainedKinds, kind) {
		return
	}
	for name := range known.Objects {
		o, ok := f.effectiveObject(kind, known, name)
		stored, shown := next.Objects[name]
		if ok && (!shown || f.compareObjects(kind, o, stored) > 0) {
			f.retain(kind, Retained{Object: o})
		}
	}
}

// retainDeleted retains the last state of a leaf whose entry was deleted, so that a copy
// from before does not bring it back. The caller holds the lock.
func (f *Follower) retainDeleted(kind Kind, known KindState, name string) {
	switch o, ok := f.effectiveObject(kind, known, name); {
	case known.Era == 0:
	case kind == KindEvacuations:
		// It is the operator's word that the evacuation ends.
		delete(f.retained[kind], name)
	case kind == KindServers && ok:
		o.Era = known.Era
		f.retain(kind, Retained{Object: o, Gone: true})
	}
}

// retain adds or replaces a retained object. The caller holds the lock.
func (f *Follower) retain(kind Kind, r Retained) {
	now := time.Now().UnixMilli()
	if r.SinceMS == 0 || r.SinceMS > now {
		r.SinceMS = now
	}
	if f.retained[kind] == nil {
		f.retained[kind] = map[string]Retained{}
	}
	f.retained[kind][r.Object.Name] = r
	if kind == KindEvacuations {
		// Ends the evacuation in the reducer, which is told of changes only.
		time.AfterFunc(evacuationRetention-time.Duration(now-r.SinceMS)*time.Millisecond, f.endRetainedEvacuations)
	}
}

// endRetainedEvacuations drops evacuations that were retained for long enough.
func (f *Follower) endRetainedEvacuations() {
	f.applying.Lock()
	defer f.applying.Unlock()
	f.mu.Lock()
	now, ended := time.Now().UnixMilli(), false
	for name, r := range f.retained[KindEvacuations] {
		if time.Duration(now-r.SinceMS)*time.Millisecond >= evacuationRetention {
			delete(f.retained[KindEvacuations], name)
			ended = true
		}
	}
	f.mu.Unlock()
	if ended {
		f.postState(KindEvacuations, sourceRetained, false)
	}
}

// dropRetained drops retained objects that the store has overtaken, those that are too old
// unless they are in force, and the oldest if there are too many. The caller holds the lock.
func (f *Follower) dropRetained(kind Kind) {
	known, kept := f.view[kind], f.retained[kind]
	now := time.Now().UnixMilli()
	for name, r := range kept {
		stored, shown := known.Objects[name]
		overtaken := shown && stored.Era >= r.Object.Era && !f.prevails(kind, r, stored)
		lapsed := !shown && !r.isInForce(kind) && time.Duration(now-r.SinceMS)*time.Millisecond >= retention
		if overtaken || lapsed {
			delete(kept, name)
		}
	}
	if len(kept) <= maxRetained {
		return
	}
	oldest := slices.SortedFunc(maps.Keys(kept), func(a, b string) int { return cmp.Compare(kept[a].SinceMS, kept[b].SinceMS) })
	for _, name := range oldest[:len(kept)-maxRetained] {
		delete(kept, name)
	}
}

// RetainedObjects returns the retained objects, which a daemon that has started since the
// store came back from a copy does not know.
func (f *Follower) RetainedObjects() map[Kind]map[string]Retained {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[Kind]map[string]Retained{}
	for kind, kept := range f.retained {
		if len(kept) > 0 {
			out[kind] = maps.Clone(kept)
		}
	}
	return out
}

// adoptRetained merges what another daemon has retained and returns the kinds that it
// changed. The caller holds applying.
func (f *Follower) adoptRetained(remote map[Kind]map[string]Retained) []Kind {
	f.mu.Lock()
	defer f.mu.Unlock()
	var changed []Kind
	for _, kind := range retainedKinds {
		before := maps.Clone(f.retained[kind])
		known, listed := f.view[kind]
		for _, r := range remote[kind] {
			if _, deleted := known.Deleted[r.Object.Name]; deleted && known.Era > r.Object.Era {
				// The writer has spoken since.
				continue
			}
			own, kept := f.retained[kind][r.Object.Name]
			c := 1
			if kept {
				c = cmp.Or(f.compareObjects(kind, r.Object, own.Object), cmp.Compare(goneRank(r), goneRank(own)))
			}
			if c > 0 {
				f.retain(kind, r)
			}
		}
		f.dropRetained(kind)
		if listed && !maps.EqualFunc(before, f.retained[kind], func(a, b Retained) bool {
			return a.Gone == b.Gone && a.Object.Revision == b.Object.Revision && a.Object.Era == b.Object.Era
		}) {
			changed = append(changed, kind)
		}
	}
	return changed
}

func goneRank(r Retained) int {
	if r.Gone {
		return 1
	}
	return 0
}

// validateRetained rejects what would stay in force for ever.
func validateRetained(remote map[Kind]map[string]Retained) error {
	for kind, kept := range remote {
		if len(kept) > maxRetained {
			return fmt.Errorf("%w: kind %.40s: %d objects retained", ErrView, kind, len(kept))
		}
		for name, r := range kept {
			if r.Object.Name != name || max(r.Object.Revision, r.Object.Era) > maxExactNumber {
				return fmt.Errorf("%w: kind %.40s: retained object %.40q has another name, %.40q, or too large a revision, %d, or era, %d", ErrView, kind, name, r.Object.Name, r.Object.Revision, r.Object.Era)
			}
		}
	}
	return nil
}

// observeEra tells the reducer of a new era of the store. A daemon that watches the store,
// or has the era from an answer of its own, lists again the kinds that it knows from
// earlier eras; others get them with the view of such a daemon. Their states stay in use
// until then.
func (f *Follower) observeEra(era uint64, ownAnswer bool) {
	f.mu.Lock()
	previous := f.era
	f.era = max(f.era, era)
	if era > previous {
		clear(f.reads.at)
	}
	var outdated []Kind
	for _, kind := range slices.Concat(Kinds, []Kind{KindRollouts}) {
		if known, ok := f.view[kind]; ok && known.Era < f.era {
			outdated = append(outdated, kind)
		}
	}
	relist := ownAnswer || f.watching
	f.mu.Unlock()
	if era <= previous {
		return
	}
	f.post(gateway.StoreEraSeen{Era: era, Copied: len(outdated) > 0 || previous > 0})
	if relist {
		f.interruptWatches(refreshWait, outdated...)
	}
}

// latestEra returns the latest era that this daemon knows from the store or other daemons.
func (f *Follower) latestEra() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era
}

// postAdvanced tells the reducer of the revisions of a kind's state. With eras it tells of
// all kinds at once, when all are known in the same era: another daemon that fetches them
// for that reason gets all.
func (f *Follower) postAdvanced(kind Kind) {
	f.mu.Lock()
	known := f.view[kind]
	revisions := gateway.ViewRevisions{Era: known.Era}
	complete := true
	for _, other := range Kinds {
		complete = complete && f.view[other].Era == known.Era
	}
	orders, followed := f.view[KindRollouts]
	complete = complete && (!followed || orders.Era == known.Era)
	if known.Era > 0 || kind == KindServers {
		revisions.Servers = f.view[KindServers].Changed
	}
	if known.Era > 0 || kind == KindEvacuations {
		revisions.Evacuations = f.view[KindEvacuations].Changed
	}
	if known.Era > 0 || kind == KindRollouts {
		revisions.Rollouts = orders.Changed
	}
	f.mu.Unlock()
	if known.Era == 0 && (kind == KindServers || kind == KindEvacuations || kind == KindRollouts) || known.Era > 0 && complete {
		f.post(gateway.ViewAdvanced{Revisions: revisions})
	}
}
