package gateway

import (
	"testing"
	"time"
)

// passOn makes the daemons of a large fleet known by way of others, with entries of an age.
func (h *harness) passOn(entries []DaemonEntry, counter uint64, age time.Duration) {
	var passed []DaemonEntry
	for _, e := range entries {
		e.Counter, e.Age = counter, age
		passed = append(passed, e.WithoutStoredFields())
	}
	h.step(GossipReceived{Daemons: passed})
}

// Guards against callers that are sent to a daemon that has ended because older and older
// entries of it still arrive by way of others (DRAIN).
func TestDirectoryWhileOldEntriesArrive(t *testing.T) {
	const interval = 500 * time.Millisecond
	h := newLargeFleet(t, 30)
	counter := uint64(1_000)
	for range 8 {
		h.passOn(activeAndNext(h), counter, 0)
		counter++
		h.advance(interval)
	}
	gone := h.s.active(nil)[3]
	if gone.Name == h.s.opt.Self.Name {
		gone = h.s.active(nil)[4]
	}
	begin := h.s.now
	for last := time.Duration(0); ; last = h.s.now.Sub(begin) {
		if got := h.s.Directory("h", ""); !contains(got, gone.CallerAddress) {
			t.Logf("%s is named until %v after it has told of itself", gone.Name, last)
			if bound := h.s.roleSilence(); last > bound {
				t.Errorf("%s is named %v after it has told of itself, want at most %v", gone.Name, last, bound)
			}
			if len(got) < minActiveDaemons {
				t.Errorf("callers are sent to %v", got)
			}
			return
		}
		var others []DaemonEntry
		for _, e := range activeAndNext(h) {
			if e.Name != gone.Name {
				others = append(others, e)
			}
		}
		h.passOn(others, counter, 0)
		// What it told at the last moment, ever later.
		h.passOn([]DaemonEntry{gone}, counter, h.s.now.Sub(begin))
		counter++
		h.advance(interval)
	}
}

// Guards against a daemon that was paused and sends callers to others by what it knew before,
// by messages that waited to be read, or to itself alone.
func TestDirectoryAfterPause(t *testing.T) {
	const pause = 10 * time.Second
	fleet := func() *harness {
		h := newLargeFleet(t, 30)
		if got := h.s.Directory("h", ""); len(got) < minActiveDaemons {
			t.Fatalf("callers are sent to %v", got)
		}
		return h
	}
	t.Run("known before", func(t *testing.T) {
		h := fleet()
		h.s.Step(h.s.now.Add(pause), Tick{})
		if got := h.s.Directory("h", ""); len(got) > 0 {
			t.Errorf("callers are sent to %v", got)
		}
		h.hearFleet(30, 3)
		if got := h.s.Directory("h", ""); len(got) < minActiveDaemons {
			t.Errorf("after others were heard callers are sent to %v", got)
		}
	})
	t.Run("told before", func(t *testing.T) {
		h := fleet()
		var entries []DaemonEntry
		for _, e := range activeAndNext(h) {
			if e.Name != h.s.opt.Self.Name {
				e.Counter = 3
				entries = append(entries, e)
			}
		}
		h.s.Step(h.s.now.Add(pause), GossipReceived{Daemons: entries, Waited: pause})
		if got := h.s.Directory("h", ""); len(got) > 0 {
			t.Errorf("callers are sent to %v", got)
		}
	})
	t.Run("alone", func(t *testing.T) {
		h := fleet()
		for range 2 * pause / time.Second {
			h.advance(time.Second)
		}
		if got := h.s.Directory("h", ""); len(got) != 1 {
			t.Errorf("a daemon that hears nobody for long sends callers to %v, want itself", got)
		}
	})
}
