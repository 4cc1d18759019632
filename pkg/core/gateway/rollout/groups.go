package rollout

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// group is the evidence on one route, or on all routes together.
type group struct {
	route          string
	tables         []table
	former, target count
	byLeaf         map[string]count
	strata         []*stratum
}

// tables returns the evidence of all routes together, followed by that of each route.
func (l *ledger) tables() []group {
	all := group{byLeaf: map[string]count{}}
	byRoute := map[string]*group{}
	for _, x := range l.folded() {
		g, ok := byRoute[x.route]
		if !ok {
			g = &group{route: x.route, byLeaf: map[string]count{}}
			byRoute[x.route] = g
		}
		g.add(&x.stratum)
		all.add(&x.stratum)
	}
	out := []group{all}
	for _, route := range slices.Sorted(maps.Keys(byRoute)) {
		out = append(out, *byRoute[route])
	}
	return out
}

func (g *group) add(x *stratum) {
	t := table{former: x.former}
	for leaf, c := range x.target {
		t.target = t.target.plus(c)
		g.byLeaf[leaf] = g.byLeaf[leaf].plus(c)
	}
	g.tables = append(g.tables, t)
	g.strata = append(g.strata, x)
	g.former, g.target = g.former.plus(t.former), g.target.plus(t.target)
}

// without returns the tables without the answers of some leafs of the target version.
func (g *group) without(leafs map[string]bool) []table {
	out := make([]table, 0, len(g.strata))
	for _, x := range g.strata {
		t := table{former: x.former}
		for leaf, c := range x.target {
			if !leafs[leaf] {
				t.target = t.target.plus(c)
			}
		}
		out = append(out, t)
	}
	return out
}

// foldedStratum is a stratum with what was added from slots next to it.
type foldedStratum struct {
	stratum
	daemon, route string
}

// folded returns the strata. One without answers of the former versions, as during the move
// to the target version, is added to the one before of the same daemon and route, or to the
// one after it: it could not be compared otherwise.
func (l *ledger) folded() []foldedStratum {
	keys := slices.SortedFunc(maps.Keys(l.strata), func(a, b stratumKey) int {
		return cmp.Or(strings.Compare(a.daemon, b.daemon), strings.Compare(a.route, b.route), cmp.Compare(a.slot, b.slot))
	})
	var out []foldedStratum
	for _, key := range keys {
		x := l.strata[key]
		if last := len(out) - 1; last >= 0 && out[last].daemon == key.daemon && out[last].route == key.route && (x.former.all == 0 || out[last].former.all == 0) {
			out[last].former = out[last].former.plus(x.former)
			for leaf, c := range x.target {
				out[last].target[leaf] = out[last].target[leaf].plus(c)
			}
			continue
		}
		out = append(out, foldedStratum{stratum{x.former, maps.Clone(x.target)}, key.daemon, key.route})
	}
	return out
}
