package query

import (
	"slices"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// snapshotRequest describes the query for which a snapshot is chosen.
type snapshotRequest struct {
	bundle  *model.Bundle
	service *model.Service
	// key, if set, limits the asked shards to the one that holds it.
	key string
	// versionGoneReplies take precedence over the owners' reports.
	versionGoneReplies []versionGoneReply
	// newerThan, if set, excludes snapshots that are not newer.
	newerThan *model.Snapshot
}

// versionGoneReply lists the versions of one shard that a server has, according
// to its version_gone reply.
type versionGoneReply struct {
	server   model.ServerName
	layout   model.LayoutName
	shard    model.ShardName
	versions []uint64
}

// snapshotChoice is a snapshot that is considered or chosen, and how much of
// its layout is served.
type snapshotChoice struct {
	layout      *model.Layout
	layoutIndex int
	snapshot    model.Snapshot
	// total and served count all shards of the layout, asked and askedServed
	// those that the query asks.
	total       int
	served      int
	asked       int
	askedServed int
}

// tally counts the shards for which a usable replica has the version.
type tally struct {
	version   uint64
	lastShard int
	served    int
	asked     int
}

// chooseSnapshot chooses the snapshot that serves the largest fraction of the
// asked shards, then of all shards of its layout, then the one with the highest
// version, then the one with the later layout. If no version is served, it
// returns the last layout with an asked shard and index version 0, which no
// replica serves. known reports whether there is a report on any server of the
// service.
func (s *State) chooseSnapshot(c *eventContext, p *snapshotRequest) (best snapshotChoice, known bool) {
	for layoutIndex := len(p.service.Layouts) - 1; layoutIndex >= 0; layoutIndex-- {
		layout := &p.service.Layouts[layoutIndex]
		asked, reported := s.tallyLayout(c, p, layout)
		known = known || reported
		base := snapshotChoice{layout: layout, layoutIndex: layoutIndex, total: len(layout.Shards), asked: asked}
		base.snapshot.Layout = layout.Name
		if best.layout == nil && asked > 0 {
			best = base
		}
		for _, t := range s.tallies {
			candidate := base
			candidate.snapshot.IndexVersion = t.version
			candidate.served, candidate.askedServed = t.served, t.asked
			if p.accepts(&candidate) && candidate.betterThan(&best) {
				best = candidate
			}
		}
	}
	return best, known
}

// tallyLayout fills s.tallies for the layout. It returns the number of asked
// shards and whether there is a report on any of the layout's servers.
func (s *State) tallyLayout(c *eventContext, p *snapshotRequest, layout *model.Layout) (asked int, reported bool) {
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
			for _, v := range versionsOf(&report, layout.Name, shard.Name, p.versionGoneReplies) {
				s.tallyVersion(v, i, holds)
			}
		}
	}
	return asked, reported
}

// tallyVersion counts a shard that has a replica with the version. A shard with
// several such replicas counts once, provided that all of them are passed
// before those of the next shard.
func (s *State) tallyVersion(version uint64, shard int, asked bool) {
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

// accepts reports whether the candidate is newer than p.newerThan, if that is
// set.
func (p *snapshotRequest) accepts(candidate *snapshotChoice) bool {
	old := p.newerThan
	if old == nil {
		return true
	}
	if candidate.snapshot.IndexVersion != old.IndexVersion {
		return candidate.snapshot.IndexVersion > old.IndexVersion
	}
	oldIndex := slices.IndexFunc(p.service.Layouts, func(l model.Layout) bool { return l.Name == old.Layout })
	return candidate.layoutIndex > oldIndex
}

// betterThan compares candidates. Layouts are considered in order of
// preference, so an equal candidate is not better.
func (a *snapshotChoice) betterThan(b *snapshotChoice) bool {
	if x, y := a.askedServed*b.asked, b.askedServed*a.asked; x != y {
		return x > y
	}
	if x, y := a.served*b.total, b.served*a.total; x != y {
		return x > y
	}
	return a.snapshot.IndexVersion > b.snapshot.IndexVersion
}

// serverOut reports whether controls exclude the server from new work.
func (s *State) serverOut(c *eventContext, b *model.Bundle, name model.ServerName) bool {
	server, ok := b.Server(name)
	return ok && s.view.Controls().ServerOut(server, c.Wall)
}

// versionsOf returns the versions of a shard that the server has: those of its
// latest version_gone reply if there is one, otherwise those of its owner's
// report.
func versionsOf(report *model.ServerReport, layout model.LayoutName, shard model.ShardName, replies []versionGoneReply) []uint64 {
	for i := len(replies) - 1; i >= 0; i-- {
		reply := &replies[i]
		if reply.server == report.Server && reply.layout == layout && reply.shard == shard {
			return reply.versions
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
