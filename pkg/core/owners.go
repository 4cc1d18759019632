package core

import (
	"github.com/pistachiousher/pistachiousher/pkg/core/membership"
	"github.com/pistachiousher/pistachiousher/pkg/core/placement"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

func membershipConfig(cfg Config) membership.Config {
	return membership.Config{
		Self:          cfg.Self,
		Region:        cfg.Region,
		FailureDomain: cfg.FailureDomain,
		PeerAddress:   cfg.PeerAddress,
		CallerAddress: cfg.CallerAddress,
		Owners:        ownerOrder,
		Panel:         panelChoice,
	}
}

// ownerOrder is the rendezvous order of a server's owners. It depends on the
// epoch alone, so that two daemons with different bundles agree on it.
func ownerOrder(server model.ServerName, domain model.FailureDomain, members []model.Member) []model.Member {
	order := placement.Owners(server, domain, members)
	owners := make([]model.Member, len(order))
	for i, m := range order {
		owners[i] = members[m]
	}
	return owners
}

// panelChoice chooses the panel among the members on listed VMs.
func panelChoice(members []model.Member, listed func(model.VM) bool, keep []model.MemberRef, limit int) []model.MemberRef {
	onList := make(map[model.VM]bool, len(members))
	for _, m := range members {
		onList[m.VM] = listed(m.VM)
	}
	return placement.Panel(members, onList, keep, limit)
}
