package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const start = model.Time(time.Minute)

var testLimits = Limits{Share: 0.1, Slack: 50, Hold: 5 * time.Second, PeerLifetime: 1500 * time.Millisecond}

func leafsOf(versions ...string) []Leaf {
	var out []Leaf
	for i, v := range versions {
		for j, domain := range []string{"a", "b", "c"} {
			out = append(out, Leaf{ID: v + "-" + domain, Version: v, FailureDomain: domain, StartedMS: int64(100*(i+1) + j), Usable: true})
		}
	}
	return out
}

func testOrder() *Order {
	return &Order{Service: "s", Target: "v2", Duration: 12 * time.Second, Created: 7, Revision: 7}
}

func checkUses(t *testing.T, when string, s *State, want map[string]Use) {
	t.Helper()
	for version, use := range want {
		if got := s.Use(version); got != use {
			t.Errorf("%s: use of %s is %d, want %d", when, version, got, use)
		}
	}
}

// Guards against requests at a version that nothing allows, and against one that is held back
// for good although leafs are replaced without an order.
func TestUnknownVersionIsHeld(t *testing.T) {
	s := New(testLimits)
	s.SetLeafs(start, leafsOf("v1", "v2"))
	checkUses(t, "at the start", s, map[string]Use{"v1": Full, "v2": LastResort})
	s.SetLeafs(start.Add(4900*time.Millisecond), leafsOf("v1", "v2"))
	checkUses(t, "within the hold", s, map[string]Use{"v2": LastResort})
	s.SetLeafs(start.Add(5*time.Second), leafsOf("v1", "v2"))
	checkUses(t, "after the hold", s, map[string]Use{"v1": Full, "v2": Full})
}

// Guards against verdicts that do not reach the choice of leafs, and against an older copy of
// the order that reverts one.
func TestVerdictIsFinal(t *testing.T) {
	for _, c := range []struct {
		verdict Verdict
		want    map[string]Use
	}{
		{Completed, map[string]Use{"v1": Unused, "v2": Full}},
		{RolledBack, map[string]Use{"v1": Full, "v2": Unused}},
	} {
		s := New(testLimits)
		s.SetLeafs(start, leafsOf("v1", "v2"))
		if got := s.SetOrder(start, testOrder(), 1); got != Started {
			t.Errorf("change %d for a new order", got)
		}
		checkUses(t, "running", s, map[string]Use{"v1": Full, "v2": Sampled})
		decided := testOrder()
		decided.Verdict, decided.Revision = c.verdict, 8
		if got := s.SetOrder(start, decided, 1); got != Decided {
			t.Errorf("change %d for a verdict", got)
		}
		checkUses(t, c.verdict.String(), s, c.want)
		if got := s.SetOrder(start, testOrder(), 1); got != Unchanged {
			t.Errorf("change %d for an older copy", got)
		}
		s.SetLeafs(start.Add(time.Hour), leafsOf("v1", "v2"))
		checkUses(t, c.verdict.String()+", older copy", s, c.want)
		s.SetOrder(start.Add(time.Hour), nil, 1)
		s.SetLeafs(start.Add(2*time.Hour), leafsOf("v1", "v2"))
		checkUses(t, c.verdict.String()+", object removed", s, c.want)
	}
}

// Guards against a withdrawn order whose version gets all requests without any evidence, and
// against a second order that inherits the verdict or the evidence of the first.
func TestWithdrawnAndSecondOrder(t *testing.T) {
	s := New(testLimits)
	s.SetLeafs(start, leafsOf("v1", "v2"))
	s.SetOrder(start, testOrder(), 1)
	if got := s.SetOrder(start, nil, 1); got != Withdrawn {
		t.Errorf("change %d for a withdrawn order", got)
	}
	s.SetLeafs(start.Add(time.Hour), leafsOf("v1", "v2"))
	checkUses(t, "withdrawn", s, map[string]Use{"v1": Full, "v2": LastResort})
	back := testOrder()
	back.Verdict = RolledBack
	s.SetOrder(start, back, 1)
	again := testOrder()
	again.Created, again.Revision = 20, 20
	if got := s.SetOrder(start, again, 1); got != Started {
		t.Errorf("change %d for a second order", got)
	}
	checkUses(t, "ordered again", s, map[string]Use{"v1": Full, "v2": Sampled})
	third := testOrder()
	third.Target = "v3"
	s.SetOrder(start, third, 1)
	checkUses(t, "third version ordered", s, map[string]Use{"v1": Full, "v2": LastResort, "v3": Sampled})
}

