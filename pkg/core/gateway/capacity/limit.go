package capacity

import "math"

const (
	// windowSamples is the number of answers by which a limit is changed: the mean of eight
	// is off by an eighth if answers differ by a third.
	windowSamples = 8
	// limitWeight is the weight of a window in the limit.
	limitWeight = 0.5
	// gradientTolerance is the ratio of the latency to that without load from which the limit
	// falls: without load the mean of the answers is above the median.
	gradientTolerance = 1.4
	// minGradient bounds the fall caused by one window.
	minGradient = 0.5
	// minLimitPerSlot and maxLimitPerSlot bound the limit: a leaf that is used below a half of
	// its slots shows nothing new, and one with more than four requests a slot answers late.
	minLimitPerSlot, maxLimitPerSlot = 0.125, 4.0
)

// limit is an adaptive limit of the requests at a leaf, by the gradient of its latency: the
// ratio of the latency without load to the present one. The queue that it allows beside that
// is the root of the limit.
type limit struct {
	value, slots float64
	sum, used    float64
	n            int
}

func newLimit(slots float64) limit { return limit{value: slots, slots: slots} }

func (l *limit) clamp(v float64) float64 {
	return min(max(v, minLimitPerSlot*l.slots), maxLimitPerSlot*l.slots)
}

// add takes the latency of an answer relative to that without load, and the number of requests
// that were at the leaf.
func (l *limit) add(ratio, requests float64) {
	l.sum += min(ratio, maxDeviation)
	l.used = max(l.used, requests)
	if l.n++; l.n < windowSamples {
		return
	}
	mean, used := l.sum/float64(l.n), l.used
	l.sum, l.used, l.n = 0, 0, 0
	gradient := min(1, max(minGradient, gradientTolerance/mean))
	next := l.value*gradient + math.Sqrt(l.value)
	if next > l.value && used < l.value/2 {
		// A leaf that is hardly used shows nothing about a higher limit.
		return
	}
	l.value = l.clamp(l.value + (next-l.value)*limitWeight)
}
