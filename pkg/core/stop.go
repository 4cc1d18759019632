package core

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/core/query"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// leaveSpread is the time for the news that this daemon leaves to reach
	// every daemon that answers lookups.
	leaveSpread = 2 * time.Second
	// stopLimit ends a stop that peers or backend servers hold up.
	stopLimit = 30 * time.Second
	// pauseLimit is the time without any event after which a process was
	// probably paused. Heartbeats make events far more often.
	pauseLimit = 700 * time.Millisecond
	// stopPoll is how often a stopping daemon looks whether it is done.
	stopPoll = 20 * time.Millisecond
)

type stopPhase uint8

const (
	notStopping stopPhase = iota
	// announced: left out of new lookups, still serving callers that hold an
	// older lookup answer.
	announced
	// handingOver: takes no new work, passes its servers on and ends what runs.
	handingOver
	exited
)

// stop is the graceful stop of a daemon.
type stop struct {
	phase  stopPhase
	reason string
	// next is when the phase may end, limit when the stop ends regardless.
	next  model.Time
	limit model.Time
	wake  model.Time
	// seen is the time of the last event.
	seen model.Time
}

// closed reports whether new work from callers is refused.
func (p *stop) closed() bool { return p.phase >= handingOver }

// begin starts the stop; a second request changes nothing.
func (p *stop) begin(s *State, m event.Meta, reason string, out *effect.List) {
	if p.phase != notStopping {
		return
	}
	p.phase = announced
	p.seen = m.Now
	p.reason = reason
	p.next = m.Now.Add(query.LookupMaxAge + leaveSpread)
	p.limit = m.Now.Add(stopLimit)
	p.wake = p.next
	s.membership.AnnounceLeaving(m, out)
}

// vmList starts the stop when the platform says that this VM is leaving.
func (p *stop) vmList(s *State, m event.Meta, e event.VMListRead, out *effect.List) {
	for _, v := range e.VMs {
		if v.VM == s.cfg.Self.VM && v.State == model.VMLeaving {
			p.begin(s, m, "the VM list says that this VM is leaving", out)
		}
	}
}

// step moves the stop on as far as the state allows.
func (p *stop) step(s *State, m event.Meta, out *effect.List) {
	if m.Now.Sub(p.seen) > pauseLimit && p.phase == announced {
		// Requests that arrived during the pause are still waiting.
		p.next = max(p.next, m.Now.Add(query.LookupMaxAge))
		p.wake = p.next
	}
	p.seen = m.Now
	if p.phase == announced && m.Now >= p.next {
		p.phase = handingOver
		s.membership.Leave(m, out)
	}
	if p.phase != handingOver {
		return
	}
	p.wake = m.Now.Add(stopPoll)
	done := s.query.Running() == 0 && s.slots.Running() == 0 && s.membership.Handed()
	if done || m.Now >= p.limit {
		p.phase = exited
		p.wake = model.Never
		out.Add(effect.Exit{Reason: p.reason})
	}
}
