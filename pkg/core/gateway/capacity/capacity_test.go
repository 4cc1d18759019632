package capacity

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// leafModel draws the answers of a leaf.
type leafModel struct {
	l    *Leaf
	now  model.Time
	rand *rand.Rand
	// base and slow are the leaf's speed and that of its VM at the moment.
	base, slow float64
	// report returns the slowdown that the leaf reports.
	report func() float64
	// load is the number of other requests, knee the number beyond which each further one
	// makes answers slower by a half.
	load, knee float64
}

func newLeafModel(slots int, base float64) *leafModel {
	m := &leafModel{l: New(slots), now: 1, rand: rand.New(rand.NewPCG(1, 2)), base: base, slow: 1, knee: math.Inf(1)}
	m.report = func() float64 { return m.slow }
	return m
}

// answer lets the leaf answer one request, every interval.
func (m *leafModel) answer(interval time.Duration) {
	m.now = m.now.Add(interval)
	ratio := m.base * m.slow * math.Exp(0.35*m.rand.NormFloat64()) * (1 + 0.5*max(0, m.load+1-m.knee))
	m.l.Answer(m.now, m.now.Add(-time.Millisecond), ratio, m.load, m.report())
}

func (m *leafModel) answers(n int, interval time.Duration) {
	for range n {
		m.answer(interval)
	}
}

// Guards against leafs of different speeds that are taken for equal, and against slow moments
// of a VM that are taken for the speed of the leaf.
func TestBaseLatencyIsThatOfTheLeaf(t *testing.T) {
	for _, base := range []float64{0.8, 1, 1.3} {
		m := newLeafModel(2, base)
		for i := range 600 {
			m.slow = 1
			if i%40 < 6 {
				m.slow = 2.5
			}
			m.answer(100 * time.Millisecond)
		}
		if got := m.l.Base(); got < 0.88*base || got > 1.18*base {
			t.Errorf("base latency %.2f of a leaf of %.1f", got, base)
		}
		if !m.l.Trusted() {
			t.Errorf("true reports of a leaf of %.1f are ignored", base)
		}
	}
}

// Guards against a leaf that becomes four times slower, and says so or not, and is used on as
// before, or is avoided long after it has recovered.
func TestFollowsSlowAndRecoveredLeafs(t *testing.T) {
	for _, reported := range []bool{true, false} {
		m := newLeafModel(2, 1)
		if !reported {
			m.report = func() float64 { return 1 }
		}
		m.answers(50, 100*time.Millisecond)
		m.slow = 4
		m.answers(10, 100*time.Millisecond)
		if got := m.l.Unloaded(m.now); got < 2 {
			t.Errorf("reported %v: latency %.2f after a second at four times the usual", reported, got)
		}
		m.slow = 1
		m.answers(20, 100*time.Millisecond)
		if got := m.l.Unloaded(m.now); got > 1.8 {
			t.Errorf("reported %v: latency %.2f two seconds after the recovery", reported, got)
		}
	}
}

// Guards against reports that lapse late: without answers a report of a slow moment must be
// forgotten when such moments are over.
func TestReportLapses(t *testing.T) {
	m := newLeafModel(2, 1)
	m.answers(20, 100*time.Millisecond)
	m.l.Report(m.now, 2.5)
	if got := m.l.Slowdown(m.now); got != 2.5 {
		t.Errorf("slowdown %.2f at the report", got)
	}
	if got := m.l.Slowdown(m.now.Add(2 * time.Second)); got > 1.05 {
		t.Errorf("slowdown %.2f two seconds after the report", got)
	}
}

// Guards against leafs that report what is not so and thereby draw or lose all requests.
func TestFalseReportsAreIgnored(t *testing.T) {
	m := newLeafModel(2, 1)
	i := 0
	m.report = func() float64 { i++; return []float64{0.4, 2.5}[i%2] }
	m.answers(60, 100*time.Millisecond)
	if m.l.Trusted() {
		t.Fatal("false reports are used")
	}
	if got := m.l.Unloaded(m.now); got < 0.6 || got > 1.5 {
		t.Errorf("latency %.2f of a usual leaf with false reports", got)
	}
	m.report = func() float64 { return m.slow }
	for i := range 400 {
		m.slow = 1 + 1.5*float64(i/10%2)
		m.answer(100 * time.Millisecond)
	}
	if !m.l.Trusted() {
		t.Error("reports that have become true are still ignored")
	}
}

// Guards against a limit that stays at the slots although latency rises long before these
// are used, one that falls without load, and one beyond its bounds.
func TestLimitFollowsLatency(t *testing.T) {
	low := newLeafModel(8, 1)
	low.answers(400, 20*time.Millisecond)
	if got := low.l.Limit(); got < 8 {
		t.Errorf("limit %.1f of a leaf without load and with 8 slots", got)
	}
	knee := newLeafModel(8, 1)
	knee.answers(100, 20*time.Millisecond)
	knee.load, knee.knee = 7, 2
	knee.answers(200, 20*time.Millisecond)
	if got := knee.l.Limit(); got > 5 || got < 1 {
		t.Errorf("limit %.1f of a leaf that becomes slower from 2 requests on", got)
	}
	wide := newLeafModel(2, 1)
	wide.answers(100, 20*time.Millisecond)
	wide.load = 20
	wide.answers(2000, 20*time.Millisecond)
	if got := wide.l.Limit(); got > maxLimitPerSlot*2 {
		t.Errorf("limit %.1f is above its bound", got)
	}
}

// Guards against a new daemon that treats all leafs alike although others know them, and one
// that keeps what it was told although its own answers differ.
func TestStartFromKnowledge(t *testing.T) {
	l := New(2)
	l.Start(Knowledge{Limit: 3, Base: 1.3})
	if got := l.Base(); got != 1.3 {
		t.Errorf("base latency %.2f, want the one that is known", got)
	}
	if _, ok := l.Known(); ok {
		t.Error("what was only heard counts as learned")
	}
	m := newLeafModel(2, 0.8)
	m.l = l
	m.answers(40, 100*time.Millisecond)
	if got := l.Base(); got > 1 {
		t.Errorf("base latency %.2f after 40 own answers of 0.8", got)
	}
	if _, ok := l.Known(); !ok {
		t.Error("40 own answers are not enough to be told")
	}
	l.Start(Knowledge{Limit: 3, Base: 5})
	if got := l.Base(); got > 1 {
		t.Errorf("base latency %.2f: what others know replaces what was learned", got)
	}
	for _, k := range []Knowledge{{Limit: 3, Base: 0}, {Limit: 3, Base: 1e9}, {Limit: 0, Base: 1}, {Limit: math.NaN(), Base: math.NaN()}} {
		l := New(2)
		l.Start(k)
		if l.Base() != 1 || l.Limit() != 2 {
			t.Errorf("%+v is taken over", k)
		}
	}
}

// Guards against odd figures that poison what is known for good.
func TestOddFigures(t *testing.T) {
	m := newLeafModel(2, 1)
	m.answers(20, 100*time.Millisecond)
	for _, ratio := range []float64{0, -1, math.NaN(), math.Inf(1), 1e300} {
		m.l.Answer(m.now, m.now, ratio, 0, 1000)
		m.l.Late(m.now, m.now, ratio)
	}
	m.l.Answer(m.now, m.now, 1, math.Inf(1), 1e-9)
	m.answers(200, 100*time.Millisecond)
	if got := m.l.Expected(m.now, 1); !(got > 0.5 && got < 4) {
		t.Errorf("expected latency %v", got)
	}
}
