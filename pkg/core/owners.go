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
		Panel:         choosePanel,
	}
}

// ownerOrder returns the members in the order in which they may own the server:
// members of its failure domain first, within each group by rendezvous hashing.
// All arguments come from the epoch, so that two daemons with different bundles
// agree on the order.
func ownerOrder(server model.ServerName, domain model.FailureDomain, members []model.Member) []model.Member {
	order := placement.Owners(server, domain, members)
	owners := make([]model.Member, len(order))
	for i, index := range order {
		owners[i] = members[index]
	}
	return owners
}

// choosePanel chooses up to limit panel members, which grant the leases of an
// epoch, among the members whose VM is on the VM list. Members of the earlier
// panel are preferred within their failure domain.
func choosePanel(members []model.Member, listed func(model.VM) bool, earlier []model.MemberRef, limit int) []model.MemberRef {
	onVMList := make(map[model.VM]bool, len(members))
	for _, m := range members {
		onVMList[m.VM] = listed(m.VM)
	}
	return placement.Panel(members, onVMList, earlier, limit)
}
