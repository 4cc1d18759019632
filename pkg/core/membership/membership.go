// Package membership decides which daemon may act as the owner of a backend
// server. Two daemons never act for the same server at the same time.
//
// # Why two daemons never act for the same server at the same time
//
// A daemon acts only while it holds a lease: unexpired grants from a majority
// of its epoch's panel. It counts a grant from before it sent the request and
// subtracts clockMargin, which is larger than the difference between two
// clocks over the lease, so a grant ends at its holder before it ends at the
// panel member that gave it. Only answers from exactly the panel incarnations
// that the epoch names count.
//
// Within one epoch, the epoch alone determines the order of a server's owners.
// A daemon acts only if a majority of the panel has fenced every member before
// it in the order, or if the daemon that may act handed the server over and
// stopped for good. A panel member fences an incarnation only after its grant
// to it ended or the incarnation resigned, that is, stopped acting for good,
// and never grants to it again. Two majorities share a panel member. Its grant
// to the fenced daemon has ended, so the fenced daemon has no majority of
// grants left when its successor starts, and never gets one again in that
// epoch.
//
// A holder uses grants and fences only from an answer that names its epoch, to
// a request that it sent in that epoch. This alone is enough for safety. Panel
// members also refuse heartbeats of another epoch, so that they fence a member
// that does not learn of the new epoch; its successor waits for that.
//
// Between epochs: a panel member that learns of epoch e+1 closes e, that is,
// it grants and fences nothing more in e. Epoch e+1 is active once a majority
// of the panel of e closed e at least one lease duration ago, so that no lease
// of e is valid. A panel member that restarted or is gone grants and fences
// nothing more in e either, and counts as closed from one lease duration after
// that. Epoch e+2 is written only by a daemon that saw e+1 active, so leases
// of at most two epochs can be valid at a time.
//
// Before e+1 is active, a server has an owner in e+1 only by carry-over: the
// daemon that alone may act for it in e, or the daemon to which that one
// handed the server. A daemon is alone in e if it owns the server there and a
// majority of the panel of e closed e without having fenced it: then no daemon
// after it in the order can ever see a majority that fenced it, and all before
// it are fenced already.
package membership

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// LeaseDuration is how long a panel member's grant lasts on its clock.
	LeaseDuration = 1500 * time.Millisecond
	// HeartbeatInterval is the time between two heartbeats to a panel member;
	// two of them may be lost without losing the lease.
	HeartbeatInterval = 500 * time.Millisecond
	// clockMargin is what a holder subtracts from a grant: clocks may differ
	// by 1%, 10 ms cover the timer resolution, and clockJump is what a
	// suspension of the VM may add unnoticed.
	clockMargin = LeaseDuration/100 + 10*time.Millisecond + clockJump
	// MaxPanel is the largest size of a panel, the members of an epoch that
	// grant leases.
	MaxPanel = 7
)

// OwnerOrder returns the members in the order in which they own the server.
type OwnerOrder func(server model.ServerName, domain model.FailureDomain, members []model.Member) []model.Member

// PanelChoice returns up to limit members for the panel, spread over failure
// domains. It chooses only members whose VM is listed and prefers those in
// keep.
type PanelChoice func(members []model.Member, listed func(model.VM) bool, keep []model.MemberRef, limit int) []model.MemberRef

// Config is what a daemon knows from its settings.
type Config struct {
	Self          model.MemberRef
	Region        string
	FailureDomain model.FailureDomain
	PeerAddress   string
	CallerAddress string
	Owners        OwnerOrder
	Panel         PanelChoice
}

// View is the state of the other reducers that this package reads.
type View interface {
	Bundle() *model.Bundle
	Versions() (bundle, controls uint64)
	// Reports returns the reports on owned servers by name.
	Reports() []model.ServerReport
	// InFlight returns the number of sub-requests running at the server.
	InFlight(model.ServerName) int
}

// State is the membership of one daemon. It is not safe for concurrent use.
type State struct {
	cfg  Config
	view View
	self model.MemberRef
	// startedAt is when this incarnation started.
	startedAt model.Time
	// lastEvent is the time of the last event that this package handled.
	lastEvent model.Time
	// lastNow and lastWall are the monotonic and the wall clock at the last
	// event of the daemon.
	lastNow  model.Time
	lastWall int64
	// grantsValidFrom is the time of the last clock jump. Grants that were
	// requested before it do not count.
	grantsValidFrom model.Time
	// cur is the newest known epoch. prev is the one before it if this daemon
	// may still hold a lease of it, nil otherwise.
	cur, prev *epochView
	targets   []*target
	panel     panelState
	writer    writer
	vms       vmList
	exchange  exchange
	handovers map[model.ServerName]*handover
	leave     leaveState
	logged    loggedState
}

