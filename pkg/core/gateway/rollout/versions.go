package rollout

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// retirement says how far a version is excluded.
type retirement uint8

const (
	// never means that no request may go to the version.
	never retirement = iota + 1
	// lastResort means that the version is used only if no leaf of another one is left.
	lastResort
)

// versions are the versions of a service's leafs by how they may be used.
type versions struct {
	inUse   map[string]bool
	retired map[string]retirement
	// held has the times since when versions are known that nothing allows yet.
	held map[string]model.Time
}

func newVersions() versions {
	return versions{inUse: map[string]bool{}, retired: map[string]retirement{}, held: map[string]model.Time{}}
}

// maxVersions bounds the versions that are remembered without a leaf.
const maxVersions = 64

// startOrder makes the target version one that only the order allows.
func (v *versions) startOrder(now model.Time, target string, leafs []Leaf) {
	delete(v.retired, target)
	delete(v.held, target)
	delete(v.inUse, target)
	v.learn(now, leafs, target)
}

// replaceBy makes target the only version in use. Other versions that are known by now are
// not used again.
func (v *versions) replaceBy(target string) {
	for version := range v.inUse {
		v.retire(version, never)
	}
	for version := range v.held {
		v.retire(version, never)
	}
	delete(v.retired, target)
	v.inUse = map[string]bool{target: true}
}

func (v *versions) retire(version string, r retirement) {
	delete(v.inUse, version)
	delete(v.held, version)
	v.retired[version] = r
}

// learn takes note of the versions of the leafs. Without a version in use, that of the leaf
// that started first is: the leafs of a roll-out start after those that they replace.
func (v *versions) learn(now model.Time, leafs []Leaf, target string) {
	present := map[string]bool{}
	for _, l := range leafs {
		present[l.Version] = true
	}
	if len(v.inUse) == 0 {
		if first, ok := v.oldest(leafs, target); ok {
			v.inUse[first] = true
			delete(v.held, first)
		}
	}
	for version := range present {
		_, held := v.held[version]
		if !held && !v.inUse[version] && v.retired[version] == 0 && version != target {
			v.held[version] = now
		}
	}
	maps.DeleteFunc(v.held, func(version string, _ model.Time) bool { return !present[version] })
	if len(v.retired) > maxVersions {
		maps.DeleteFunc(v.retired, func(version string, _ retirement) bool { return !present[version] })
	}
	if len(v.inUse) > maxVersions {
		maps.DeleteFunc(v.inUse, func(version string, _ bool) bool { return !present[version] })
	}
}

// oldest returns the version of the leaf that started first, of those that may be used; if
// start times are not known, the version with the most leafs.
func (v *versions) oldest(leafs []Leaf, target string) (version string, ok bool) {
	count := map[string]int{}
	var candidates []Leaf
	for _, l := range leafs {
		count[l.Version]++
		if l.Version != target && v.retired[l.Version] == 0 {
			candidates = append(candidates, l)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	first := slices.MinFunc(candidates, func(a, b Leaf) int {
		if a.StartedMS > 0 && b.StartedMS > 0 && a.StartedMS != b.StartedMS {
			return cmp.Compare(a.StartedMS, b.StartedMS)
		}
		return cmp.Or(cmp.Compare(count[b.Version], count[a.Version]), strings.Compare(a.Version, b.Version))
	})
	return first.Version, true
}

// release puts versions into use that were held back long enough: leafs are also replaced
// by leafs of another version without an order.
func (v *versions) release(now model.Time, l Limits) {
	for version, since := range v.held {
		if now.Sub(since) >= l.Hold {
			delete(v.held, version)
			v.inUse[version] = true
		}
	}
}

// Use says which requests a leaf may get.
type Use uint8

// Uses.
const (
	// Unused leafs get no requests.
	Unused Use = iota
	// LastResort leafs get requests only if no leaf of the service is in full use.
	LastResort
	// Sampled leafs get the requests that Sample chooses.
	Sampled
	// Full leafs get requests as any leaf.
	Full
)

// SetLeafs takes over the leafs of the service.
func (s *State) SetLeafs(now model.Time, leafs []Leaf) {
	s.leafs = leafs
	target := ""
	if s.running() {
		target = s.run.Target
	}
	if s.running() {
		s.run.ramping = s.run.local == Completed && now.Sub(s.run.decidedAt) < rampTime
	}
	s.versions.learn(now, leafs, target)
	s.versions.release(now, s.limits)
}

// Use returns which requests a leaf of the version may get.
func (s *State) Use(version string) Use {
	if s.running() && version == s.run.Target {
		switch s.run.local {
		case Completed:
			return Full
		case RolledBack:
			return Unused
		}
		return Sampled
	}
	_, held := s.versions.held[version]
	switch {
	case s.versions.retired[version] == never:
		return Unused
	case s.versions.retired[version] == lastResort, held:
		return LastResort
	case s.running() && s.run.local == Completed && !s.run.ramping:
		return LastResort
	}
	return Full
}
