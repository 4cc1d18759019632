package rollout

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// evaluationInterval is the least time between two tests of the evidence.
	evaluationInterval = 100 * time.Millisecond
	// earlyLevel is the significance level of each test before the end of the sampling. At
	// most 120 tests of a roll-out of 12 s and 5 groups of answers keep the probability that
	// any of them condemns a good version below 3%; the tests overlap, and the second test
	// without the worst leaf makes it much smaller.
	earlyLevel = 5e-5
	// earlyLevelElsewhere is the level of the test without the worst leaf, by which a fault
	// of a leaf is told from one of the version.
	earlyLevelElsewhere = 0.01
	// finalLevel and finalLevelElsewhere are the levels of the test at the end of the
	// sampling, when a version that is not condemned gets all requests.
	finalLevel          = 0.002
	finalLevelElsewhere = 0.1
	// latestLevel is that of the last test of a version that was suspect at the end of the
	// sampling, moveLevel that of the test before the old leafs are stopped.
	latestLevel = 0.01
	moveLevel   = 0.001
	// slowLevelElsewhere is the level of the test without the worst leaf for slow answers: VMs
	// differ in speed, so that single slow answers of a second leaf are common.
	slowLevelElsewhere = 0.002
	// suspectLevel is the level, without a second test, of a hint of a fault. It leads to more
	// samples.
	suspectLevel = 0.05
	// minExcess and minRatio are how much greater the share of bad answers of a bad version
	// is than that of the former ones: with very many answers smaller differences are
	// significant, and no reason to roll back.
	minExcess = 0.01
	minRatio  = 1.5
	// minSlowExcess replaces minExcess for slow answers, of which a slow VM has a few per
	// cent more.
	minSlowExcess = 0.05
	// minTargetAnswers is the number of answers of the target version without which a
	// service with many requests does not complete a roll-out.
	minTargetAnswers = 10
	// fewRequests is the number of answers of former versions below which a service counts
	// as hardly used: a roll-out is then completed with less evidence.
	fewRequests = 100
	// maxSettleTime and maxSettleShare bound the end of the duration that is left for the
	// move of requests to the target version and for writing the verdict.
	maxSettleTime  = 4 * time.Second
	maxSettleShare = 0.4
	// latestDecision is how long before the deadline an order is decided that lacks
	// evidence or leafs.
	latestDecision = 2 * time.Second
	// minMoveTime is the least time for which all requests go to the target version before
	// the old leafs are stopped: two full messages between daemons, and enough answers to
	// see a version that fails under the whole load.
	minMoveTime = time.Second
	// rampTime is the first part of the move, in which the former versions go on getting half
	// of the requests: their answers are compared with those of the target under load, and
	// fewer requests reach a version that turns out to be bad.
	rampTime = 500 * time.Millisecond
	// maxMoveTime is how long open attempts at old leafs are waited for.
	maxMoveTime = 2 * time.Second
	// writeRetryInterval is the time between two tries to write the verdict.
	writeRetryInterval = 400 * time.Millisecond
	// writeTurn is how much later than the daemon before it in the order of writers a
	// daemon writes a verdict that it does not see in the store: usually one writes.
	writeTurn = 150 * time.Millisecond
)

// Progress is what a daemon tells about an order, apart from the evidence.
type Progress struct {
	Service string
	Order   uint64
	// Acting is what the daemon acts on.
	Acting Verdict
	// Age is how long ago the daemon, or one that it heard, learned of the order.
	Age time.Duration
	// Open is the number of its open attempts at leafs that a completed roll-out stops.
	Open uint32
}

// Progress returns what this daemon tells about the order; ok is false without one. open is
// the number of its open attempts at leafs of former versions.
func (s *State) Progress(now model.Time, open int) (p Progress, ok bool) {
	if !s.running() {
		return Progress{}, false
	}
	return Progress{Service: s.run.Service, Order: s.run.id, Acting: s.run.local, Age: now.Sub(s.run.seenAt), Open: uint32(open)}, true
}

