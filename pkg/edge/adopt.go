package edge

import (
	"encoding/json"
	"slices"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
)

// Positions returns the position of the store up to which each kind is known.
func (f *Follower) Positions() map[Kind]Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[Kind]Position, len(f.view))
	for kind, known := range f.view {
		out[kind] = known.position()
	}
	return out
}

// View returns what is newer than the given positions. A kind is returned whole if no
// position is given for it, or if its changes since then are no longer known.
func (f *Follower) View(since map[Kind]Position) View {
	afterOutage := f.afterOutage()
	f.mu.Lock()
	defer f.mu.Unlock()
	out := View{Kinds: map[Kind]KindState{}, AfterOutage: afterOutage, Era: f.era}
	for kind, known := range f.view {
		if !f.unconfirmed[kind] && known.Era == f.era {
			out.Confirmed = append(out.Confirmed, kind)
		}
		position, asked := since[kind]
		if asked && known.position().compare(position) <= 0 {
			continue
		}
		if changes, ok := known.changesSince(position); asked && ok {
			out.Kinds[kind] = changes
		} else {
			out.Kinds[kind] = known.clone()
		}
	}
	return out
}

// Adopt applies the view of another daemon, by its name, where it is newer than what this
// daemon knows. askedSince are the positions that the request for the view named.
func (f *Follower) Adopt(daemon string, v View, askedSince map[Kind]Position) {
	source := sourceView(daemon)
	f.mergeRetained(v.Retained, source)
	for _, kind := range slices.Concat(Kinds, []Kind{KindRollouts}) {
		remote, ok := v.Kinds[kind]
		if !ok {
			continue
		}
		if since, asked := askedSince[kind]; asked && remote.Era == since.Era && remote.Since <= since.Revision && remote.Since > 0 {
			f.applyRemoteChanges(kind, remote, source, v.AfterOutage)
			continue
		}
		f.replaceState(kind, remote.clone(), source, v.AfterOutage)
	}
	f.observeEra(v.Era, false)
	f.mu.Lock()
	current := v.Era == f.era
	f.mu.Unlock()
	for _, kind := range v.Confirmed {
		if current {
			f.confirm(kind)
		}
	}
}

// mergeRetained adopts and posts what another daemon has retained.
func (f *Follower) mergeRetained(remote map[Kind]map[string]Retained, source gateway.ViewSource) {
	if len(remote) == 0 {
		return
	}
	for name, r := range remote[KindConfig] {
		f.hideKeysOf(KindConfig, &r.Object, source)
		remote[KindConfig][name] = r
	}
	f.applying.Lock()
	defer f.applying.Unlock()
	for _, kind := range f.adoptRetained(remote) {
		f.postState(kind, source, false)
		if kind == KindServers {
			f.postLeft()
		}
	}
}

// postLeft posts that the leafs which a copy shows again had left before.
func (f *Follower) postLeft() {
	f.mu.Lock()
	var left []string
	for name, r := range f.retained[KindServers] {
		if _, ok := f.effectiveObject(KindServers, f.view[KindServers], name); r.Gone && !ok {
			left = append(left, name)
		}
	}
	f.mu.Unlock()
	slices.Sort(left)
	for _, name := range left {
		f.post(gateway.ServerRemoved{ID: name, Left: true})
	}
}

// applyRemoteChanges applies the changes of a kind that another daemon sent.
func (f *Follower) applyRemoteChanges(kind Kind, remote KindState, source gateway.ViewSource, afterOutage bool) {
	var changes []Change
	for _, o := range remote.Objects {
		changes = append(changes, Change{Object: o})
	}
	for name, revision := range remote.Deleted {
		changes = append(changes, Change{Object: Object{Name: name, Revision: revision}, Deleted: true})
	}
	f.applyChanges(kind, changes, remote.position(), source, afterOutage)
}

// replaceState takes over and posts the whole state of a kind if it is newer than the
// known one.
func (f *Follower) replaceState(kind Kind, next KindState, source gateway.ViewSource, afterOutage bool) {
	f.hideKeys(kind, next.Objects, source)
	f.applying.Lock()
	defer f.applying.Unlock()
	if stored, copied := f.storeStateIfNewer(kind, next, source); stored {
		f.postState(kind, source, afterOutage || copied)
	}
}

