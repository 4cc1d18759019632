package edge

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
)

// untilTurn returns the time until a daemon's next turn, but at least refreshWait. Turns are
// given by the time of day, which keeps the daemons apart however their watches began. A
// daemon whose clock is wrong takes its turn at another time; a VM's clock that jumps has no
// other effect.
func untilTurn(now time.Time, t gateway.WatchTurn) time.Duration {
	interval := max(t.Interval, refreshWait)
	round := interval * time.Duration(max(1, t.Count))
	turn := interval * time.Duration(t.Place)
	wait := ((turn-time.Duration(now.UnixNano()))%round + round) % round
	if wait < refreshWait {
		wait += round
	}
	return min(wait, maxWatchWait)
}