// New returns the state before Start.
func New(cfg Config, view View) *State {
	return &State{
		cfg:       cfg,
		view:      view,
		self:      cfg.Self,
		panel:     newPanel(),
		exchange:  newExchange(),
		handovers: make(map[model.ServerName]*handover),
	}
}

// NewIncarnation makes an incarnation number from the Unix time in ms and
// random bits.
func NewIncarnation(wall int64, rand uint64) model.Incarnation {
	const randomBits = 20
	return model.Incarnation(uint64(wall)<<randomBits | rand&(1<<randomBits-1))
}

// Start must be called once, before any other event.
func (s *State) Start(m event.Meta, out *effect.List) {
	s.startedAt, s.lastEvent = m.Now, m.Now
	s.vms.next = m.Now
	s.exchange.next = m.Now.Add(HeartbeatInterval)
	s.runDueWork(m, out)
}

// Tick does the work that is due at m.Now.
func (s *State) Tick(m event.Meta, out *effect.List) { s.runDueWork(m, out) }

// recordEvent must be called first for every event.
func (s *State) recordEvent(m event.Meta) {
	if m.Now.Sub(s.lastEvent) > pauseLimit {
		s.panel.extendAfterPause(m.Now)
	}
	s.lastEvent = m.Now
}

// runDueWork does everything that depends on the time or on state that an
// event changed.
func (s *State) runDueWork(m event.Meta, out *effect.List) {
	s.recordEvent(m)
	s.fenceExpired(m, out)
	s.updateEpoch(m, out)
	s.readVMList(m, out)
	s.updateWriter(m, out)
	s.updateLeave(m)
	s.sendHandovers(m, out)
	s.sendHeartbeats(m, out)
	s.sendExchanges(m, out)
	s.logChanges(m, out)
}

// NextWake returns when the next Tick is due.
func (s *State) NextWake() model.Time {
	wake := min(s.exchange.next, s.vms.wake(s.lastEvent), s.panel.nextEnd, s.wakeWriter(), s.wakeHandovers())
	for _, t := range s.targets {
		wake = min(wake, t.wake())
	}
	if s.cur != nil {
		wake = min(wake, s.cur.wake())
	}
	for _, v := range s.views() {
		if v.leaseEnd > s.lastEvent {
			wake = min(wake, v.leaseEnd)
		}
	}
	return max(wake, s.lastEvent+1)
}

// views returns the epochs in which this daemon may hold a lease, newest first.
func (s *State) views() []*epochView {
	switch {
	case s.cur == nil:
		return nil
	case s.prev == nil:
		return []*epochView{s.cur}
	}
	return []*epochView{s.cur, s.prev}
}

// Self returns this daemon's current incarnation.
func (s *State) Self() model.MemberRef { return s.self }

// Epoch returns the number of the newest known epoch, 0 without one.
func (s *State) Epoch() uint64 {
	if s.cur == nil {
		return 0
	}
	return s.cur.epoch.Number
}

// Current returns the newest known epoch, nil without one.
func (s *State) Current() *model.Epoch {
	if s.cur == nil {
		return nil
	}
	return s.cur.epoch
}

// OnPanel reports whether this incarnation grants leases.
func (s *State) OnPanel() bool {
	return s.cur != nil && refIndex(s.cur.epoch.Panel, s.self) >= 0
}

// Header returns the header that every message of this daemon carries.
func (s *State) Header() model.Header {
	bundle, controls := s.view.Versions()
	return model.Header{From: s.self, BundleVersion: bundle, ControlsVersion: controls, Epoch: s.Epoch()}
}

// ownMember returns this daemon as a member of an epoch.
func (s *State) ownMember() model.Member {
	return model.Member{
		MemberRef:     s.self,
		FailureDomain: s.cfg.FailureDomain,
		PeerAddress:   s.cfg.PeerAddress,
		CallerAddress: s.cfg.CallerAddress,
		Leaving:       s.leave.announced,
	}
}