// storeStateIfNewer stores the whole state of a kind. It reports false, and stores
// nothing, if the known state is at least as new. copied means that the known state was
// of an earlier era. The lock is released also after a panic.
func (f *Follower) storeStateIfNewer(kind Kind, next KindState, source gateway.ViewSource) (stored, copied bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, ok := f.view[kind]
	relisted := ok && f.relistDue[kind] && isStore(source)
	if relisted {
		delete(f.relistDue, kind)
	}
	if ok && known.position().compare(next.position()) >= 0 {
		return false, false
	}
	copied = ok && known.Era < next.Era
	switch {
	case copied:
		f.retainPrevious(kind, known, next)
	case ok:
		for name := range known.Objects {
			if _, shown := next.Objects[name]; !shown {
				f.retainDeleted(kind, known, name)
			}
		}
	}
	if relisted && !copied {
		next.continueFrom(known)
	}
	f.view[kind] = next
	f.dropRetained(kind)
	if kind == KindDaemons {
		f.signalDaemonsListed()
	}
	return true, copied
}

// signalDaemonsListed lets KeepRegistered continue. The caller holds the lock.
func (f *Follower) signalDaemonsListed() {
	select {
	case <-f.daemonsListed:
	default:
		close(f.daemonsListed)
	}
}

// applyChanges records and posts the changes of a kind up to a position, unless the
// kind was not listed yet, or a later position or one of another era is known.
func (f *Follower) applyChanges(kind Kind, changes []Change, at Position, source gateway.ViewSource, afterOutage bool) {
	for i := range changes {
		if o := &changes[i].Object; !changes[i].Deleted {
			f.hideKeysOf(kind, o, source)
		}
	}
	f.applying.Lock()
	defer f.applying.Unlock()
	effective, ok := f.recordChanges(kind, changes, at)
	if !ok || len(changes) == 0 {
		return
	}
	if kind != KindServers {
		f.postState(kind, source, afterOutage)
		return
	}
	for _, c := range effective {
		f.postServerChange(c, afterOutage)
	}
	f.postAdvanced(kind)
}

// recordChanges records the changes of a kind and returns what they mean for the objects
// in force; ok is false if the kind was not listed yet, or a later position or one of
// another era is known. The lock is released also after a panic.
func (f *Follower) recordChanges(kind Kind, changes []Change, at Position) (effective []Change, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, ok := f.view[kind]
	if !ok || at.Era != known.Era || at.Revision < known.Revision {
		return nil, false
	}
	for _, c := range changes {
		if c.Deleted {
			f.retainDeleted(kind, known, c.Object.Name)
		}
	}
	known.applyChanges(changes, at.Revision)
	f.view[kind] = known
	f.dropRetained(kind)
	for _, c := range changes {
		if o, ok := f.effectiveObject(kind, known, c.Object.Name); ok {
			c = Change{Object: o}
		} else {
			c.Deleted = true
		}
		effective = append(effective, c)
	}
	return effective, true
}

// unusableConfig replaces the value of a configuration in which keys cannot be told from
// other values. It is not decoded as a configuration.
var unusableConfig = json.RawMessage(`"not a configuration"`)

// hideKeys replaces the keys of tenants in objects before they are stored, logged or sent
// to other daemons.
func (f *Follower) hideKeys(kind Kind, objects map[string]Object, source gateway.ViewSource) {
	if kind != KindConfig {
		return
	}
	for name, o := range objects {
		f.hideKeysOf(kind, &o, source)
		objects[name] = o
	}
}

func (f *Follower) hideKeysOf(kind Kind, o *Object, source gateway.ViewSource) {
	if kind != KindConfig {
		return
	}
	value, err := f.decoder.HideKeys(o.Value, isStore(source))
	if err != nil {
		f.onInvalid(kind, o.Name, err)
		value = unusableConfig
	}
	o.Value = value
}
