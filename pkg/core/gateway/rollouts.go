package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/rollout"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// rolloutInterval is the interval at which running roll-outs and held leafs are
	// examined.
	rolloutInterval = 100 * time.Millisecond
	// predecessorGrace is the age of a process below which its predecessor may have spent
	// the slack of an order that it sees for the first time: lists read at the start may be
	// seconds old, and an order is known within RolloutLimits.OrderWithin.
	predecessorGrace = 10 * time.Second
	// largeFleetSlackShare is the part of the slack that is used in large fleets: while their
	// daemons do not agree on which of them are active, the sum of their shares exceeds 1.
	largeFleetSlackShare = 0.55
	// lateWriterTurn is the place in the order of writers of a daemon that callers are not
	// sent to: after all that are, of which there are usually eight.
	lateWriterTurn = 9
)

// RolloutLimits bound the requests that a new version gets, of all daemons together.
type RolloutLimits struct {
	// Share is the part of a service's requests, Slack a number of requests in addition.
	Share, Slack float64
	// OrderWithin is the time within which a daemon learns of an order.
	OrderWithin time.Duration
}

// RolloutOrder is an order of a roll-out as the store holds it.
type RolloutOrder = rollout.Order

// rolloutState is the state of all roll-outs.
type rolloutState struct {
	// byService is kept also for services that the configuration no longer has, because
	// versions that were rolled back stay excluded.
	byService map[string]*rollout.State
	// changed are the services whose leafs or orders have changed, attention those that
	// also change with time.
	changed, attention map[string]bool
	invalid            map[string]string
	nextAt             model.Time
	exposed            uint64
}

func newRolloutState() rolloutState {
	return rolloutState{byService: map[string]*rollout.State{}, changed: map[string]bool{}, attention: map[string]bool{}, nextAt: model.Never}
}

// rolloutOf returns the state of a service's roll-outs; nil if they are not followed.
func (s *State) rolloutOf(service string) *rollout.State {
	if s.opt.Rollout == nil {
		return nil
	}
	x, ok := s.rollouts.byService[service]
	if !ok {
		l := s.opt.Rollout
		x = rollout.New(rollout.Limits{Share: l.Share, Slack: l.Slack, Hold: l.OrderWithin, PeerLifetime: sectionLifetime})
		s.rollouts.byService[service] = x
	}
	return x
}

func (s *State) rolloutsListed(e RolloutsListed) {
	if s.opt.Rollout == nil {
		return
	}
	s.rollouts.invalid = e.Invalid
	listed := map[string]bool{}
	for _, o := range e.Orders {
		listed[o.Service] = true
		s.setOrder(o.Service, &o)
	}
	for _, service := range slices.Sorted(maps.Keys(s.rollouts.byService)) {
		if !listed[service] {
			s.setOrder(service, nil)
		}
	}
}

func (s *State) setOrder(service string, o *RolloutOrder) {
	x := s.rolloutOf(service)
	share := s.quotaShare()
	if s.largeFleet() {
		share *= largeFleetSlackShare
	}
	if s.now < model.Time(predecessorGrace) {
		share = 0
	}
	before, _, _ := x.Order()
	switch x.SetOrder(s.now, o, share) {
	case rollout.Unchanged:
		// The store may have lost a verdict, which is to be written again.
		if x.Attention() {
			s.rollouts.changed[service] = true
		}
		return
	case rollout.Started:
		s.emit(Log{Kind: LogRolloutStarted, Subject: service, Detail: o.Target, Duration: o.Duration})
	case rollout.Withdrawn:
		s.emit(Log{Kind: LogRolloutWithdrawn, Subject: service, Detail: before.Target})
	case rollout.Decided:
		s.emit(Log{Kind: LogRolloutVerdict, Subject: service, Detail: o.Target + " " + o.Verdict.String()})
	}
	s.rollouts.changed[service] = true
	s.members.fullGossipPending = true
}

// leafsChanged makes rolloutsDue look at the versions of a service's leafs.
func (s *State) leafsChanged(svc *service) {
	if svc.rollout != nil {
		s.rollouts.changed[svc.name] = true
	}
}

