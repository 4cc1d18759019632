package gateway

import (
	"slices"
	"time"
)

// maxAddresses bounds the answer to a look-up.
const maxAddresses = 64

// recentAnswer is the time within which an answer of a leaf shows that there is a
// way to it.
const recentAnswer = time.Second

// Directory returns the addresses that callers from a region may use for a
// host: those of the active daemons, in the home regions of the host's routes
// or the caller's own. It is empty if there are none, or if this daemon hears
// only its own failure domain: callers then keep the addresses that they have,
// which may reach others.
func (s *State) Directory(host, region string) []string {
	if s.domainCutOff() {
		return nil
	}
	active := s.active(s.directoryRegions(host, region))
	out := make([]string, 0, len(active))
	for _, e := range active {
		out = append(out, e.CallerAddress)
	}
	return out[:min(len(out), maxAddresses)]
}

// domainCutOff reports whether nothing of other failure domains is reached: their
// daemons are silent, connections to their leafs fail, and none answers.
func (s *State) domainCutOff() bool {
	known := false
	for _, d := range s.daemons {
		if d.FailureDomain == s.opt.Self.FailureDomain {
			continue
		}
		if s.alive(d) {
			return false
		}
		known = true
	}
	if !known {
		return false
	}
	failing := false
	for _, srv := range s.servers {
		if srv.FailureDomain == s.opt.Self.FailureDomain {
			continue
		}
		if srv.lastAnswer > 0 && s.now.Sub(srv.lastAnswer) < recentAnswer {
			return false
		}
		// Without traffic nothing is known after a while.
		failing = failing || srv.connectFailures > 0 && s.now.Sub(srv.connectAfter) < recentAnswer
	}
	return failing
}

func (s *State) directoryRegions(host, region string) []string {
	if s.config == nil {
		return nil
	}
	homes := s.config.regions(host)
	if homes == nil || region == "" {
		return homes
	}
	return append(slices.Clone(homes), region)
}
