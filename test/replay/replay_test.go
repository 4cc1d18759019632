// Package replay replays traces of real daemons through the core. It uses only
// the events of a trace, not the recorded effects, so that the traces stay valid
// when the core changes. Two replays must give the same effects, and the effects
// must have the outcomes that the tests state.
//
// To record the traces again, which takes about 40 s:
//
//	go test ./test/replay -record
package replay

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core"
	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/trace"
	"github.com/pistachiousher/pistachiousher/standin/processes"
)

const (
	testdata = "testdata"
	// recoveryTarget is the time within which coverage must recover, a failure
	// domain that was taken out must stop getting new work, and a bundle must be
	// in effect.
	recoveryTarget = 3 * time.Second
)

var recordFlag = flag.Bool("record", false, "record the traces in testdata again before the tests")

func TestMain(m *testing.M) {
	flag.Parse()
	if *recordFlag {
		if err := recordAll(context.Background(), testdata); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}

// step is one recorded event and the effects of its replay.
type step struct {
	event   event.Event
	effects []effect.Effect
}

// afterTarget reports whether the step is more than recoveryTarget after a wall
// time in Unix milliseconds.
func (s step) afterTarget(wall int64) bool { return s.event.Wall > wall+recoveryTarget.Milliseconds() }

// replayedRun has the replayed steps of one run by trace file.
type replayedRun struct {
	runInfo
	steps map[string][]step
}

// loadAndReplay replays the events of a scenario twice, compares the effects and
// checks the invariants that hold in every run.
func loadAndReplay(t *testing.T, name string) replayedRun {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(testdata, name+".json"))
	if err != nil {
		t.Fatal(err)
	}
	r := replayedRun{steps: make(map[string][]step)}
	if err := json.Unmarshal(raw, &r.runInfo); err != nil {
		t.Fatal(err)
	}
	for _, file := range r.Traces {
		first, second := replay(t, file), replay(t, file)
		for i := range first {
			if trace.Hash(first[i].effects) != trace.Hash(second[i].effects) {
				t.Fatalf("%s: step %d, %T: two replays differ", file, i, first[i].event.Body)
			}
		}
		r.steps[file] = first
	}
	checkOrdersOnce(t, r)
	checkSlots(t, r)
	return r
}

// replay feeds the events of a trace to a new core.
func replay(t *testing.T, file string) []step {
	t.Helper()
	f, err := os.Open(filepath.Join(testdata, file))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	in, cfg, err := trace.NewReader(f)
	if err != nil {
		t.Fatal(err)
	}
	var events []event.Event
	// The recorded hashes are ignored: a later core may give other effects.
	for {
		s, err := in.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		events = append(events, s.Event)
	}
	if len(events) == 0 {
		t.Fatalf("%s has no steps", file)
	}
	c, steps := core.New(cfg), make([]step, 0, len(events))
	for _, e := range events {
		steps = append(steps, step{e, c.Step(e)})
	}
	return steps
}

// orderKey identifies the work of one request at one shard.
type orderKey struct {
	id    model.RequestID
	shard model.ShardName
}

// checkOrdersOnce checks that the daemons together sent each non-idempotent
// request at most once to each shard.
func checkOrdersOnce(t *testing.T, r replayedRun) {
	t.Helper()
	sent := make(map[orderKey]int)
	for _, steps := range r.steps {
		forEachEffect(steps, func(_ step, c effect.CallBackend) {
			if !c.Sub.Idempotent {
				sent[orderKey{c.Sub.RequestID, c.Sub.Shard}]++
			}
		})
	}
	for k, n := range sent {
		if n > 1 {
			t.Errorf("order %s was sent %d times to shard %s", k.id, n, k.shard)
		}
	}
	if len(sent) == 0 {
		t.Error("no order was sent")
	}
}

// checkSlots checks that no daemon had more calls to a server in flight than
// the server has slots.
func checkSlots(t *testing.T, r replayedRun) {
	t.Helper()
	for file, steps := range r.steps {
		running := make(map[model.ServerName]int)
		for _, s := range steps {
			if b, ok := s.event.Body.(event.BackendAnswered); ok {
				running[b.Result.Server]--
			}
			for _, e := range s.effects {
				c, ok := e.(effect.CallBackend)
				if !ok {
					continue
				}
				if running[c.Sub.Server]++; running[c.Sub.Server] > processes.Slots {
					t.Errorf("%s: %d calls to %s in flight at once", file, running[c.Sub.Server], c.Sub.Server)
				}
			}
		}
	}
}

// forEachEffect calls f for each effect of type E.
func forEachEffect[E effect.Effect](steps []step, f func(step, E)) {
	for _, s := range steps {
		for _, e := range s.effects {
			if e, ok := e.(E); ok {
				f(s, e)
			}
		}
	}
}

