package rollout

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// slotLength is the time over which answers of both versions are compared. It is short
	// against a roll-out, so that a burst meets both, and long enough for several answers of
	// the former versions for each one of the target: with 2 s, 2 of 10 versions of which a
	// tenth of the answers failed were completed.
	slotLength = 4 * time.Second
	// slowFactor is the number of median times of the former versions from which an answer
	// is bad. A version that is several times slower exceeds it with most answers. VMs differ
	// in speed by up to 1.6 and slow down to 2.5 times for moments; with 2.5, 1 of 200 good
	// versions on slower VMs was rolled back.
	slowFactor = 3.0
	// minSlowMargin is added to the median at least: a pause of a process of that length is
	// no fault.
	minSlowMargin = 5 * time.Millisecond
	// minMedianAnswers is the number of answers from which a median is used.
	minMedianAnswers = 20
	// Buckets of latency histograms: the first ends at bucketStart, each further one at
	// bucketGrowth times the end of the one before; they reach 7 s.
	bucketStart  = time.Millisecond
	bucketGrowth = 1.25
	bucketCount  = 40
)

// Evidence is what a daemon's own attempts show of a version on one route. Counts are
// cumulative since the start of the daemon's process.
type Evidence struct {
	Service string
	// Order identifies the order of the roll-out.
	Order uint64
	Route string
	// Target tells the target version from the versions before; Leaf is the leaf of the
	// target version, empty for the versions before.
	Target               bool
	Leaf                 string
	Attempts, BadAnswers uint64
	// SlowAnswers are those of the bad answers that were complete and late; the others
	// failed.
	SlowAnswers uint64
	// Latencies are numbers of answers of the versions before by latency, in buckets of
	// this package.
	Latencies []uint32
	// Leafs is the number of leafs that answered, BadLeafs of those with a bad answer.
	Leafs, BadLeafs uint32
}

// count is a number of answers and of the bad ones among them, by the kind of fault.
type count struct{ all, failed, slow uint64 }

// bad is the number of bad answers.
func (c count) bad() uint64 { return c.failed + c.slow }

// tally is a number of answers and of the bad ones of one kind.
type tally struct{ all, bad uint64 }

// faultKind is a kind of bad answers. The kinds are tested apart: a leaf that fails on its own
// and a chance slow answer of another one are not the same fault on two leafs.
type faultKind uint8

const (
	failures faultKind = iota
	slowness
	faultKinds
)

// of returns the answers and the bad ones of a kind.
func (c count) of(kind faultKind) tally {
	if kind == failures {
		return tally{c.all, c.failed}
	}
	return tally{c.all, c.slow}
}

// stratumKey names answers that are compared with each other: those that one daemon got on
// one route within one slot.
type stratumKey struct {
	daemon, route string
	slot          int64
}

// stratum has the answers of the former versions and, by leaf, of the target version.
type stratum struct {
	former count
	target map[string]count
}

// evidenceKey names a series of cumulative counts of a daemon.
type evidenceKey struct{ route, leaf string }

// received is what was merged of another daemon's process.
type received struct {
	incarnation uint64
	counts      map[evidenceKey]count
	latencies   map[string][]uint32
}

// ledger holds the answers that this daemon knows of, its own and those of others.
type ledger struct {
	strata map[stratumKey]*stratum
	// own has the cumulative counts of this daemon that it sends to others.
	own       map[evidenceKey]count
	latencies map[string]*histogram
	// ownLatencies are the part of latencies that this daemon has measured.
	ownLatencies map[string]*histogram
	peers        map[string]*received
	// byRoute has the answers of the target version by route, bad the bad ones of all.
	byRoute map[string]uint64
	bad     uint64
}

func newLedger() ledger {
	return ledger{
		strata: map[stratumKey]*stratum{}, own: map[evidenceKey]count{}, latencies: map[string]*histogram{}, ownLatencies: map[string]*histogram{},
		peers: map[string]*received{}, byRoute: map[string]uint64{},
	}
}

type histogram [bucketCount]uint32

func bucketOf(d time.Duration) int {
	if d <= bucketStart {
		return 0
	}
	return min(bucketCount-1, int(math.Ceil(math.Log(float64(d)/float64(bucketStart))/math.Log(bucketGrowth))))
}

// median returns an upper bound of the median; 0 if there are too few answers.
func (h *histogram) median() time.Duration {
	total := uint32(0)
	for _, n := range h {
		total += n
	}
	if total < minMedianAnswers {
		return 0
	}
	sum := uint32(0)
	for i, n := range h {
		if sum += n; 2*sum >= total {
			return time.Duration(float64(bucketStart) * math.Pow(bucketGrowth, float64(i)))
		}
	}
	return 0
}

// Answer is the end of an attempt of this daemon.
type Answer struct {
	Route, Leaf, Version string
	// Failed means that there was no complete and successful answer although the leaf had
	// the request.
	Failed bool
	// Cancelled means that the attempt was cut off; Latency is then a lower bound.
	Cancelled bool
	Latency   time.Duration
}

