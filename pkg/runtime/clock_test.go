package runtime

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against readings in which the wall clock seems to jump ahead because
// the thread was descheduled between reading the two clocks: every daemon on a
// busy machine would drop its lease.
func TestClocksAreReadTogether(t *testing.T) {
	c := clock{start: time.Now()}
	var stop atomic.Bool
	var wg sync.WaitGroup
	for range 64 {
		wg.Go(func() {
			for !stop.Load() {
				// Keeps a processor busy.
				_ = time.Now()
			}
		})
	}
	last, lastWall := c.readBoth()
	for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end); {
		now, wall := c.readBoth()
		jump := time.Duration(wall-lastWall)*time.Millisecond - now.Sub(last)
		if jump > 5*time.Millisecond {
			t.Errorf("the wall clock seems to have jumped by %v", jump)
			break
		}
		last, lastWall = now, wall
	}
	stop.Store(true)
	wg.Wait()
}
