package edge

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
)

// Guards against a daemon that writes to the store at each start though its entry is
// there, and against one that does not write it when it is missing or outdated, or
// after RegisterAgain.
func TestRegistration(t *testing.T) {
	entry := gateway.DaemonEntry{Name: "edge-1", PeerAddress: "10.0.0.1:70", Cores: 0.4}
	moved := entry
	moved.PeerAddress = "10.0.0.9:70"
	for name, x := range map[string]struct {
		stored *gateway.DaemonEntry
		down   bool
		writes int
	}{
		"first start": {nil, false, 1},
		"restart":     {&entry, false, 0},
		"moved":       {&moved, false, 1},
		"store down":  {&entry, true, 1},
	} {
		s := &fakeStore{objects: map[string]Object{}}
		if x.stored != nil {
			data, err := json.Marshal(*x.stored)
			if err != nil {
				t.Fatal(err)
			}
			s.put(entry.Name, string(data))
		}
		s.down = x.down
		f := newRecordingFollower(s)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{}, 10)
		ended := make(chan struct{}, 2)
		go func() { _ = f.Follow(ctx, KindDaemons); ended <- struct{}{} }()
		go func() { _ = f.KeepRegistered(ctx, entry, func() { done <- struct{}{} }); ended <- struct{}{} }()
		written := func(what string, want int) {
			t.Helper()
			select {
			case <-done:
			case <-time.After(2 * time.Second):
				t.Fatalf("%s: %s: not registered", name, what)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.created != want {
				t.Errorf("%s: %s: %d writes, want %d", name, what, s.created, want)
			}
		}
		written("start", x.writes)
		f.RegisterAgain()
		written("entry gone", x.writes+1)
		cancel()
		<-ended
		<-ended
	}
}
