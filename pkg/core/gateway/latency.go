package gateway

import (
	"math"
	"time"
)

const (
	// latencyFloor is the upper end of the first bucket.
	latencyFloor = 500 * time.Microsecond
	// latencyGrowth is the ratio of the upper ends of two buckets: the error of
	// a quantile stays below 15%.
	latencyGrowth = 1.15
	// latencyBuckets reach 20 s.
	latencyBuckets = 76
	// latencyWindow is the weight of samples at which older ones fade: at
	// today's sites the samples of a few seconds.
	latencyWindow = 600.0
	// latencyMinimum is the number of samples below which quantiles are not used.
	latencyMinimum = 20.0
)

var logGrowth = math.Log(latencyGrowth)

// latencies is a histogram of attempt times in which old samples fade.
type latencies struct {
	counts [latencyBuckets]float32
	total  float32
}

func (l *latencies) add(d time.Duration) {
	i := 0
	if d > latencyFloor {
		i = int(math.Log(float64(d)/float64(latencyFloor))/logGrowth) + 1
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

// known reports whether there are enough samples for quantiles.
func (l *latencies) known() bool { return l.total >= latencyMinimum }

// quantile returns an upper bound of the share p, 0 to 1, of the samples.
func (l *latencies) quantile(p float64) time.Duration {
	want := float32(p) * l.total
	var sum float32
	for i, c := range l.counts {
		sum += c
		if sum >= want {
			return time.Duration(float64(latencyFloor) * math.Pow(latencyGrowth, float64(i)))
		}
	}
	return time.Duration(float64(latencyFloor) * math.Pow(latencyGrowth, latencyBuckets))
}

// routeState is what a daemon learned of a route, and its position in the
// traffic split.
type routeState struct {
	attempts latencies
	// quantiles, renewed every refreshEvery samples.
	median, p90 time.Duration
	sinceFresh  int
	// credits of the targets of a traffic split, for smooth weighted round robin.
	credits  []float64
	throttle throttle
	waits    waits
}

// refreshEvery is the number of samples after which quantiles are computed anew.
const refreshEvery = 16

func (r *routeState) observe(d time.Duration) {
	r.attempts.add(d)
	r.sinceFresh++
	if r.attempts.known() && (r.sinceFresh >= refreshEvery || r.median == 0) {
		r.sinceFresh = 0
		r.median = r.attempts.quantile(0.5)
		r.p90 = r.attempts.quantile(0.9)
	}
}

// typical returns the usual time of an attempt.
func (r *routeState) typical(route *Route) time.Duration {
	if r.median > 0 {
		return r.median
	}
	return max(minTypical, time.Duration(float64(route.LatencyTarget)*assumedShare))
}

const (
	// minTypical bounds the assumed time of an attempt from below.
	minTypical = 2 * time.Millisecond
	// assumedShare of the latency target is the time of an attempt before there
	// are samples.
	assumedShare = 0.15
)

func (s *State) route(r *Route) *routeState {
	rs, ok := s.routes[r.Name]
	if !ok {
		rs = &routeState{}
		s.routes[r.Name] = rs
	}
	return rs
}

// nextTarget picks a service of the split by smooth weighted round robin, which
// keeps each daemon's shares exact over few requests.
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
