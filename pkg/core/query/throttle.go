package query

import (
	"math"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// The fraction of queries refused grows with the queue time, from none at
	// queueLow to all at queueHighFactor times queueLow. queueLow is the time
	// that a query has, divided by queueLowDivisor, but at most maxQueueLow. At
	// 40 ms, queries are refused well before the queues are full: at the
	// default queue limit of 64, a full queue takes 200 ms with 6 slots and a
	// service time of 20 ms.
	queueLowDivisor = 8
	maxQueueLow     = 40 * time.Millisecond
	queueHighFactor = 4
	// queueSampleWeight is the weight of a new query in the average queue time.
	queueSampleWeight = 0.5
)

// throttle refuses queries of an overloaded service before their fan-out. A
// query over many shards is complete only if no shard sheds it, so without the
// throttle the servers would work at capacity on queries of which each lacks a
// shard. Each priority class has its own throttle, because queue times differ
// between classes.
type throttle struct {
	// queueTime is the average queue time in nanoseconds as of updatedAt. It
	// halves in queueTimeHalfLife.
	queueTime float64
	updatedAt model.Time
	// lastSample is the queue time of the previous query. It decays like
	// queueTime.
	lastSample float64
}

func (t *throttle) expectedQueue(now model.Time) float64 { return t.queueTime * t.decay(now) }

// decay returns the factor by which the averages have decayed since updatedAt.
func (t *throttle) decay(now model.Time) float64 {
	return math.Exp2(-float64(now.Sub(t.updatedAt)) / float64(queueTimeHalfLife))
}

// observe adds the queue time of a query. The smaller of this sample and the
// previous one counts, so that a single long queue time, as after a stall of
// the processor, causes no refusals.
func (t *throttle) observe(now model.Time, queueTime time.Duration) {
	sample := min(float64(queueTime), t.lastSample*t.decay(now))
	t.queueTime = t.expectedQueue(now)
	t.queueTime += queueSampleWeight * (sample - t.queueTime)
	t.lastSample = float64(queueTime)
	t.updatedAt = now
}

// refuses decides by a random number whether to refuse a query that must be
// answered within timeLeft.
func (t *throttle) refuses(now model.Time, timeLeft time.Duration, random uint64) bool {
	low := float64(queueLow(timeLeft))
	excess := (t.expectedQueue(now) - low) / (low * (queueHighFactor - 1))
	return float64(random>>11)/(1<<53) < excess
}

func queueLow(timeLeft time.Duration) time.Duration {
	return min(timeLeft/queueLowDivisor, maxQueueLow)
}

// observeQueueTime adds the run's queue time to the throttle of its class. The
// least loaded shard counts, because a single slow or dead shard must not keep
// queries from the others. Without an answered shard, a refusal by an owner
// counts as the queue time at which all queries are refused. Without either,
// nothing is known about the queues.
func (r *run) observeQueueTime(now model.Time) {
	t := &r.service.throttles[r.req.Class]
	switch {
	case r.answeredShards > 0:
		t.observe(now, r.minQueueTime)
	case r.refusedByOwner:
		t.observe(now, queueHighFactor*queueLow(r.answerAt.Sub(r.arrivedAt)))
	}
}

// recordQueueTime records what a sub-result says about its owner's queue.
func (r *run) recordQueueTime(res *model.SubResult) {
	switch res.Outcome {
	case model.OutcomeOK:
		r.minQueueTime = min(r.minQueueTime, res.QueueTime)
	case model.OutcomeQueueFull, model.OutcomeExpired:
		r.refusedByOwner = true
	}
}