// Guards against more requests at the target version than the bound, whatever the share of the
// slack, and against samples of a single leaf only.
func TestExposureStaysWithinTheBound(t *testing.T) {
	s := New(testLimits)
	s.SetLeafs(start, leafsOf("v1", "v2"))
	s.SetOrder(start, testOrder(), 0.2)
	leafs := map[string]bool{}
	exposed := 0
	for i := range 600 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		s.CountRequest()
		if id := s.Sample(now, fmt.Sprint(i%2), 0); id != "" {
			leafs[id] = true
			exposed++
			s.CountAttempt("v2")
			s.Answered(now, Answer{Route: fmt.Sprint(i % 2), Leaf: id, Version: "v2", Latency: time.Millisecond})
		}
		if bound := 0.1*float64(i+1) + 0.2*50*sampleSlackShare; float64(exposed) > bound {
			t.Fatalf("%d of %d requests exposed, allowed %.1f", exposed, i+1, bound)
		}
	}
	if exposed < 60 || len(leafs) != 3 {
		t.Errorf("%d requests exposed at leafs %v, want some at each of 3", exposed, leafs)
	}
}

// Guards against evidence that is counted twice or lost: messages that come late or twice,
// counts that go back, and a new process of the other daemon.
func TestEvidenceIsMergedOnce(t *testing.T) {
	s := New(testLimits)
	s.SetLeafs(start, leafsOf("v1", "v2"))
	s.SetOrder(start, testOrder(), 1)
	id := testOrder().ID()
	merge := func(incarnation, attempts, bad uint64) {
		s.MergeEvidence(start, "d2", incarnation, []Evidence{{Service: "s", Order: id, Route: "r", Target: true, Leaf: "v2-a", Attempts: attempts, BadAnswers: bad}})
	}
	for _, c := range []struct {
		name                       string
		incarnation, attempts, bad uint64
		wantAll, wantBad           uint64
	}{
		{"first", 5, 10, 2, 10, 2},
		{"doubled", 5, 10, 2, 10, 2},
		{"more", 5, 14, 3, 14, 3},
		{"late", 5, 12, 3, 14, 3},
		{"impossible", 5, 15, 9, 14, 3},
		{"new process", 6, 4, 1, 18, 4},
		{"late of the old process", 5, 99, 9, 18, 4},
	} {
		merge(c.incarnation, c.attempts, c.bad)
		if f := s.Figures(start); f.Answers != c.wantAll || f.Bad != c.wantBad {
			t.Errorf("%s: %d answers, %d bad, want %d and %d", c.name, f.Answers, f.Bad, c.wantAll, c.wantBad)
		}
	}
	s.MergeEvidence(start, "d3", 1, []Evidence{{Service: "s", Order: id + 1, Route: "r", Target: true, Leaf: "v2-a", Attempts: 50, BadAnswers: 50}})
	if f := s.Figures(start); f.Answers != 18 {
		t.Errorf("%d answers with those of another order", f.Answers)
	}
}

// answers records answers of both versions, spread over their leafs.
func answers(s *State, now model.Time, former, formerBad, target, targetBad int, leafs ...string) {
	for i := range former {
		s.Answered(now, Answer{Route: "r", Leaf: "v1-a", Version: "v1", Failed: i < formerBad, Latency: 10 * time.Millisecond})
	}
	for i := range target {
		s.Answered(now, Answer{Route: "r", Leaf: leafs[i%len(leafs)], Version: "v2", Failed: i < targetBad, Latency: 10 * time.Millisecond})
	}
}

