package gateway

import (
	"slices"
	"strings"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/rollout"
)

func (s *State) runningRollouts() int {
	n := 0
	for name := range s.rollouts.attention {
		if o, _, ok := s.rollouts.byService[name].Order(); ok && o.Verdict == rollout.Undecided {
			n++
		}
	}
	return n
}

// RolloutStatus is what a daemon knows about the order of a service.
type RolloutStatus struct {
	Service    string `json:"service"`
	Target     string `json:"target"`
	State      string `json:"state"`
	Acting     string `json:"acting"`
	Reason     string `json:"reason,omitempty"`
	AgeMS      int64  `json:"ageMs"`
	DurationMS int64  `json:"durationMs"`
	// Requests and Exposed are this daemon's requests to the service and its attempts at
	// the target version since it knows the order.
	Requests uint64 `json:"requests"`
	Exposed  uint64 `json:"exposed"`
	// Answers and Bad are those of the target version that this daemon knows of, Former and
	// FormerBad those of the versions before.
	Answers   uint64 `json:"answers"`
	Bad       uint64 `json:"bad"`
	Former    uint64 `json:"former"`
	FormerBad uint64 `json:"formerBad"`
	// Invalid is why the object of the order is ignored.
	Invalid string `json:"invalid,omitempty"`
}

// Rollouts returns the orders that this daemon knows, sorted by service.
func (s *State) Rollouts() []RolloutStatus {
	out := []RolloutStatus{}
	for name, x := range s.rollouts.byService {
		o, acting, ok := x.Order()
		if !ok {
			continue
		}
		f := x.Figures(s.now)
		out = append(out, RolloutStatus{
			Service: name, Target: o.Target, State: o.Verdict.String(), Acting: acting.String(), Reason: f.Reason, AgeMS: f.Age.Milliseconds(), DurationMS: o.Duration.Milliseconds(),
			Requests: f.Requests, Exposed: f.Exposed, Answers: f.Answers, Bad: f.Bad, Former: f.Former, FormerBad: f.FormerBad,
		})
	}
	for name, reason := range s.rollouts.invalid {
		out = append(out, RolloutStatus{Service: name, State: "ignored", Invalid: reason})
	}
	slices.SortFunc(out, func(a, b RolloutStatus) int { return strings.Compare(a.Service, b.Service) })
	return out
}
