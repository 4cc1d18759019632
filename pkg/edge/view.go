package edge

import (
	"errors"
	"fmt"
	"maps"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
)

// KindState is the latest known state of a kind.
type KindState struct {
	// Revision is the store's revision up to which the state is known.
	Revision uint64 `json:"revision"`
	// Changed is the revision of the latest known change.
	Changed uint64            `json:"changed"`
	Objects map[string]Object `json:"objects"`
	// Deleted has the revisions of deletions since the revision Since. Earlier
	// deletions are not known.
	Deleted map[string]uint64 `json:"deleted"`
	Since   uint64            `json:"since"`
	// Era is that of all these revisions; 0 if the store names none.
	Era uint64 `json:"era,omitempty"`
}

// position returns the position up to which the state is known.
func (f KindState) position() Position { return Position{f.Era, f.Revision} }

// View is the latest known state of all kinds, as daemons send it to each other.
type View struct {
	Kinds map[Kind]KindState `json:"kinds"`
	// AfterOutage means that a call to the store failed a moment ago, so that deleted
	// objects may come back.
	AfterOutage bool `json:"afterOutage"`
	// Confirmed are the kinds that a call to the store has confirmed since the daemon
	// started.
	Confirmed []Kind `json:"confirmed,omitempty"`
	// Capacities are what the daemon has learned about leafs, if they were asked for.
	Capacities []gateway.LeafCapacity `json:"capacities,omitempty"`
	// Era is the latest era of the store that the daemon knows; 0 if the store names none.
	Era uint64 `json:"era,omitempty"`
	// Retained are the objects that prevail over what the store shows, if they were asked
	// for.
	Retained map[Kind]map[string]Retained `json:"retained,omitempty"`
}

// ErrView means that another daemon sent a view that no daemon can have.
var ErrView = errors.New("edge: invalid view")

// validate fills in the maps that a view from another daemon, which may be of another
// version, lacks. It rejects values that would hide all later changes.
func (v View) validate() error {
	if v.Era > maxExactNumber {
		return fmt.Errorf("%w: era %d too large", ErrView, v.Era)
	}
	if err := validateRetained(v.Retained); err != nil {
		return err
	}
	for kind, f := range v.Kinds {
		if max(f.Revision, f.Changed, f.Since, f.Era) > maxExactNumber {
			return fmt.Errorf("%w: kind %.40s: revision %d, changed %d, since %d or era %d too large", ErrView, kind, f.Revision, f.Changed, f.Since, f.Era)
		}
		for name, o := range f.Objects {
			if o.Name != name || max(o.Revision, o.Era) > maxExactNumber {
				return fmt.Errorf("%w: kind %.40s: object %.40q has another name, %.40q, or too large a revision, %d, or era, %d", ErrView, kind, name, o.Name, o.Revision, o.Era)
			}
		}
		for name, revision := range f.Deleted {
			if revision > maxExactNumber {
				return fmt.Errorf("%w: kind %.40s: revision of the deletion of %.40q too large: %d", ErrView, kind, name, revision)
			}
		}
		if f.Objects == nil {
			f.Objects = map[string]Object{}
		}
		if f.Deleted == nil {
			f.Deleted = map[string]uint64{}
		}
		v.Kinds[kind] = f
	}
	return nil
}

// maxDeleted bounds the deletions that are kept for other daemons.
const maxDeleted = 2000

// newKindState returns the state according to a list, which may hold some later changes
// but is known to be whole only up to the position.
func newKindState(objects []Object, at Position) KindState {
	f := KindState{Revision: at.Revision, Era: at.Era, Objects: make(map[string]Object, len(objects)), Deleted: map[string]uint64{}, Since: at.Revision}
	for _, o := range objects {
		f.Objects[o.Name] = o
		f.Changed = max(f.Changed, min(o.Revision, at.Revision))
	}
	return f
}

// clone returns a copy that shares no maps.
func (f KindState) clone() KindState {
	f.Objects, f.Deleted = maps.Clone(f.Objects), maps.Clone(f.Deleted)
	return f
}

// applyChanges applies changes up to a revision. If it drops the kept deletions because
// they are too many, other daemons need the whole state.
func (f *KindState) applyChanges(changes []Change, revision uint64) {
	f.Revision = max(f.Revision, revision)
	for _, c := range changes {
		f.Changed = max(f.Changed, c.Object.Revision)
		if c.Deleted {
			delete(f.Objects, c.Object.Name)
			f.Deleted[c.Object.Name] = c.Object.Revision
		} else {
			f.Objects[c.Object.Name] = c.Object
			delete(f.Deleted, c.Object.Name)
		}
	}
	if len(f.Deleted) > maxDeleted {
		f.Deleted, f.Since = map[string]uint64{}, f.Revision
	}
}

// changesSince returns what changed after a position; ok is false if that is no longer
// known, as from an earlier era, and the whole state is needed.
func (f KindState) changesSince(since Position) (changes KindState, ok bool) {
	revision := since.Revision
	if since.Era != f.Era || revision < f.Since {
		return KindState{}, false
	}
	out := KindState{Revision: f.Revision, Era: f.Era, Changed: f.Changed, Objects: map[string]Object{}, Deleted: map[string]uint64{}, Since: revision}
	for name, o := range f.Objects {
		if o.Revision > revision {
			out.Objects[name] = o
		}
	}
	for name, r := range f.Deleted {
		if r > revision {
			out.Deleted[name] = r
		}
	}
	return out, true
}

// continueFrom makes a newly listed state continue the one known before: objects that
// are missing from the list were deleted in between.
func (f *KindState) continueFrom(old KindState) {
	f.Since = old.Since
	f.Deleted = maps.Clone(old.Deleted)
	for name := range f.Objects {
		delete(f.Deleted, name)
	}
	for name := range old.Objects {
		if _, ok := f.Objects[name]; !ok {
			f.Deleted[name] = f.Revision
			f.Changed = max(f.Changed, f.Revision)
		}
	}
}
