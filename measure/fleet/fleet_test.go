package fleet

import (
	"errors"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

func load(t *testing.T, name string) *Profile {
	t.Helper()
	p, err := LoadProfile(filepath.Join("profiles", name))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Guards against a comparison of policies whose difference is due to the order of a map
// or to the clock.
func TestSameSeedSameResult(t *testing.T) {
	p := load(t, "burst.yaml")
	p.Length = 6 * time.Second
	a, b := Run(p, 3), Run(p, 3)
	if !reflect.DeepEqual(a.Rows, b.Rows) {
		t.Error("two runs with the same seed differ")
	}
	if reflect.DeepEqual(a.Rows, Run(p, 4).Rows) {
		t.Error("runs with different seeds are equal")
	}
}

// Guards against requests that the model loses or counts twice, and against a model in
// which callers are served badly without a fault.
func TestQuietLoadIsServed(t *testing.T) {
	p := load(t, "burst.yaml")
	p.Faults = nil
	r := Run(p, 1)
	want := 0.0
	for _, route := range p.Routes {
		want += route.PerSecond * p.Length.Seconds()
	}
	if asked := float64(r.Total.Asked()); asked < 0.9*want || asked > 1.1*want {
		t.Errorf("%v requests, want about %v", asked, want)
	}
	if r.Total.Worth() < 0.95 || r.Total.Failed > 0 || r.Total.Refused > 0 {
		t.Errorf("without faults: %+v", r.Total)
	}
}

// Guards against faults that have no effect in the model: each must show in the
// requests of its time, and no longer some seconds later.
func TestFaultsShow(t *testing.T) {
	for _, f := range []Fault{
		{Kind: FaultSlow, Share: 1, Times: 9}, {Kind: FaultDark, Share: 0.5}, {Kind: FaultFail, Share: 1, Ratio: 0.5},
		{Kind: FaultLose, Share: 1, Ratio: 0.5}, {Kind: FaultRestart}, {Kind: FaultBurst, Times: 4},
	} {
		t.Run(f.Kind, func(t *testing.T) {
			p := load(t, "burst.yaml")
			p.Length = 14 * time.Second
			f.At, f.For = 4*time.Second, time.Second
			p.Faults = []Fault{f}
			r := Run(p, 1)
			before, during, after := r.Window(0, 4*time.Second), r.Window(4*time.Second, 6*time.Second), r.Window(10*time.Second, 14*time.Second)
			if during.Worth() > before.Worth()-0.05 || after.Worth() < 0.9 {
				t.Errorf("worth %.3f before, %.3f during, %.3f after", before.Worth(), during.Worth(), after.Worth())
			}
		})
	}
}

// Guards against callers that get stuck, or are not counted, when they leave early or
// the index is cut anew.
func TestGiveUpAndRepartition(t *testing.T) {
	p := load(t, "index.yaml")
	p.Length = 10 * time.Second
	p.Faults = []Fault{{Kind: FaultGiveUp, At: 2 * time.Second, For: 2 * time.Second, Share: 0.5}, {Kind: FaultRepartition, At: 6 * time.Second}}
	r := Run(p, 1)
	if w := r.Window(2*time.Second, 4*time.Second); w.Abandoned == 0 || w.Asked() == 0 {
		t.Errorf("give up: %+v", w)
	}
	if w := r.Window(6*time.Second, 10*time.Second); w.Worth() < 0.9 {
		t.Errorf("repartition: %+v", w)
	}
}

// Guards against overload in which nearly every request is late because all wait in the
// order of their arrival: while a burst asks for more than the leafs bear that are not
// slow, as many requests as two thirds of what these bear must be answered in time.
func TestBurstOnSlowLeafs(t *testing.T) {
	p := load(t, "burst.yaml")
	lookup, check := p.Routes[0], p.Routes[1]
	burst := p.Faults[1]
	demand := burst.Times * (lookup.PerSecond*lookup.Work.Seconds() + check.PerSecond*check.Work.Seconds())
	capacity := float64(p.Services[0].Slots) / demand
	if capacity >= 1 {
		t.Fatalf("the profile asks for %.2f slots of each shard, which is no overload", demand)
	}
	var during Counts
	for _, r := range RunSeeds(p, 1, 5) {
		for _, row := range r.Rows {
			if row.Route != "pull" && row.Start >= burst.At && row.Start < burst.At+burst.For {
				during = during.plus(row.Counts)
			}
		}
	}
	if got, want := share(during.InTime, during), 2.0/3*capacity; got < want {
		t.Errorf("%.3f answered in time, want %.3f: %+v", got, want, during)
	}
}

// Guards against daemons that serve badly after a restart of all of them, because they
// know no latencies, loads or shares yet, and against a start that waits long for a store
// which is back: half a second after the last start, or after the store is back,
// requests are served as on a calm day.
func TestServedSoonAfterRestart(t *testing.T) {
	for name, back := range map[string]time.Duration{
		"index.yaml":  30*time.Second + 1200*time.Millisecond + 300*time.Millisecond + 150*time.Millisecond,
		"outage.yaml": 6500 * time.Millisecond,
	} {
		p := load(t, name)
		p.Interval = 500 * time.Millisecond
		from := (back + 500*time.Millisecond).Truncate(p.Interval) + p.Interval
		var after Counts
		for _, r := range RunSeeds(p, 1, 3) {
			after = after.plus(r.Window(from, from+2*time.Second))
		}
		if got := share(after.InTime, after); got < 0.95 {
			t.Errorf("%s: %.3f in time from %v on, want 0.95: %+v", name, got, from, after)
		}
	}
}

// Guards against mistakes in a profile that are played as something else: each is named
// with its line.
func TestInvalidProfiles(t *testing.T) {
	const good = "length: 5s\ndaemons: {count: 2}\nservices:\n  - {name: a}\nroutes:\n  - {name: r, service: a, per_second: 1, work: 1ms, target: 10ms, timeout: 100ms}\n"
	if _, err := ParseProfile("p", []byte(good)); err != nil {
		t.Fatal(err)
	}
	for want, text := range map[string]string{
		"p:1: unknown-key":   strings.Replace(good, "length: 5s", "length: 5s\nlenght: 5s", 1),
		"p:2: range":         strings.Replace(good, "count: 2", "count: 0", 1),
		"p:6: name":          strings.Replace(good, "service: a", "service: b", 1),
		"p:1: missing-key":   strings.Replace(good, "length: 5s\n", "", 1),
		"p:4: duplicate-key": strings.Replace(good, "  - {name: a}\n", "  - {name: a}\n  - {name: a}\n", 1),
		"p:7: range":         good + "faults: [{kind: flood, at: 1s}]\n",
		"p:6: unit":          strings.Replace(good, "1ms", "1 minute", 1),
	} {
		_, err := ParseProfile("p", []byte(text))
		if !errors.Is(err, ErrProfile) {
			t.Errorf("%s: no error", want)
			continue
		}
		kind := want[strings.LastIndexByte(want, ' ')+1:]
		if !strings.Contains(err.Error(), kind) {
			t.Errorf("got %v, want %s", err, want)
		}
	}
}

// Guards against a comparison of runs that did not play the same load.
func TestCompareNeedsTheSameSeeds(t *testing.T) {
	p := load(t, "burst.yaml")
	p.Length = 2 * time.Second
	runs := RunSeeds(p, 1, 2)
	if _, err := Compare(runs, RunSeeds(p, 2, 2)); err == nil {
		t.Error("runs of other seeds were compared")
	}
	if _, err := Compare(runs, runs[:1]); err == nil {
		t.Error("different numbers of runs were compared")
	}
	list, err := Compare(runs, runs)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range list {
		if d.Mean != 0 || d.Error != 0 || d.Before != d.After {
			t.Errorf("%+v between equal runs", d)
		}
	}
}