// maxAge bounds the age that another daemon may tell.
const maxAge = 24 * time.Hour

// MergeProgress takes over what another daemon tells about the order. The decision of any
// daemon counts for all, so that it does not depend on the one that took it: a version that
// one of them has found to be bad gets no more requests. changed means that this daemon acts
// on another verdict now.
func (s *State) MergeProgress(now model.Time, daemon string, p Progress) (reason string, changed bool) {
	if !s.running() || p.Service != s.run.Service || p.Order != s.run.id || p.Age < 0 || p.Age > maxAge {
		return "", false
	}
	before := s.run.local
	s.run.peers[daemon] = peer{p, now}
	if seen := now.Add(-p.Age); seen < s.run.seenAt {
		s.run.seenAt = seen
	}
	switch {
	case p.Acting == RolledBack:
		s.run.decide(now, RolledBack, "reported by "+daemon)
	case p.Acting == Completed && s.run.local == Undecided:
		s.run.decide(now, Completed, "reported by "+daemon)
	}
	return s.run.Target + " " + s.run.local.String() + ": " + s.run.reason, s.run.local != before
}

// Hears reports whether a daemon has told of the order within the lifetime of its message.
func (s *State) Hears(now model.Time, daemon string) bool {
	if !s.running() {
		return false
	}
	p, ok := s.run.peers[daemon]
	return ok && now.Sub(p.heardAt) < s.limits.PeerLifetime
}

// decide sets what this daemon acts on. RolledBack is final before the store has a verdict;
// a move to the target version ends if the version turns out to be bad.
func (r *run) decide(now model.Time, v Verdict, reason string) {
	if r.local == v || r.local == RolledBack {
		return
	}
	r.local, r.decidedAt, r.reason = v, now, reason
	r.nextWriteAt = now
}

// Situation is what a decision depends on beside the evidence.
type Situation struct {
	// Heard means that this daemon hears at least half of the daemons that get requests, so
	// that the merged evidence is most of what there is.
	Heard bool
	// Open is the number of this daemon's open attempts at leafs of former versions.
	Open int
	// Turn is this daemon's place in the order of writers, from 0.
	Turn int
}

// Result is what Decide asks for.
type Result struct {
	// Decided means that this daemon acts on another verdict than before, for Reason.
	Decided bool
	Acting  Verdict
	Reason  string
	// Write asks for the verdict to be written to the store, with Revision. With ReadBack
	// the object has to be read before: an earlier write may have taken effect.
	Write, ReadBack bool
	Service, Target string
	Order           uint64
	// Era and Revision say when the order was read.
	Era, Revision uint64
}

// Decide tests the evidence if that is due and says what is to be done.
func (s *State) Decide(now model.Time, in Situation) Result {
	if !s.running() {
		return s.rewriteVerdict(now, in)
	}
	r := s.run
	before := r.local
	if now.Sub(r.evaluated) >= evaluationInterval {
		r.evaluated = now
		s.evaluate(now, in)
	}
	write := s.writeDue(now, in)
	out := Result{
		Decided: r.local != before, Acting: r.local, Reason: r.reason,
		Service: r.Service, Target: r.Target, Order: r.id, Era: r.Era, Revision: r.Revision, ReadBack: r.readBack,
	}
	if write {
		r.writing = true
		out.Write = true
	}
	return out
}

// settleTime is the end of the duration in which the traffic is moved and the verdict
// written.
func (r *run) settleTime() time.Duration {
	return min(maxSettleTime, time.Duration(float64(r.Duration)*maxSettleShare))
}

