package window

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Guards against bounds that are wrong for some window: a limit that is kept by them would be
// exceeded there, or spent on events that have long left the window.
func TestBoundsHoldForEachWindow(t *testing.T) {
	const length = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		c := New(length)
		var events []model.Time
		now := model.Time(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "start"))
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "pause")))
			c.Add(now, 1)
			events = append(events, now)
			count := func(within time.Duration) float64 {
				n := 0.0
				for _, e := range events {
					if now.Sub(e) < within {
						n++
					}
				}
				return n
			}
			if got := c.AtMost(now); got < count(length) || got > count(length*(slices+1)/slices) {
				t.Fatalf("at most %v, true number %v", got, count(length))
			}
			if got := c.AtLeast(now); got > count(length) || got < count(length*(slices-1)/slices) {
				t.Fatalf("at least %v, true number %v", got, count(length))
			}
		}
	})
}
