package gateway

import (
	"slices"
)

// maxAddresses bounds the answer to a look-up.
const maxAddresses = 64

// Directory returns the addresses that callers from a region may use for a
// host: those of the active daemons, in the home regions of the host's routes
// or the caller's own. It is empty if there are none.
func (s *State) Directory(host, region string) []string {
	active := s.active(s.directoryRegions(host, region))
	out := make([]string, 0, len(active))
	for _, e := range active {
		out = append(out, e.CallerAddress)
	}
	return out[:min(len(out), maxAddresses)]
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
