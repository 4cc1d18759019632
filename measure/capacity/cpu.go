package capacity

import (
	"fmt"
	"runtime"
	"syscall"
	"time"
)

// processCPU returns the user and system time that this process has used.
func processCPU() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, fmt.Errorf("capacity: getrusage: %w", err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// leastCPU runs f repeatedly and returns the least CPU time of a run, which
// other work on the machine disturbs least.
func leastCPU(repeats int, f func() error) (time.Duration, error) {
	least := time.Duration(0)
	for i := range repeats {
		runtime.GC()
		before, err := processCPU()
		if err != nil {
			return 0, err
		}
		if err := f(); err != nil {
			return 0, err
		}
		after, err := processCPU()
		if err != nil {
			return 0, err
		}
		if used := after - before; i == 0 || used < least {
			least = used
		}
	}
	return least, nil
}

// micros returns d per part in microseconds.
func micros(d time.Duration, parts int) float64 {
	return float64(d) / float64(time.Microsecond) / float64(parts)
}
