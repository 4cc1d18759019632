// Package membership decides which daemon may act as the owner of a backend
// server, without ever letting two daemons act for one server at once.
//
// # Why two daemons never act for one server at the same time
//
// A daemon acts only while it holds a lease: unexpired grants of a majority of
// its epoch's panel. It counts a grant from before it sent the request and
// takes a margin off that is larger than the difference between two clocks
// over the lease, so a grant ends at its holder before it ends at the panel
// member that gave it. Only answers of exactly the incarnation that the epoch
// names count.
//
// Within one epoch the order of the owners of a server is a function of the
// epoch alone. A daemon acts only if every member before it in the order is
// fenced by a majority of the panel, or if the daemon that may act handed the
// server over and stopped for good. A panel member fences an incarnation only
// after its grant to it ended, and never grants to it again. Two majorities
// share a panel member; its grant to the fenced daemon has ended, so the fenced
// daemon has no majority of grants left when its successor starts, and never
// gets one again in that epoch.
//
// A holder takes grants and fences only from an answer that names its epoch, to
// a request that it sent in that epoch. For safety this alone is enough; that a
// panel member refuses heartbeats of another epoch makes it fence a member that
// does not learn of the new one, which a successor waits for.
//
// Between epochs: a panel member that learns of epoch e+1 closes e, that is, it
// grants and fences nothing more in e. Epoch e+1 is active once a majority of
// the panel of e closed it at least one lease duration ago, so no lease of e is
// valid. A panel member that lost its memory, or is gone, gives nothing more in
// e either, and is counted one lease duration after that happened. Epoch e+2 is
// written only by a daemon that saw e+1 active, so leases of two epochs at most
// can be valid at one time.
//
// Before e+1 is active, only a daemon that alone may act in e acts in e+1
// (carry-over), or the daemon that it handed the server to. It is alone in e
// when it owns the server there and a majority of the panel of e closed e
// without having fenced it: nobody after it in the order can ever see a
// majority that fenced it, and everybody before it is fenced already.
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
	// clockMargin is what a holder takes off a grant: clocks may differ by 1%,
	// 10 ms cover timer resolution, and clockJump is what a suspension of the VM
	// may add without being noticed.
	clockMargin = LeaseDuration/100 + 10*time.Millisecond + clockJump
	// MaxPanel is the largest number of lease-granting members of an epoch.
	MaxPanel = 7
)

// OwnerOrder returns the members in the order in which they own the server.
type OwnerOrder func(server model.ServerName, domain model.FailureDomain, members []model.Member) []model.Member

// PanelChoice returns up to limit members for the panel, spread over failure
// domains. It takes only members whose VM is listed and prefers those in keep.
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

// View is what membership reads of other reducers.
type View interface {
	Bundle() *model.Bundle
	Versions() (bundle, controls uint64)
	// Reports returns the reports on owned servers by name.
	Reports() []model.ServerReport
	// InFlight is the number of sub-requests running at the server.
	InFlight(model.ServerName) int
}

// State is the membership of one daemon. It is not safe for concurrent use.
type State struct {
	cfg  Config
	view View
	self model.MemberRef
	// born is when this incarnation started.
	born model.Time
	// seen is the time of the last event.
	seen model.Time
	// observed and observedWall are the clocks at the last event of the daemon.
	observed     model.Time
	observedWall int64
	// leasesFrom is the time of the last clock jump; what was asked for before
	// it gives no lease.
	leasesFrom model.Time
	// cur is the newest known epoch; prev the one before it if this daemon
	// may still hold a lease of it.
	cur, prev *epochView
	targets   []*target
	panel     panel
	writer    writer
	vms       vmList
	exchange  exchange
	passes    map[model.ServerName]*pass
	leave     leave
	logged    logged
}

// New returns the state before Start.
func New(cfg Config, view View) *State {
	return &State{
		cfg:      cfg,
		view:     view,
		self:     cfg.Self,
		panel:    newPanel(),
		exchange: newExchange(),
		passes:   make(map[model.ServerName]*pass),
	}
}

// NewIncarnation makes an incarnation from the Unix time in ms and random bits.
func NewIncarnation(wall int64, rand uint64) model.Incarnation {
	const randomBits = 20
	return model.Incarnation(uint64(wall)<<randomBits | rand&(1<<randomBits-1))
}

// Start is called once, before any other event.
func (s *State) Start(m event.Meta, out *effect.List) {
	s.born, s.seen = m.Now, m.Now
	s.vms.next = m.Now
	s.exchange.next = m.Now.Add(HeartbeatInterval)
	s.step(m, out)
}

// Tick does what is due.
func (s *State) Tick(m event.Meta, out *effect.List) { s.step(m, out) }

// arrive must be called first for every event.
func (s *State) arrive(m event.Meta) {
	if m.Now.Sub(s.seen) > pauseLimit {
		s.panel.afterPause(m.Now)
	}
	s.seen = m.Now
}

// step does everything that depends on the time or on state that an event
// changed.
func (s *State) step(m event.Meta, out *effect.List) {
	s.arrive(m)
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
	wake := min(s.exchange.next, s.vms.wake(s.seen), s.panel.nextEnd, s.wakeWriter(), s.wakePasses())
	for _, t := range s.targets {
		wake = min(wake, t.wake())
	}
	if s.cur != nil {
		wake = min(wake, s.cur.wake())
	}
	for _, v := range s.views() {
		if v.until > s.seen {
			wake = min(wake, v.until)
		}
	}
	return max(wake, s.seen+1)
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

// Self returns this daemon's present incarnation.
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

// Header returns what every message of this daemon carries.
func (s *State) Header() model.Header {
	bundle, controls := s.view.Versions()
	return model.Header{From: s.self, BundleVersion: bundle, ControlsVersion: controls, Epoch: s.Epoch()}
}

func (s *State) member() model.Member {
	return model.Member{
		MemberRef:     s.self,
		FailureDomain: s.cfg.FailureDomain,
		PeerAddress:   s.cfg.PeerAddress,
		CallerAddress: s.cfg.CallerAddress,
		Leaving:       s.leave.announced,
	}
}
