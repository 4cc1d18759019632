package edged_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/edged"
	"github.com/pistachiousher/pistachiousher/platform/standin"
)

// versionedLeafs starts leafs of a version in two failure domains.
func (s *site) versionedLeafs(version string, started int64, b standin.Behavior) []*standin.Leaf {
	var out []*standin.Leaf
	for i := range 2 {
		l := standin.StartLeaf(fmt.Sprintf("%s-%d", version, i), b)
		s.t.Cleanup(l.Close)
		s.store.PutServer(gateway.Server{
			ID: l.ID, Service: "s0", Address: l.Address(), FailureDomain: []string{"a", "b"}[i], Slots: 4, Version: version, StartedMS: started,
		})
		out = append(out, l)
	}
	return out
}

// Guards against orders that daemons do not follow in the store, verdicts that do not reach
// it, and bad versions that go on getting requests.
func TestRolloutsEndWithAVerdict(t *testing.T) {
	for _, c := range []struct {
		name     string
		behavior standin.Behavior
		lost     int
		want     string
	}{
		{"good", standin.Behavior{Body: []byte("new")}, 0, "completed"},
		{"bad", standin.Behavior{Fail: true}, 0, "rolled_back"},
		{"bad, reply lost", standin.Behavior{Fail: true}, 1, "rolled_back"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSite(t)
			r := route("/r/", "s0")
			s.configure(r)
			s.versionedLeafs("v1", 1000, standin.Behavior{Body: []byte("old")})
			d := s.rolloutDaemon(1)
			eventually(t, startTimeout, "ready", d.ready)
			stop := d.keepAsking()
			defer stop()
			// A daemon that has just started exposes nothing.
			time.Sleep(time.Second)
			s.store.LoseStatusReplies(c.lost)
			target := s.versionedLeafs("v2", 2000, c.behavior)
			s.store.OrderRollout("s0", "v2", 8*time.Second)
			eventually(t, 30*time.Second, "verdict", func() bool {
				state, _ := s.store.RolloutState("s0")
				return state != ""
			})
			if state, version := s.store.RolloutState("s0"); state != c.want || version != "v2" {
				t.Errorf("state %s of %s, want %s of v2", state, version, c.want)
			}
			eventually(t, 5*time.Second, "the daemon logs the verdict", func() bool {
				return strings.Contains(d.log.String(), "edge_rollout_verdict")
			})
			if c.want == "rolled_back" {
				before := len(target[0].Ran()) + len(target[1].Ran())
				time.Sleep(500 * time.Millisecond)
				if after := len(target[0].Ran()) + len(target[1].Ran()); after != before {
					t.Errorf("%d requests at the version after the verdict", after-before)
				}
			}
			if got := s.store.StatusWrites(); got != 1 {
				t.Errorf("%d writes of the status took effect, want 1", got)
			}
		})
	}
}

// rolloutDaemon starts a daemon with roll-outs.
func (s *site) rolloutDaemon(n int) *daemon {
	d := s.daemon(n)
	d.stop()
	text := d.settingsText + "rollout: {share: 0.1, slack: 50, stop_within: 5s, order_within: 500ms}\n"
	text = strings.Replace(text, "regions: [{failure_domain: a, region: north}]", "regions: [{failure_domain: a, region: north}, {failure_domain: b, region: north}]", 1)
	settings, err := edged.ParseSettings("test", []byte(text))
	if err != nil {
		s.t.Fatal(err)
	}
	d.settings = settings
	d.start()
	return d
}

// keepAsking sends requests one after the other from several callers until it is stopped.
func (d *daemon) keepAsking() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(10 * time.Millisecond):
				}
				d.call("GET", "/r/x", fmt.Sprintf("c%d-%d", i, n), time.Second, "")
			}
		}()
	}
	return func() {
		close(done)
		wg.Wait()
	}
}
