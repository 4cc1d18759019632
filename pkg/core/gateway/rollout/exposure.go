package rollout

import (
	"hash/fnv"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// sampleSlackShare is the part of the slack that all daemons together use before they
	// have decided. Half of them may count as active with another half during a partition,
	// and the requests of the move after a wrong decision also count.
	sampleSlackShare = 0.75
	// suspectSlackShare replaces sampleSlackShare, and suspectDuty sampleDuty, once there is a
	// hint of a fault: more answers decide sooner, and a move that turns out to be wrong is
	// less likely.
	suspectSlackShare = 0.85
	suspectDuty       = 3.0
	// samplePeriod is the time in which one leaf of the target version is sampled before the
	// next one is, in the same order at all daemons.
	samplePeriod = time.Second
	// maxSampledLeafs is the number of leafs that are sampled unless the share allows the
	// full rate of more: two can tell a fault of the version from one of a leaf, the third
	// is for one that is gone.
	maxSampledLeafs = 3
	// sampleDuty is how much longer in each period is sampled than the share alone allows,
	// so that the slack is used too.
	sampleDuty = 2.2
	// minRouteAnswers is the number of answers on a route below which its requests are also
	// sampled outside of the part of the period in which others are.
	minRouteAnswers = 12
)

// CountRequest counts a request of this daemon to the service.
func (s *State) CountRequest() {
	if s.running() {
		s.run.requests++
	}
}

// CountAttempt counts an attempt, of whatever cause, at a leaf of the version. It reports
// whether the attempt exposes the target version.
func (s *State) CountAttempt(version string) bool {
	if !s.running() || version != s.run.Target {
		return false
	}
	s.run.exposed++
	return true
}

// mayExpose reports whether one more request may go to the target version. The sum over
// all daemons of what this allows is within the bounds without any message: shares of own
// requests add up to the share of all requests, and slackShare to at most 1.
func (r *run) mayExpose(l Limits) bool {
	slackShare := sampleSlackShare
	if r.suspect {
		slackShare = suspectSlackShare
	}
	return float64(r.exposed)+1 <= l.Share*float64(r.requests)+r.slack*slackShare
}

// Sample returns the leaf of the target version that the first attempt of a request on the
// route is to go to; "" if none is. random is uniform in [0, 1).
//
// In each period one leaf gets, for a part of the period, the rate that it will have after
// the roll-out. A version that fails only under load shows that, which it would not if all
// its leafs got a tenth of the rate.
func (s *State) Sample(now model.Time, route string, random float64) string {
	if !s.running() || s.run.local != Undecided || !s.run.mayExpose(s.limits) {
		return ""
	}
	leafs := s.sampledLeafs()
	if len(leafs) == 0 {
		return ""
	}
	elapsed := now.Sub(s.run.seenAt)
	total := s.usableTargets()
	duty := s.limits.Share * sampleDuty * float64(total)
	if s.run.suspect {
		duty = s.limits.Share * suspectDuty * float64(total)
	}
	inPeriod := float64(elapsed%samplePeriod) / float64(samplePeriod)
	chance := 1 / float64(total)
	if inPeriod >= duty {
		if s.run.ledger.targetAnswers(route) >= minRouteAnswers {
			return ""
		}
		chance = min(chance, s.limits.Share)
	}
	if random >= chance {
		return ""
	}
	return leafs[int(elapsed/samplePeriod)%len(leafs)].ID
}

// usableTargets is the number of usable leafs of the target version.
func (s *State) usableTargets() int {
	n := 0
	for _, l := range s.leafs {
		if l.Usable && l.Version == s.run.Target {
			n++
		}
	}
	return n
}

// sampledLeafs returns the usable leafs of the target version that get requests, the same at
// all daemons, those of different failure domains first.
func (s *State) sampledLeafs() []Leaf {
	var targets []Leaf
	for _, l := range s.leafs {
		if l.Usable && l.Version == s.run.Target {
			targets = append(targets, l)
		}
	}
	slices.SortFunc(targets, func(a, b Leaf) int {
		ha, hb := leafHash(a.ID), leafHash(b.ID)
		switch {
		case ha < hb:
			return -1
		case ha > hb:
			return 1
		}
		return strings.Compare(a.ID, b.ID)
	})
	count := max(int(math.Ceil(s.limits.Share*float64(len(targets)))), min(maxSampledLeafs, len(targets)))
	var chosen, others []Leaf
	domains := map[string]bool{}
	for _, l := range targets {
		if domains[l.FailureDomain] {
			others = append(others, l)
			continue
		}
		domains[l.FailureDomain] = true
		chosen = append(chosen, l)
	}
	return append(chosen, others...)[:count]
}

func leafHash(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
