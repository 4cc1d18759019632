package gateway

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// throttleFactor is how many requests are let through for each one that is
	// answered. It is above 1, so that a route recovers by itself.
	throttleFactor = 1.5
	// maxThrottle bounds the probability of a refusal, so that some requests show when
	// leafs have capacity again.
	maxThrottle = 0.75
	// throttleHalfLife is the time in which half of the counted requests are forgotten.
	throttleHalfLife = time.Second
	// throttleMinRequests is the number of recent requests below which none is refused.
	throttleMinRequests = 10.0
	// overloadRejectedShare is the share of attempts that leafs reject for lack of
	// capacity from which failed requests are attributed to overload.
	overloadRejectedShare = 0.05
	// rejectedShareWeight is the weight of a new attempt in that share.
	rejectedShareWeight = 0.05
)

// throttle refuses requests of a route on arrival while its leafs are overloaded:
// requests that will fail anyway would take capacity from those that can be answered.
// The probability of a refusal is (requests - throttleFactor * answered) / requests
// over recent requests; a request is counted when it ends.
type throttle struct {
	requests, answered float64
	decayedAt          model.Time
	// rejectedShare is the recent share of attempts that a leaf rejected for lack of
	// capacity.
	rejectedShare float64
}

func (t *throttle) decay(now model.Time) {
	if d := now.Sub(t.decayedAt); d > 0 {
		factor := decayFactor(d, throttleHalfLife)
		t.requests *= factor
		t.answered *= factor
		t.decayedAt = now
	}
}

// recordAttempt counts the end of an attempt at a leaf.
func (t *throttle) recordAttempt(o Outcome) {
	rejected := 0.0
	if o == OutcomeNotExecuted {
		rejected = 1
	}
	t.rejectedShare += (rejected - t.rejectedShare) * rejectedShareWeight
}

// refusalProbability returns the probability with which a request that arrives now is
// to be refused.
func (t *throttle) refusalProbability(now model.Time) float64 {
	t.decay(now)
	return t.lastProbability()
}

// lastProbability returns the probability of a refusal as of the last decay.
func (t *throttle) lastProbability() float64 {
	if t.requests < throttleMinRequests {
		return 0
	}
	return min(maxThrottle, max(0, (t.requests-throttleFactor*t.answered)/t.requests))
}

// recordRequest counts a request that has ended; refused and late requests have failed.
// While leafs have capacity, failures are not due to overload and count as answered.
func (t *throttle) recordRequest(now model.Time, failed bool) {
	t.decay(now)
	t.requests++
	if !failed || t.rejectedShare < overloadRejectedShare {
		t.answered++
	}
}
