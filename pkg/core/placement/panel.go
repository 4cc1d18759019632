package placement

import (
	"cmp"
	"slices"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Panel returns up to limit members that grant the leases of an epoch. Only members
// whose VM is listed and that are not leaving are chosen. They are spread over the
// failure domains, and within a domain members of the earlier panel are preferred. The
// result lists members of the earlier panel in their earlier order, then new ones by
// VM.
//
// The panel is smaller than possible if that lets a majority survive the loss of any
// one failure domain. If no size does, it is odd: an even panel survives no more losses
// than one without its last member.
func Panel(members []model.Member, listed map[model.VM]bool, earlier []model.MemberRef, limit int) []model.MemberRef {
	domains := eligibleByDomain(members, listed, earlier)
	available := 0
	for _, d := range domains {
		available += len(d)
	}
	limit = min(limit, available)
	chosen := pickRoundRobin(domains, panelSize(domains, limit))
	slices.SortFunc(chosen, func(a, b model.MemberRef) int { return compareSeniority(a, b, earlier) })
	return chosen
}

// eligibleByDomain groups the members that may be on the panel by failure domain, in
// the order in which they are to be picked. The domains with the most members of the
// earlier panel come first, so that these are not replaced needlessly.
func eligibleByDomain(members []model.Member, listed map[model.VM]bool, earlier []model.MemberRef) [][]model.MemberRef {
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
	keptCount := func(d model.FailureDomain) (n int) {
		for _, r := range groups[d] {
			if slices.Contains(earlier, r) {
				n++
			}
		}
		return n
	}
	slices.SortFunc(names, func(a, b model.FailureDomain) int {
		return cmp.Or(cmp.Compare(keptCount(b), keptCount(a)), cmp.Compare(a, b))
	})
	domains := make([][]model.MemberRef, len(names))
	for i, name := range names {
		domains[i] = groups[name]
		slices.SortFunc(domains[i], func(a, b model.MemberRef) int { return compareSeniority(a, b, earlier) })
	}
	return domains
}

// compareSeniority orders members of the earlier panel first, by their place on it,
// then others by VM.
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

// pickRoundRobin picks n members, one from each domain in turn.
func pickRoundRobin(domains [][]model.MemberRef, n int) []model.MemberRef {
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

// panelSize returns the largest size up to limit with which a majority survives the
// loss of any one domain, or else the largest odd size.
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

// largestDomain returns the largest number of members of one domain among n picked
// ones.
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
