package gateway

import (
	"slices"
	"time"
)

// maxAddresses bounds the number of addresses in the answer to a look-up.
const maxAddresses = 64

// recentAnswerWindow is the time for which an answer of a leaf shows that the leaf can
// be reached.
const recentAnswerWindow = time.Second

// Directory returns the addresses that callers from a region may use for a host: those
// of the active daemons in the home regions of the host's routes or in the caller's own
// region. It is empty if there are none, if this daemon is cut off from other failure domains,
// or if it has just run again after a pause and has heard of no other daemon since: callers
// then ask another daemon or keep the addresses that they have, which may lead to other domains.
func (s *State) Directory(host, region string) []string {
	if s.ownDomainCutOff() || s.isUninformed() {
		return nil
	}
	active := s.nameable(s.directoryRegions(host, region))
	out := make([]string, 0, len(active))
	for _, e := range active {
		out = append(out, e.CallerAddress)
	}
	return out[:min(len(out), maxAddresses)]
}

// isUninformed reports whether this daemon did not run for a while, no longer ago than others
// are believed, and none of the other daemons has told of itself since.
func (s *State) isUninformed() bool {
	if s.stalledAt == 0 || s.now.Sub(s.stalledAt) >= s.roleSilence() {
		return false
	}
	for _, d := range s.daemons {
		if s.isNameable(d) {
			return false
		}
	}
	return len(s.daemons) > 0
}

// ownDomainCutOff reports whether this daemon's failure domain seems to be cut off from
// all others: their daemons are silent, connections to their leafs fail, and none of
// these leafs answers.
func (s *State) ownDomainCutOff() bool {
	othersKnown := false
	for _, d := range s.daemons {
		if d.FailureDomain == s.opt.Self.FailureDomain {
			continue
		}
		if s.alive(d) {
			return false
		}
		othersKnown = true
	}
	if !othersKnown {
		return false
	}
	failing := false
	for _, srv := range s.servers {
		if srv.FailureDomain == s.opt.Self.FailureDomain {
			continue
		}
		if srv.lastAnswerAt > 0 && s.now.Sub(srv.lastAnswerAt) < recentAnswerWindow {
			return false
		}
		// Without traffic a failed connection says nothing after a while.
		failing = failing || srv.connectFailures > 0 && s.now.Sub(srv.connectAfter) < recentAnswerWindow
	}
	return failing
}

func (s *State) directoryRegions(host, region string) []string {
	if s.config == nil {
		return nil
	}
	homeRegions := s.config.regions(host)
	if homeRegions == nil || region == "" {
		return homeRegions
	}
	return append(slices.Clone(homeRegions), region)
}
