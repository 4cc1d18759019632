package gateway

import (
	"testing"
	"time"
)

// Guards against counts that go back or are used for a process that has ended: messages come
// late, twice, from an earlier process, or not at all.
func TestSectionsLapseAndNeverGoBack(t *testing.T) {
	h := newHarness(t)
	entry := DaemonEntry{Name: "d2", Incarnation: 5, Counter: 10, PeerAddress: "10.0.0.2:70", FailureDomain: "b"}
	receive := func(incarnation, counter uint64, arrivals float64) {
		entry.Incarnation, entry.Counter = incarnation, counter
		h.step(GossipReceived{Daemons: []DaemonEntry{entry}, Sections: Sections{Quota: []TenantDemand{{Tenant: "x", ArrivalsPerSecond: arrivals}}}})
	}
	current := func() float64 {
		got := -1.0
		h.s.currentSections(func(_ *daemon, sections Sections) {
			got = sections.Quota[0].ArrivalsPerSecond
		})
		return got
	}
	for _, c := range []struct {
		name                 string
		incarnation, counter uint64
		arrivals, want       float64
	}{
		{"first", 5, 10, 1, 1},
		{"newer", 5, 11, 2, 2},
		{"doubled", 5, 11, 9, 2},
		{"late", 5, 10, 9, 2},
		{"restarted", 6, 1, 3, 3},
		{"late of the earlier process", 5, 12, 9, 3},
	} {
		receive(c.incarnation, c.counter, c.arrivals)
		if got := current(); got != c.want {
			t.Errorf("%s: arrivals %v, want %v", c.name, got, c.want)
		}
	}
	h.now = h.now.Add(sectionLifetime - time.Millisecond)
	if got := current(); got != 3 {
		h.t.Errorf("arrivals %v shortly before the sections lapse", got)
	}
	h.now = h.now.Add(time.Millisecond)
	h.step(Tick{})
	if got := current(); got != -1 {
		h.t.Errorf("arrivals %v after the sections have lapsed", got)
	}
}
