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
	former, target count
	byLeaf         map[string]count
	strata         []*stratum
}

// groups returns the evidence of all routes together, followed by that of each route.
func (l *ledger) groups() []group {
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
	for leaf, c := range x.target {
		g.target = g.target.plus(c)
		g.byLeaf[leaf] = g.byLeaf[leaf].plus(c)
	}
	g.strata = append(g.strata, x)
	g.former = g.former.plus(x.former)
}

// tables returns the tables of one kind of fault without the answers of some leafs of the
// target version.
func (g *group) tables(kind faultKind, without map[string]bool) []table {
	out := make([]table, 0, len(g.strata))
	for _, x := range g.strata {
		var target count
		for leaf, c := range x.target {
			if !without[leaf] {
				target = target.plus(c)
			}
		}
		out = append(out, table{target: target.of(kind), former: x.former.of(kind)})
	}
	return out
}

// foldedStratum is a stratum with what was added from slots next to it.
type foldedStratum struct {
	stratum
	daemon, route string
}

// minFormerRatio is the number of answers of the former versions for each one of the target
// below which a stratum shows little by itself.
const minFormerRatio = 2

// lopsided reports whether a stratum has few answers of the former versions, as during the move
// to the target version, of which the first moments still have some.
func (x *stratum) lopsided() bool {
	target := uint64(0)
	for _, c := range x.target {
		target += c.all
	}
	return x.former.all < minFormerRatio*target
}

// folded returns the strata. A lopsided one is added to the one before of the same daemon and
// route, or to the one after it.
func (l *ledger) folded() []foldedStratum {
	keys := slices.SortedFunc(maps.Keys(l.strata), func(a, b stratumKey) int {
		return cmp.Or(strings.Compare(a.daemon, b.daemon), strings.Compare(a.route, b.route), cmp.Compare(a.slot, b.slot))
	})
	var out []foldedStratum
	for _, key := range keys {
		x := l.strata[key]
		if last := len(out) - 1; last >= 0 && out[last].daemon == key.daemon && out[last].route == key.route && (x.lopsided() || out[last].lopsided()) {
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
