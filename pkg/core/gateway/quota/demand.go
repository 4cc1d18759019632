package quota

import (
	"math"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// deviations is by how many standard deviations the requests that a daemon can admit
	// exceed the average number.
	deviations = 1.5
	// minRise is by how many requests in a window, and minRiseRatio by which part, a demand
	// must rise to be told before the next full message.
	minRise      = 0.5
	minRiseRatio = 0.3
	// meanTime is the time over which the demand of a tenant is averaged. Loans that followed
	// the variation of independent requests would lock more requests at the lenders than
	// they bring the borrowers.
	meanTime = 20 * time.Second
	// minWant is the least number of requests in a window that a daemon asks for.
	minWant = 1.0
	// idleMean is the average number of requests in a window below which a tenant has no
	// demand at a daemon.
	idleMean = 0.1
	// peakRatio and minPeak say from which demand, relative to the share and in requests in
	// a window, a daemon asks before the average has risen; peakHalfLife is the time in
	// which half of such a demand is forgotten.
	peakRatio    = 1.2
	minPeak      = 2.0
	peakHalfLife = 10 * time.Second
	// risingSlots are the slots, a second in a window of five, from which a rising demand is
	// seen; risingDeviations is by how many standard deviations their number is taken to be
	// above the mean.
	risingSlots      = windowSlots / 5
	risingDeviations = 1.5
)

// need is the number of requests in a window that this daemon should be able to admit: of the
// demand of the last time with a margin, or of a demand that has risen far above that.
func (a *account) need(now model.Time) float64 {
	mean, peak := a.meanAt(now), a.peakAtTime(now)
	return max(mean+deviations*math.Sqrt(mean)+0.5, peak+math.Sqrt(peak))
}

// meanAt is the average number of requests in a window.
func (a *account) meanAt(now model.Time) float64 {
	return a.mean * math.Exp(-float64(now.Sub(a.meanFrom))/float64(meanTime))
}

// peakAtTime is the greatest demand that was far above the share, of which half is forgotten
// in each peakHalfLife.
func (a *account) peakAtTime(now model.Time) float64 {
	return a.peak * math.Exp2(-float64(now.Sub(a.peakAt))/float64(peakHalfLife))
}

// latestDemand is the number of requests in a window that come at least at the rate of the
// latest window, or of its latest second.
func (a *account) latestDemand() float64 {
	rising := float64(a.arrivals.since(risingSlots))
	rising -= risingDeviations * math.Sqrt(rising)
	return max(float64(a.arrivals.total), rising*windowSlots/risingSlots)
}

// updateWant updates what this daemon asks for, after a request.
func (s *State) updateWant(now model.Time, a *account) {
	a.mean = a.meanAt(now) + float64(s.bounds.Window)/float64(meanTime)
	a.meanFrom = now
	own := s.ownBeforeLoans(now, a)
	demand := a.latestDemand()
	if demand >= peakRatio*own*s.allowance(a.limits)+minPeak && demand >= a.peakAtTime(now) {
		a.peak, a.peakAt = demand, now
	}
	s.setWant(now, a, own)
	if a.want > 0 && a.want-a.toldWant >= max(minRise/s.allowance(a.limits), minRiseRatio*a.toldWant) {
		s.urgent = true
	}
}

// ownBeforeLoans is the share of a tenant that this daemon would hold without its loans to
// others.
func (s *State) ownBeforeLoans(now model.Time, a *account) float64 {
	if now < s.spentUntil {
		return s.own(now, a)
	}
	return s.share(a)
}

func (s *State) setWant(now model.Time, a *account, own float64) {
	want := min(a.need(now)/s.allowance(a.limits), 1) - own
	if want*s.allowance(a.limits) < minWant {
		want = 0
	}
	switch {
	case want == 0:
		delete(s.wanting, a.tenant)
	case a.want == 0:
		a.wantSince, a.boost = now, 1
		s.wanting[a.tenant] = a
	}
	a.want = want
}
