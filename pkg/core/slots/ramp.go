package slots

import (
	"math/bits"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// ramp is the number of sub-requests that a server bears at once. It rises by
// one per Cold.Requests good answers, is halved on a shed and restarts at
// Cold.Slots when the server turns cold.
type ramp struct {
	limit int
	good  int
}

// coldSlots returns where the ramp begins; a server always bears one.
func coldSlots(b *model.BackendServer) int { return min(max(1, b.Cold.Slots), max(1, b.Slots)) }

// restart returns whether the limit changed.
func (r *ramp) restart(b *model.BackendServer) bool {
	r.good = 0
	start := coldSlots(b)
	if r.limit == start {
		return false
	}
	r.limit = start
	return true
}

// answered counts a good answer and reports whether the limit rose.
func (r *ramp) answered(b *model.BackendServer) bool {
	if r.limit >= b.Slots {
		return false
	}
	r.good++
	if r.good < max(1, b.Cold.Requests) {
		return false
	}
	r.good = 0
	r.limit++
	return true
}

// shed halves the limit and reports whether it changed.
func (r *ramp) shed() bool {
	r.good = 0
	if r.limit <= 1 {
		return false
	}
	r.limit /= 2
	return true
}

// Recognition of a server that has become slow.
const (
	// slowFactor and slowMargin say when an answer is slow: it took slowFactor
	// times the baseline, and slowMargin longer, which scheduling delays of
	// the daemon's own VM do not reach as a rule.
	slowFactor = 4
	slowMargin = 5 * time.Millisecond
	// slowWindow is the number of recent answers looked at; a server is slow
	// when half of them are. A few stragglers do not make a server cold.
	slowWindow = 16
	slowCount  = slowWindow / 2
	// estimateWeight is the weight of a new sample in the estimate. The baseline
	// takes some baselineSamples answers to follow, so that a lasting change
	// becomes the new baseline.
	estimateWeight  = 1.0 / 8
	baselineSamples = 64
	// clampFactor bounds a straggler's weight in the averages.
	clampFactor = 8
)

// latency tracks the service times of one server.
type latency struct {
	// estimate and baseline are in nanoseconds; 0 means no sample yet.
	estimate float64
	baseline float64
	// samples counts the averaged ones up to baselineSamples, so that an odd
	// first sample does not stay the baseline for long.
	samples int
	// recent has a bit for each of the last answers, set for slow ones.
	recent uint16
}

// observe adds a service time and reports whether the server has become slow.
// A partial sample is of a call that was stopped, so that it would have taken
// at least as long.
func (l *latency) observe(d time.Duration, partial bool) bool {
	slow := l.baseline > 0 && float64(d) > max(slowFactor*l.baseline, l.baseline+float64(slowMargin))
	if partial && !slow {
		return false
	}
	l.recent <<= 1
	if slow {
		l.recent |= 1
	}
	l.average(float64(d))
	if bits.OnesCount16(l.recent) < slowCount {
		return false
	}
	l.recent = 0
	return true
}

func (l *latency) average(sample float64) {
	if l.baseline == 0 {
		l.baseline, l.estimate = sample, sample
		return
	}
	sample = min(sample, clampFactor*l.baseline)
	l.samples = min(l.samples+1, baselineSamples)
	l.estimate += (sample - l.estimate) * max(estimateWeight, 1/float64(l.samples+1))
	l.baseline += (sample - l.baseline) / float64(l.samples+1)
}

// service returns the expected service time, 0 if nothing is known.
func (l *latency) service() time.Duration { return time.Duration(l.estimate) }

// Steps of the adaptive limit: additive increase by one per limit's worth of
// good answers, multiplicative decrease on a shed, timeout or slow answer.
const adaptiveDecrease = 0.7

// adaptive is the limit of one daemon that knows nothing of the others.
type adaptive struct{ limit float64 }

func (a *adaptive) value() int { return max(1, int(a.limit)) }

func (a *adaptive) answered(slots int) {
	a.limit = min(max(1, a.limit)+1/max(1, a.limit), float64(slots))
}

func (a *adaptive) decrease() { a.limit = max(1, a.limit*adaptiveDecrease) }
