package runtime

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// clock converts between model.Time and the process's monotonic clock.
type clock struct{ start time.Time }

func (c clock) now() model.Time { return model.Time(time.Since(c.start)) }

func (c clock) wall(t model.Time) time.Time { return c.start.Add(time.Duration(t)) }

const (
	// readTolerance is the time that two readings of the clocks may take. On a
	// busy machine a thread can lose its processor between the reading of the
	// wall clock and that of the monotonic clock, which would look as if one of
	// them had jumped.
	readTolerance = 500 * time.Microsecond
	// maxReads bounds the attempts to read both clocks at once.
	maxReads = 10
)

// read returns the time and the Unix time in milliseconds of one instant.
func (c clock) read() (now model.Time, wallMS int64) {
	a := time.Now()
	for range maxReads {
		b := time.Now()
		monotonic := b.Sub(a)
		wall := b.Round(0).Sub(a.Round(0))
		if monotonic < readTolerance && (wall-monotonic).Abs() < readTolerance {
			return model.Time(b.Sub(c.start)), b.UnixMilli()
		}
		a = b
	}
	return model.Time(a.Sub(c.start)), a.UnixMilli()
}
