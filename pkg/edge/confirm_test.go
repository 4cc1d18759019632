package edge

import (
	"slices"
	"testing"
	"time"
)

// confirmBound bounds the time from the start of a daemon to the end of its own call that
// confirms a list.
const confirmBound = confirmDelay + confirmSpread + refreshWait + watchGrace

// awaitConfirmed waits until no kind is left whose list may be old.
func (f *recordingFollower) awaitConfirmed(t *testing.T, bound time.Duration) {
	t.Helper()
	unconfirmed := func() int {
		f.Follower.mu.Lock()
		defer f.Follower.mu.Unlock()
		return len(f.unconfirmed)
	}
	for end := time.Now().Add(bound); unconfirmed() > 0; time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d kinds are unconfirmed after %v", unconfirmed(), bound)
		}
	}
}

// Guards against a daemon that does not watch the store and uses a leaf that its old
// list at the start still has: it must read what is newer, also if the store turns it
// away at first, and then leave the store alone.
func TestOldListAtStartIsConfirmed(t *testing.T) {
	for _, turnedAway := range []bool{false, true} {
		s := newFakeStore()
		s.old, s.oldRevision = []Object{s.objects["a"]}, s.revision
		s.put("b", "1")
		s.remove("a")
		f := newRecordingFollower(s)
		if turnedAway {
			f.SetWatching(true)
			s.down = true
			startFollowing(t, f)
			f.SetWatching(false)
			time.Sleep(200 * time.Millisecond)
			s.mu.Lock()
			s.down = false
			s.mu.Unlock()
		} else {
			startFollowing(t, f)
		}
		f.awaitLeafs(t, max(confirmBound, 2*confirmPause+refreshWait), "[b]")
		f.awaitConfirmed(t, confirmBound)
		s.mu.Lock()
		calls := s.calls
		s.mu.Unlock()
		time.Sleep(2 * refreshWait)
		s.mu.Lock()
		if s.calls != calls {
			t.Errorf("turned away %v: %d calls after the list was confirmed", turnedAway, s.calls-calls)
		}
		s.mu.Unlock()
	}
}

// Guards against a store that each daemon of a fleet calls after its start although the
// view of a daemon that has called it confirms as much, and against a view of a daemon
// whose own lists are not confirmed.
func TestViewConfirmsLists(t *testing.T) {
	s := newFakeStore()
	watching, starting := newRecordingFollower(s), newRecordingFollower(s)
	watching.SetWatching(true)
	startFollowing(t, watching)
	startFollowing(t, starting)
	starting.awaitLeafs(t, time.Second, "[a]")
	watching.awaitConfirmed(t, refreshWait+watchGrace)
	unconfirmed := newRecordingFollower(s)
	unconfirmed.requestConfirmation(KindServers)
	for _, source := range []*recordingFollower{unconfirmed, starting} {
		if view := source.View(nil); slices.Contains(view.Confirmed, KindServers) {
			t.Errorf("a view confirms lists that are not confirmed: %+v", view)
		}
	}
	since := starting.Positions()
	starting.Adopt("b", watching.View(since), since)
	starting.awaitConfirmed(t, 0)
}
