package gateway

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// minActiveDaemons is the least number of daemons that callers are sent to, if
	// there are as many: with fewer, the loss of one would affect too many callers.
	minActiveDaemons = 8
	// minLargeVMs is the least number of daemons on larger VMs with which none on
	// smaller ones is needed.
	minLargeVMs = 6
	// maxCallsPerCore is the number of attempts per second and core up to which no
	// daemons on smaller VMs are added.
	maxCallsPerCore = 5000.0
	// targetCallsPerCore is the number of attempts per second that one core can send in
	// the share of its time that is available for them; an attempt takes 0.13 ms in
	// all.
	targetCallsPerCore = 2500.0
	// activeQuotaShare is the share of the quotas that the active daemons divide among
	// themselves; the rest is for daemons that serve callers with outdated addresses.
	activeQuotaShare = 0.85
	// callRateInterval is the time over which the rate of attempts is measured.
	callRateInterval = 2 * time.Second
)

// active returns the daemons that callers are sent to: of the ready daemons in the
// regions (nil for all) as many as the load needs, at least minActiveDaemons, or
// minLargeVMs if only smaller VMs are left. Fewer daemons keep their connections to
// leafs in use and learn more about each leaf, and each leaf accepts connections from a
// few daemons only. Larger VMs come first, and failure domains take turns, those with
// the most leafs first.
func (s *State) active(regions []string) []DaemonEntry {
	chosen, _ := s.activeAndSpare(regions)
	return chosen
}

// nameable returns the daemons that the directory names: the active ones, with those next in
// line in place of daemons that may be active but have not told of themselves recently.
func (s *State) nameable(regions []string) []DaemonEntry {
	chosen, _ := s.choose(regions, s.isNameable)
	return chosen
}

// activeAndSpare returns the active daemons, all of them responsive, and those next in line.
func (s *State) activeAndSpare(regions []string) (chosen, spare []DaemonEntry) {
	return s.choose(regions, s.isResponsive)
}

// choose returns the daemons that callers are sent to, of those that fulfil a condition, and
// those next in line. This daemon fulfils it.
func (s *State) choose(regions []string, isCandidate func(*daemon) bool) (chosen, spare []DaemonEntry) {
	var byClass [sizeClasses]map[string][]DaemonEntry
	calls := 0
	for _, e := range s.readyDaemons() {
		if regions == nil || slices.Contains(regions, s.opt.RegionOf[e.FailureDomain]) {
			calls += e.CallsPerSecond
			class := sizeClass(e)
			if byClass[class] == nil {
				byClass[class] = map[string][]DaemonEntry{}
			}
			byClass[class][e.FailureDomain] = append(byClass[class][e.FailureDomain], e)
		}
	}
	enough := false
	for class, byDomain := range slices.Backward(byClass[:]) {
		for _, list := range byDomain {
			slices.SortFunc(list, compareByHash)
		}
		order := s.domainOrder(byDomain)
		for turn, more := 0, true; more; turn++ {
			more = false
			for _, domain := range order {
				list := byDomain[domain]
				if turn >= len(list) {
					continue
				}
				more = true
				enough = enough || enoughActive(chosen, class, calls)
				other, isOther := s.daemons[list[turn].Name]
				switch {
				case !enough && (!isOther || isCandidate(other)):
					chosen = append(chosen, list[turn])
				case len(spare) < spareActive:
					spare = append(spare, list[turn])
				case enough:
					return chosen, spare
				}
			}
		}
	}
	return chosen, spare
}

// enoughActive reports whether callers need no daemons beyond those chosen, if the next
// one is of nextClass. Callers use all addresses equally often, so the weakest VM
// determines the capacity. A daemon on a VM weaker than all others would be late with
// answers that the others could give in time.
func enoughActive(chosen []DaemonEntry, nextClass, calls int) bool {
	if len(chosen) == 0 {
		return false
	}
	weakest := math.Inf(1)
	for _, e := range chosen {
		weakest = min(weakest, e.Cores)
	}
	usableCores := float64(len(chosen)) * weakest
	if nextClass < sizeClass(chosen[len(chosen)-1]) {
		return len(chosen) >= minLargeVMs && usableCores*maxCallsPerCore >= float64(calls)
	}
	return len(chosen) >= minActiveDaemons && usableCores*targetCallsPerCore >= float64(calls)
}