// Guards against coverage that does not recover after an owner is killed.
func TestReplayOwnerKilled(t *testing.T) {
	r := loadAndReplay(t, ownerKilled)
	answered := 0
	for file, steps := range r.steps {
		late := make(map[event.Token]bool)
		for _, s := range steps {
			if q, ok := s.event.Body.(event.QueryArrived); ok && s.afterTarget(r.ChangedAt) {
				late[q.Token] = true
			}
			for _, e := range s.effects {
				reply, ok := e.(effect.ReplyQuery)
				if !ok || !late[reply.Token] {
					continue
				}
				answered++
				if reply.Answer == nil || !reply.Answer.Complete {
					t.Errorf("%s: a query that arrived more than %v after the loss got %+v %+v", file, recoveryTarget, reply.Answer, reply.Refusal)
				}
			}
		}
	}
	if answered < daemons {
		t.Errorf("only %d queries were answered that arrived more than %v after the loss", answered, recoveryTarget)
	}
}

// Guards against a bundle version that decreases or takes effect too late, and
// against work for the old layout after the new bundle is in effect.
func TestReplayBundleRolledOut(t *testing.T) {
	r := loadAndReplay(t, rolledOut)
	for file, steps := range r.steps {
		checkBundleVersions(t, file, steps, r.ChangedAt)
		archiveCalls := 0
		forEachEffect(steps, func(s step, c effect.CallBackend) {
			if c.Sub.Service != processes.ServiceArchive || !s.afterTarget(r.ChangedAt) {
				return
			}
			archiveCalls++
			if c.Sub.Snapshot.Layout != processes.LayoutHalves {
				t.Errorf("%s: %s was sent for layout %s", file, c.Sub.RequestID, c.Sub.Snapshot.Layout)
			}
		})
		if archiveCalls == 0 {
			t.Errorf("%s: no archive request was sent to a backend server after the roll-out", file)
		}
	}
}

// checkBundleVersions checks the bundle versions of outgoing messages: they never
// decrease and are 2 once recoveryTarget has passed.
func checkBundleVersions(t *testing.T, file string, steps []step, changed int64) {
	t.Helper()
	last := uint64(0)
	for _, s := range steps {
		for _, e := range s.effects {
			h, ok := headerOf(e)
			if !ok {
				continue
			}
			if h.BundleVersion < last {
				t.Errorf("%s: %T has bundle version %d after %d", file, e, h.BundleVersion, last)
			}
			last = h.BundleVersion
			if s.afterTarget(changed) && last != 2 {
				t.Errorf("%s: %T has bundle version %d more than %v after the roll-out", file, e, last, recoveryTarget)
			}
		}
	}
	if last != 2 {
		t.Errorf("%s ends with bundle version %d", file, last)
	}
}

// headerOf returns the header of a message to a peer.
func headerOf(e effect.Effect) (model.Header, bool) {
	switch e := e.(type) {
	case effect.SendHeartbeat:
		return e.Header, true
	case effect.ReplyHeartbeat:
		return e.Header, true
	case effect.SendExchange:
		return e.Header, true
	case effect.ReplyExchange:
		return e.Header, true
	case effect.SendHandover:
		return e.Header, true
	case effect.ReplyHandover:
		return e.Header, true
	case effect.ReplyDocument:
		return e.Header, true
	}
	return model.Header{}, false
}

// Guards against new work that is still sent to a failure domain more than
// recoveryTarget after the controls that take it out arrived.
func TestReplayDomainTakenOut(t *testing.T) {
	r := loadAndReplay(t, domainOut)
	inDomain := make(map[model.ServerName]bool)
	for _, s := range processes.Servers() {
		inDomain[s.Name] = s.Domain == outDomain
	}
	beforeTarget, others := 0, 0
	for file, steps := range r.steps {
		takenOutAt := model.Never
		for _, s := range steps {
			if d, ok := s.event.Body.(event.DocumentArrived); ok && d.Document.Controls.DomainOut(outDomain, s.event.Wall) {
				takenOutAt = min(takenOutAt, s.event.Now)
			}
			for _, sub := range sentWork(s.effects) {
				switch {
				case takenOutAt == model.Never || s.event.Now <= takenOutAt.Add(recoveryTarget):
					beforeTarget += boolToInt(inDomain[sub.Server])
				case inDomain[sub.Server]:
					t.Errorf("%s: %s was sent to %s %v after the controls arrived", file, sub.RequestID, sub.Server, s.event.Now.Sub(takenOutAt))
				default:
					others++
				}
			}
		}
		if takenOutAt == model.Never {
			t.Errorf("%s: the controls never arrived", file)
		}
	}
	if beforeTarget == 0 || others == 0 {
		t.Errorf("%d calls to the domain before and %d elsewhere after, want at least 1 of each", beforeTarget, others)
	}
}

// sentWork returns the sub-requests that the effects send to owners and to
// backend servers. Both are needed: in a replay an owner receives only the work
// that entry daemons sent during the recording, not what replayed entry daemons
// send.
func sentWork(effects []effect.Effect) []model.SubRequest {
	var subs []model.SubRequest
	for _, e := range effects {
		switch e := e.(type) {
		case effect.OpenExecute:
			subs = append(subs, e.Subs...)
		case effect.CallBackend:
			subs = append(subs, e.Sub)
		}
	}
	return subs
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
