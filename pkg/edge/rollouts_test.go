package edge

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/rollout"
)

// Guards against a verdict that replaces one that the store has already taken, also when the
// reply to an earlier write was lost, and against failures that count as writes.
func TestVerdictIsReadBack(t *testing.T) {
	order := gateway.RolloutOrder{Service: "s", Target: "v2", Duration: time.Second, Created: 5}
	for _, c := range []struct {
		name     string
		prepare  func(s *modelStore)
		readBack bool
		want     rollout.WriteOutcome
		verdict  rollout.Verdict
	}{
		{"unchanged", func(*modelStore) {}, false, rollout.Written, rollout.RolledBack},
		{"changed since", func(s *modelStore) { s.put(KindRollouts, "s", order) }, false, rollout.Conflict, rollout.Undecided},
		{"changed since, read back", func(s *modelStore) { s.put(KindRollouts, "s", order) }, true, rollout.Written, rollout.RolledBack},
		{"has a verdict", func(s *modelStore) {
			decided := order
			decided.Verdict = rollout.Completed
			s.put(KindRollouts, "s", decided)
		}, true, rollout.Conflict, rollout.Completed},
		{"another order", func(s *modelStore) {
			next := order
			next.Target = "v3"
			s.put(KindRollouts, "s", next)
		}, true, rollout.Conflict, rollout.Undecided},
		{"withdrawn", func(s *modelStore) { s.remove(KindRollouts, "s") }, true, rollout.Conflict, rollout.Undecided},
		{"store down", func(s *modelStore) { s.setDown(func(string) bool { return true }) }, true, rollout.Failed, rollout.Undecided},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newModelStore()
			s.put(KindRollouts, "s", order)
			client := s.client("d1")
			f := newRecordingFollower(client)
			f.decoder = modelDecoder{}
			objects, at, err := client.List(t.Context(), KindRollouts, false)
			if err != nil {
				t.Fatal(err)
			}
			c.prepare(s)
			f.WriteVerdict(gateway.WriteVerdict{
				Service: "s", Target: "v2", Order: order.ID(), Era: at.Era, Revision: objects[0].Revision, Verdict: rollout.RolledBack, ReadBack: c.readBack,
			})
			time.Sleep(time.Second)
			f.mu.Lock()
			defer f.mu.Unlock()
			written, ok := f.events[len(f.events)-1].(gateway.VerdictWritten)
			if !ok || written.Outcome != c.want || (written.Cause != "") != (c.want == rollout.Failed) {
				t.Errorf("%s: %+v, want outcome %d", c.name, f.events, c.want)
			}
			s.setDown(func(string) bool { return false })
			objects, _, err = client.List(t.Context(), KindRollouts, false)
			if err != nil {
				t.Fatal(err)
			}
			got := rollout.Undecided
			if len(objects) > 0 {
				o, err := modelDecoder{}.Rollout(objects[0])
				if err != nil {
					t.Fatal(err)
				}
				got = o.Verdict
			}
			if got != c.verdict {
				t.Errorf("%s: verdict %v in the store, want %v", c.name, got, c.verdict)
			}
		})
	}
}

// Guards against orders that do not reach daemons that learn from the views of others, and
// against orders that a daemon without roll-outs asks the store for.
func TestOrdersInViews(t *testing.T) {
	order := gateway.RolloutOrder{Service: "s", Target: "v2", Duration: time.Second, Created: 5}
	s := newModelStore()
	s.put(KindRollouts, "s", order)
	source, receiver := newRecordingFollower(s.client("d1")), newRecordingFollower(s.client("d2"))
	source.decoder, receiver.decoder = modelDecoder{}, modelDecoder{}
	if err := source.listKind(t.Context(), KindRollouts, false); err != nil {
		t.Fatal(err)
	}
	receiver.Adopt("b", source.View(nil), nil)
	found := false
	for _, e := range receiver.events {
		if listed, ok := e.(gateway.RolloutsListed); ok {
			found = len(listed.Orders) == 1 && listed.Orders[0].Target == "v2"
		}
	}
	if !found {
		t.Errorf("no order in %+v", receiver.events)
	}
	for _, kind := range Kinds {
		if kind == KindRollouts {
			t.Error("all daemons follow roll-outs")
		}
	}
}
