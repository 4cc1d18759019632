package edge

import (
	"slices"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
)

// Revisions returns the revision of the store up to which each kind is known.
func (f *Follower) Revisions() map[Kind]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[Kind]uint64, len(f.view))
	for kind, known := range f.view {
		out[kind] = known.Revision
	}
	return out
}

// View returns what is newer than the given revisions. A kind is returned whole if no
// revision is given for it, or if its changes since then are no longer known.
func (f *Follower) View(since map[Kind]uint64) View {
	afterOutage := f.afterOutage()
	f.mu.Lock()
	defer f.mu.Unlock()
	out := View{Kinds: map[Kind]KindState{}, AfterOutage: afterOutage}
	for kind, known := range f.view {
		if !f.unconfirmed[kind] {
			out.Confirmed = append(out.Confirmed, kind)
		}
		revision, asked := since[kind]
		if asked && known.Revision <= revision {
			continue
		}
		if changes, ok := known.changesSince(revision); asked && ok {
			out.Kinds[kind] = changes
		} else {
			out.Kinds[kind] = known.clone()
		}
	}
	return out
}

// Adopt applies another daemon's view where it is newer than what this daemon knows.
// askedSince are the revisions that the request for the view named.
func (f *Follower) Adopt(v View, askedSince map[Kind]uint64) {
	for _, kind := range slices.Concat(Kinds, []Kind{KindRollouts}) {
		remote, ok := v.Kinds[kind]
		if !ok {
			continue
		}
		if since, asked := askedSince[kind]; asked && remote.Since <= since && remote.Since > 0 {
			f.applyRemoteChanges(kind, remote, v.AfterOutage)
			continue
		}
		f.replaceState(kind, remote.clone(), sourceDaemon, v.AfterOutage)
	}
	for _, kind := range v.Confirmed {
		f.confirm(kind)
	}
}

// applyRemoteChanges applies the changes of a kind that another daemon sent.
func (f *Follower) applyRemoteChanges(kind Kind, remote KindState, afterOutage bool) {
	var changes []Change
	for _, o := range remote.Objects {
		changes = append(changes, Change{Object: o})
	}
	for name, revision := range remote.Deleted {
		changes = append(changes, Change{Object: Object{Name: name, Revision: revision}, Deleted: true})
	}
	f.applyChanges(kind, changes, remote.Revision, sourceDaemon, afterOutage)
}

// replaceState takes over and posts the whole state of a kind if it is newer than the
// known one.
func (f *Follower) replaceState(kind Kind, next KindState, source string, afterOutage bool) {
	f.applying.Lock()
	defer f.applying.Unlock()
	if f.storeStateIfNewer(kind, next, source) {
		f.postState(kind, source, afterOutage)
	}
}

// storeStateIfNewer stores the whole state of a kind. It reports false, and stores
// nothing, if the known state is at least as new. The lock is released also after a
// panic.
func (f *Follower) storeStateIfNewer(kind Kind, next KindState, source string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, ok := f.view[kind]
	relisted := ok && f.relistDue[kind] && source == sourceStore
	if relisted {
		delete(f.relistDue, kind)
	}
	if ok && known.Revision >= next.Revision {
		return false
	}
	if relisted {
		next.continueFrom(known)
	}
	f.view[kind] = next
	if kind == KindDaemons {
		f.signalDaemonsListed()
	}
	return true
}

// signalDaemonsListed lets KeepRegistered continue. The caller holds the lock.
func (f *Follower) signalDaemonsListed() {
	select {
	case <-f.daemonsListed:
	default:
		close(f.daemonsListed)
	}
}

// applyChanges records and posts the changes of a kind up to a revision, unless the
// kind was not listed yet or a later revision is known.
func (f *Follower) applyChanges(kind Kind, changes []Change, revision uint64, source string, afterOutage bool) {
	f.applying.Lock()
	defer f.applying.Unlock()
	known, ok := f.recordChanges(kind, changes, revision)
	if !ok || len(changes) == 0 {
		return
	}
	if kind != KindServers {
		f.postState(kind, source, afterOutage)
		return
	}
	for _, c := range changes {
		f.postServerChange(c, afterOutage)
	}
	f.post(gateway.ViewAdvanced{Revisions: gateway.ViewRevisions{Servers: known.Changed}})
}

// recordChanges records the changes of a kind; ok is false if the kind was not listed
// yet or a later revision is known. The lock is released also after a panic.
func (f *Follower) recordChanges(kind Kind, changes []Change, revision uint64) (known KindState, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, ok = f.view[kind]
	if !ok || revision < known.Revision {
		return known, false
	}
	known.applyChanges(changes, revision)
	f.view[kind] = known
	return known, true
}