func (s *State) evaluate(now model.Time, in Situation) {
	r := s.run
	if r.local == RolledBack {
		return
	}
	elapsed := now.Sub(r.seenAt)
	ending := r.local == Undecided && elapsed >= r.Duration-r.settleTime()
	// Without a new bad answer nothing can have become more significant.
	if r.ledger.bad > 0 && (ending || r.ledger.bad != r.testedBad) {
		r.testedBad = r.ledger.bad
		groups := r.ledger.groups()
		if s.condemned(groups, earlyLevel, earlyLevelElsewhere) {
			r.decide(now, RolledBack, "bad answers")
			return
		}
		r.suspect = s.condemned(groups, suspectLevel, anyLevel)
	}
	if !ending || !in.Heard {
		return
	}
	groups := r.ledger.groups()
	switch sufficient := s.sufficient(groups); {
	case s.condemned(groups, finalLevel, finalLevelElsewhere):
		r.decide(now, RolledBack, "bad answers")
	case elapsed < r.Duration-min(latestDecision, r.settleTime()/2) && (r.suspect || !sufficient):
		// More answers are waited for.
	case r.suspect && s.condemned(groups, latestLevel, finalLevelElsewhere):
		r.decide(now, RolledBack, "bad answers")
	case sufficient:
		r.decide(now, Completed, "no difference")
	case s.usableTargets() == 0:
		r.decide(now, RolledBack, "no leafs of the version")
	default:
		r.decide(now, RolledBack, "too few answers")
	}
}

// sufficient reports whether the evidence, which does not condemn the version, is enough to
// complete the roll-out.
func (s *State) sufficient(groups []group) bool {
	all := groups[0]
	if s.usableTargets() == 0 {
		return false
	}
	if all.former.all < fewRequests {
		return true
	}
	return all.target.all >= minTargetAnswers && len(all.byLeaf) >= min(2, len(s.sampledLeafs()))
}

// anyLevel is the level of a test that is not made.
const anyLevel = 1

// condemned reports whether the version is bad on all routes together or on one of them.
func (s *State) condemned(groups []group, level, levelElsewhere float64) bool {
	for _, g := range groups {
		for kind := range faultKinds {
			if s.shows(g, kind, level, levelElsewhere) {
				return true
			}
		}
	}
	return false
}

// shows reports whether a group of answers shows a fault of the version, not only of a part of
// its leafs.
func (s *State) shows(g group, kind faultKind, level, levelElsewhere float64) bool {
	excess := minExcess
	if kind == slowness {
		excess = minSlowExcess
	}
	if !g.target.of(kind).exceeds(g.former.of(kind), excess) || stratifiedTest(g.tables(kind, nil)) >= level {
		return false
	}
	if s.usableTargets() < 2 && len(g.byLeaf) < 2 || levelElsewhere == anyLevel {
		return true
	}
	if kind == slowness {
		levelElsewhere = min(levelElsewhere, slowLevelElsewhere)
	}
	return stratifiedTest(g.tables(kind, s.worstPart(g, kind))) < levelElsewhere
}

// exceeds reports whether the share of bad answers is greater than that of other answers by
// more than roll-outs are rolled back for.
func (c tally) exceeds(other tally, excess float64) bool {
	if c.all == 0 || c.bad == 0 {
		return false
	}
	share := float64(c.bad) / float64(c.all)
	base := 0.0
	if other.all > 0 {
		base = float64(other.bad) / float64(other.all)
	}
	return share >= base+excess && share >= base*minRatio
}

// worstPart returns the leafs whose own fault the bad answers may be: those of the failure
// domain with the most bad answers, which may be cut off, or the worst leaf if all are in one
// domain.
func (s *State) worstPart(g group, kind faultKind) map[string]bool {
	partOf := map[string]string{}
	domains := map[string]bool{}
	for _, l := range s.leafs {
		if _, ok := g.byLeaf[l.ID]; ok {
			partOf[l.ID] = l.FailureDomain
			domains[l.FailureDomain] = true
		}
	}
	bad := map[string]uint64{}
	worst := ""
	for leaf, c := range g.byLeaf {
		part, ok := partOf[leaf]
		if !ok || len(domains) < 2 {
			part = leaf
			partOf[leaf] = leaf
		}
		bad[part] += c.of(kind).bad
		if worst == "" || bad[part] > bad[worst] || bad[part] == bad[worst] && part < worst {
			worst = part
		}
	}
	out := map[string]bool{}
	for leaf, part := range partOf {
		if part == worst {
			out[leaf] = true
		}
	}
	return out
}
