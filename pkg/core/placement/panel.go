package placement

import (
	"cmp"
	"slices"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Panel returns up to limit members that grant the leases of an epoch. Only
// members whose VM is listed and that are not leaving are chosen. They are
// spread over the failure domains, and within a domain members of the earlier
// panel are kept. The result lists kept members in their earlier order, then
// new ones by VM.
//
// The panel is made smaller where that lets a majority survive the loss of any
// one failure domain, and odd where no size does: an even panel survives no
// more losses than one without its last member.
func Panel(members []model.Member, listed map[model.VM]bool, earlier []model.MemberRef, limit int) []model.MemberRef {
	domains := byDomain(members, listed, earlier)
	available := 0
	for _, d := range domains {
		available += len(d)
	}
	limit = min(limit, available)
	chosen := pick(domains, panelSize(domains, limit))
	slices.SortFunc(chosen, func(a, b model.MemberRef) int { return compareSeniority(a, b, earlier) })
	return chosen
}

// byDomain groups the members that may be on the panel by failure domain, in
// the order in which they are to be picked. The domains that keep the most
// earlier panel members come first, so that these are not replaced needlessly.
func byDomain(members []model.Member, listed map[model.VM]bool, earlier []model.MemberRef) [][]model.MemberRef {
	groups := make(map[model.FailureDomain][]model.MemberRef)
	var names []model.FailureDomain
	for i := range members {
		m := &members[i]
		if m.Leaving || !listed[m.VM] {
			continue
		}
		if groups[m.FailureDomain] == nil {
			names = append(names, m.FailureDomain)
		}
		groups[m.FailureDomain] = append(groups[m.FailureDomain], m.MemberRef)
	}
	kept := func(d model.FailureDomain) (n int) {
		for _, r := range groups[d] {
			if slices.Contains(earlier, r) {
				n++
			}
		}
		return n
	}
	slices.SortFunc(names, func(a, b model.FailureDomain) int {
		return cmp.Or(cmp.Compare(kept(b), kept(a)), cmp.Compare(a, b))
	})
	domains := make([][]model.MemberRef, len(names))
	for i, name := range names {
		domains[i] = groups[name]
		slices.SortFunc(domains[i], func(a, b model.MemberRef) int { return compareSeniority(a, b, earlier) })
	}
	return domains
}

// compareSeniority orders by place on the earlier panel, then by VM.
func compareSeniority(a, b model.MemberRef, earlier []model.MemberRef) int {
	i, j := slices.Index(earlier, a), slices.Index(earlier, b)
	switch {
	case i >= 0 && j >= 0:
		return i - j
	case i >= 0:
		return -1
	case j >= 0:
		return 1
	}
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
}

// pick takes n members, one of each domain in turn.
func pick(domains [][]model.MemberRef, n int) []model.MemberRef {
	chosen := make([]model.MemberRef, 0, n)
	for round := 0; len(chosen) < n; round++ {
		for _, d := range domains {
			if round < len(d) && len(chosen) < n {
				chosen = append(chosen, d[round])
			}
		}
	}
	return chosen
}

// panelSize returns the largest size up to limit at which a majority survives
// the loss of any one domain, or else the largest odd size.
func panelSize(domains [][]model.MemberRef, limit int) int {
	for n := limit; n > 0; n-- {
		if n-largestDomain(domains, n) > n/2 {
			return n
		}
	}
	if limit > 0 && limit%2 == 0 {
		return limit - 1
	}
	return limit
}

// largestDomain returns how many of n picked members are of one domain.
func largestDomain(domains [][]model.MemberRef, n int) int {
	largest, picked := 0, 0
	for round := 0; picked < n; round++ {
		for _, d := range domains {
			if round < len(d) && picked < n {
				picked++
				largest = round + 1
			}
		}
	}
	return largest
}
