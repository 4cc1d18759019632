// Package core is the reducer of a daemon: it takes every event and returns
// what has to be done as data. It composes reducers of one job each and routes
// events and effects between them. It does no I/O, reads no clock, starts no
// goroutine and draws no random number, so a recorded stream of events gives
// the same effects again.
package core

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/documents"
	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/core/membership"
	"github.com/pistachiousher/pistachiousher/pkg/core/query"
	"github.com/pistachiousher/pistachiousher/pkg/core/slots"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// refreshInterval bounds how long a change of ownership or the end of a
// control entry stays unnoticed by the slots reducer.
const refreshInterval = 100 * time.Millisecond

// Config is what a daemon knows from its settings.
type Config struct {
	Self          model.MemberRef
	Region        string
	FailureDomain model.FailureDomain
	PeerAddress   string
	CallerAddress string
	// Seeds are peer addresses to ask at the start.
	Seeds []string
}

// State is the whole state of a daemon. It is not safe for concurrent use.
type State struct {
	cfg        Config
	meta       event.Meta
	query      *query.State
	slots      *slots.State
	membership *membership.State
	documents  *documents.State
	stop       stop
	local      localCalls
	// nextRefresh is when slots looks at ownership and controls again.
	nextRefresh model.Time
	bundle      uint64
	controls    uint64
	// outSince is when this daemon learned that its failure domain is taken
	// out, 0 if it is not.
	outSince model.Time
}

// New returns the state before the first event.
func New(cfg Config) *State {
	s := &State{cfg: cfg, nextRefresh: model.Never, stop: stop{wake: model.Never}}
	v := view{s}
	s.membership = membership.New(membershipConfig(cfg), v)
	s.documents = documents.New(documents.Config{}, v)
	s.slots = slots.New(&slots.Config{View: v})
	s.query = query.New(query.Config{View: v})
	s.local.streams = make(map[event.StreamID]struct{})
	return s
}

// Step takes one event and returns its effects in order.
func (s *State) Step(ev event.Event) []effect.Effect {
	s.meta = ev.Meta
	var out effect.List
	s.membership.Observe(ev.Meta, &out)
	s.route(ev.Meta, ev.Body, &out)
	s.refresh(ev.Meta, &out)
	s.stop.step(s, ev.Meta, &out)
	return s.settle(ev.Meta, &out)
}

// NextWake returns when the next Tick is due, model.Never if there is none.
func (s *State) NextWake() model.Time {
	return min(s.query.NextWake(), s.slots.NextWake(), s.membership.NextWake(),
		s.documents.NextWake(), s.nextRefresh, s.stop.wake)
}

// refresh tells the slots reducer that bundle, controls or ownership may have
// changed: at once for a new document, else at the refresh interval.
func (s *State) refresh(m event.Meta, out *effect.List) {
	bundle, controls := s.documents.Versions()
	changed := bundle != s.bundle || controls != s.controls
	if !changed && m.Now < s.nextRefresh {
		return
	}
	s.bundle, s.controls = bundle, controls
	s.noteDomain(m)
	// Only panel members read the VM list; the others learn from the epoch.
	if s.membership.ToldToLeave() {
		s.stop.begin(s, m, "the epoch says that this VM is leaving", out)
	}
	s.nextRefresh = m.Now.Add(refreshInterval)
	s.slots.Refresh(m, out)
}

// admits reports whether this daemon may take new work from callers, and the
// reason if not.
func (s *State) admits(m event.Meta) (bool, string) {
	switch {
	case s.stop.closed():
		return false, "stopping"
	case !s.documents.Ready():
		return false, "no configuration in force yet"
	case s.domainClosed(m):
		return false, "failure domain taken out"
	case !s.membership.HasLease(m.Now):
		return false, "no lease: cannot confirm that the configuration is current"
	case !s.membership.Informed():
		return false, "no reports on backend servers yet"
	}
	return true, ""
}

// domainClosed reports whether this daemon's failure domain has been out for
// longer than callers may still hold a lookup answer that names it.
func (s *State) domainClosed(m event.Meta) bool {
	return s.outSince != 0 && m.Now >= s.outSince.Add(query.LookupMaxAge)
}

// noteDomain records since when this daemon knows that its domain is out.
func (s *State) noteDomain(m event.Meta) {
	switch out := s.documents.Controls().DomainOut(s.cfg.FailureDomain, m.Wall); {
	case !out:
		s.outSince = 0
	case s.outSince == 0:
		s.outSince = max(m.Now, 1)
	}
}

// Status returns a summary of the state at now.
func (s *State) Status(now model.Time) model.DaemonStatus {
	m := s.meta
	m.Now = now
	ready, reason := s.admits(m)
	bundle, controls := s.documents.Versions()
	counts := s.query.Counts()
	return model.DaemonStatus{
		Self:            s.membership.Self(),
		BundleVersion:   bundle,
		ControlsVersion: controls,
		Epoch:           s.membership.Epoch(),
		Ready:           ready,
		Reason:          reason,
		Leaving:         s.stop.phase != notStopping,
		HasLease:        s.membership.HasLease(now),
		OnPanel:         s.membership.OnPanel(),
		Owned:           len(s.membership.Owned(now)),
		Running:         s.query.Running(),
		SubRequests:     s.slots.Running(),
		Hedges:          counts.Hedges,
		Retries:         counts.Retries,
	}
}

// Header returns what every message of this daemon carries.
func (s *State) Header() model.Header { return s.membership.Header() }
