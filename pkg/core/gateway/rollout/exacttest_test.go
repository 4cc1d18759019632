package rollout

import (
	"math"
	"testing"
)

// Guards against wrong p-values. Those of single tables are Fisher's exact test computed by
// hand; the test of two tables is the product of their tails where both are extreme.
func TestStratifiedTest(t *testing.T) {
	one := table{target: tally{4, 3}, former: tally{4, 1}}
	extreme := table{target: tally{3, 3}, former: tally{3, 0}}
	for _, c := range []struct {
		name   string
		tables []table
		want   float64
	}{
		{"lady tasting tea", []table{one}, (16.0 + 1.0) / 70},
		{"extreme", []table{extreme}, 1.0 / 20},
		{"two extreme tables", []table{extreme, extreme}, 1.0 / 400},
		{"no bad answers", []table{{target: tally{9, 0}, former: tally{9, 0}}}, 1},
		{"only the target version", []table{{target: tally{9, 9}}}, 1},
		{"uninformative table beside", []table{extreme, {target: tally{9, 9}}}, 1.0 / 20},
		{"fewer bad answers than others", []table{{target: tally{3, 0}, former: tally{3, 3}}}, 1},
	} {
		if got := stratifiedTest(c.tables); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: p = %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a jump between the exact distribution and the normal one for large counts.
func TestNormalApproximationIsClose(t *testing.T) {
	x := table{target: tally{1000, 236}, former: tally{1000, 200}}
	exact := upperTail([]table{x}, 236)
	var many []table
	for range 10 {
		many = append(many, table{target: tally{1000, 211}, former: tally{1000, 200}})
	}
	if got, want := stratifiedTest(many), upperTail(many, 2110); got < want/1.1 || got > want*1.1 {
		t.Errorf("normal p = %v, exact %v", got, want)
	}
	if got := stratifiedTest([]table{x}); math.Abs(got-exact) > 1e-9 {
		t.Errorf("p = %v, exact %v", got, exact)
	}
}