// rolloutsDue applies changes of versions and orders, and tests the evidence of running
// roll-outs.
func (s *State) rolloutsDue() {
	r := &s.rollouts
	due := s.now >= r.nextAt
	if len(r.changed) == 0 && !due {
		return
	}
	services := r.changed
	if due {
		services = maps.Clone(r.changed)
		maps.Copy(services, r.attention)
	}
	r.changed = map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(services)) {
		s.examineRollout(name)
	}
	if len(r.attention) == 0 {
		r.nextAt = model.Never
	} else if due || r.nextAt == model.Never {
		r.nextAt = s.now.Add(rolloutInterval)
	}
}

func (s *State) examineRollout(name string) {
	x := s.rolloutOf(name)
	svc := s.services[name]
	if svc != nil {
		s.applyVersions(svc)
	}
	result := x.Decide(s.now, s.rolloutSituation(x, svc))
	if result.Decided {
		s.emit(Log{Kind: LogRolloutActing, Subject: name, Detail: result.Target + " " + result.Acting.String() + ": " + result.Reason})
		s.members.fullGossipPending = true
		if svc != nil {
			s.applyVersions(svc)
		}
	}
	if result.Write {
		s.emit(WriteVerdict{Service: result.Service, Target: result.Target, Order: result.Order, Era: result.Era, Revision: result.Revision, Verdict: result.Acting, ReadBack: result.ReadBack})
	}
	if x.Attention() {
		s.rollouts.attention[name] = true
	} else {
		delete(s.rollouts.attention, name)
	}
}

// applyVersions decides which leafs of a service get requests, apart from sampled ones.
func (s *State) applyVersions(svc *service) {
	leafs := make([]rollout.Leaf, 0, len(svc.servers))
	for _, srv := range svc.servers {
		leafs = append(leafs, rollout.Leaf{ID: srv.ID, Version: srv.Version, FailureDomain: srv.FailureDomain, StartedMS: srv.StartedMS, Usable: s.mayWork(srv)})
	}
	svc.rollout.SetLeafs(s.now, leafs)
	anyFull := slices.ContainsFunc(svc.servers, func(srv *server) bool {
		return s.mayWork(srv) && svc.rollout.Use(srv.Version) == rollout.Full
	})
	for _, srv := range svc.servers {
		use := svc.rollout.Use(srv.Version)
		srv.excluded = use != rollout.Full && (use != rollout.LastResort || anyFull)
	}
}

// rolloutSituation returns what a decision depends on beside the evidence.
func (s *State) rolloutSituation(x *rollout.State, svc *service) rollout.Situation {
	o, _, ok := x.Order()
	if !ok {
		return rollout.Situation{}
	}
	in := rollout.Situation{Open: openElsewhere(svc, o.Target), Turn: s.members.writerTurn}
	others, heard := 0, 0
	for name, d := range s.daemons {
		if !d.active {
			continue
		}
		others++
		if x.Hears(s.now, name) {
			heard++
		}
	}
	// A daemon that hears only a few others is cut off and lacks most of the evidence.
	all := max(others+1, min(minActiveDaemons, len(s.daemons)+1))
	in.Heard = 2*(heard+1) >= all && s.contact()
	return in
}

// openElsewhere is the number of open attempts at leafs of other versions than target.
func openElsewhere(svc *service, target string) int {
	n := 0
	if svc != nil {
		for _, srv := range svc.servers {
			if srv.Version != target {
				n += len(srv.inflight)
			}
		}
	}
	return n
}

// contact reports whether this daemon reaches the store or hears another daemon.
func (s *State) contact() bool {
	if s.isWatching() {
		return true
	}
	for _, d := range s.daemons {
		if s.isResponsive(d) {
			return true
		}
	}
	return false
}

// sampledLeaf returns the leaf of a version that is rolled out that is to get the first
// attempt of a part; nil if none is. A daemon that has just started may not know a verdict
// yet, and one without contact may not learn of it: they send nothing there.
func (s *State) sampledLeaf(svc *service, q *query, p *part) *server {
	if svc.rollout == nil || !s.rollouts.attention[svc.name] || len(p.calls) > 0 || s.now < model.Time(s.opt.Rollout.OrderWithin) {
		return nil
	}
	id := svc.rollout.Sample(s.now, q.route.Name, s.rand.Float64())
	if id == "" {
		return nil
	}
	srv, ok := s.servers[id]
	if !ok || !s.mayWork(srv) || !s.inHomeRegion(srv, q.route) || !s.hasCapacity(srv) || !s.contact() || !s.takeColdToken(srv) {
		return nil
	}
	return srv
}

