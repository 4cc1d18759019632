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

// driver posts events and keeps the effects of the last one.
type driver struct {
	s   *State
	now model.Time
	out []effect.Effect
}

func (d *driver) do(f func(m event.Meta, out *effect.List)) {
	var out effect.List
	f(event.Meta{Now: d.now}, &out)
	d.out = out.Effects
}

func (d *driver) after(wait time.Duration) {
	d.now = d.now.Add(wait)
	d.do(d.s.Tick)
}

func (d *driver) arrived(address string, version, object uint64) {
	b := &model.Bundle{Version: version}
	doc := event.Document{Kind: event.DocumentBundle, Version: version, Bundle: b, Raw: []byte(strconv.Itoa(int(version)))}
	d.do(func(m event.Meta, out *effect.List) {
		d.s.DocumentArrived(m, event.DocumentArrived{Address: address, Document: doc, ObjectVersion: object}, out)
	})
}

func (d *driver) failed(kind event.DocumentKind, address string, notFound bool) {
	d.do(func(m event.Meta, out *effect.List) {
		d.s.DocumentFailed(m, event.DocumentFailed{Kind: kind, Address: address, NotFound: notFound, Err: "failed"}, out)
	})
}

func (d *driver) offered(version uint64, address string) {
	d.do(func(m event.Meta, out *effect.List) {
		d.s.PeerVersions(m, model.Header{BundleVersion: version}, address, out)
	})
}

// fetches returns the addresses that the bundle was asked from.
func (d *driver) fetches() []string {
	var list []string
	for _, e := range d.out {
		if f, ok := e.(effect.FetchDocument); ok && f.Kind == event.DocumentBundle {
			list = append(list, f.Address)
		}
	}
	return list
}

func (d *driver) confirmed() (uint64, bool) {
	for _, e := range d.out {
		if c, ok := e.(effect.ConfirmDocument); ok && c.Kind == event.DocumentBundle {
			return c.ObjectVersion, true
		}
	}
	return 0, false
}

func started(seeds ...string) *driver {
	d := &driver{s: New(Config{}, &fakeView{seeds: seeds, hasEpoch: true}), now: 1}
	d.do(d.s.Start)
	return d
}

// Guards against a version that goes back because a source serves a stale copy.
func TestVersionsOnlyRise(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := started("a")
		highest := uint64(0)
		for range 30 {
			v := rapid.Uint64Range(1, 9).Draw(rt, "version")
			from := rapid.SampledFrom([]string{"", "a", "b"}).Draw(rt, "from")
			d.arrived(from, v, v)
			highest = max(highest, v)
			if got, _ := d.s.Versions(); got != highest || d.s.Bundle().Version != highest {
				rt.Fatalf("version %d in force, want %d", got, highest)
			}
		}
	})
}

// Guards against a start on a stale platform copy when no peer answers.
func TestReadyAloneNeedsConfirmation(t *testing.T) {
	d := started()
	d.failed(event.DocumentControls, "", true)
	d.arrived("", 4, 7)
	if v, ok := d.confirmed(); !ok || v != 7 || d.s.Ready() {
		t.Fatalf("confirmation of object version %d %v, ready %v; want 7 true false", v, ok, d.s.Ready())
	}
	answer := func(object uint64, conflict bool) {
		d.do(func(m event.Meta, out *effect.List) {
			d.s.DocumentConfirmed(m, event.DocumentConfirmed{Kind: event.DocumentBundle, ObjectVersion: object, Conflict: conflict}, out)
		})
	}
	answer(8, true)
	if d.s.Ready() {
		t.Fatal("ready on a copy that the platform replaced")
	}
	d.arrived("", 5, 8)
	d.after(2 * time.Second)
	if v, ok := d.confirmed(); !ok || v != 8 {
		t.Fatalf("confirmation of object version %d %v, want 8 true", v, ok)
	}
	answer(9, false)
	if v, _ := d.s.Versions(); !d.s.Ready() || v != 5 {
		t.Fatalf("ready %v with version %d, want true with 5", d.s.Ready(), v)
	}
}

// Guards against a daemon that serves an old version although a peer named a
// newer one.
func TestReadyWaitsForHighestOffer(t *testing.T) {
	d := started("a", "b")
	for _, a := range []string{"a", "b"} {
		d.failed(event.DocumentControls, a, true)
	}
	d.arrived("a", 4, 0)
	if d.s.Ready() {
		t.Fatal("ready before the second seed answered")
	}
	d.offered(6, "c")
	d.arrived("b", 5, 0)
	if d.s.Ready() {
		t.Fatal("ready with version 5 although 6 was offered")
	}
	d.arrived("c", 6, 0)
	if !d.s.Ready() {
		t.Fatal("not ready with the highest version offered")
	}
}

// Guards against several fetches of one version at a time and against a peer
// that fails blocking the others.
func TestFetchOneAtATimeThenElsewhere(t *testing.T) {
	d := started()
	d.offered(3, "a")
	if got := d.fetches(); len(got) != 1 || got[0] != "a" {
		t.Fatalf("fetches from %v, want a", got)
	}
	d.offered(3, "b")
	if got := d.fetches(); len(got) != 0 {
		t.Fatalf("second fetch from %v while one is under way", got)
	}
	d.failed(event.DocumentBundle, "a", false)
	if got := d.fetches(); len(got) != 0 {
		t.Fatalf("fetch from %v without back-off", got)
	}
	d.after(fetchBackoffMin)
	if got := d.fetches(); len(got) != 1 || got[0] != "b" {
		t.Fatalf("fetches from %v, want b", got)
	}
	d.arrived("b", 3, 0)
	d.after(fetchTimeout)
	if got := d.fetches(); len(got) != 0 {
		t.Fatalf("fetch from %v of a version in force", got)
	}
}

// Guards against a watch per daemon, which the platform cannot bear, and
// against a panel without one.
func TestOnlyPanelWatches(t *testing.T) {
	v := &fakeView{hasEpoch: true}
	d := &driver{s: New(Config{}, v), now: 1}
	watches := func() (started, stopped int) {
		for _, e := range d.out {
			if w, ok := e.(effect.WatchDocument); ok && w.Stop {
				stopped++
			} else if ok {
				started++
			}
		}
		return started, stopped
	}
	d.do(d.s.Start)
	if started, _ := watches(); started != 0 {
		t.Fatalf("%d watches off the panel", started)
	}
	v.onPanel = true
	d.after(checkInterval)
	if started, _ := watches(); started != len(kinds) {
		t.Fatalf("%d watches on the panel, want %d", started, len(kinds))
	}
	v.onPanel = false
	d.after(checkInterval)
	if _, stopped := watches(); stopped != len(kinds) {
		t.Fatalf("%d watches stopped off the panel, want %d", stopped, len(kinds))
	}
}
