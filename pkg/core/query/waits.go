package query

import (
	"math"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// waitWeight is the weight of a new queue time in its server's average.
	waitWeight = 0.25
	// waitFresh is the age up to which queue times of this daemon's own
	// sub-results count more than the owner's report. Reports are up to 1.5 s
	// old; what they say of the queue is outdated by then.
	waitFresh = time.Second
	// waitHalfLife halves an average without new samples, so that a server that
	// had a queue is tried again.
	waitHalfLife = 200 * time.Millisecond
	// serviceUnknown stands for the service time of a server before the first
	// answer; it matters only in proportion to queue times.
	serviceUnknown = 10 * time.Millisecond
)

// serverWait is what this daemon's sub-results said of a server recently, in
// nanoseconds.
type serverWait struct {
	queue   float64
	service float64
	at      model.Time
}

// observe notes a sub-result. A refused one waited in vain and says how long
// the queue takes.
func (w *serverWait) observe(now model.Time, res *model.SubResult) {
	queue := res.QueueTime
	switch res.Outcome {
	case model.OutcomeOK:
		w.service += waitWeight * (float64(res.ServiceTime) - w.service)
	case model.OutcomeQueueFull, model.OutcomeExpired:
		queue = max(queue, res.RetryAfter)
	default:
		return
	}
	w.queue = w.expected(now)
	w.queue += waitWeight * (float64(queue) - w.queue)
	w.at = now
}

// expected returns the queue time now.
func (w *serverWait) expected(now model.Time) float64 {
	return w.queue * math.Exp2(-float64(now.Sub(w.at))/float64(waitHalfLife))
}

// observeWait notes what a sub-result says of its server.
func (s *State) observeWait(now model.Time, res *model.SubResult) {
	w := s.waits[res.Server]
	if w == nil {
		w = &serverWait{service: float64(serviceUnknown)}
		s.waits[res.Server] = w
	}
	w.observe(now, res)
}

// weight returns the server's weight in the choice of a replica: its slots over
// the square of the time that a sub-request is expected to take. The choice is
// random by these weights and not the best server, because the daemons decide
// on the same information, and all of them would send their queries to it until
// they learn of its queue.
func (s *State) weight(now model.Time, report *model.ServerReport) float64 {
	limit := float64(max(1, report.Limit))
	service, queue := float64(serviceUnknown), 0.0
	w := s.waits[report.Server]
	if w != nil {
		service = max(w.service, 1)
	}
	if w != nil && now.Sub(w.at) < waitFresh {
		queue = w.expected(now)
	} else {
		queue = service * max(0, float64(report.Load)-limit) / limit
	}
	return limit * math.Pow(1+queue/service, -2)
}
