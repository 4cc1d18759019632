package slots

import (
	"math/bits"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// ramp limits the sub-requests that run at once on a server that may be cold.
// The limit starts at Cold.Slots, rises by one per Cold.Requests successful
// answers, is halved when the server sheds a request and restarts when the
// server turns cold.
type ramp struct {
	limit     int
	successes int
}

// coldLimit returns the limit at which the ramp starts, at least 1.
func coldLimit(b *model.BackendServer) int { return min(max(1, b.Cold.Slots), max(1, b.Slots)) }

// restart resets the limit and reports whether it changed.
func (r *ramp) restart(b *model.BackendServer) bool {
	r.successes = 0
	start := coldLimit(b)
	if r.limit == start {
		return false
	}
	r.limit = start
	return true
}

// countSuccess counts a successful answer and reports whether the limit rose.
func (r *ramp) countSuccess(b *model.BackendServer) bool {
	if r.limit >= b.Slots {
		return false
	}
	r.successes++
	if r.successes < max(1, b.Cold.Requests) {
		return false
	}
	r.successes = 0
	r.limit++
	return true
}

// shed halves the limit after the server shed a request, and reports whether
// the limit changed.
func (r *ramp) shed() bool {
	r.successes = 0
	if r.limit <= 1 {
		return false
	}
	r.limit /= 2
	return true
}

// Detection of a server that has become slow.
const (
	// An answer is slow if it took more than slowFactor times the baseline and
	// more than slowMargin longer than it. Scheduling delays of the daemon's
	// own VM rarely reach slowMargin.
	slowFactor = 4
	slowMargin = 5 * time.Millisecond
	// slowWindow is the number of recent answers considered. A server is slow
	// if half of them were slow; a few stragglers do not make a server cold.
	slowWindow = 16
	slowCount  = slowWindow / 2
	// estimateWeight is the weight of a new sample in the estimate. The
	// baseline is averaged over about baselineSamples answers, so that a
	// lasting change becomes the new baseline.
	estimateWeight  = 1.0 / 8
	baselineSamples = 64
	// clampFactor bounds the effect of a straggler on the averages: a sample
	// counts as at most clampFactor times the baseline.
	clampFactor = 8
)

// latency tracks the service times of one server.
type latency struct {
	// estimate and baseline are in nanoseconds; 0 means that there is no
	// sample yet.
	estimate float64
	baseline float64
	// samples counts the averaged samples up to baselineSamples, so that an
	// unusual first sample does not dominate the baseline for long.
	samples int
	// recent has one bit for each of the last slowWindow answers, set if the
	// answer was slow.
	recent uint16
}

// observe adds a service time and reports whether the server has become slow.
// partial means that the call was stopped early and would have taken at least
// as long.
func (l *latency) observe(d time.Duration, partial bool) bool {
	slow := l.baseline > 0 && float64(d) > max(slowFactor*l.baseline, l.baseline+float64(slowMargin))
	if partial && !slow {
		return false
	}
	l.recent <<= 1
	if slow {
		l.recent |= 1
	}
	l.updateAverages(float64(d))
	if bits.OnesCount16(l.recent) < slowCount {
		return false
	}
	l.recent = 0
	return true
}

func (l *latency) updateAverages(sample float64) {
	if l.baseline == 0 {
		l.baseline, l.estimate = sample, sample
		return
	}
	sample = min(sample, clampFactor*l.baseline)
	l.samples = min(l.samples+1, baselineSamples)
	l.estimate += (sample - l.estimate) * max(estimateWeight, 1/float64(l.samples+1))
	l.baseline += (sample - l.baseline) / float64(l.samples+1)
}

// serviceTime returns the expected service time, 0 if nothing is known.
func (l *latency) serviceTime() time.Duration { return time.Duration(l.estimate) }

// adaptiveDecrease is the factor applied to the adaptive limit on a shed, a
// timeout, a failure or when the server has become slow. As many successful
// answers as the limit raise it by one (additive increase, multiplicative
// decrease).
const adaptiveDecrease = 0.7

// adaptive is the limit for one server under adaptive routing, in which each
// daemon knows nothing of the load from the other daemons.
type adaptive struct{ limit float64 }

func (a *adaptive) value() int { return max(1, int(a.limit)) }

func (a *adaptive) countSuccess(slots int) {
	a.limit = min(max(1, a.limit)+1/max(1, a.limit), float64(slots))
}

func (a *adaptive) decrease() { a.limit = max(1, a.limit*adaptiveDecrease) }
