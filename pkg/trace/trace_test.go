package trace

import (
	"bytes"
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core"
	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

var testConfig = core.Config{Self: model.MemberRef{VM: "vm1", Incarnation: 3}, Region: "r", Seeds: []string{"127.0.0.1:1"}}

// bodies returns events of all types, with nested and empty values.
func bodies() []event.Body {
	ref := model.MemberRef{VM: "vm1", Incarnation: 1 << 63}
	bundle := &model.Bundle{Version: 2, Servers: []model.BackendServer{{Name: "leaf1", ConnectCost: time.Millisecond}}}
	bundle.Index()
	answer := &model.Answer{RequestID: "i", Items: []model.Item{{ID: "a", Score: 0.5, Doc: []byte(`{}`)}}}
	return []event.Body{
		event.Started{},
		event.Tick{},
		event.StopRequested{Reason: "signal"},
		event.QueryArrived{Token: 1, Request: model.Request{ID: "i", Class: model.Bulk, Deadline: 9}},
		event.QueryAbandoned{Token: 1},
		event.LookupArrived{Token: 2, Service: "narudzbe"},
		event.ForwardAnswered{Token: 3, Answer: answer},
		event.ForwardAnswered{Token: 4, Refusal: &model.Refusal{}},
		event.ExecuteArrived{Stream: event.Stream{From: ref, ID: 5}, Subs: []model.SubRequest{{Attempt: 6}}},
		event.CancelArrived{From: ref, Attempts: []model.AttemptID{6}},
		event.ExecuteGone{},
		event.SubResultArrived{Result: model.SubResult{Outcome: model.OutcomeOK, Items: answer.Items, Count: 1}},
		event.ExecuteEnded{Stream: 5, NotSent: true},
		event.BackendAnswered{From: ref, Cold: true, SlotHeld: true},
		event.BackendReleased{Server: "leaf1", Ended: true},
		event.BackendStatus{Serves: []model.Serving{{Versions: []uint64{1}}}},
		event.HeartbeatArrived{Member: model.Member{MemberRef: ref}},
		event.HeartbeatAnswered{Closed: []event.ClosedEpoch{{Number: 1, Fenced: []model.MemberRef{ref}}}},
		event.HeartbeatFailed{To: "vm2"},
		event.ExchangeArrived{Servers: []model.ServerReport{{Server: "leaf1"}}},
		event.ExchangeAnswered{Members: []model.MemberReport{{Serving: true}}},
		event.HandoverArrived{Servers: []model.ServerName{"leaf1"}},
		event.HandoverAnswered{Accepted: true},
		event.DocumentRequested{Kind: event.DocumentEpoch},
		event.DocumentArrived{Document: event.Document{Kind: event.DocumentBundle, Bundle: bundle, Raw: []byte("x")}},
		event.DocumentFailed{NotFound: true},
		event.VMListRead{VMs: []model.VMEntry{{VM: "vm1"}}},
		event.EpochWritten{Conflict: true},
		event.DocumentConfirmed{ObjectVersion: 3},
	}
}

// fakeCore is a core whose effects depend on the event and on the number of
// earlier events.
type fakeCore struct {
	steps uint64
	// change is the number of a step whose effects differ, counted from 1; 0
	// means none.
	change uint64
	bodies []event.Body
}

func (c *fakeCore) Step(e event.Event) []effect.Effect {
	c.steps++
	c.bodies = append(c.bodies, e.Body)
	version := c.steps + e.Rand
	if c.change == c.steps {
		version++
	}
	out := []effect.Effect{effect.ReplyLookup{BundleVersion: version, MaxAge: time.Duration(e.Now)}}
	switch b := e.Body.(type) {
	case event.ForwardAnswered:
		out = append(out, effect.ReplyQuery{Token: b.Token, Answer: b.Answer, Refusal: b.Refusal})
	case event.DocumentArrived:
		if s, ok := b.Document.Bundle.Server("leaf1"); ok {
			out = append(out, effect.WarmConnections{Server: s.Name, Count: 1})
		}
	}
	return append(out, effect.Log{ID: 1000, Fields: []logevent.Field{logevent.Int("n", version)}})
}

func recordTrace(t *testing.T) []byte {
	t.Helper()
	var buf bytes.Buffer
	w := NewWriter(&buf, testConfig)
	core := new(fakeCore)
	for i, b := range bodies() {
		e := event.Event{Meta: event.Meta{Now: model.Time(i) * 1e9, Wall: 5, Rand: 7}, Body: b}
		w.Record(e, core.Step(e))
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return buf.Bytes()
}

func replayTrace(t *testing.T, data []byte, core *fakeCore) (int, error) {
	t.Helper()
	r, cfg, err := NewReader(bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(cfg, testConfig) {
		t.Errorf("read configuration %+v, wrote %+v", cfg, testConfig)
	}
	return Replay(core, r)
}

// Guards against events that gob cannot encode or does not decode to the same
// values, so that a replay would differ from the recorded run.
func TestRoundTrip(t *testing.T) {
	core := new(fakeCore)
	n, err := replayTrace(t, recordTrace(t), core)
	if err != nil || n != len(bodies()) {
		t.Fatalf("%d steps, %v; want %d", n, err, len(bodies()))
	}
	for i, want := range bodies() {
		if !reflect.DeepEqual(core.bodies[i], want) {
			t.Errorf("step %d: read %+v, wrote %+v", i, core.bodies[i], want)
		}
	}
}

// Guards against a replay that does not detect that the core's effects changed.
func TestReplayDetectsMismatch(t *testing.T) {
	n, err := replayTrace(t, recordTrace(t), &fakeCore{change: 4})
	mismatch := new(MismatchError)
	if !errors.As(err, &mismatch) || n != 3 || mismatch.Step != 3 {
		t.Errorf("%d equal steps, %v; want a mismatch at step 3", n, err)
	}
}

// Guards against accepting a cut-off trace as complete.
func TestCutOffTraceIsInvalid(t *testing.T) {
	data := recordTrace(t)
	if n, err := replayTrace(t, data[:len(data)-20], new(fakeCore)); !errors.Is(err, ErrInvalid) {
		t.Errorf("%d steps, %v; want ErrInvalid", n, err)
	}
	if _, _, err := NewReader(bytes.NewReader([]byte("text"))); !errors.Is(err, ErrInvalid) {
		t.Errorf("input that is not a trace: %v, want ErrInvalid", err)
	}
}

// Guards against effects of different types or values that have the same hash,
// and against different hashes of nil and empty slices.
func TestHash(t *testing.T) {
	same := Hash([]effect.Effect{effect.SendCancel{Attempts: nil}})
	if same != Hash([]effect.Effect{effect.SendCancel{Attempts: []model.AttemptID{}}}) {
		t.Error("nil and empty slices have different hashes")
	}
	different := [][]effect.Effect{
		nil,
		{effect.SendCancel{}},
		{effect.SendCancel{Peer: "a"}},
		{effect.SendCancel{Address: "a"}},
		{effect.SendHandover{}},
		{effect.ReplyQuery{}},
		{effect.ReplyQuery{Answer: &model.Answer{}}},
		{effect.ReplyQuery{Answer: &model.Answer{Complete: true}}},
	}
	hashes := map[uint64]int{}
	for i, e := range different {
		if j, ok := hashes[Hash(e)]; ok {
			t.Errorf("effect lists %d and %d have the same hash", i, j)
		}
		hashes[Hash(e)] = i
	}
}
