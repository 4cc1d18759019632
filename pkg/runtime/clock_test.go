package runtime

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against readings in which the wall clock seems to run ahead because
// the thread lost its processor between the two clocks: a daemon would drop its
// lease on every busy machine.
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
	last, lastWall := c.read()
	for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end); {
		now, wall := c.read()
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
