package quota

import (
	"math"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// paceParts is the number of parts of a window. In each sequence of parts that is
	// shorter than a window, a daemon admits only as many requests as pace allows, so that
	// a process that starts after it need not count the whole share as spent for a whole
	// window.
	paceParts = 5
	// minPaced is the number of requests in a window from which a share is paced. Smaller
	// ones would be refused below the limit; the restart allowance covers them.
	minPaced = 6
)

// pace returns how many requests a daemon with a share of an allowance admits in some
// consecutive parts of a window: those of the rate in that time, the burst and the slack.
func (s *State) pace(l Limits, share float64, parts int) float64 {
	whole := s.allowance(l) * share
	if parts >= paceParts || whole < minPaced {
		return whole
	}
	later := s.bounds.Window.Seconds() * float64(paceParts-parts) / paceParts
	return whole - l.RatePerSecond*share*later
}

// paced is the share by which a daemon's requests are paced.
func (s *State) paced(now model.Time, a *account) float64 {
	return max(0, s.share(a)-s.lent(now, a)) + a.borrowedShare(now)
}

// isPaced reports whether one more request keeps to the pace.
func (s *State) isPaced(now model.Time, a *account) bool {
	share := s.paced(now, a)
	for parts := 1; parts < paceParts; parts++ {
		if a.admitted.since(partSlots(parts)+1) >= int(s.pace(a.limits, share, parts)) {
			return false
		}
	}
	return true
}

func partSlots(parts int) int64 { return int64(parts * windowSlots / paceParts) }

// pacedAt returns when one more request keeps to the pace.
func (s *State) pacedAt(now model.Time, a *account) model.Time {
	share, at := s.paced(now, a), now
	for parts := 1; parts < paceParts; parts++ {
		if limit := int(s.pace(a.limits, share, parts)); limit > 0 {
			at = max(at, a.admitted.below(limit, partSlots(parts), s.slot()))
		}
	}
	return at
}

// unspent is the share of a tenant that an earlier process of this daemon cannot have spent
// in the window that ends now, given that it kept to the pace and that its loans have
// ended.
func (s *State) unspent(now model.Time, a *account) float64 {
	left := s.spentUntil.Sub(now)
	if left >= s.bounds.Window {
		return 0
	}
	parts := int(math.Ceil(float64(left) / float64(s.bounds.Window) * paceParts))
	share := s.share(a)
	return max(0, share-s.pace(a.limits, share, parts)/s.allowance(a.limits))
}
