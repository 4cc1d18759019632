package documents

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

type fakeView struct {
	onPanel, hasEpoch bool
	seeds             []string
	epoch             uint64
}

func (v *fakeView) Header() model.Header { return model.Header{Epoch: v.epoch} }
func (v *fakeView) OnPanel() bool        { return v.onPanel }
func (v *fakeView) HasEpoch() bool       { return v.hasEpoch }
func (v *fakeView) Seeds() []string      { return v.seeds }

// driver applies events to a State and keeps the effects of the last one.
type driver struct {
	s       *State
	now     model.Time
	effects []effect.Effect
}

func (d *driver) runStep(f func(m event.Meta, out *effect.List)) {
	var out effect.List
	f(event.Meta{Now: d.now}, &out)
	d.effects = out.Effects
}

func (d *driver) tickAfter(wait time.Duration) {
	d.now = d.now.Add(wait)
	d.runStep(d.s.Tick)
}

func (d *driver) bundleArrived(address string, version, object uint64) {
	b := &model.Bundle{Version: version}
	doc := event.Document{Kind: event.DocumentBundle, Version: version, Bundle: b, Raw: []byte(strconv.Itoa(int(version)))}
	d.runStep(func(m event.Meta, out *effect.List) {
		d.s.DocumentArrived(m, event.DocumentArrived{Address: address, Document: doc, ObjectVersion: object}, out)
	})
}

func (d *driver) documentFailed(kind event.DocumentKind, address string, notFound bool) {
	d.runStep(func(m event.Meta, out *effect.List) {
		d.s.DocumentFailed(m, event.DocumentFailed{Kind: kind, Address: address, NotFound: notFound, Err: "failed"}, out)
	})
}

func (d *driver) bundleOffered(version uint64, address string) {
	d.runStep(func(m event.Meta, out *effect.List) {
		d.s.PeerVersions(m, model.Header{BundleVersion: version}, address, out)
	})
}

// bundleFetches returns the addresses from which the last event fetches the bundle.
func (d *driver) bundleFetches() []string {
	var list []string
	for _, e := range d.effects {
		if f, ok := e.(effect.FetchDocument); ok && f.Kind == event.DocumentBundle {
			list = append(list, f.Address)
		}
	}
	return list
}

// bundleConfirmation returns the object version of the bundle whose confirmation
// the last event requests, if any.
func (d *driver) bundleConfirmation() (uint64, bool) {
	for _, e := range d.effects {
		if c, ok := e.(effect.ConfirmDocument); ok && c.Kind == event.DocumentBundle {
			return c.ObjectVersion, true
		}
	}
	return 0, false
}

func newStartedDriver(seeds ...string) *driver {
	d := &driver{s: New(Config{}, &fakeView{seeds: seeds, hasEpoch: true}), now: 1}
	d.runStep(d.s.Start)
	return d
}

// Guards against a version in force that goes back because the platform or a peer
// serves a stale copy.
func TestVersionsOnlyRise(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := newStartedDriver("a")
		highest := uint64(0)
		for range 30 {
			v := rapid.Uint64Range(1, 9).Draw(rt, "version")
			from := rapid.SampledFrom([]string{"", "a", "b"}).Draw(rt, "from")
			d.bundleArrived(from, v, v)
			highest = max(highest, v)
			if got, _ := d.s.Versions(); got != highest || d.s.Bundle().Version != highest {
				rt.Fatalf("version %d in force, want %d", got, highest)
			}
		}
	})
}

// Guards against a daemon that becomes ready with a stale platform copy when no
// peer answers.
func TestReadyWithoutPeersNeedsConfirmation(t *testing.T) {
	d := newStartedDriver()
	d.documentFailed(event.DocumentControls, "", true)
	d.bundleArrived("", 4, 7)
	if v, ok := d.bundleConfirmation(); !ok || v != 7 || d.s.Ready() {
		t.Fatalf("confirmation of object version %d requested: %v, ready: %v; want 7, true, false", v, ok, d.s.Ready())
	}
	answer := func(object uint64, conflict bool) {
		d.runStep(func(m event.Meta, out *effect.List) {
			d.s.DocumentConfirmed(m, event.DocumentConfirmed{Kind: event.DocumentBundle, ObjectVersion: object, Conflict: conflict}, out)
		})
	}
	answer(8, true)
	if d.s.Ready() {
		t.Fatal("ready with a copy that the platform has replaced")
	}
	d.bundleArrived("", 5, 8)
	d.tickAfter(2 * time.Second)
	if v, ok := d.bundleConfirmation(); !ok || v != 8 {
		t.Fatalf("confirmation of object version %d requested: %v; want 8, true", v, ok)
	}
	answer(9, false)
	if v, _ := d.s.Versions(); !d.s.Ready() || v != 5 {
		t.Fatalf("ready %v with version %d, want true with 5", d.s.Ready(), v)
	}
}

