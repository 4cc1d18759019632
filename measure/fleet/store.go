package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
)

// store is the platform's store.
type store struct {
	down     bool
	config   *gateway.Config
	servers  []gateway.Server
	daemons  map[string]gateway.DaemonEntry
	revision uint64
}

func (s *store) leafsOf(service string) []string {
	var out []string
	for _, srv := range s.servers {
		if srv.Service == service {
			out = append(out, srv.ID)
		}
	}
	return out
}

func (s *store) daemonList() []gateway.DaemonEntry {
	var out []gateway.DaemonEntry
	for _, name := range slices.Sorted(maps.Keys(s.daemons)) {
		out = append(out, s.daemons[name])
	}
	return out
}

func (s *store) setConfig(w *world, c *gateway.Config) {
	s.config = c
	s.changed(w)
}

// changed tells the daemons that watch the store.
func (s *store) changed(w *world) {
	s.revision++
	for _, d := range w.daemons {
		if d.watching {
			d.readStore(storeTime)
		}
	}
}

// Pauses between calls of a daemon to a store that does not answer, as pkg/edge has them.
const (
	storeBackoff    = 100 * time.Millisecond
	maxStoreBackoff = 800 * time.Millisecond
)

// readStore makes a daemon read the store after a delay, again and again until it
// answers.
func (d *daemon) readStore(delay time.Duration) {
	run := d.run
	d.w.after(delay, func() { d.readStoreNow(run, storeBackoff) })
}

func (d *daemon) readStoreNow(run int, backoff time.Duration) {
	if d.run != run || !d.running {
		return
	}
	s := &d.w.store
	if s.down {
		d.step(gateway.StoreReached{Cause: "the store is down"})
		d.w.after(backoff/2+durationUpTo(d.w, backoff), func() { d.readStoreNow(run, min(2*backoff, maxStoreBackoff)) })
		return
	}
	s.daemons[d.entry.Name] = d.entry
	d.step(gateway.StoreReached{OK: true})
	d.takeView(s.config, s.revision+1, "store")
	d.step(gateway.DaemonsListed{Daemons: s.daemonList()})
	d.step(gateway.StoreRead{})
}

// takeView applies a configuration and the list of leafs.
func (d *daemon) takeView(c *gateway.Config, revision uint64, source string) {
	copied := *c
	d.step(gateway.ConfigSeen{Config: &copied, Source: gateway.ViewSource{Call: source}})
	if revision > d.viewRevision {
		d.viewRevision = revision
		d.step(gateway.ServersListed{Servers: d.w.store.servers})
		d.step(gateway.ViewAdvanced{Revisions: gateway.ViewRevisions{Servers: revision}})
	}
}
