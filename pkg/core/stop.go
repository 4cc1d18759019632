package core

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/core/query"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// leavePropagation is the time allowed until every daemon that answers
	// lookups knows that this daemon is leaving.
	leavePropagation = 2 * time.Second
	// stopTimeout bounds a stop that peers or backend servers delay.
	stopTimeout = 30 * time.Second
	// pauseThreshold is the time without any event after which the process is
	// taken to have been paused. Heartbeats cause events far more often.
	pauseThreshold = 700 * time.Millisecond
	// stopCheckInterval is how often a stopping daemon checks whether its work has
	// ended.
	stopCheckInterval = 20 * time.Millisecond
)

type stopPhase uint8

const (
	notStopping stopPhase = iota
	// announced: the daemon tells its peers to leave it out of new lookup answers.
	// It still serves callers that hold an older answer.
	announced
	// handingOver: the daemon refuses new work, hands its backend servers over and
	// waits for running requests to end.
	handingOver
	exited
)

// gracefulStop is the state of the daemon's graceful stop.
type gracefulStop struct {
	phase  stopPhase
	reason string
	// phaseEnd is when the announced phase ends.
	phaseEnd model.Time
	// deadline is when the daemon exits even if requests are still running.
	deadline model.Time
	// wake is when the stop needs the next Tick.
	wake model.Time
	// lastEvent is the time of the last event.
	lastEvent model.Time
}

// refusesWork reports whether the stop has reached the phase in which new work
// from callers is refused.
func (p *gracefulStop) refusesWork() bool { return p.phase >= handingOver }

// begin starts the stop; a second request changes nothing.
func (p *gracefulStop) begin(s *State, m event.Meta, reason string, out *effect.List) {
	if p.phase != notStopping {
		return
	}
	p.phase = announced
	p.lastEvent = m.Now
	p.reason = reason
	p.phaseEnd = m.Now.Add(query.LookupMaxAge + leavePropagation)
	p.deadline = m.Now.Add(stopTimeout)
	p.wake = p.phaseEnd
	s.membership.AnnounceLeaving(m, out)
}

// checkVMList starts the stop if the platform's VM list marks this VM as leaving.
func (p *gracefulStop) checkVMList(s *State, m event.Meta, e event.VMListRead, out *effect.List) {
	for _, v := range e.VMs {
		if v.VM == s.cfg.Self.VM && v.State == model.VMLeaving {
			p.begin(s, m, "the VM list says that this VM is leaving", out)
		}
	}
}

// advance moves the stop to its next phase, or to the exit, if that is due.
func (p *gracefulStop) advance(s *State, m event.Meta, out *effect.List) {
	if m.Now.Sub(p.lastEvent) > pauseThreshold && p.phase == announced {
		// Requests that callers sent during the pause have not been read yet, so
		// keep serving for as long as callers may use a lookup answer.
		p.phaseEnd = max(p.phaseEnd, m.Now.Add(query.LookupMaxAge))
		p.wake = p.phaseEnd
	}
	p.lastEvent = m.Now
	if p.phase == announced && m.Now >= p.phaseEnd {
		p.phase = handingOver
		s.membership.Leave(m, out)
	}
	if p.phase != handingOver {
		return
	}
	p.wake = m.Now.Add(stopCheckInterval)
	done := s.query.Running() == 0 && s.slots.Running() == 0 && s.membership.Handed()
	if done || m.Now >= p.deadline {
		p.phase = exited
		p.wake = model.Never
		out.Add(effect.Exit{Reason: p.reason})
	}
}
