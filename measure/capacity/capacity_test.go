package capacity

import (
	"errors"
	"math"
	"testing"

	"github.com/pistachiousher/pistachiousher/pkg/bundle"
)

func near(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-6*math.Abs(want)+1e-12 {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// Guards against fits whose slope or errors are wrong, against known values.
func TestLine(t *testing.T) {
	exact, err := Line([]Point{{1, 5}, {2, 7}, {4, 11}})
	if err != nil {
		t.Fatal(err)
	}
	near(t, "slope", exact.Slope, 2)
	near(t, "intercept", exact.Intercept, 3)
	near(t, "R2", exact.R2, 1)
	// Residuals -0.5, 1, -0.5 around the line through (1,1.5), (2,2), (3,2.5).
	f, err := Line([]Point{{1, 1}, {2, 3}, {3, 2}})
	if err != nil {
		t.Fatal(err)
	}
	near(t, "slope", f.Slope, 0.5)
	near(t, "R2", f.R2, 0.25)
	near(t, "slope error", f.SlopeError, math.Sqrt(1.5/2))
	near(t, "intercept error", f.InterceptError, math.Sqrt(1.5*(1.0/3+4.0/2)))
}

// Guards against a line through points that do not determine one.
func TestLineRefuses(t *testing.T) {
	for _, points := range [][]Point{nil, {{1, 1}, {2, 2}}, {{1, 1}, {1, 2}, {1, 3}}} {
		if _, err := Line(points); !errors.Is(err, ErrFit) {
			t.Errorf("%v: got %v", points, err)
		}
	}
}

// Guards against models that miss the design scale's own numbers.
func TestModels(t *testing.T) {
	near(t, "leaf calls", LeafCalls(), 332_500)
	near(t, "late per call", math.Pow(1-LatePerCall(0.99, DesignShards), DesignShards), 0.99)
	near(t, "late with hedge", math.Pow(LateWithHedge(0.99, 100), 2), LatePerCall(0.99, 100))
	near(t, "document traffic", DocumentTraffic(864, 100, 3), 3)
	near(t, "spread", WorstSpread(1), 250)
}

// Guards against generated worlds that daemons would refuse or in which no
// leaf has a second replica, which would make the sizes wrong.
func TestWorld(t *testing.T) {
	w := newWorld(DesignLeafs, RegionMembers)
	b, err := bundle.Parse("bundle.yaml", []byte(w.yaml))
	if err != nil {
		t.Fatal(err)
	}
	replicas := 0
	for _, sh := range b.Services[0].Layouts[0].Shards {
		replicas += len(sh.Replicas)
	}
	if replicas != DesignLeafs || len(b.Services[0].Layouts[0].Shards) != DesignShards {
		t.Errorf("%d replicas of %d shards", replicas, len(b.Services[0].Layouts[0].Shards))
	}
	if len(w.epoch.Panel) != panelLimit {
		t.Errorf("panel of %d", len(w.epoch.Panel))
	}
}

// Guards against costs of a daemon that does not serve: it must also serve in
// the epochs that follow.
func TestSimulatedServes(t *testing.T) {
	s, err := newSimulated(newWorld(40, 12), nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.change(); err != nil {
		t.Fatal(err)
	}
	if owned := s.state.Status(s.meta.Now).Owned; owned == 0 {
		t.Error("owns nothing")
	}
}