// Guards against a startup that never ends: the confirming rewrite changes the
// object's version, which arrives by this daemon's own watch and must not have to
// be confirmed again.
func TestOwnRewriteKeepsConfirmation(t *testing.T) {
	for name, watchFirst := range map[string]bool{"watch after the reply": false, "watch before the reply": true} {
		t.Run(name, func(t *testing.T) {
			d := newStartedDriver()
			d.documentFailed(event.DocumentControls, "", true)
			d.bundleArrived("", 3, 7)
			reply := func() {
				d.runStep(func(m event.Meta, out *effect.List) {
					d.s.DocumentConfirmed(m, event.DocumentConfirmed{Kind: event.DocumentBundle, ObjectVersion: 8}, out)
				})
			}
			if !watchFirst {
				reply()
			}
			d.bundleArrived("", 3, 8)
			if watchFirst {
				reply()
			}
			d.tickAfter(time.Second)
			if v, again := d.bundleConfirmation(); again || !d.s.Ready() {
				t.Fatalf("confirmation of object version %d requested again: %v, ready: %v; want false, true", v, again, d.s.Ready())
			}
		})
	}
}

// Guards against a daemon that becomes ready with an old version although a peer
// named a newer one.
func TestReadyWaitsForHighestOffer(t *testing.T) {
	d := newStartedDriver("a", "b")
	for _, a := range []string{"a", "b"} {
		d.documentFailed(event.DocumentControls, a, true)
	}
	d.bundleArrived("a", 4, 0)
	if d.s.Ready() {
		t.Fatal("ready before the second seed answered")
	}
	d.bundleOffered(6, "c")
	d.bundleArrived("b", 5, 0)
	if d.s.Ready() {
		t.Fatal("ready with version 5 although 6 was offered")
	}
	d.bundleArrived("c", 6, 0)
	if !d.s.Ready() {
		t.Fatal("not ready with the highest version offered")
	}
}

// Guards against several fetches of one version at a time, and against a failing
// peer that keeps the daemon from asking the others.
func TestFetchOneAtATimeThenNextPeer(t *testing.T) {
	d := newStartedDriver()
	d.bundleOffered(3, "a")
	if got := d.bundleFetches(); len(got) != 1 || got[0] != "a" {
		t.Fatalf("fetches from %v, want a", got)
	}
	d.bundleOffered(3, "b")
	if got := d.bundleFetches(); len(got) != 0 {
		t.Fatalf("second fetch from %v while one is under way", got)
	}
	d.documentFailed(event.DocumentBundle, "a", false)
	if got := d.bundleFetches(); len(got) != 0 {
		t.Fatalf("fetch from %v without back-off", got)
	}
	d.tickAfter(fetchBackoffMin)
	if got := d.bundleFetches(); len(got) != 1 || got[0] != "b" {
		t.Fatalf("fetches from %v, want b", got)
	}
	d.bundleArrived("b", 3, 0)
	d.tickAfter(fetchTimeout)
	if got := d.bundleFetches(); len(got) != 0 {
		t.Fatalf("fetch from %v of a version in force", got)
	}
}

// Guards against a watch by every daemon, which would overload the platform, and
// against a panel that does not watch.
func TestOnlyPanelWatches(t *testing.T) {
	v := &fakeView{hasEpoch: true}
	d := &driver{s: New(Config{}, v), now: 1}
	watches := func() (started, stopped int) {
		for _, e := range d.effects {
			if w, ok := e.(effect.WatchDocument); ok && w.Stop {
				stopped++
			} else if ok {
				started++
			}
		}
		return started, stopped
	}
	d.runStep(d.s.Start)
	if started, _ := watches(); started != 0 {
		t.Fatalf("%d watches off the panel", started)
	}
	v.onPanel = true
	d.tickAfter(panelCheckInterval)
	if started, _ := watches(); started != len(kinds) {
		t.Fatalf("%d watches on the panel, want %d", started, len(kinds))
	}
	v.onPanel = false
	d.tickAfter(panelCheckInterval)
	if _, stopped := watches(); stopped != len(kinds) {
		t.Fatalf("%d watches stopped off the panel, want %d", stopped, len(kinds))
	}
}
