package runtime

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// clock converts between model.Time and the process's monotonic clock.
type clock struct{ start time.Time }

func (c clock) now() model.Time { return model.Time(time.Since(c.start)) }

func (c clock) toTime(t model.Time) time.Time { return c.start.Add(time.Duration(t)) }

const (
	// readTolerance bounds the time between two consecutive readings, and by how
	// much the two clocks may disagree about that time. On a busy machine a
	// thread can be descheduled between reading the wall clock and reading the
	// monotonic clock, which would look as if one of them had jumped.
	readTolerance = 500 * time.Microsecond
	// maxReads bounds the attempts to read both clocks at the same instant.
	maxReads = 10
)

// readBoth returns the monotonic time and the Unix time in milliseconds of the
// same instant. After maxReads failed attempts it returns the last reading.
func (c clock) readBoth() (now model.Time, wallMS int64) {
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