// Answered records an answer. Answers of cold leafs must not be recorded. It reports whether the
// others are to be told at once: a version that turns bad during the move has to be known before the
// old leafs are stopped.
func (s *State) Answered(now model.Time, a Answer) (urgent bool) {
	if !s.running() {
		return false
	}
	target := a.Version == s.run.Target
	if !target && !s.versions.inUse[a.Version] {
		return false
	}
	l := &s.run.ledger
	slow := l.isSlow(a.Route, a.Latency)
	if a.Cancelled && !slow {
		return false
	}
	if !target && !a.Failed {
		l.histogram(l.latencies, a.Route)[bucketOf(a.Latency)]++
		l.histogram(l.ownLatencies, a.Route)[bucketOf(a.Latency)]++
	}
	leaf := ""
	if target {
		leaf = a.Leaf
	}
	c := count{all: 1}
	switch {
	case a.Failed:
		c.failed = 1
	case slow:
		c.slow = 1
	}
	key := evidenceKey{a.Route, leaf}
	l.own[key] = l.own[key].plus(c)
	l.add(now, "", key, c)
	return target && c.bad() > 0 && s.run.local == Completed
}

func (c count) plus(d count) count { return count{c.all + d.all, c.failed + d.failed, c.slow + d.slow} }

func (l *ledger) isSlow(route string, latency time.Duration) bool {
	h, ok := l.latencies[route]
	if !ok {
		return false
	}
	median := h.median()
	return median > 0 && latency > max(time.Duration(slowFactor*float64(median)), median+minSlowMargin)
}

func (l *ledger) histogram(of map[string]*histogram, route string) *histogram {
	if of[route] == nil {
		of[route] = &histogram{}
	}
	return of[route]
}

// add adds answers of a daemon to the stratum of the present slot.
func (l *ledger) add(now model.Time, daemon string, key evidenceKey, c count) {
	k := stratumKey{daemon, key.route, int64(time.Duration(now) / slotLength)}
	x, ok := l.strata[k]
	if !ok {
		x = &stratum{target: map[string]count{}}
		l.strata[k] = x
	}
	if key.leaf == "" {
		x.former = x.former.plus(c)
		return
	}
	x.target[key.leaf] = x.target[key.leaf].plus(c)
	l.byRoute[key.route] += c.all
	l.bad += c.bad()
}

// targetAnswers is the number of answers of the target version on a route.
func (l *ledger) targetAnswers(route string) uint64 { return l.byRoute[route] }

// Evidence returns what this daemon tells the others, bad answers first.
func (s *State) Evidence() []Evidence {
	if !s.running() {
		return nil
	}
	l := &s.run.ledger
	var out []Evidence
	for key, c := range l.own {
		e := Evidence{Service: s.run.Service, Order: s.run.id, Route: key.route, Leaf: key.leaf, Target: key.leaf != "", Attempts: c.all, BadAnswers: c.bad(), SlowAnswers: c.slow, Leafs: 1}
		if c.bad() > 0 {
			e.BadLeafs = 1
		}
		if h, ok := l.ownLatencies[key.route]; ok && !e.Target {
			e.Latencies = trimmed(h)
		}
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Evidence) int {
		if a.BadAnswers != b.BadAnswers {
			if a.BadAnswers > b.BadAnswers {
				return -1
			}
			return 1
		}
		if c := strings.Compare(a.Route, b.Route); c != 0 {
			return c
		}
		return strings.Compare(a.Leaf, b.Leaf)
	})
	return out
}

func trimmed(h *histogram) []uint32 {
	last := 0
	for i, n := range h {
		if n > 0 {
			last = i + 1
		}
	}
	return slices.Clone(h[:last])
}

// RestartCounts makes the counts that are told to others begin anew: after a change of this
// daemon's incarnation they would be merged a second time.
func (s *State) RestartCounts() {
	if s.run != nil {
		s.run.ledger.own = map[evidenceKey]count{}
		s.run.ledger.ownLatencies = map[string]*histogram{}
	}
}

// MergeEvidence adds what another daemon's process has counted beyond what it told before.
// Messages that come late or twice and counts that decrease change nothing.
func (s *State) MergeEvidence(now model.Time, daemon string, incarnation uint64, evidence []Evidence) {
	if !s.running() {
		return
	}
	l := &s.run.ledger
	known := l.peers[daemon]
	if known == nil || known.incarnation < incarnation {
		known = &received{incarnation: incarnation, counts: map[evidenceKey]count{}, latencies: map[string][]uint32{}}
		l.peers[daemon] = known
	}
	if incarnation < known.incarnation {
		return
	}
	for _, e := range evidence {
		if e.Service != s.run.Service || e.Order != s.run.id || e.Target != (e.Leaf != "") {
			continue
		}
		key := evidenceKey{e.Route, e.Leaf}
		old, ok := known.counts[key]
		if !ok && len(known.counts) >= maxSeries {
			continue
		}
		told := count{e.Attempts, e.BadAnswers - e.SlowAnswers, e.SlowAnswers}
		if e.SlowAnswers > e.BadAnswers || told.all < old.all || told.failed < old.failed || told.slow < old.slow {
			continue
		}
		added := count{told.all - old.all, told.failed - old.failed, told.slow - old.slow}
		if added.bad() > added.all {
			continue
		}
		known.counts[key] = told
		if added.all > 0 {
			l.add(now, daemon, key, added)
		}
		if !e.Target {
			l.mergeLatencies(known, e)
		}
	}
}

// maxSeries bounds the series of counts that are kept of another daemon.
const maxSeries = 512

func (l *ledger) mergeLatencies(known *received, e Evidence) {
	h, old := l.histogram(l.latencies, e.Route), known.latencies[e.Route]
	for i, n := range e.Latencies[:min(len(e.Latencies), bucketCount)] {
		before := uint32(0)
		if i < len(old) {
			before = old[i]
		}
		if n > before {
			h[i] += n - before
		}
	}
	known.latencies[e.Route] = slices.Clone(e.Latencies)
}
