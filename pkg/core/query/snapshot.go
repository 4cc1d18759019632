package query

import (
	"slices"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// pinRequest says for what a snapshot is chosen.
type pinRequest struct {
	bundle  *model.Bundle
	service *model.Service
	// key limits the asked shards to its holder.
	key string
	// gone corrects the reports by what servers said themselves.
	gone []served
	// newerThan, if set, excludes snapshots that are not newer.
	newerThan *model.Snapshot
}

// served is what a server said of its versions of one shard.
type served struct {
	server   model.ServerName
	layout   model.LayoutName
	shard    model.ShardName
	versions []uint64
}

// pin is a chosen snapshot and how much of its layout is served.
type pin struct {
	layout   *model.Layout
	order    int
	snapshot model.Snapshot
	// total and served count the layout's shards, asked and askedServed those
	// that the query asks.
	total       int
	served      int
	asked       int
	askedServed int
}

// tally counts the shards that have a version at a usable replica.
type tally struct {
	version   uint64
	lastShard int
	served    int
	asked     int
}

// choosePin chooses the snapshot that serves the largest fraction of the asked
// shards, then of all shards of its layout, then the highest version, then the
// later layout. Without any served version it is the last layout with index
// version 0, which no replica serves. known reports whether there is a report
// of any server of the service.
func (s *State) choosePin(c *step, p *pinRequest) (best pin, known bool) {
	for order := len(p.service.Layouts) - 1; order >= 0; order-- {
		layout := &p.service.Layouts[order]
		asked, reported := s.tallyLayout(c, p, layout)
		known = known || reported
		base := pin{layout: layout, order: order, total: len(layout.Shards), asked: asked}
		base.snapshot.Layout = layout.Name
		if best.layout == nil && asked > 0 {
			best = base
		}
		for _, t := range s.tallies {
			candidate := base
			candidate.snapshot.IndexVersion = t.version
			candidate.served, candidate.askedServed = t.served, t.asked
			if p.newer(&candidate) && candidate.better(&best) {
				best = candidate
			}
		}
	}
	return best, known
}

// tallyLayout fills s.tallies and returns the number of asked shards.
func (s *State) tallyLayout(c *step, p *pinRequest, layout *model.Layout) (asked int, reported bool) {
	s.tallies = s.tallies[:0]
	for i := range layout.Shards {
		shard := &layout.Shards[i]
		holds := p.key == "" || shard.Holds(p.key)
		if holds {
			asked++
		}
		for _, server := range shard.Replicas {
			report, ok := s.view.Report(server)
			if !ok {
				continue
			}
			reported = true
			if !report.Usable || s.serverOut(c, p.bundle, server) {
				continue
			}
			for _, v := range versionsOf(&report, layout.Name, shard.Name, p.gone) {
				s.count(v, i, holds)
			}
		}
	}
	return asked, reported
}

// count notes that a replica of the shard serves the version.
func (s *State) count(version uint64, shard int, asked bool) {
	i := slices.IndexFunc(s.tallies, func(t tally) bool { return t.version == version })
	if i < 0 {
		i = len(s.tallies)
		s.tallies = append(s.tallies, tally{version: version, lastShard: -1})
	}
	t := &s.tallies[i]
	if t.lastShard == shard {
		return
	}
	t.lastShard = shard
	t.served++
	if asked {
		t.asked++
	}
}

// newer reports whether the candidate may replace the snapshot to leave.
func (p *pinRequest) newer(candidate *pin) bool {
	old := p.newerThan
	if old == nil {
		return true
	}
	if candidate.snapshot.IndexVersion != old.IndexVersion {
		return candidate.snapshot.IndexVersion > old.IndexVersion
	}
	oldOrder := slices.IndexFunc(p.service.Layouts, func(l model.Layout) bool { return l.Name == old.Layout })
	return candidate.order > oldOrder
}

// better compares candidates; layouts are seen in order of preference, so an
// equal one is not better.
func (a *pin) better(b *pin) bool {
	if x, y := a.askedServed*b.asked, b.askedServed*a.asked; x != y {
		return x > y
	}
	if x, y := a.served*b.total, b.served*a.total; x != y {
		return x > y
	}
	return a.snapshot.IndexVersion > b.snapshot.IndexVersion
}

// serverOut reports whether controls keep new work from the server.
func (s *State) serverOut(c *step, b *model.Bundle, name model.ServerName) bool {
	server, ok := b.Server(name)
	return ok && s.view.Controls().ServerOut(server, c.Wall)
}

// versionsOf returns the versions of a shard that the server has by its own
// word, or else by its owner's report.
func versionsOf(report *model.ServerReport, layout model.LayoutName, shard model.ShardName, gone []served) []uint64 {
	for i := len(gone) - 1; i >= 0; i-- {
		g := &gone[i]
		if g.server == report.Server && g.layout == layout && g.shard == shard {
			return g.versions
		}
	}
	for i := range report.Serves {
		sv := &report.Serves[i]
		if sv.Layout == layout && sv.Shard == shard {
			return sv.Versions
		}
	}
	return nil
}