// countVersionRequest counts a request to a service.
func (s *State) countVersionRequest(svc *service) {
	if svc.rollout != nil {
		svc.rollout.CountRequest()
	}
}

// countExposure counts an attempt at a leaf.
func (s *State) countExposure(srv *server) {
	if srv.svc.rollout != nil && srv.svc.rollout.CountAttempt(srv.Version) {
		s.rollouts.exposed++
	}
}

// recordVersionAnswer records the end of an attempt as evidence for or against the version of
// its leaf. Attempts that did not reach the leaf, and those at cold leafs, show nothing.
func (s *State) recordVersionAnswer(c *call, o Outcome) {
	x := c.server.svc.rollout
	if x == nil || c.cold || !c.begun || o == OutcomeNotSent || o == OutcomeWrongServer {
		return
	}
	urgent := x.Answered(s.now, rollout.Answer{
		Route: c.query.route.Name, Leaf: c.server.ID, Version: c.server.Version, Latency: s.now.Sub(c.begunAt),
		Failed: o != OutcomeSucceeded && o != OutcomeCancelled, Cancelled: o == OutcomeCancelled,
	})
	s.members.fullGossipPending = s.members.fullGossipPending || urgent
}

// mergeRollouts merges the sections that another daemon has sent.
func (s *State) mergeRollouts(d *daemon) {
	if s.opt.Rollout == nil {
		return
	}
	byService := map[string][]VersionEvidence{}
	for _, e := range d.sections.Rollouts {
		byService[e.Service] = append(byService[e.Service], e)
	}
	for service, evidence := range byService {
		if x, ok := s.rollouts.byService[service]; ok {
			x.MergeEvidence(s.now, d.Name, d.sections.incarnation, evidence)
		}
	}
	for _, p := range d.sections.Progress {
		x, ok := s.rollouts.byService[p.Service]
		if !ok {
			continue
		}
		if reason, changed := x.MergeProgress(s.now, d.Name, p); changed {
			s.emit(Log{Kind: LogRolloutActing, Subject: p.Service, Detail: reason})
			s.rollouts.changed[p.Service] = true
			s.members.fullGossipPending = true
		}
	}
}

// rolloutSections returns what this daemon tells about running orders, those with bad answers
// first.
func (s *State) rolloutSections() (evidence []VersionEvidence, progress []RolloutProgress) {
	for _, name := range slices.Sorted(maps.Keys(s.rollouts.attention)) {
		x := s.rollouts.byService[name]
		o, _, _ := x.Order()
		p, ok := x.Progress(s.now, openElsewhere(s.services[name], o.Target))
		if !ok {
			continue
		}
		own := x.Evidence()
		if len(own) == 0 && s.largeFleet() && !s.members.selfActive {
			continue
		}
		progress = append(progress, p)
		evidence = append(evidence, own...)
	}
	slices.SortStableFunc(evidence, func(a, b VersionEvidence) int { return cmp.Compare(b.BadAnswers, a.BadAnswers) })
	slices.SortStableFunc(progress, func(a, b RolloutProgress) int { return cmp.Compare(b.Acting, a.Acting) })
	return evidence, progress
}

// restartCounts makes the counts of evidence begin anew for a new incarnation.
func (s *State) restartCounts() {
	for _, x := range s.rollouts.byService {
		x.RestartCounts()
	}
}

func (s *State) verdictWritten(e VerdictWritten) {
	x, ok := s.rollouts.byService[e.Write.Service]
	if !ok {
		return
	}
	if e.Outcome == rollout.Failed {
		s.emit(Log{Kind: LogRolloutWriteFailed, Subject: e.Write.Service, Detail: e.Cause})
	}
	if x.VerdictWritten(s.now, e.Write.Order, e.Write.Verdict, e.Outcome) {
		s.emit(Log{Kind: LogRolloutVerdict, Subject: e.Write.Service, Detail: e.Write.Target + " " + e.Write.Verdict.String()})
		s.rollouts.changed[e.Write.Service] = true
	}
}
