package membership

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
)

// clockJump is how much further than the monotonic clock the wall clock may
// move between two events without ending the leases. While its hypervisor
// suspends a VM, the monotonic clock may stand still, but leases end in real
// time. A jump of up to clockJump is covered by clockMargin.
const clockJump = 10 * time.Millisecond

// Observe must be called with every event of the daemon before the event is
// handled. It ends the leases when the wall clock shows that the monotonic
// clock may have stood still. If the wall clock was merely set, the next
// heartbeats renew the leases.
func (s *State) Observe(m event.Meta, out *effect.List) {
	last, lastWall := s.lastNow, s.lastWall
	s.lastNow, s.lastWall = m.Now, m.Wall
	if lastWall == 0 {
		return
	}
	wall := time.Duration(m.Wall-lastWall) * time.Millisecond
	jump := wall - m.Now.Sub(last)
	if jump <= clockJump {
		return
	}
	s.grantsValidFrom = m.Now
	out.Log(logevent.ClockJumped, logevent.Int("milliseconds", jump.Milliseconds()))
	for _, v := range s.views() {
		v.clearLease()
	}
	if s.cur != nil {
		s.logged.dirty = true
		s.makeHeartbeatsDue(m.Now)
	}
}
