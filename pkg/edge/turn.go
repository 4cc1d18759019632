package edge

import "time"

// untilTurn returns the time until the next turn of the daemon of a rank among count
// watching daemons, but at least refreshWait. Turns are given by the time of day, which
// keeps the daemons apart however their watches began. A daemon whose clock is wrong takes
// its turn at another time; a VM's clock that jumps has no other effect.
func untilTurn(now time.Time, place, count int) time.Duration {
	round := fleetWatchInterval * time.Duration(max(1, count))
	turn := fleetWatchInterval * time.Duration(place)
	wait := ((turn-time.Duration(now.UnixNano()))%round + round) % round
	if wait < refreshWait {
		wait += round
	}
	return min(wait, maxWatchWait)
}
