// Package replay replays traces of real daemons through the core. It takes only
// the events of a trace, so that the traces stay valid when the core changes:
// two replays must agree, and their effects must have the stated outcomes.
//
// This records the traces anew, in about 40 s:
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
	// target is the time in which coverage recovers, a failure domain gets no
	// new work and a bundle is in effect.
	target = 3 * time.Second
)

var recordFlag = flag.Bool("record", false, "record the traces in testdata anew before the tests")

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

// step is one event and the effects of the replay.
type step struct {
	event   event.Event
	effects []effect.Effect
}

// late reports whether the step is later than the target after a wall time.
func (s step) late(wall int64) bool { return s.event.Wall > wall+target.Milliseconds() }

// replayed are the traces of one run by file name.
type replayed struct {
	facts
	steps map[string][]step
}

// load reads the events of a scenario, replays them twice and compares.
func load(t *testing.T, name string) replayed {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(testdata, name+".json"))
	if err != nil {
		t.Fatal(err)
	}
	r := replayed{steps: make(map[string][]step)}
	if err := json.Unmarshal(raw, &r.facts); err != nil {
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
	// The recorded hashes are of the core that recorded them.
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

// orderKey names the work of a request at one shard.
type orderKey struct {
	id    model.RequestID
	shard model.ShardName
}

// checkOrdersOnce checks that no daemon sent a non-idempotent request that it or
// another one had sent to the same shard.
func checkOrdersOnce(t *testing.T, r replayed) {
	t.Helper()
	sent := make(map[orderKey]int)
	for _, steps := range r.steps {
		forEach(steps, func(_ step, c effect.CallBackend) {
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

// checkSlots checks that no daemon had more calls to a server under way than
// the server's slots.
func checkSlots(t *testing.T, r replayed) {
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
					t.Errorf("%s: %d calls to %s at once", file, running[c.Sub.Server], c.Sub.Server)
				}
			}
		}
	}
}

// forEach calls f for each effect of a type.
func forEach[E effect.Effect](steps []step, f func(step, E)) {
	for _, s := range steps {
		for _, e := range s.effects {
			if e, ok := e.(E); ok {
				f(s, e)
			}
		}
	}
}

// Guards against coverage that stays low after the loss of an owner.
func TestReplayOwnerKilled(t *testing.T) {
	r := load(t, ownerKilled)
	answered := 0
	for file, steps := range r.steps {
		late := make(map[event.Token]bool)
		for _, s := range steps {
			if q, ok := s.event.Body.(event.QueryArrived); ok && s.late(r.ChangedAt) {
				late[q.Token] = true
			}
			for _, e := range s.effects {
				reply, ok := e.(effect.ReplyQuery)
				if !ok || !late[reply.Token] {
					continue
				}
				answered++
				if reply.Answer == nil || !reply.Answer.Complete {
					t.Errorf("%s: a query later than %v after the loss got %+v %+v", file, target, reply.Answer, reply.Refusal)
				}
			}
		}
	}
	if answered < daemons {
		t.Errorf("only %d queries later than %v after the loss", answered, target)
	}
}

// Guards against a bundle version that falls or comes late, and against work
// for the old layout after the new bundle is in effect.
func TestReplayBundleRolledOut(t *testing.T) {
	r := load(t, rolledOut)
	for file, steps := range r.steps {
		checkHeaders(t, file, steps, r.ChangedAt)
		halves := 0
		forEach(steps, func(s step, c effect.CallBackend) {
			if c.Sub.Service != processes.ServiceArchive || !s.late(r.ChangedAt) {
				return
			}
			halves++
			if c.Sub.Snapshot.Layout != processes.LayoutHalves {
				t.Errorf("%s: %s was sent for layout %s", file, c.Sub.RequestID, c.Sub.Snapshot.Layout)
			}
		})
		if halves == 0 {
			t.Errorf("%s: nothing was sent for the new bundle", file)
		}
	}
}

// checkHeaders checks the bundle versions of outgoing messages: they never fall
// and are at 2 when the target has passed.
func checkHeaders(t *testing.T, file string, steps []step, changed int64) {
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
			if s.late(changed) && last != 2 {
				t.Errorf("%s: %T has bundle version %d later than %v after the roll-out", file, e, last, target)
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

// Guards against new work for a failure domain that was taken out.
func TestReplayDomainTakenOut(t *testing.T) {
	r := load(t, domainOut)
	domain := make(map[model.ServerName]bool)
	for _, s := range processes.Servers() {
		domain[s.Name] = s.Domain == outDomain
	}
	early, others := 0, 0
	for file, steps := range r.steps {
		out := model.Never
		for _, s := range steps {
			if d, ok := s.event.Body.(event.DocumentArrived); ok && d.Document.Controls.DomainOut(outDomain, s.event.Wall) {
				out = min(out, s.event.Now)
			}
			for _, sub := range sentWork(s.effects) {
				switch {
				case out == model.Never || s.event.Now <= out.Add(target):
					early += count(domain[sub.Server])
				case domain[sub.Server]:
					t.Errorf("%s: %s was sent to %s %v after the controls arrived", file, sub.RequestID, sub.Server, s.event.Now.Sub(out))
				default:
					others++
				}
			}
		}
		if out == model.Never {
			t.Errorf("%s: the controls never arrived", file)
		}
	}
	if early == 0 || others == 0 {
		t.Errorf("%d calls to the domain before and %d elsewhere after: the run shows nothing", early, others)
	}
}

// sentWork returns the sub-requests that the effects send to owners and to
// backend servers. Owners get from a trace only what entry daemons sent when it
// was recorded, so both have to be looked at.
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

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
