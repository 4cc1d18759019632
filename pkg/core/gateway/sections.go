package gateway

import (
	"slices"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/quota"
	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/rollout"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// sectionLifetime is how long a daemon's sections are used after they were received: three
// full messages may be lost. What is derived from them must hold without them after that
// time.
const sectionLifetime = 1500 * time.Millisecond

// Sections are what a daemon tells the others about its own requests and attempts. Each
// list is in the order of importance and is cut where a message would become too large.
type Sections struct {
	Quota []TenantDemand
	// QuotaLoans are for the receiver alone; QuotaEcho names the message that they answer.
	QuotaLoans []quota.Loan
	QuotaEcho  quota.Echo
	Rollouts   []VersionEvidence
	// Progress tells of the running orders that Rollouts is about.
	Progress []RolloutProgress
	Capacity []LeafCapacity
}

// TenantDemand is how many requests of a tenant arrive at a daemon.
type TenantDemand struct {
	Tenant            string
	ArrivalsPerSecond float64
	// WorkPerSecond is the work of these requests, in seconds of leafs. It is told by daemons
	// that refuse requests because of overload.
	WorkPerSecond float64
	// WantedShare is the share of the tenant's quota that the daemon needs beyond what it
	// holds.
	WantedShare float64
}

// VersionEvidence is what a daemon's own attempts show of a version of a service's software
// on one route.
type VersionEvidence = rollout.Evidence

// RolloutProgress is what a daemon tells about an order of a roll-out.
type RolloutProgress = rollout.Progress

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
	return len(x.Quota) == 0 && len(x.QuotaLoans) == 0 && len(x.Rollouts) == 0 && len(x.Progress) == 0 && len(x.Capacity) == 0
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
	s.quotaReceived(sender, e.Sections)
	s.mergeRollouts(d)
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
	evidence, progress := s.rolloutSections()
	return Sections{Quota: s.withWork(s.ownDemands()), Rollouts: evidence, Progress: progress}
}

// directTargets returns the addresses of the daemons that get this daemon's sections beside
// those that a message goes to anyway: sections are not passed on. The active daemons share
// limits by them, and the holders of quotas lend by them.
func (s *State) directTargets(to []string, sections Sections) []string {
	if sections.empty() || !s.largeFleet() {
		return nil
	}
	var holders []string
	if len(sections.Quota) > 0 {
		holders = s.quotaHolders()
	}
	var out []string
	for _, name := range s.daemonNames() {
		d := s.daemons[name]
		if (d.active || slices.Contains(holders, name)) && !slices.Contains(to, d.PeerAddress) {
			out = append(out, d.PeerAddress)
		}
	}
	return out
}
