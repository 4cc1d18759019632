// Package capacity learns how much work a leaf takes well: its latency without load relative
// to the other leafs of its service, how fast its VM is at this moment, and the number of
// requests that it runs at once before its latency rises. It has no clock and does no I/O.
package capacity

import (
	"math"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// baseWeight is the least weight of a new sample in the latency without load. The speed
	// of a VM changes rarely; answers of one route differ by a third.
	baseWeight = 0.04
	// minBase and maxBase bound the latency without load relative to the service.
	minBase, maxBase = 0.2, 8.0
	// deviationWeight is the weight of a new sample in the deviation from the expected
	// latency. Answers of one route differ by a third; a greater weight takes that for the
	// speed of the leaf.
	deviationWeight = 0.1
	// outlierWeight is the weight of a sample that differs by outlier or more: a leaf that
	// becomes four times slower without saying so is known after a few answers.
	outlierWeight, outlier = 0.25, 2.0
	// deviationHalfLife is the time in which half of the deviation is forgotten while a leaf
	// gets no requests, so that one that has recovered is used again.
	deviationHalfLife = 6 * time.Second
	// maxDeviation bounds the deviation, and maxDeviationStep a sample as a multiple of it: a
	// leaf that pauses for a moment is not a slow one.
	maxDeviation, maxDeviationStep = 12.0, 3.0
	// slowdownMemory is the time in which the reported slowdown loses its meaning, to 1/e:
	// slow moments last about 600 ms.
	slowdownMemory = 500 * time.Millisecond
	// maxSlowdown bounds the reported slowdown that is used.
	maxSlowdown = 10.0
	// reportWeight is the weight of a new answer in the check of a leaf's reports against its
	// latency.
	reportWeight = 0.1
	// minReports is the number of reports of a slow or fast moment after which the reports of a
	// leaf may be ignored.
	minReports = 6.0
	// minReportedChange is the reported slowdown from which on an answer shows whether reports
	// are true.
	minReportedChange = 1.25
	// enoughSamples is the number of own answers after which what another daemon has learned
	// is no longer used.
	enoughSamples = 16.0
)

// Knowledge is what daemons tell each other about a leaf.
type Knowledge struct {
	// Limit is the number of requests that the leaf takes at once before its latency rises.
	Limit float64
	// Base is the leaf's latency without load, 1 for that of a usual leaf of its service.
	Base float64
}

// Leaf is what is known about one leaf.
type Leaf struct {
	slots float64
	limit limit
	// base is the latency without load by samples own answers.
	base, samples float64
	// start is what another daemon knew when this one started.
	start Knowledge
	// deviation is the latency relative to the expected one.
	deviation   float64
	deviationAt model.Time
	// outlierAt is when the last slow attempt ended. Slow attempts that were open then add
	// nothing new: otherwise a queue of them empties the leaf for seconds.
	outlierAt  model.Time
	slowdown   float64
	reportedAt model.Time
	// reports counts answers with a report that should show in their latency; with and
	// without are the mean squared errors of the latency as expected with the reports and
	// without them.
	reports, with, without float64
}

// New returns a leaf of which nothing is known but its slots.
func New(slots int) *Leaf {
	l := &Leaf{base: 1, deviation: 1, slowdown: 1}
	l.SetSlots(slots)
	return l
}

// SetSlots changes the number of slots.
func (l *Leaf) SetSlots(slots int) {
	slots = max(1, slots)
	if l.slots != float64(slots) {
		l.slots = float64(slots)
		l.limit = newLimit(l.slots)
	}
}

// Start takes over what another daemon knows, unless enough is known already.
func (l *Leaf) Start(k Knowledge) {
	if l.samples >= enoughSamples || !(k.Base >= minBase && k.Base <= maxBase) || !(k.Limit > 0) {
		return
	}
	l.start = k
	if l.samples == 0 {
		l.limit.value = l.limit.clamp(k.Limit)
	}
}

// Known returns what this daemon has learned itself; false if that is too little to be told.
func (l *Leaf) Known() (Knowledge, bool) {
	return Knowledge{Limit: l.limit.value, Base: l.base}, l.samples >= enoughSamples
}

