package membership

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
)

// clockJump is how much further than the monotonic clock the wall clock may
// move between two events. A VM that its hypervisor suspends can have a
// monotonic clock that stood still, and leases end in real time. What stays
// below it is covered by the margin of a grant.
const clockJump = 10 * time.Millisecond

// Observe must be called with every event of the daemon before anything acts
// on it. It ends the leases when the wall clock shows that the monotonic one
// may have stood still. If the wall clock was merely set, the next heartbeats
// bring the leases back.
func (s *State) Observe(m event.Meta, out *effect.List) {
	last, lastWall := s.observed, s.observedWall
	s.observed, s.observedWall = m.Now, m.Wall
	if lastWall == 0 {
		return
	}
	wall := time.Duration(m.Wall-lastWall) * time.Millisecond
	jump := wall - m.Now.Sub(last)
	if jump <= clockJump {
		return
	}
	s.leasesFrom = m.Now
	out.Log(logevent.ClockJumped, logevent.Int("milliseconds", jump.Milliseconds()))
	for _, v := range s.views() {
		v.drop()
	}
	if s.cur != nil {
		s.logged.dirty = true
		s.hurry(m.Now)
	}
}
