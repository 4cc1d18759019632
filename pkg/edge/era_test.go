package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
)

// Guards against positions that daemons of earlier versions cannot read although the store
// names no era, and against positions of different eras that are compared by revision.
func TestPositions(t *testing.T) {
	for text, p := range map[string]Position{"7": {Revision: 7}, "4:7": {Era: 4, Revision: 7}} {
		if got, err := parsePosition(text); err != nil || got != p || p.String() != text {
			t.Errorf("%q: %+v, %v; %+v is written as %q", text, got, err, p, p)
		}
	}
	for _, text := range []string{"", ":", "4:", ":7", "4:7:1", "-1", "4:x"} {
		if got, err := parsePosition(text); err == nil {
			t.Errorf("%q is read as %+v", text, got)
		}
	}
	if (Position{Era: 5, Revision: 1}).compare(Position{Era: 4, Revision: 9}) <= 0 {
		t.Error("an earlier era counts as later")
	}
}

// leafEntry is the value of a leaf's entry.
func leafEntry(started int64, sequence uint64, draining bool) json.RawMessage {
	data, err := json.Marshal(gateway.Server{ID: "a", StartedMS: started, Sequence: sequence, Draining: draining})
	if err != nil {
		panic(err)
	}
	return data
}

// Guards against an entry of a leaf that goes back after a copy, and against a newer one
// that is not taken over.
func TestEntryOfLeafNeverGoesBack(t *testing.T) {
	for name, x := range map[string]struct {
		started  int64
		sequence uint64
		gone     bool
		taken    bool
	}{
		"older":               {1, 8, false, false},
		"the same":            {1, 9, false, true},
		"newer":               {1, 10, false, true},
		"later start":         {2, 1, false, true},
		"earlier start":       {0, 20, false, false},
		"older, left":         {1, 8, true, false},
		"the same, left":      {1, 9, true, false},
		"newer, left":         {1, 10, true, true},
		"later start, left":   {2, 1, true, true},
		"earlier start, left": {0, 20, true, false},
	} {
		f := NewFollower(FollowerConfig{
			Store: newFakeStore(), Decoder: modelDecoder{}, Post: func(gateway.Event) {}, OnInvalid: func(Kind, string, error) {},
			Turn: func() gateway.WatchTurn { return gateway.WatchTurn{Count: 1, Interval: testWatchInterval} },
		})
		object := func(era uint64, started int64, sequence uint64) Object {
			return Object{Name: "a", Era: era, Revision: 20, Value: leafEntry(started, sequence, era == 4)}
		}
		f.replaceState(KindServers, newKindState([]Object{object(4, 1, 9)}, Position{4, 30}), sourceList, false)
		if x.gone {
			f.applyChanges(KindServers, []Change{{Object: Object{Name: "a", Era: 4, Revision: 31}, Deleted: true}}, Position{4, 31}, sourceList, false)
		}
		f.replaceState(KindServers, newKindState([]Object{object(5, x.started, x.sequence)}, Position{5, 21}), sourceList, false)
		check := func(when string, era uint64) {
			t.Helper()
			f.mu.Lock()
			defer f.mu.Unlock()
			objects, _ := f.effectiveObjects(KindServers)
			got, ok := objects["a"]
			switch {
			case x.taken && (!ok || got.Era != era):
				t.Errorf("%s, %s: in force %v %+v, want the store's", name, when, ok, got)
			case !x.taken && !x.gone && (!ok || got.Era != 4):
				t.Errorf("%s, %s: in force %v %+v, want the retained one", name, when, ok, got)
			case !x.taken && x.gone && ok:
				t.Errorf("%s, %s: in force %+v, want none", name, when, got)
			}
		}
		check("copy", 5)
		f.replaceState(KindServers, newKindState([]Object{object(6, x.started, x.sequence)}, Position{6, 21}), sourceList, false)
		check("second copy", 6)
		// A daemon that starts later knows only what the store shows, and is told.
		late := NewFollower(FollowerConfig{
			Store: newFakeStore(), Decoder: modelDecoder{}, Post: func(gateway.Event) {}, OnInvalid: func(Kind, string, error) {},
			Turn: func() gateway.WatchTurn { return gateway.WatchTurn{Count: 1, Interval: testWatchInterval} },
		})
		late.replaceState(KindServers, newKindState([]Object{object(6, x.started, x.sequence)}, Position{6, 21}), sourceList, false)
		view := f.View(late.Positions())
		view.Retained = f.RetainedObjects()
		late.Adopt("b", view, late.Positions())
		f = late
		check("told", 6)
	}
}

