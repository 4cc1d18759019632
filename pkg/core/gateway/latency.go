package gateway

import (
	"math"
	"time"
)

const (
	// firstBucketEnd is the upper end of the first bucket.
	firstBucketEnd = 500 * time.Microsecond
	// bucketGrowth is the ratio of the upper ends of neighbouring buckets. It keeps the
	// error of a quantile below 15%.
	bucketGrowth = 1.15
	// latencyBuckets is the number of buckets; they reach 20 s.
	latencyBuckets = 76
	// latencyWindow is the total weight at which all samples are halved. At today's
	// sites that covers a few seconds.
	latencyWindow = 600.0
	// minLatencySamples is the number of samples below which quantiles are not used.
	minLatencySamples = 20.0
)

var logBucketGrowth = math.Log(bucketGrowth)

// latencyHistogram is a histogram of attempt times in which old samples lose weight.
type latencyHistogram struct {
	counts [latencyBuckets]float32
	total  float32
}

func (l *latencyHistogram) observe(d time.Duration) {
	i := 0
	if d > firstBucketEnd {
		i = int(math.Log(float64(d)/float64(firstBucketEnd))/logBucketGrowth) + 1
	}
	l.counts[min(i, latencyBuckets-1)]++
	l.total++
	if l.total < latencyWindow {
		return
	}
	for i := range l.counts {
		l.counts[i] /= 2
	}
	l.total /= 2
}

// hasEnoughSamples reports whether there are enough samples for quantiles.
func (l *latencyHistogram) hasEnoughSamples() bool { return l.total >= minLatencySamples }

// quantile returns an upper bound of the p-quantile, p from 0 to 1.
func (l *latencyHistogram) quantile(p float64) time.Duration {
	want := float32(p) * l.total
	var sum float32
	for i, c := range l.counts {
		sum += c
		if sum >= want {
			return time.Duration(float64(firstBucketEnd) * math.Pow(bucketGrowth, float64(i)))
		}
	}
	return time.Duration(float64(firstBucketEnd) * math.Pow(bucketGrowth, latencyBuckets))
}

// routeState is what a daemon has learned about a route, and its position in the
// traffic split.
type routeState struct {
	attemptTimes latencyHistogram
	// median and p90 are recomputed every refreshSamples samples; 0 if not known.
	median, p90         time.Duration
	samplesSinceRefresh int
	// credits of the targets of a traffic split, for smooth weighted round robin.
	credits        []float64
	throttle       throttle
	callerTimeouts callerTimeouts
}

// refreshSamples is the number of samples after which derived values are recomputed.
const refreshSamples = 16

func (r *routeState) recordAttempt(d time.Duration) {
	r.attemptTimes.observe(d)
	r.samplesSinceRefresh++
	if r.attemptTimes.hasEnoughSamples() && (r.samplesSinceRefresh >= refreshSamples || r.median == 0) {
		r.samplesSinceRefresh = 0
		r.median = r.attemptTimes.quantile(0.5)
		r.p90 = r.attemptTimes.quantile(0.9)
	}
}

// typicalAttemptTime returns the median time of an attempt, or an assumed one while it
// is not known.
func (r *routeState) typicalAttemptTime(route *Route) time.Duration {
	if r.median > 0 {
		return r.median
	}
	return max(minTypicalTime, time.Duration(float64(route.LatencyTarget)*assumedTimeRatio))
}

const (
	// minTypicalTime is the least assumed time of an attempt.
	minTypicalTime = 2 * time.Millisecond
	// assumedTimeRatio is the assumed time of an attempt as a share of the latency
	// target, used until there are samples.
	assumedTimeRatio = 0.15
)

// route returns the state of a route, which it creates if needed.
func (s *State) route(r *Route) *routeState {
	rs, ok := s.routes[r.Name]
	if !ok {
		rs = &routeState{}
		s.routes[r.Name] = rs
	}
	return rs
}

// nextTarget picks a service of the split by smooth weighted round robin. With it each
// daemon's shares match the weights even over few requests.
func (r *routeState) nextTarget(targets []Target) string {
	if len(targets) == 1 {
		return targets[0].Service
	}
	if len(r.credits) != len(targets) {
		r.credits = make([]float64, len(targets))
	}
	best, total := 0, 0.0
	for i, t := range targets {
		r.credits[i] += t.Weight
		total += t.Weight
		if r.credits[i] > r.credits[best] {
			best = i
		}
	}
	r.credits[best] -= total
	return targets[best].Service
}
