package gateway

import "time"

const (
	// waitWindow is the number of requests after which older ones count half.
	waitWindow = 200.0
	// usualShare is the least frequency of the usual wait, as a share of that of the
	// most frequent one: callers without any delay may be the fewer ones, but are
	// more than those who wait longer for reasons of their own.
	usualShare = 0.25
	// spentShare bounds the time that a caller is taken to have spent before, as a
	// share of the latency target. A caller that repeats a request has less time
	// left for other reasons.
	spentShare = 0.5
	// tripDrift is the weight of longer trips in the estimate, so that it rises again
	// when callers have moved away.
	tripDrift = 0.01
	// answerWork is the time that a daemon needs beside the trip to the caller.
	answerWork = 10 * time.Millisecond
	// assumedMargin is the margin of an answer while the trip is not known.
	assumedMargin = 20 * time.Millisecond
	// minMargin and maxMargin bound the margin.
	minMargin = 14 * time.Millisecond
	maxMargin = 25 * time.Millisecond
)

// waits is what callers of a route say of the time that they will wait. Callers
// that first look an address up or connect have some less left than the others;
// the latency target counts from before that.
type waits struct {
	// counts are those of waits in milliseconds.
	counts map[int64]float64
	total  float64
	// usual is what callers state that come without delay; found anew after
	// refreshEvery requests.
	usual int64
	fresh int
	// trip estimates the time of one exchange with a caller: the least that callers
	// have spent before their request. 0 is unknown.
	trip time.Duration
}

// arrive takes the wait of a request and returns how long its caller has spent
// on it before.
func (w *waits) arrive(wait, target time.Duration) time.Duration {
	ms := wait.Milliseconds()
	if w.counts == nil {
		w.counts = map[int64]float64{}
	}
	w.counts[ms]++
	w.total++
	if w.total >= waitWindow {
		w.fade()
	}
	if w.fresh--; w.fresh <= 0 {
		w.fresh = refreshEvery
		w.usual = w.findUsual()
	}
	spent := time.Duration(w.usual-ms) * time.Millisecond
	if spent <= 0 || float64(spent) > spentShare*float64(target) {
		return 0
	}
	if w.trip == 0 || spent < w.trip {
		w.trip = spent
	} else {
		w.trip += time.Duration(float64(spent-w.trip) * tripDrift)
	}
	return spent
}

// findUsual returns the longest wait that is stated often.
func (w *waits) findUsual() int64 {
	most := 0.0
	for _, n := range w.counts {
		most = max(most, n)
	}
	usual := int64(0)
	for ms, n := range w.counts {
		if n >= usualShare*most {
			usual = max(usual, ms)
		}
	}
	return usual
}

// fade lets what was counted count half and forgets waits that are seldom.
func (w *waits) fade() {
	w.total = 0
	for ms, n := range w.counts {
		if n < 2 {
			delete(w.counts, ms)
			continue
		}
		w.counts[ms] = n / 2
		w.total += n / 2
	}
}

// margin is the time that an answer needs to be with its caller.
func (w *waits) margin() time.Duration {
	if w.trip == 0 {
		return assumedMargin
	}
	return min(max(minMargin, w.trip+answerWork), maxMargin)
}
