package query

import (
	"math"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// serverTimeWeight is the weight of a new sample in a server's average
	// queue time and service time.
	serverTimeWeight = 0.25
	// ownSamplesMaxAge is the age up to which the queue times of this daemon's
	// own sub-results are used instead of the owner's report. Reports are up to
	// 1.5 s old, and what they say about the queue is outdated by then.
	ownSamplesMaxAge = time.Second
	// queueTimeHalfLife is the time in which an average queue time halves
	// without new samples, so that a server that had a queue is tried again.
	queueTimeHalfLife = 200 * time.Millisecond
	// defaultServiceTime is the assumed service time of a server before its
	// first answer. Only its ratio to the queue times matters.
	defaultServiceTime = 10 * time.Millisecond
)

// serverTimes holds the average queue time and service time of a server, in
// nanoseconds, from this daemon's own recent sub-results.
type serverTimes struct {
	queueTime   float64
	serviceTime float64
	updatedAt   model.Time
}

// observe adds a sub-result. A sub-request that the owner refused for its queue
// or deadline counts with the owner's estimate of the queue time, RetryAfter,
// if that is longer than it waited.
func (w *serverTimes) observe(now model.Time, res *model.SubResult) {
	queueTime := res.QueueTime
	switch res.Outcome {
	case model.OutcomeOK:
		w.serviceTime += serverTimeWeight * (float64(res.ServiceTime) - w.serviceTime)
	case model.OutcomeQueueFull, model.OutcomeExpired:
		queueTime = max(queueTime, res.RetryAfter)
	default:
		return
	}
	w.queueTime = w.expectedQueue(now)
	w.queueTime += serverTimeWeight * (float64(queueTime) - w.queueTime)
	w.updatedAt = now
}

// expectedQueue returns the average queue time, decayed to now.
func (w *serverTimes) expectedQueue(now model.Time) float64 {
	return w.queueTime * math.Exp2(-float64(now.Sub(w.updatedAt))/float64(queueTimeHalfLife))
}

// observeServerTimes adds a sub-result to the averages of its server.
func (s *State) observeServerTimes(now model.Time, res *model.SubResult) {
	w := s.serverTimes[res.Server]
	if w == nil {
		w = &serverTimes{serviceTime: float64(defaultServiceTime)}
		s.serverTimes[res.Server] = w
	}
	w.observe(now, res)
}

// replicaWeight returns the server's weight in the choice of a replica: its
// slots divided by the square of the expected duration of a sub-request, which
// is queue time plus service time, in units of the service time. The choice is
// random by these weights instead of always the best server. Since all daemons
// decide on the same information, they would otherwise all send their queries
// to that server until they learned of its queue.
func (s *State) replicaWeight(now model.Time, report *model.ServerReport) float64 {
	limit := float64(max(1, report.Limit))
	serviceTime, queueTime := float64(defaultServiceTime), 0.0
	w := s.serverTimes[report.Server]
	if w != nil {
		serviceTime = max(w.serviceTime, 1)
	}
	if w != nil && now.Sub(w.updatedAt) < ownSamplesMaxAge {
		queueTime = w.expectedQueue(now)
	} else {
		queueTime = serviceTime * max(0, float64(report.Load)-limit) / limit
	}
	return limit * math.Pow(1+queueTime/serviceTime, -2)
}