// Guards against a fault of one leaf, an overload of both versions or rare bad answers of a
// large service that roll back a good version, and against a bad one that is not found.
func TestEvidenceThatCondemns(t *testing.T) {
	all := []string{"v2-a", "v2-b", "v2-c"}
	for _, c := range []struct {
		name   string
		record func(s *State)
		want   Verdict
	}{
		{"failures on all leafs", func(s *State) { answers(s, start, 200, 0, 30, 12, all...) }, RolledBack},
		{"failures on one leaf", func(s *State) {
			answers(s, start, 200, 0, 20, 20, "v2-a")
			answers(s, start, 0, 0, 20, 0, "v2-b", "v2-c")
		}, Undecided},
		{"both versions fail alike", func(s *State) { answers(s, start, 200, 80, 30, 12, all...) }, Undecided},
		{"few more of very many", func(s *State) { answers(s, start, 100000, 100, 20000, 150, all...) }, Undecided},
		{"slow on all leafs", func(s *State) {
			answers(s, start, 200, 0, 0, 0)
			for i := range 15 {
				s.Answered(start, Answer{Route: "r", Leaf: all[i%3], Version: "v2", Latency: 50 * time.Millisecond})
			}
		}, RolledBack},
		{"cut off after a long time", func(s *State) {
			answers(s, start, 200, 0, 0, 0)
			for i := range 15 {
				s.Answered(start, Answer{Route: "r", Leaf: all[i%3], Version: "v2", Cancelled: true, Latency: 50 * time.Millisecond})
			}
		}, RolledBack},
		{"cut off soon", func(s *State) {
			answers(s, start, 200, 0, 0, 0)
			for i := range 15 {
				s.Answered(start, Answer{Route: "r", Leaf: all[i%3], Version: "v2", Cancelled: true, Latency: 5 * time.Millisecond})
			}
		}, Undecided},
	} {
		s := New(testLimits)
		s.SetLeafs(start, leafsOf("v1", "v2"))
		s.SetOrder(start, testOrder(), 1)
		c.record(s)
		if got := s.Decide(start.Add(time.Second), Situation{Heard: true}).Acting; got != c.want {
			t.Errorf("%s: acting on %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a decision without evidence, without leafs or without most other daemons, and
// against an order that is never decided.
func TestDecisionAtTheEnd(t *testing.T) {
	all := []string{"v2-a", "v2-b", "v2-c"}
	for _, c := range []struct {
		name    string
		leafs   []Leaf
		record  func(s *State)
		heard   bool
		elapsed time.Duration
		want    Verdict
	}{
		{"too early", leafsOf("v1", "v2"), func(s *State) { answers(s, start, 300, 0, 30, 0, all...) }, true, 7 * time.Second, Undecided},
		{"good", leafsOf("v1", "v2"), func(s *State) { answers(s, start, 300, 0, 30, 0, all...) }, true, 8 * time.Second, Completed},
		{"cut off", leafsOf("v1", "v2"), func(s *State) { answers(s, start, 300, 0, 30, 0, all...) }, false, 20 * time.Second, Undecided},
		{"no answers yet", leafsOf("v1", "v2"), func(s *State) { answers(s, start, 300, 0, 0, 0, all...) }, true, 8 * time.Second, Undecided},
		{"no answers", leafsOf("v1", "v2"), func(s *State) { answers(s, start, 300, 0, 0, 0, all...) }, true, 10 * time.Second, RolledBack},
		{"one leaf of three", leafsOf("v1", "v2"), func(s *State) { answers(s, start, 300, 0, 30, 0, "v2-a") }, true, 10 * time.Second, RolledBack},
		{"hardly used", leafsOf("v1", "v2"), func(s *State) { answers(s, start, 20, 0, 0, 0, all...) }, true, 8 * time.Second, Completed},
		{"no leafs", leafsOf("v1"), func(s *State) { answers(s, start, 300, 0, 0, 0, all...) }, true, 10 * time.Second, RolledBack},
		{"no leafs, hardly used", leafsOf("v1"), func(*State) {}, true, 10 * time.Second, RolledBack},
	} {
		s := New(testLimits)
		s.SetLeafs(start, c.leafs)
		s.SetOrder(start, testOrder(), 1)
		c.record(s)
		if got := s.Decide(start.Add(c.elapsed), Situation{Heard: c.heard}).Acting; got != c.want {
			t.Errorf("%s: acting on %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against old leafs that are stopped with open requests, against a move that goes on
// after the version turned out to be bad, and against verdicts that are written once only.
func TestMoveAndWrite(t *testing.T) {
	s := New(testLimits)
	s.SetLeafs(start, leafsOf("v1", "v2"))
	s.SetOrder(start, testOrder(), 1)
	answers(s, start, 300, 0, 30, 0, "v2-a", "v2-b", "v2-c")
	at := start.Add(8 * time.Second)
	in := Situation{Heard: true}
	if r := s.Decide(at, in); r.Write || r.Acting != Completed {
		t.Fatalf("%+v at the decision", r)
	}
	s.SetLeafs(at, leafsOf("v1", "v2"))
	checkUses(t, "beginning to move", s, map[string]Use{"v1": Full, "v2": Full})
	s.SetLeafs(at.Add(rampTime), leafsOf("v1", "v2"))
	checkUses(t, "moving", s, map[string]Use{"v1": LastResort, "v2": Full})
	other := Progress{Service: "s", Order: testOrder().ID(), Acting: Completed, Open: 1}
	s.MergeProgress(at.Add(time.Second), "d2", other)
	if r := s.Decide(at.Add(1100*time.Millisecond), in); r.Write {
		t.Error("written while another daemon has open requests at old leafs")
	}
	other.Open = 0
	s.MergeProgress(at.Add(1200*time.Millisecond), "d2", other)
	if r := s.Decide(at.Add(1200*time.Millisecond), Situation{Heard: true, Open: 1}); r.Write {
		t.Error("written with open requests at old leafs")
	}
	r := s.Decide(at.Add(1300*time.Millisecond), in)
	if !r.Write || r.ReadBack || r.Revision != 7 {
		t.Fatalf("%+v after the move", r)
	}
	if again := s.Decide(at.Add(1400*time.Millisecond), in); again.Write {
		t.Error("a second write while the first has not ended")
	}
	s.VerdictWritten(at.Add(1500*time.Millisecond), r.Order, Completed, Failed)
	if again := s.Decide(at.Add(2*time.Second), in); !again.Write || !again.ReadBack {
		t.Errorf("%+v after a failed write", again)
	}
	answers(s, at.Add(2*time.Second), 0, 0, 30, 15, "v2-a", "v2-b", "v2-c")
	if r := s.Decide(at.Add(2200*time.Millisecond), in); r.Acting != RolledBack {
		t.Errorf("acting on %v after bad answers during the move", r.Acting)
	}
}

// Guards against a bad version that gets requests of daemons that have not found that out
// themselves, and against a daemon that starts late and decides late.
func TestProgressOfOthersCounts(t *testing.T) {
	s := New(testLimits)
	s.SetLeafs(start, leafsOf("v1", "v2"))
	s.SetOrder(start, testOrder(), 1)
	id := testOrder().ID()
	s.MergeProgress(start, "d2", Progress{Service: "s", Order: id, Age: 3 * time.Second})
	if age := s.Figures(start).Age; age != 3*time.Second {
		t.Errorf("age %v, another daemon has told of 3s", age)
	}
	if _, changed := s.MergeProgress(start, "d2", Progress{Service: "s", Order: id + 1, Acting: RolledBack}); changed {
		t.Error("the verdict of another order is acted on")
	}
	if _, changed := s.MergeProgress(start, "d2", Progress{Service: "s", Order: id, Acting: RolledBack}); !changed {
		t.Error("the verdict of another daemon is not acted on")
	}
	if _, changed := s.MergeProgress(start, "d3", Progress{Service: "s", Order: id, Acting: Completed}); changed {
		t.Error("a verdict of good replaces one of bad")
	}
	checkUses(t, "told of a bad version", s, map[string]Use{"v1": Full, "v2": Unused})
	if r := s.Decide(start.Add(time.Second), Situation{}); !r.Write || r.Acting != RolledBack {
		t.Errorf("%+v: the verdict is not written in place of the daemon that found it", r)
	}
}
