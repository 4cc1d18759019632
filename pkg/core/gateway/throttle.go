package gateway

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// throttleFactor is how many requests are let through for each one that is
	// answered: above 1, so that a route recovers by itself.
	throttleFactor = 1.5
	// maxThrottle bounds the probability of a refusal, so that some requests find
	// out when leafs have room again.
	maxThrottle = 0.75
	// throttleHalfLife is the time after which half of what was counted is forgotten.
	throttleHalfLife = time.Second
	// throttleMinimum is the number of recent requests below which none is refused.
	throttleMinimum = 10.0
	// overloadShare is the share of attempts that leafs reject for lack of room from
	// which requests that fail are put down to overload.
	overloadShare = 0.05
	// rejectedWeight is the weight of a new attempt in that share.
	rejectedWeight = 0.05
)

// throttle refuses requests of a route at their arrival while leafs are
// overloaded. What is sent to leafs without a chance of an answer takes their
// time from requests that have one. The probability of a refusal is
// (requests - throttleFactor * answered) / requests over a recent time, where
// requests count when they have ended.
type throttle struct {
	requests, answered float64
	at                 model.Time
	// rejected is the recent share of attempts for which a leaf had no room.
	rejected float64
}

func (t *throttle) decay(now model.Time) {
	if d := now.Sub(t.at); d > 0 {
		keep := halved(d, throttleHalfLife)
		t.requests *= keep
		t.answered *= keep
		t.at = now
	}
}

// observe counts the end of an attempt at a leaf.
func (t *throttle) observe(o Outcome) {
	rejected := 0.0
	if o == OutcomeNotExecuted {
		rejected = 1
	}
	t.rejected += (rejected - t.rejected) * rejectedWeight
}

// refusal returns the probability with which a request that arrives is to be
// refused.
func (t *throttle) refusal(now model.Time) float64 {
	t.decay(now)
	return t.probability()
}

// probability is that of a refusal at the time of the last decay.
func (t *throttle) probability() float64 {
	if t.requests < throttleMinimum {
		return 0
	}
	return min(maxThrottle, max(0, (t.requests-throttleFactor*t.answered)/t.requests))
}

// ended counts a request that has ended; refused ones have failed, too. While
// leafs have room no failure is due to overload, so none counts.
func (t *throttle) ended(now model.Time, failed bool) {
	t.decay(now)
	t.requests++
	if !failed || t.rejected < overloadShare {
		t.answered++
	}
}