// readyDaemons returns the daemons that take requests, including this one.
func (s *State) readyDaemons() []DaemonEntry {
	var out []DaemonEntry
	if self := s.self(); self.State == DaemonReady {
		out = append(out, self)
	}
	for _, name := range s.daemonNames() {
		if d := s.daemons[name]; s.alive(d) && d.State == DaemonReady {
			out = append(out, d.DaemonEntry)
		}
	}
	return out
}

// domainOrder returns the failure domains in the order of their turns: those with more
// leafs first, since calls within a domain are faster and free of charge.
func (s *State) domainOrder(byDomain map[string][]DaemonEntry) []string {
	leafs := map[string]int{}
	for _, srv := range s.servers {
		leafs[srv.FailureDomain]++
	}
	order := make([]string, 0, len(byDomain))
	for domain := range byDomain {
		order = append(order, domain)
	}
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(leafs[b], leafs[a]), strings.Compare(a, b))
	})
	return order
}

// sizeClasses is the number of size classes of VMs.
const sizeClasses = 3

// sizeClass groups VMs whose difference in size does not matter: below 0.2 cores, below
// 0.4, and the rest.
func sizeClass(e DaemonEntry) int {
	switch {
	case e.Cores >= 0.4:
		return 2
	case e.Cores >= 0.2:
		return 1
	}
	return 0
}

// compareByHash orders daemons by a hash of the name, which is the same at all daemons.
func compareByHash(a, b DaemonEntry) int {
	return cmp.Or(cmp.Compare(nameHash(a.Name), nameHash(b.Name)), strings.Compare(a.Name, b.Name))
}

func nameHash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// updateActive recomputes which daemons are active and this daemon's share of the
// quotas that all daemons divide among themselves: retries, connections to a leaf, and
// requests to a cold leaf.
func (s *State) updateActive() {
	active, spare := s.activeAndSpare(nil)
	s.members.quotaShare = s.quotaShareOf(s.opt.Self.Name, active)
	names := make(map[string]bool, len(active))
	s.members.writerTurn = lateWriterTurn
	for _, e := range active {
		names[e.Name] = true
	}
	s.members.selfActive = names[s.opt.Self.Name]
	if s.members.selfActive {
		turn := 0
		for _, e := range active {
			if compareByHash(e, s.opt.Self) < 0 {
				turn++
			}
		}
		s.members.writerTurn = min(turn, lateWriterTurn)
	}
	for name, d := range s.daemons {
		d.active = names[name]
	}
	s.members.selfNamed = s.members.selfActive
	first := append(active, spare...)
	for _, region := range s.regions() {
		chosen, spare := s.activeAndSpare([]string{region})
		s.members.selfNamed = s.members.selfNamed || slices.ContainsFunc(chosen, s.isSelf)
		first = append(append(first, chosen...), spare...)
	}
	s.relayFirst(first)
}

func (s *State) isSelf(e DaemonEntry) bool { return e.Name == s.opt.Self.Name }

// regions returns the regions of the deployment if there are several.
func (s *State) regions() []string {
	names := slices.Compact(slices.Sorted(maps.Values(s.opt.RegionOf)))
	if len(names) == 1 {
		return nil
	}
	return names
}

// quotaShareOf returns a daemon's share of the quotas, given the active daemons.
func (s *State) quotaShareOf(name string, active []DaemonEntry) float64 {
	known := len(s.daemons) + 1
	// A daemon that hears only a few others is cut off and must not take over their
	// shares.
	count := max(len(active), min(minActiveDaemons, known))
	if known <= count {
		return 1 / float64(known)
	}
	for _, e := range active {
		if e.Name == name {
			return activeQuotaShare / float64(count)
		}
	}
	return (1 - activeQuotaShare) / float64(known-count)
}

// quotaShare is this daemon's share of the quotas that all daemons divide among
// themselves.
func (s *State) quotaShare() float64 {
	if s.members.quotaShare == 0 {
		s.updateActive()
	}
	return s.members.quotaShare
}

// measureCallRate measures how many attempts per second this daemon sends.
func (s *State) measureCallRate() {
	m := &s.members
	elapsed := s.now.Sub(m.callRateAt)
	if elapsed < callRateInterval {
		return
	}
	m.callsPerSecond = int(float64(s.lastCall-m.callRateFrom) / elapsed.Seconds())
	m.callRateAt, m.callRateFrom = s.now, s.lastCall
}
