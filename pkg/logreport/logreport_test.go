package logreport

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

var noon = time.Date(2026, 5, 4, 12, 0, 0, 0, time.UTC)

type fields = map[string]any

func add(t *testing.T, b *Builder, daemon string, at time.Duration, message string, f fields) {
	t.Helper()
	if err := b.Add(Line{Daemon: daemon, Time: noon.Add(at), Message: message, Fields: f}); err != nil {
		t.Fatal(err)
	}
}

// Guards against a request that is counted twice, in the wrong interval or with the
// wrong result, which would hide where callers are served badly.
func TestCountsByIntervalAndRoute(t *testing.T) {
	b := NewBuilder(2 * time.Second)
	add(t, b, "d1", 0, "edge_answered", fields{"route": "r", "missing": 0.0})
	add(t, b, "d1", 1, "edge_answered", fields{"route": "r", "late": "1", "waited_for": "leaf_queue", "server": "i-1", "service": "x"})
	add(t, b, "d1", 2, "edge_partial", fields{"route": "r", "missing": "2", "waited_for": "slow_leaf", "server": "i-2"})
	add(t, b, "d1", 3, "edge_partial", fields{"route": "r", "missing": 2.0, "late": 1.0, "waited_for": "slow_leaf", "server": "i-1"})
	add(t, b, "d2", 4, "edge_refused", fields{"route": "r", "outcome": "throttled", "waited_for": "throttled"})
	add(t, b, "d2", 5, "edge_refused", fields{"route": "r", "outcome": "deadline"})
	add(t, b, "d2", 6, "edge_abandoned", fields{"route": "r", "waited_for": "slow_leaf"})
	add(t, b, "d2", 5*time.Second, "edge_lines_left_out", fields{"route": "r", "count": "7", "second": float64(noon.Unix() + 2)})
	add(t, b, "d2", 0, "edge_answered", fields{"route": "s"})
	add(t, b, "d2", 0, "edge_server_added", fields{"subject": "i-1"})
	add(t, b, "d2", 0, "of another program", nil)
	b.AddSkipped(3, 4)
	r := b.Report(5)
	if len(r.Intervals) != 3 || len(r.Totals) != 2 {
		t.Fatalf("%d intervals and %d totals, want 3 and 2", len(r.Intervals), len(r.Totals))
	}
	first := r.Intervals[0]
	if want := (Counts{InTime: 1, Partial: 1, Late: 2, Refused: 1, Failed: 1, Abandoned: 1}); first.Counts != want || first.Route != "r" || !first.Start.Equal(noon) {
		t.Errorf("%+v at %v, want %+v at %v", first.Counts, first.Start, want, noon)
	}
	if w := first.WaitedFor; w["leaf_queue"] != 1 || w["slow_leaf"] != 1 || w["throttled"] != 1 || w[UnknownCause] != 1 || len(w) != 4 {
		t.Errorf("waited for %v", w)
	}
	if third := r.Intervals[2]; third.InTime != 7 || third.Asked() != 7 || !third.Start.Equal(noon.Add(2*time.Second)) {
		t.Errorf("lines left out: %+v at %v", third.Counts, third.Start)
	}
	if r.Totals[0].Asked() != 14 || r.Lines != 11 || r.RequestLines != 9 || r.Truncated != 3 || r.Foreign != 4 || r.DaemonCount != 2 {
		t.Errorf("totals %+v, report %+v", r.Totals[0], r)
	}
	if len(r.Leafs) != 1 || r.Leafs[0].Name != "i-1" || r.Leafs[0].Unserved != 2 {
		t.Errorf("leafs %+v, want i-1 with 2", r.Leafs)
	}
}

// Guards against leafs and daemons that stand out only because they get more requests.
func TestSubjectsThatStandOut(t *testing.T) {
	b := NewBuilder(time.Second)
	for i := range 100 {
		daemon := fmt.Sprint("d", i%5)
		f := fields{"route": "r"}
		if daemon == "d3" && i%2 == 0 {
			f = fields{"route": "r", "late": 1.0, "waited_for": "slow_leaf", "server": "i-9"}
		}
		add(t, b, daemon, 0, "edge_answered", f)
	}
	for range 300 {
		add(t, b, "busy", 0, "edge_answered", fields{"route": "r"})
	}
	add(t, b, "busy", 0, "edge_answered", fields{"route": "r", "late": 1.0, "waited_for": "slow_leaf", "server": "i-1"})
	r := b.Report(1)
	if len(r.Daemons) != 1 || r.Daemons[0].Name != "d3" || len(r.Leafs) != 1 || r.Leafs[0].Name != "i-9" {
		t.Errorf("daemons %+v, leafs %+v; want d3 and i-9", r.Daemons, r.Leafs)
	}
}

// Guards against memory that grows with the number of leafs, daemons or intervals in
// logs, and against a report that is silently incomplete.
func TestMemoryIsBounded(t *testing.T) {
	b := NewBuilder(time.Second)
	for i := range maxSubjects + 50 {
		add(t, b, fmt.Sprint("d", i), 0, "edge_refused", fields{"route": "r", "outcome": "failed", "server": fmt.Sprint("i-", i)})
	}
	if len(b.leafs) != maxSubjects+1 || len(b.daemons) != maxSubjects+1 || b.leafs[Overflow].unserved != 50 {
		t.Errorf("%d leafs and %d daemons kept", len(b.leafs), len(b.daemons))
	}
	var err error
	for i := 0; err == nil && i <= maxCells; i++ {
		err = b.Add(Line{Time: noon.Add(time.Duration(i) * time.Second), Message: "edge_answered", Fields: fields{"route": "r"}})
	}
	if err == nil || !strings.Contains(err.Error(), "longer interval") || len(b.cells) != maxCells {
		t.Errorf("%d cells, error %v", len(b.cells), err)
	}
}

// Guards against fields of unexpected types that end the report or become negative
// counts.
func TestFieldsOfOtherTypes(t *testing.T) {
	b := NewBuilder(time.Second)
	add(t, b, "d", 0, "edge_lines_left_out", fields{"route": 5.0, "count": -3.0, "second": "x"})
	add(t, b, "d", 0, "edge_lines_left_out", fields{"route": nil, "count": 1e300, "second": "99999999999999999999"})
	add(t, b, "d", 0, "edge_answered", fields{"late": "yes", "missing": []any{1.0}, "waited_for": 3.0})
	add(t, b, "d", 0, "edge_refused", nil)
	if c := b.Report(1).Totals[0].Counts; c != (Counts{InTime: 1, Failed: 1}) {
		t.Errorf("%+v", c)
	}
	var text strings.Builder
	if err := b.Report(1).WriteText(&text); err != nil || !strings.Contains(text.String(), "(none)") {
		t.Errorf("%v: %s", err, text.String())
	}
}
