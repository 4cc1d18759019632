// Package core is the reducer of a daemon: it takes events one at a time and
// returns effects, which describe as data what the runtime has to do. It is
// composed of smaller reducers (documents, membership, query and slots) and
// routes events and effects between them. It does no I/O, reads no clock, starts
// no goroutine and draws no random number, so replaying a recorded stream of
// events gives the same effects.
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

// refreshInterval bounds the time until the slots reducer notices a change of
// ownership or the expiry of a control entry.
const refreshInterval = 100 * time.Millisecond

// Config holds the daemon's own settings.
type Config struct {
	Self          model.MemberRef
	Region        string
	FailureDomain model.FailureDomain
	PeerAddress   string
	CallerAddress string
	// Seeds are the peer addresses that the daemon asks for documents at startup.
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
	stop       gracefulStop
	local      localCalls
	// nextRefresh is when the slots reducer is next told to check ownership and
	// controls.
	nextRefresh model.Time
	// refreshedBundle and refreshedControls are the versions in force at the last
	// refresh.
	refreshedBundle   uint64
	refreshedControls uint64
	// domainOutSince is when this daemon learned that its failure domain was taken
	// out of service, 0 if it is in service.
	domainOutSince model.Time
}

// New returns the state of a daemon that has seen no event yet.
func New(cfg Config) *State {
	s := &State{cfg: cfg, nextRefresh: model.Never, stop: gracefulStop{wake: model.Never}}
	v := view{s}
	s.membership = membership.New(membershipConfig(cfg), v)
	s.documents = documents.New(documents.Config{}, v)
	s.slots = slots.New(&slots.Config{View: v})
	s.query = query.New(query.Config{View: v})
	s.local.streams = make(map[event.StreamID]struct{})
	return s
}

// Step applies one event and returns its effects in the order in which the
// runtime has to carry them out.
func (s *State) Step(ev event.Event) []effect.Effect {
	s.meta = ev.Meta
	var out effect.List
	s.membership.Observe(ev.Meta, &out)
	s.route(ev.Meta, ev.Body, &out)
	s.refresh(ev.Meta, &out)
	s.stop.advance(s, ev.Meta, &out)
	return s.deliverLocal(ev.Meta, &out)
}

// NextWake returns when the next Tick is due, model.Never if there is none.
func (s *State) NextWake() model.Time {
	return min(s.query.NextWake(), s.slots.NextWake(), s.membership.NextWake(),
		s.documents.NextWake(), s.nextRefresh, s.stop.wake)
}

// refresh lets the slots reducer check bundle, controls and ownership for
// changes: at once after a new bundle or new controls, otherwise when nextRefresh
// has come.
func (s *State) refresh(m event.Meta, out *effect.List) {
	bundle, controls := s.documents.Versions()
	changed := bundle != s.refreshedBundle || controls != s.refreshedControls
	if !changed && m.Now < s.nextRefresh {
		return
	}
	s.refreshedBundle, s.refreshedControls = bundle, controls
	s.updateDomainOutSince(m)
	// Only panel members read the VM list. The other daemons learn from the epoch
	// that their VM is leaving.
	if s.membership.ToldToLeave() {
		s.stop.begin(s, m, "the epoch says that this VM is leaving", out)
	}
	s.nextRefresh = m.Now.Add(refreshInterval)
	s.slots.Refresh(m, out)
}

// admits reports whether this daemon accepts new work from callers and, if not,
// why.
func (s *State) admits(m event.Meta) (bool, string) {
	switch {
	case s.stop.refusesWork():
		return false, "stopping"
	case !s.documents.Ready():
		return false, "no configuration in force yet"
	case s.domainOutForCallers(m):
		return false, "failure domain taken out"
	case !s.membership.HasLease(m.Now):
		return false, "no lease: cannot confirm that the configuration is current"
	case !s.membership.Informed():
		return false, "no reports on backend servers yet"
	}
	return true, ""
}

// domainOutForCallers reports whether this daemon's failure domain has been out
// of service for so long that no caller may still use a lookup answer that names
// this daemon.
func (s *State) domainOutForCallers(m event.Meta) bool {
	return s.domainOutSince != 0 && m.Now >= s.domainOutSince.Add(query.LookupMaxAge)
}

// updateDomainOutSince records when this daemon learned that its failure domain
// was taken out of service, and resets the time once the domain is back.
func (s *State) updateDomainOutSince(m event.Meta) {
	switch out := s.documents.Controls().DomainOut(s.cfg.FailureDomain, m.Wall); {
	case !out:
		s.domainOutSince = 0
	case s.domainOutSince == 0:
		s.domainOutSince = max(m.Now, 1)
	}
}

// Status returns a summary of the state at the time now.
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

// Header returns the header of the messages that this daemon sends to peers.
func (s *State) Header() model.Header { return s.membership.Header() }
