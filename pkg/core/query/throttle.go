package query

import (
	"math"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// Queries are refused in proportion to the queue time above queueLow, up to
	// all of them at queueHigh times as much. queueLow is 1/queuePart of a
	// query's time, or maxQueueLow. At 40 ms, queries are refused well before
	// the queues are full at their default limit of 64, which are 200 ms at 6
	// slots and 20 ms of service time.
	queuePart   = 8
	maxQueueLow = 40 * time.Millisecond
	queueHigh   = 4
	// queueWeight is the weight of a new query in the average queue time.
	queueWeight = 0.5
)

// throttle refuses queries of an overloaded service before their fan-out. A
// query over many shards is complete only if no shard sheds it: without the
// throttle the servers work to capacity on queries of which each lacks a
// shard. There is one for each class, since classes wait differently.
type throttle struct {
	// queue is the queue time in nanoseconds; it halves in waitHalfLife.
	queue float64
	at    model.Time
	// last is the queue time of the query before; it fades like queue.
	last float64
}

func (t *throttle) expected(now model.Time) float64 { return t.queue * t.left(now) }

// left is the part of what is known that has not faded.
func (t *throttle) left(now model.Time) float64 {
	return math.Exp2(-float64(now.Sub(t.at)) / float64(waitHalfLife))
}

// observe takes the queue time that a query met. The lesser of it and the one
// before counts, so that a single long queue, as after a stall of the
// processor, refuses nothing.
func (t *throttle) observe(now model.Time, queue time.Duration) {
	sample := min(float64(queue), t.last*t.left(now))
	t.queue = t.expected(now)
	t.queue += queueWeight * (sample - t.queue)
	t.last = float64(queue)
	t.at = now
}

// refuses decides by a random number about a query with a time to answer in.
func (t *throttle) refuses(now model.Time, left time.Duration, random uint64) bool {
	low := float64(queueLow(left))
	excess := (t.expected(now) - low) / (low * (queueHigh - 1))
	return float64(random>>11)/(1<<53) < excess
}

func queueLow(left time.Duration) time.Duration { return min(left/queuePart, maxQueueLow) }

// countQueued tells the throttle of the run's class what queue the run met.
// The least loaded shard decides: a shard that is slow or dead by itself must
// not keep queries from the others. A run without any word of an owner says
// nothing.
func (r *run) countQueued(now model.Time) {
	t := &r.service.throttles[r.req.Class]
	switch {
	case r.answered > 0:
		t.observe(now, r.leastQueue)
	case r.shed:
		t.observe(now, queueHigh*queueLow(r.answerAt.Sub(r.arrived)))
	}
}

// noteQueue notes what a sub-result says of the queue.
func (r *run) noteQueue(res *model.SubResult) {
	switch res.Outcome {
	case model.OutcomeOK:
		r.leastQueue = min(r.leastQueue, res.QueueTime)
	case model.OutcomeQueueFull, model.OutcomeExpired:
		r.shed = true
	}
}
