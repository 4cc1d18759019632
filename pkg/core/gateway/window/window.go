// Package window counts events over a sliding window of time, with bounds on the number in
// each window of that length, wherever it begins.
package window

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// slices is the number of parts into which the window is divided. The bounds differ from
// the true number by the events of one part at most.
const slices = 10

// Counter counts events of the last window. The zero value counts nothing; use New.
type Counter struct {
	slice time.Duration
	// counts holds the window's slices and the one before, by index modulo their number.
	counts [slices + 1]float64
	// newest is the index of the slice that was counted in last.
	newest int64
}

// New returns a counter for a window of the given length.
func New(length time.Duration) Counter {
	return Counter{slice: max(1, length/slices)}
}

// Add counts n events.
func (c *Counter) Add(now model.Time, n float64) {
	c.advance(now)
	c.counts[c.newest%int64(len(c.counts))] += n
}

// AtMost returns an upper bound on the number of events in the window that ends now.
func (c *Counter) AtMost(now model.Time) float64 {
	c.advance(now)
	sum := 0.0
	for _, n := range c.counts {
		sum += n
	}
	return sum
}

// AtLeast returns a lower bound on the number of events in the window that ends now.
func (c *Counter) AtLeast(now model.Time) float64 {
	sum := c.AtMost(now)
	oldest := (c.newest + 1) % int64(len(c.counts))
	return sum - c.counts[oldest]
}

// advance empties the slices that have left the window.
func (c *Counter) advance(now model.Time) {
	current := int64(now) / int64(c.slice)
	if current-c.newest >= int64(len(c.counts)) {
		c.counts = [slices + 1]float64{}
		c.newest = current
		return
	}
	for c.newest < current {
		c.newest++
		c.counts[c.newest%int64(len(c.counts))] = 0
	}
}
