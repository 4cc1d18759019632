package query

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// latencyWindowSamples is the number of samples after which the histogram
	// is reset; 512 samples leave about 25 above the 95th percentile.
	latencyWindowSamples = 512
	// latencyWindowAge is the age at which a window with at least
	// latencyWindowMinSamples samples ends early; 64 samples leave about 3
	// above the 95th percentile. Without this limit, a service with few queries
	// would hedge by latencies that are minutes old.
	latencyWindowAge        = 2 * time.Second
	latencyWindowMinSamples = 64
	// latencyFirstSamples is the number of samples needed for the first
	// estimate.
	latencyFirstSamples = 32
	// latencyMaxUs is the largest latency recorded, in microseconds.
	latencyMaxUs = int64(60 * time.Second / time.Microsecond)
	// latencyDigits is the number of significant decimal digits that the
	// histogram keeps.
	latencyDigits = 2
)

// latencyEstimator estimates a percentile of a service's recent sub-request
// latencies.
type latencyEstimator struct {
	hist     *hdrhistogram.Histogram
	estimate time.Duration
	// windowStart is when the current window began.
	windowStart model.Time
	// windowCompleted is set once the first window has ended.
	windowCompleted bool
}

// record adds a sample. The estimate changes at the end of each window and,
// within the first window, also at 32, 64, 128 and 256 samples.
func (l *latencyEstimator) record(now model.Time, d time.Duration, percent float64) {
	if l.hist == nil {
		l.hist = hdrhistogram.New(1, latencyMaxUs, latencyDigits)
		l.windowStart = now
	}
	us := min(max(d.Microseconds(), 1), latencyMaxUs)
	// The only error is a value outside the histogram's range, which us is not.
	_ = l.hist.RecordValue(us)
	n := l.hist.TotalCount()
	windowEnds := n >= latencyWindowSamples || n >= latencyWindowMinSamples && now.Sub(l.windowStart) >= latencyWindowAge
	if !windowEnds && (l.windowCompleted || n < latencyFirstSamples || n&(n-1) != 0) {
		return
	}
	l.estimate = time.Duration(l.hist.ValueAtQuantile(percent)) * time.Microsecond
	if windowEnds {
		l.windowCompleted = true
		l.windowStart = now
		l.hist.Reset()
	}
}
