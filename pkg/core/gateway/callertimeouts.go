package gateway

import "time"

const (
	// timeoutWindow is the number of requests after which the counts are halved.
	timeoutWindow = 200.0
	// minCommonFrequency is the least frequency of the common timeout, relative to that
	// of the most frequent one: callers without any delay may be a minority, but are
	// more than those that state a longer timeout for other reasons.
	minCommonFrequency = 0.25
	// maxSpentRatio bounds the time that a caller is assumed to have spent before its
	// request, as a share of the latency target: a caller that repeats a request states
	// a shorter timeout for a different reason.
	maxSpentRatio = 0.5
	// roundTripDrift is the weight of longer samples in the round-trip estimate, so
	// that the estimate rises again when callers have moved farther away.
	roundTripDrift = 0.01
	// answerOverhead is the time that a daemon needs for an answer in addition to the
	// round trip to the caller.
	answerOverhead = 10 * time.Millisecond
	// assumedMargin is the delivery margin while the round trip is not known.
	assumedMargin = 20 * time.Millisecond
	// minMargin and maxMargin bound the delivery margin.
	minMargin = 14 * time.Millisecond
	maxMargin = 25 * time.Millisecond
)

// callerTimeouts estimates, from the timeouts that callers of a route state, how much
// time they spent before their request reached the daemon. Callers that first look up
// an address or connect have less time left than others, and the latency target
// includes that time.
type callerTimeouts struct {
	// counts is the number of requests by stated timeout in milliseconds.
	counts map[int64]float64
	total  float64
	// commonMS is the timeout, in milliseconds, of callers that have spent no time before
	// their request. It is recomputed after refreshSamples requests.
	commonMS     int64
	untilRefresh int
	// roundTrip estimates the time of one exchange with a caller: the least time that
	// callers have spent before their request. 0 means unknown.
	roundTrip time.Duration
}

// recordRequest counts the timeout of a request and returns how long its caller has
// spent on the request before.
func (c *callerTimeouts) recordRequest(timeout, target time.Duration) time.Duration {
	ms := timeout.Milliseconds()
	if c.counts == nil {
		c.counts = map[int64]float64{}
	}
	c.counts[ms]++
	c.total++
	if c.total >= timeoutWindow {
		c.halveCounts()
	}
	if c.untilRefresh--; c.untilRefresh <= 0 {
		c.untilRefresh = refreshSamples
		c.commonMS = c.findCommon()
	}
	spent := time.Duration(c.commonMS-ms) * time.Millisecond
	if spent <= 0 || float64(spent) > maxSpentRatio*float64(target) {
		return 0
	}
	if c.roundTrip == 0 || spent < c.roundTrip {
		c.roundTrip = spent
	} else {
		c.roundTrip += time.Duration(float64(spent-c.roundTrip) * roundTripDrift)
	}
	return spent
}

// findCommon returns the longest timeout that is stated often.
func (c *callerTimeouts) findCommon() int64 {
	highest := 0.0
	for _, n := range c.counts {
		highest = max(highest, n)
	}
	common := int64(0)
	for ms, n := range c.counts {
		if n >= minCommonFrequency*highest {
			common = max(common, ms)
		}
	}
	return common
}

// halveCounts halves the weight of earlier requests and drops rare timeouts.
func (c *callerTimeouts) halveCounts() {
	c.total = 0
	for ms, n := range c.counts {
		if n < 2 {
			delete(c.counts, ms)
			continue
		}
		c.counts[ms] = n / 2
		c.total += n / 2
	}
}

// deliveryMargin is the time that an answer needs to reach its caller.
func (c *callerTimeouts) deliveryMargin() time.Duration {
	if c.roundTrip == 0 {
		return assumedMargin
	}
	return min(max(minMargin, c.roundTrip+answerOverhead), maxMargin)
}
