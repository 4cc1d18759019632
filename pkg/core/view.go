package core

import (
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// view gives each reducer read access to the state of the others. It implements
// the View interfaces of all reducers.
type view struct{ s *State }

func (v view) Self() model.MemberRef               { return v.s.membership.Self() }
func (v view) Bundle() *model.Bundle               { return v.s.documents.Bundle() }
func (v view) Controls() *model.Controls           { return v.s.documents.Controls() }
func (v view) Versions() (bundle, controls uint64) { return v.s.documents.Versions() }
func (v view) Epoch() uint64                       { return v.s.membership.Epoch() }
func (v view) HasEpoch() bool                      { return v.s.membership.Current() != nil }
func (v view) OnPanel() bool                       { return v.s.membership.OnPanel() }
func (v view) Header() model.Header                { return v.s.membership.Header() }
func (v view) Seeds() []string                     { return v.s.cfg.Seeds }
func (v view) Peers() []model.MemberReport         { return v.s.membership.Peers() }
func (v view) Reports() []model.ServerReport       { return v.s.slots.Reports() }

func (v view) Admits(m event.Meta) (bool, string) { return v.s.admits(m) }

func (v view) Owner(name model.ServerName) (model.Member, bool) {
	return v.s.membership.Owner(name)
}

func (v view) Report(name model.ServerName) (model.ServerReport, bool) {
	return v.s.membership.Report(name)
}

func (v view) MayAct(now model.Time, name model.ServerName) bool {
	return v.s.membership.MayAct(now, name)
}

func (v view) LeaseUntil(now model.Time) model.Time { return v.s.membership.LeaseUntil(now) }

func (v view) HasLease(now model.Time) bool { return v.s.membership.HasLease(now) }

func (v view) InFlight(name model.ServerName) int { return v.s.slots.InFlight(name) }

// Daemons returns the number of members of the current epoch, at least 1.
func (v view) Daemons() int {
	e := v.s.membership.Current()
	if e == nil {
		return 1
	}
	return max(1, len(e.Members))
}
