package soak

import (
	"testing"
	"time"
)

// Guards against an evacuation, drains and a reshard that the store loses because it comes
// back from a copy, and that are taken back before they are written again, also by a daemon
// that is killed meanwhile and in a second copy.
func TestStoreCopies(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes")
	}
	s := newSite(t, daemons)
	last := len(s.leafs) - 1
	play(t, s, 0, []step{
		{at: 900 * time.Millisecond, kind: "store-copy", length: 2500 * time.Millisecond},
		{at: time.Second, kind: "store-copy", length: 2 * time.Second},
		{at: 1200 * time.Millisecond, kind: "drain-leaf", target: last},
		{at: 1300 * time.Millisecond, kind: "drain-leaf", target: 0},
		{at: 1400 * time.Millisecond, kind: "evacuate", target: 1, length: 3 * time.Second},
		{at: 1500 * time.Millisecond, kind: "reshard"},
		{at: 3500 * time.Millisecond, kind: "kill", target: 1, length: 300 * time.Millisecond},
	})
}

// copyStore makes the store come back from a copy of that age. Operators and leafs write
// again what it lacks after the promises with a time bound hold again: until then the
// daemons alone keep in force what was.
func (s *site) copyStore(age time.Duration) {
	content := s.store.Copy()
	time.Sleep(age)
	done := s.storeDisturbed()
	writeAgain := s.store.Restore(content)
	done()
	time.Sleep(contact + 2*time.Second)
	writeAgain()
}
