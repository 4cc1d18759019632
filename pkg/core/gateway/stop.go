package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// slowAnswerRatio is the time within which most answers arrive, as a multiple of the
// typical time of an attempt.
const slowAnswerRatio = 2

func (s *State) startShutdown(e StopRequested) {
	if s.stopping {
		return
	}
	s.stopping, s.stopEndsAt = true, model.Never
	if e.EndsIn > 0 {
		s.stopEndsAt = s.now.Add(e.EndsIn)
	}
	s.members.fullGossipPending = true
	s.emit(Log{Kind: LogStopStarted, Number: int64(len(s.queries))})
	for _, q := range s.queries {
		s.scheduleQuery(q)
	}
}

// endShutdown gives every open request its final answer: the parts that have arrived if
// they are enough, otherwise a refusal, which promises that the request has not run
// only if that is certain.
func (s *State) endShutdown() {
	s.stopping, s.stopEndsAt = true, s.now
	for _, id := range slices.Sorted(maps.Keys(s.queries)) {
		s.concludeAtDeadline(s.queries[id])
	}
}

// lastStart returns when a request on the route must have been sent to a leaf for its
// answer to be expected before a stopping daemon ends.
func (s *State) lastStart(r *Route) model.Time {
	if s.stopEndsAt == model.Never {
		return model.Never
	}
	typical := s.route(r).typicalAttemptTime(r)
	return s.stopEndsAt.Add(-max(r.LatencyTarget, time.Duration(slowAnswerRatio*typical)))
}

// stopsBeforeAnswer reports whether this daemon stops and ends before the answer to a
// request that is sent now can be expected, and before the request's deadline. Such a
// request is refused while it has not run: another daemon can serve it.
func (s *State) stopsBeforeAnswer(q *query) bool {
	return s.stopping && (s.now >= s.stopEndsAt || s.now >= s.lastStart(q.route) && q.deadline > s.stopEndsAt)
}
