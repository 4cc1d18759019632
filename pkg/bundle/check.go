package bundle

import (
	"cmp"
	"slices"

	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/yamldoc"
)

// Rules that this package checks in addition to those of package yamldoc.
const (
	RuleTarget         = "target"
	RuleSlots          = "slots"
	RuleDuplicateName  = "duplicate-name"
	RuleSharedAddress  = "shared-address"
	RuleShares         = "shares"
	RuleRangeOverlap   = "range-overlap"
	RuleRangeGap       = "range-gap"
	RuleUnknownReplica = "unknown-replica"
	RuleSharedServer   = "shared-server"
)

// shareSlack allows for rounding when decimal shares are added up.
const shareSlack = 1e-9

// checker checks the rules that concern several parts of a bundle.
type checker struct {
	doc     *yamldoc.Doc
	lines   *lines
	servers map[model.ServerName]int
	// usedBy maps each server to the index of the first service that uses it.
	usedBy map[model.ServerName]int
}

func checkBundle(doc *yamldoc.Doc, b *model.Bundle, l *lines) {
	c := checker{doc: doc, lines: l, servers: map[model.ServerName]int{}, usedBy: map[model.ServerName]int{}}
	c.checkServers(b.Servers)
	names := seenNames[model.ServiceName]{}
	for i := range b.Services {
		names.addOnce(doc, l.services[i], "service", b.Services[i].Name)
		c.checkCallers(i, &b.Services[i])
		c.checkLayouts(b, i)
	}
}

// seenNames holds the line of each name seen so far.
type seenNames[T ~string] map[T]int

func (u seenNames[T]) addOnce(doc *yamldoc.Doc, line int, kind string, name T) {
	if first, ok := u[name]; ok && name != "" {
		doc.Fault(line, RuleDuplicateName, "%s %q is already in line %d", kind, name, first)
		return
	}
	u[name] = line
}

func (c *checker) checkServers(servers []model.BackendServer) {
	names, addresses := seenNames[model.ServerName]{}, map[string]model.ServerName{}
	for i, s := range servers {
		line := c.lines.servers[i]
		names.addOnce(c.doc, line, "backend server", s.Name)
		if other, ok := addresses[s.Address]; ok && s.Address != "" {
			c.doc.Fault(line, RuleSharedAddress, "backend server %q has the address %s of %q; its slots would be counted twice", s.Name, s.Address, other)
		}
		addresses[s.Address] = s.Name
		c.servers[s.Name] = line
	}
}

func (c *checker) checkCallers(i int, s *model.Service) {
	names, sum := seenNames[model.CallerName]{}, 0.0
	for j, caller := range s.Callers {
		names.addOnce(c.doc, c.lines.callers[[2]int{i, j}], "caller", caller.Name)
		sum += caller.Share
	}
	if sum > 1+shareSlack {
		c.doc.Fault(c.lines.services[i], RuleShares, "the shares of the callers of service %q add up to %.4g, above 1", s.Name, sum)
	}
}

func (c *checker) checkLayouts(b *model.Bundle, i int) {
	s := &b.Services[i]
	names := seenNames[model.LayoutName]{}
	for j := range s.Layouts {
		line := c.lines.layouts[[2]int{i, j}]
		names.addOnce(c.doc, line, "layout", s.Layouts[j].Name)
		c.checkShards(b, i, j)
		c.checkRanges(i, j, &s.Layouts[j])
	}
}

func (c *checker) checkShards(b *model.Bundle, i, j int) {
	layout := &b.Services[i].Layouts[j]
	names := seenNames[model.ShardName]{}
	for k, sh := range layout.Shards {
		line := c.lines.shards[[3]int{i, j, k}]
		names.addOnce(c.doc, line, "shard", sh.Name)
		replicas := seenNames[model.ServerName]{}
		for n, server := range sh.Replicas {
			line := c.lines.replicas[[4]int{i, j, k, n}]
			replicas.addOnce(c.doc, line, "replica", server)
			c.checkReplica(b, i, line, server)
		}
	}
}

func (c *checker) checkReplica(b *model.Bundle, i, line int, server model.ServerName) {
	if server == "" {
		return
	}
	if _, ok := c.servers[server]; !ok {
		c.doc.Fault(line, RuleUnknownReplica, "%q is not among backend_servers", server)
		return
	}
	first, ok := c.usedBy[server]
	if !ok {
		c.usedBy[server] = i
		return
	}
	if first != i {
		c.doc.Fault(line, RuleSharedServer, "%q already serves service %q", server, b.Services[first].Name)
	}
}

// shardAtLine is a shard with its line.
type shardAtLine struct {
	model.Shard
	line int
}

// checkRanges checks that the shards of a layout cover every key exactly once.
func (c *checker) checkRanges(i, j int, l *model.Layout) {
	shards := make([]shardAtLine, len(l.Shards))
	for k, s := range l.Shards {
		shards[k] = shardAtLine{s, c.lines.shards[[3]int{i, j, k}]}
		if s.To != "" && s.From >= s.To {
			c.doc.Fault(shards[k].line, yamldoc.RuleRange, "shard %q holds no key: from %q is not below to %q", s.Name, s.From, s.To)
			return
		}
	}
	slices.SortStableFunc(shards, func(a, b shardAtLine) int { return cmp.Compare(a.From, b.From) })
	c.checkSequence(shards)
}

func (c *checker) checkSequence(shards []shardAtLine) {
	if len(shards) == 0 {
		return
	}
	if first := shards[0]; first.From != "" {
		c.doc.Fault(first.line, RuleRangeGap, "no shard holds the keys below %q", first.From)
	}
	furthest := shards[0]
	for _, s := range shards[1:] {
		switch {
		case furthest.To == "" || s.From < furthest.To:
			c.doc.Fault(s.line, RuleRangeOverlap, "shards %q and %q both hold key %q", furthest.Name, s.Name, s.From)
		case s.From > furthest.To:
			c.doc.Fault(s.line, RuleRangeGap, "no shard holds the keys from %q to %q", furthest.To, s.From)
		}
		if furthest.To != "" && (s.To == "" || s.To > furthest.To) {
			furthest = s
		}
	}
	if furthest.To != "" {
		c.doc.Fault(furthest.line, RuleRangeGap, "no shard holds the keys from %q", furthest.To)
	}
}
