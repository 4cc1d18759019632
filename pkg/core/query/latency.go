package query

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyWindow is the number of samples after which the histogram starts
	// afresh; 512 samples leave about 25 above the 95th percentile.
	latencyWindow = 512
	// latencyFirst is the number of samples of the first estimate.
	latencyFirst = 32
	// latencyMaxUs is the largest latency recorded, in microseconds.
	latencyMaxUs = int64(60 * time.Second / time.Microsecond)
	// latencyDigits is the number of significant digits of the histogram.
	latencyDigits = 2
)

// latency estimates a percentile of a service's recent sub-request latencies.
type latency struct {
	hist     *hdrhistogram.Histogram
	estimate time.Duration
	// full is set once a whole window backs the estimate.
	full bool
}

// record adds a sample. The estimate changes once per window, and at 32, 64,
// 128 and 256 samples of the first one.
func (l *latency) record(d time.Duration, percent float64) {
	if l.hist == nil {
		l.hist = hdrhistogram.New(1, latencyMaxUs, latencyDigits)
	}
	us := min(max(d.Microseconds(), 1), latencyMaxUs)
	// The value is within the histogram's range, the only cause of an error.
	_ = l.hist.RecordValue(us)
	n := l.hist.TotalCount()
	if n < latencyWindow && (l.full || n < latencyFirst || n&(n-1) != 0) {
		return
	}
	l.estimate = time.Duration(l.hist.ValueAtQuantile(percent)) * time.Microsecond
	if n >= latencyWindow {
		l.full = true
		l.hist.Reset()
	}
}
