package query

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// latencyWindow is the number of samples after which the histogram starts
	// afresh; 512 samples leave about 25 above the 95th percentile.
	latencyWindow = 512
	// latencyAge is the age at which a window with latencyEnough samples ends
	// early: 64 leave about 3 above the 95th percentile, and a service with few
	// queries would otherwise hedge by latencies that are minutes old.
	latencyAge    = 2 * time.Second
	latencyEnough = 64
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
	// started is when the window began.
	started model.Time
	// full is set once a whole window backs the estimate.
	full bool
}

// record adds a sample. The estimate changes once per window, and at 32, 64,
// 128 and 256 samples of the first one.
func (l *latency) record(now model.Time, d time.Duration, percent float64) {
	if l.hist == nil {
		l.hist = hdrhistogram.New(1, latencyMaxUs, latencyDigits)
		l.started = now
	}
	us := min(max(d.Microseconds(), 1), latencyMaxUs)
	// The value is within the histogram's range, the only cause of an error.
	_ = l.hist.RecordValue(us)
	n := l.hist.TotalCount()
	ends := n >= latencyWindow || n >= latencyEnough && now.Sub(l.started) >= latencyAge
	if !ends && (l.full || n < latencyFirst || n&(n-1) != 0) {
		return
	}
	l.estimate = time.Duration(l.hist.ValueAtQuantile(percent)) * time.Microsecond
	if ends {
		l.full = true
		l.started = now
		l.hist.Reset()
	}
}