// Guards against what is retained without bound.
func TestRetainedObjectsAreBounded(t *testing.T) {
	f := newRecordingFollower(newFakeStore())
	var objects []Object
	for i := range maxRetained + 50 {
		objects = append(objects, Object{Name: fmt.Sprint(i), Era: 4, Revision: 1, Value: json.RawMessage("{}")})
	}
	f.replaceState(KindServers, newKindState(objects, Position{4, 2}), sourceList, false)
	f.replaceState(KindServers, newKindState(nil, Position{4, 3}), sourceList, false)
	if n := len(f.RetainedObjects()[KindServers]); n > maxRetained {
		t.Errorf("%d objects are retained", n)
	}
}

// Guards against a registration that counts as failed, or is not read back, because the
// store changed its era during its conditional write.
func TestRegistrationIsReadBackInANewEra(t *testing.T) {
	entry := gateway.DaemonEntry{Name: "edge-1", PeerAddress: "10.0.0.1:70", Cores: 0.4}
	s := &conflictingStore{fakeStore: newFakeStore()}
	f := newRecordingFollower(s)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if _, err := f.registerWithRetries(ctx, entry); err != nil {
		t.Fatal(err)
	}
	if s.creates != 2 || s.replaces != 1 || len(f.reached) > 0 {
		t.Errorf("%d creates, %d conditional writes, failures %v; want the entry read back once", s.creates, s.replaces, f.reached)
	}
}

// conflictingStore has another entry of the daemon at first; the write that replaces it takes
// effect, and its reply shows another era.
type conflictingStore struct {
	*fakeStore
	creates, replaces int
	value             json.RawMessage
}

// Create implements Store.
func (s *conflictingStore) Create(_ context.Context, _ Kind, name string, _ any) (Object, error) {
	s.creates++
	return Object{Name: name, Era: 4, Value: s.value}, ErrConflict
}

// Replace implements Store.
func (s *conflictingStore) Replace(_ context.Context, _ Kind, _ Object, value any) error {
	s.replaces++
	var err error
	if s.value, err = json.Marshal(value); err != nil {
		return err
	}
	return fmt.Errorf("%w: answered in era 5", ErrEraChanged)
}

// Guards against keys of tenants that are kept and passed on in a retained configuration of
// a daemon that does not hide them.
func TestRetainedKeysAreHidden(t *testing.T) {
	f := NewFollower(FollowerConfig{
		Store: newFakeStore(), Decoder: hidingDecoder{}, Post: func(gateway.Event) {}, OnInvalid: func(Kind, string, error) {},
		Turn: func() gateway.WatchTurn { return gateway.WatchTurn{Count: 1, Interval: testWatchInterval} },
	})
	f.replaceState(KindConfig, newKindState([]Object{{Name: configName, Era: 5, Revision: 1, Value: json.RawMessage(`{"Version":7}`)}}, Position{5, 1}), sourceList, false)
	f.Adopt("b", View{Era: 5, Retained: map[Kind]map[string]Retained{KindConfig: {configName: {Object: Object{Name: configName, Era: 4, Value: json.RawMessage(`{"Version":8,"key":"k"}`)}}}}}, nil)
	if got := string(f.RetainedObjects()[KindConfig][configName].Object.Value); got != `{"Version":8}` {
		t.Errorf("retained: %s", got)
	}
}

// hidingDecoder replaces each configuration by one without keys.
type hidingDecoder struct{ modelDecoder }

// HideKeys implements Decoder.
func (hidingDecoder) HideKeys(value json.RawMessage, _ bool) (json.RawMessage, error) {
	var c gateway.Config
	if err := json.Unmarshal(value, &c); err != nil {
		return nil, err
	}
	return json.RawMessage(fmt.Sprintf(`{"Version":%d}`, c.Version)), nil
}

// Guards against a verdict with a revision of an earlier era that is sent because the daemon
// knows of the new one only from another daemon.
func TestVerdictOfAnEarlierEraIsNotSent(t *testing.T) {
	s := newFakeStore()
	f := newRecordingFollower(s)
	f.Adopt("b", View{Era: 5}, nil)
	for era, want := range map[uint64]int{4: 0, 5: 1} {
		s.verdicts = 0
		err := f.writeVerdict(t.Context(), gateway.WriteVerdict{Service: "x", Era: era, Revision: 7})
		if errors.Is(err, ErrEraChanged) != (want == 0) || s.verdicts != want {
			t.Errorf("era %d: %d sent, %v; want %d", era, s.verdicts, err, want)
		}
	}
}
