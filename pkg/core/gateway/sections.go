package gateway

import (
	"slices"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// sectionLifetime is how long a daemon's sections are used after they were received: three
// full messages may be lost. What is derived from them must hold without them after that
// time.
const sectionLifetime = 1500 * time.Millisecond

// Sections are what a daemon tells the others about its own requests and attempts. Each
// list is in the order of importance and is cut where a message would become too large.
type Sections struct {
	Quota    []TenantDemand
	Rollouts []VersionEvidence
	Capacity []LeafCapacity
}

// TenantDemand is how many requests of a tenant arrive at a daemon.
type TenantDemand struct {
	Tenant            string
	ArrivalsPerSecond float64
	// WorkPerSecond is the work of these requests, in attempts at leafs.
	WorkPerSecond float64
}

// VersionEvidence is what a daemon's own attempts show of a version of a service's software
// on one route. Counts are cumulative since the start of the daemon's process.
type VersionEvidence struct {
	Service string
	// Order identifies the order of the roll-out.
	Order uint64
	Route string
	// Target tells the target version from the versions before.
	Target               bool
	Attempts, BadAnswers uint64
	// Latencies are numbers of answers by latency, in buckets of package rollout.
	Latencies []uint32
	// Leafs is the number of leafs that answered, BadLeafs of those with a bad answer.
	Leafs, BadLeafs uint32
}

// LeafCapacity is what a daemon has learned about how much a leaf takes.
type LeafCapacity struct {
	Leaf string `json:"leaf"`
	// Limit is the number of requests that the leaf takes at once before its latency rises.
	Limit float64 `json:"limit"`
	// BaseLatency is the leaf's latency without load relative to the other leafs of its
	// service.
	BaseLatency float64 `json:"baseLatency"`
}

// empty reports whether there is nothing to tell.
func (x Sections) empty() bool {
	return len(x.Quota) == 0 && len(x.Rollouts) == 0 && len(x.Capacity) == 0
}

// receivedSections are the sections of another daemon and the message that brought them.
type receivedSections struct {
	Sections
	incarnation, counter uint64
	receivedAt           model.Time
}

// sectionsReceived keeps the sections of a message's sender. Those of an earlier message,
// which may arrive late or twice, are ignored.
func (s *State) sectionsReceived(e GossipReceived) {
	if len(e.Daemons) == 0 {
		return
	}
	sender := e.Daemons[0]
	d, ok := s.daemons[sender.Name]
	if !ok || sender.Incarnation < d.sections.incarnation {
		return
	}
	if sender.Incarnation == d.sections.incarnation && sender.Counter <= d.sections.counter {
		return
	}
	d.sections = receivedSections{e.Sections, sender.Incarnation, sender.Counter, s.now}
}

// currentSections calls use with the sections of each other daemon that have not lapsed, in
// the order of the daemons' names.
func (s *State) currentSections(use func(d *daemon, sections Sections)) {
	for _, name := range s.daemonNames() {
		d := s.daemons[name]
		if d.sections.receivedAt > 0 && s.now.Sub(d.sections.receivedAt) < sectionLifetime {
			use(d, d.sections.Sections)
		}
	}
}

// ownSections returns what this daemon tells the others.
func (s *State) ownSections() Sections {
	return Sections{}
}

// withActiveDaemons adds the addresses of the active daemons to those that get a message, if
// it has sections: sections are not passed on, and the active daemons share limits by them.
func (s *State) withActiveDaemons(to []string, sections Sections) []string {
	if sections.empty() || !s.largeFleet() {
		return to
	}
	for _, name := range s.daemonNames() {
		if d := s.daemons[name]; d.active && !slices.Contains(to, d.PeerAddress) {
			to = append(to, d.PeerAddress)
		}
	}
	return to
}
