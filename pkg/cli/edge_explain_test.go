package cli

import (
	"strings"
	"testing"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
)

// Guards against a comparison of daemons that misses a difference, or shows one where there
// is none.
func TestDifferences(t *testing.T) {
	explanation := func(daemon string, version uint64, leafs ...string) gateway.Explanation {
		e := gateway.Explanation{Daemon: daemon, ConfigVersion: version, Route: &gateway.Route{Name: "r"}, Decision: gateway.Decision{Admitted: true}}
		svc := gateway.ServiceExplanation{Name: "x"}
		for i, id := range leafs {
			svc.Leafs = append(svc.Leafs, gateway.LeafExplanation{LeafStatus: gateway.LeafStatus{ID: id, Version: "v1"}, Chosen: i == 0})
		}
		e.Services = append(e.Services, svc)
		return e
	}
	if got := differences([]gateway.Explanation{explanation("a", 7, "i-1", "i-2"), explanation("b", 7, "i-2", "i-1")}); len(got) != 0 {
		t.Errorf("daemons that agree differ in %+v", got)
	}
	behind := explanation("c", 6, "i-1")
	behind.Decision = gateway.Decision{Reason: "throttled"}
	got := differences([]gateway.Explanation{explanation("a", 7, "i-1", "i-2"), explanation("b", 7, "i-1", "i-2"), behind})
	var text strings.Builder
	if err := (fleetExplanation{Daemons: make([]gateway.Explanation, 3), Differences: got}).WriteText(&text); err != nil {
		t.Fatal(err)
	}
	want := `3 daemons answered, 0 did not
configuration differs
  6: c
  7: a b
decision differs
  admitted: a b
  refused: throttled: c
leaf i-2 differs
  not known: c
  of x, version v1, draining false, evacuated false, excluded by version false: a b
`
	if text.String() != want {
		t.Errorf("got\n%swant\n%s", text.String(), want)
	}
}