// Report takes the slowdown that a leaf reports, 1 for the usual speed.
func (l *Leaf) Report(now model.Time, slowdown float64) {
	l.slowdown, l.reportedAt = min(max(slowdown, 1/maxSlowdown), maxSlowdown), now
}

// Answer takes the time of a whole answer, relative to a typical one of its route. load is
// the number of other requests at the leaf when it was sent, slowdown the one that was reported
// with it, 0 for none.
func (l *Leaf) Answer(now, sentAt model.Time, ratio, load, slowdown float64) {
	if !(ratio > 0) {
		return
	}
	l.decay(now)
	if slowdown > 0 {
		l.Report(now, slowdown)
		l.checkReport(ratio)
	}
	unloaded := l.Base() * l.usedSlowdown(now)
	l.limit.add(ratio/unloaded, load+1)
	own := ratio / l.usedSlowdown(now)
	if load < 1 {
		l.samples++
		weight := max(baseWeight, 1/(l.samples+1))
		l.base += (min(max(min(own, maxDeviationStep*l.base), minBase), maxBase) - l.base) * weight
	}
	l.addDeviation(now, sentAt, own/l.Base())
}

// Late takes the time of an attempt that was given up, which is a lower bound.
func (l *Leaf) Late(now, sentAt model.Time, ratio float64) {
	l.decay(now)
	if sample := ratio / (l.Base() * l.usedSlowdown(now)); sample > l.deviation {
		l.addDeviation(now, sentAt, sample)
	}
}

func (l *Leaf) addDeviation(now, sentAt model.Time, sample float64) {
	if sample > outlier {
		if sentAt < l.outlierAt {
			return
		}
		l.outlierAt = now
	}
	sample = min(sample, maxDeviationStep*l.deviation, maxDeviation)
	weight := deviationWeight
	if sample > outlier || sample < 1/outlier {
		weight = outlierWeight
	}
	l.deviation += (sample - l.deviation) * weight
}

// checkReport compares the latest report with an answer's latency without waiting.
func (l *Leaf) checkReport(ratio float64) {
	if l.slowdown < minReportedChange && l.slowdown > 1/minReportedChange {
		return
	}
	plain := math.Log(ratio / l.Base())
	with := plain - math.Log(l.slowdown)
	l.reports++
	weight := max(reportWeight, 1/l.reports)
	l.without += (plain*plain - l.without) * weight
	l.with += (with*with - l.with) * weight
}

// Trusted reports whether the reports have described the latency better than no reports.
func (l *Leaf) Trusted() bool { return l.reports < minReports || l.with <= l.without }

// usedSlowdown returns the slowdown as of now: the last report, which is worth less with its
// age.
func (l *Leaf) usedSlowdown(now model.Time) float64 {
	if !l.Trusted() {
		return 1
	}
	age := max(0, now.Sub(l.reportedAt))
	return 1 + (l.slowdown-1)*math.Exp(-float64(age)/float64(slowdownMemory))
}

func (l *Leaf) decay(now model.Time) {
	if d := now.Sub(l.deviationAt); d > 0 {
		l.deviation = 1 + (l.deviation-1)*math.Exp2(-float64(d)/float64(deviationHalfLife))
		l.deviationAt = now
	}
}

// Base returns the latency without load, 1 for that of a usual leaf of the service.
func (l *Leaf) Base() float64 {
	if l.start.Base == 0 || l.samples >= enoughSamples {
		return l.base
	}
	own := l.samples / enoughSamples
	return own*l.base + (1-own)*l.start.Base
}

// Slowdown returns how long work takes as of now by the leaf's reports, 1 for the usual time.
func (l *Leaf) Slowdown(now model.Time) float64 { return l.usedSlowdown(now) }

// Limit returns the number of requests that the leaf takes at once before its latency rises.
func (l *Leaf) Limit() float64 { return l.limit.value }

// Unloaded returns the latency without load as of now, relative to the service.
func (l *Leaf) Unloaded(now model.Time) float64 {
	l.decay(now)
	return l.Base() * l.usedSlowdown(now) * l.deviation
}

// Expected returns the time of one more request beside load others, relative to a typical one.
// It grows with the load, and twice as fast beyond the limit.
func (l *Leaf) Expected(now model.Time, load float64) float64 {
	return l.Unloaded(now) * (1 + load/l.slots + max(0, load+1-l.limit.value)/l.slots)
}
