package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/pistachiousher/pistachiousher/pkg/bundle"
	"github.com/pistachiousher/pistachiousher/pkg/controls"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/standin/platform"
)

// fixture is a client of a stand-in platform. beforePut runs once, before the
// platform handles the next write.
type fixture struct {
	*Client
	platform  *platform.Server
	address   string
	mu        sync.Mutex
	beforePut func(w http.ResponseWriter)
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{platform: platform.New(platform.Options{})}
	handler := f.platform.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			f.mu.Lock()
			hook := f.beforePut
			f.beforePut = nil
			f.mu.Unlock()
			if hook != nil {
				hook(w)
			}
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	f.address = strings.TrimPrefix(server.URL, "http://")
	f.Client = NewClient([]string{f.address})
	return f
}

func envelope(t *testing.T, version int, hedge string) bundle.Envelope {
	t.Helper()
	e, err := bundle.NewEnvelope("b.yaml", fmt.Appendf(nil, `version: %d
services:
  - name: s
    policy: {mode: coverage_first, hedge_budget: %s}
    callers: [{name: c, share: 1}]
    layouts: [{name: l, shards: [{name: s1, replicas: [a, b, c]}]}]
backend_servers:
  - {name: a, failure_domain: d1, address: "127.0.0.1:1", slots: 1, connections: 1}
  - {name: b, failure_domain: d2, address: "127.0.0.1:2", slots: 1, connections: 1}
  - {name: c, failure_domain: d3, address: "127.0.0.1:3", slots: 1, connections: 1}
`, version, hedge))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func (f *fixture) propose(t *testing.T, version int, hedge string) {
	t.Helper()
	if _, err := f.Propose(context.Background(), envelope(t, version, hedge)); err != nil {
		t.Fatal(err)
	}
}

func (f *fixture) store(t *testing.T, key string, value []byte) {
	t.Helper()
	o, _ := f.platform.Get(key)
	if _, err := f.platform.Put(key, value, o.Version); err != nil {
		t.Error(err)
	}
}

// Guards against reporting success, or that nothing was changed, for a write
// that may still take effect.
func TestLostWriteStaysUnknown(t *testing.T) {
	f := newFixture(t)
	f.beforePut = func(http.ResponseWriter) { panic(http.ErrAbortHandler) }
	_, err := f.Propose(context.Background(), envelope(t, 1, "0"))
	if !errors.Is(err, ErrUnknownOutcome) {
		t.Errorf("got %v", err)
	}
	if n := f.platform.Counts().Writes; n != 0 {
		t.Errorf("the write was repeated %d times", n)
	}
}

// Guards against reporting a write as done when its reply was lost and another
// writer's update won the race.
func TestLostReplyOfLostRace(t *testing.T) {
	f := newFixture(t)
	f.propose(t, 1, "0")
	f.propose(t, 2, "0.01")
	other, err := envelope(t, 3, "0.02").Encode()
	if err != nil {
		t.Fatal(err)
	}
	f.beforePut = func(http.ResponseWriter) {
		f.store(t, activeBundleKey, other)
		panic(http.ErrAbortHandler)
	}
	_, err = f.RollOut(context.Background(), RollOut{Version: 2, Base: 0})
	var race *ErrRace
	if !errors.As(err, &race) || race.Found != 3 || len(race.Diff) == 0 {
		t.Errorf("got %v", err)
	}
}

// Guards against two operators who roll out from the same base and both
// succeed, and against a roll-out that fails because a daemon rewrote the
// active object with the same contents.
func TestRacesOnActiveBundle(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	for v := 1; v <= 3; v++ {
		f.propose(t, v, fmt.Sprintf("0.0%d", v))
	}
	if _, err := f.RollOut(ctx, RollOut{Version: 1}); err != nil {
		t.Fatal(err)
	}
	f.beforePut = func(http.ResponseWriter) {
		active, _ := f.platform.Get(activeBundleKey)
		f.store(t, activeBundleKey, active.Value)
	}
	if changed, err := f.RollOut(ctx, RollOut{Version: 2, Base: 1}); err != nil || !changed {
		t.Errorf("rewrite of the same contents: got %v, %v", changed, err)
	}
	errs := make([]error, 2)
	f.propose(t, 4, "0.04")
	var wg sync.WaitGroup
	for i, version := range []uint64{3, 4} {
		wg.Go(func() { _, errs[i] = f.RollOut(ctx, RollOut{Version: version, Base: 2}) })
	}
	wg.Wait()
	var race *ErrRace
	if (errs[0] == nil) == (errs[1] == nil) || !errors.As(errors.Join(errs...), &race) {
		t.Errorf("got %v", errs)
	}
}

// Guards against a lost update of the controls, and against concurrent
// take-outs that together remove the last replica of a shard.
func TestRacesOnControls(t *testing.T) {
	f := newFixture(t)
	e := envelope(t, 1, "0")
	b, err := e.Bundle()
	if err != nil {
		t.Fatal(err)
	}
	errs := make([]error, 3)
	var wg sync.WaitGroup
	for i, domain := range []model.FailureDomain{"d1", "d2", "d3"} {
		wg.Go(func() {
			ch := controls.Change{Entry: model.ControlEntry{Author: string(domain), Reason: "r", Since: 1}}
			_, _, errs[i] = f.ChangeControls(context.Background(), func(c *model.Controls) (*model.Controls, bool, error) {
				return controls.TakeOut(c, b, domain, ch)
			})
		})
	}
	wg.Wait()
	failed := errors.Join(errs...)
	var last *controls.ErrLastReplica
	if !errors.As(failed, &last) || strings.Count(failed.Error(), "\n") != 0 {
		t.Errorf("got %v, want exactly one refusal", failed)
	}
	c, _, err := f.Controls(context.Background())
	if err != nil || c.Version != 2 || len(c.TakeOuts) != 2 {
		t.Errorf("got %+v, %v", c, err)
	}
}

// Guards against a call that fails although a later address of the platform
// answers, and against one that does not report that no address is available.
func TestAddressesInTurn(t *testing.T) {
	f := newFixture(t)
	f.propose(t, 1, "0")
	gone := httptest.NewServer(http.NotFoundHandler())
	unreachable := strings.TrimPrefix(gone.URL, "http://")
	gone.Close()
	busy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	t.Cleanup(busy.Close)
	addresses := []string{unreachable, strings.TrimPrefix(busy.URL, "http://"), f.address}
	if proposals, err := NewClient(addresses).List(context.Background(), proposalPrefix); err != nil || len(proposals) != 1 {
		t.Errorf("%d proposals, %v", len(proposals), err)
	}
	if _, err := NewClient(addresses[:2]).List(context.Background(), proposalPrefix); !errors.Is(err, ErrUnavailable) {
		t.Errorf("no address available: got %v, want ErrUnavailable", err)
	}
}
