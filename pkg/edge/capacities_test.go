package edge

import (
	"math"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
)

// Guards against knowledge of leafs that is sent with every view, that gets lost on its way to
// a daemon that asks for it, or that no daemon can have learned.
func TestCapacitiesComeWithTheViewIfAskedFor(t *testing.T) {
	good := gateway.LeafCapacity{Leaf: "l1", Limit: 2.5, BaseLatency: 1.3}
	p := NewPeers(nil, func(gateway.Event) {}, newRecordingFollower(newFakeStore()).Follower, noLag, func(string, error) {})
	p.ShareCapacities(func() []gateway.LeafCapacity {
		return []gateway.LeafCapacity{good, {Leaf: "", Limit: 1, BaseLatency: 1}, {Leaf: "l2", Limit: -1, BaseLatency: 1}, {Leaf: "l3", Limit: 1, BaseLatency: math.MaxFloat64}}
	})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	for _, asked := range []bool{false, true} {
		view, err := p.requestView(strings.TrimPrefix(server.URL, "http://"), nil, false, asked)
		if err != nil {
			t.Fatal(err)
		}
		got := usableCapacities(view.Capacities)
		if asked && !reflect.DeepEqual(got, []gateway.LeafCapacity{good}) || !asked && len(view.Capacities) > 0 {
			t.Errorf("asked %v: got %+v", asked, view.Capacities)
		}
	}
	if got := usableCapacities(make([]gateway.LeafCapacity, 2*maxCapacities)); len(got) > maxCapacities {
		t.Errorf("%d entries are taken over", len(got))
	}
}
