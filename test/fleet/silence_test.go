package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/platform/standin"
)

// Guards against a route that daemons refuse although the store would have told them of it, because
// it is silent to those that watch it and to most of the others (CONFIG).
func TestRouteWhileStoreIsSilentToMost(t *testing.T) {
	const (
		applyWithin = 5 * time.Second
		silentShare = 0.7
	)
	for _, size := range sizes(t) {
		t.Run(fmt.Sprintf("%d daemons", size), func(t *testing.T) {
			t.Parallel()
			s := newSite(t, size)
			for _, d := range s.daemons {
				d.gate = startGate(t, s.store)
				d.writeSettings(fmt.Sprintf("apply_within: %v\n", applyWithin))
			}
			s.startAll(0)
			s.awaitReady(readyBound)
			time.Sleep(contact + rand.N(6*time.Second))
			silent := s.watchers()
			for _, i := range rand.Perm(size) {
				if float64(len(silent)) < silentShare*float64(size) && !slices.Contains(silent, s.daemons[i]) {
					silent = append(silent, s.daemons[i])
				}
			}
			silent = silent[:min(len(silent), size-1)]
			for _, d := range silent {
				d.gate.set(faults{Silent: true})
			}
			time.Sleep(rand.N(3 * time.Second))
			next := configuration(2)
			route := *next.Routes[0]
			route.Name, route.PathPrefix = "added", "/added/"
			next.Routes = append(next.Routes, &route)
			written := time.Now()
			s.store.PutConfig(next)
			s.checkServed(s.others(silent), "/added/x", written, applyWithin)
		})
	}
}

// watchers returns the daemons that watch the store.
func (s *site) watchers() (out []*daemon) {
	s.t.Helper()
	for _, d := range s.daemons {
		reply, err := d.status()
		if err != nil {
			s.t.Fatal(err)
		}
		if reply.Status.Watcher {
			out = append(out, d)
		}
	}
	return out
}

// checkServed reports daemons that do not serve a path within a time after it was written.
func (s *site) checkServed(asked []*daemon, path string, written time.Time, within time.Duration) {
	s.t.Helper()
	late, answers := map[*daemon]time.Duration{}, map[*daemon]standin.Answer{}
	for time.Since(written) < within+time.Second {
		for _, d := range asked {
			at := time.Since(written)
			if a := s.ask(d, path); a.Status != 200 {
				late[d], answers[d] = at, a
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	var last time.Duration
	for d, at := range late {
		last = max(last, at)
		if at > within {
			s.t.Errorf("%s answers %s with %d, %v, %v after it was written; its refusals:\n%s", d.name, path, answers[d].Status, answers[d].Err, at, d.refusals())
		}
	}
	s.t.Logf("%d daemons serve %s, the last not yet after %v", len(asked), path, last.Round(10*time.Millisecond))
}

// refusals returns what the daemon has logged about requests that it refused.
func (d *daemon) refusals() string {
	var out []string
	for line := range strings.Lines(d.output.String()) {
		if strings.Contains(line, "edge_refused") {
			out = append(out, line)
		}
	}
	return strings.Join(out[max(0, len(out)-20):], "")
}
