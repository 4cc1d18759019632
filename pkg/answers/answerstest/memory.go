package answerstest

import (
	"runtime"
	"time"
)

// memorySampleInterval is the time between two looks at the memory in use.
const memorySampleInterval = 10 * time.Millisecond

// WatchMemory returns a function that ends the measurement and returns by how many bytes the
// memory that the process has in use, heap and stacks, has grown at most.
func WatchMemory() (grown func() int64) {
	runtime.GC()
	before, peak := memoryInUse(), int64(0)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(memorySampleInterval):
				peak = max(peak, memoryInUse())
			}
		}
	}()
	return func() int64 {
		close(stop)
		<-done
		return peak - before
	}
}

func memoryInUse() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
