package edge

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/quota"
	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/rollout"
	"github.com/pistachiousher/pistachiousher/pkg/edge/gossippb"
)

// Guards against sections that change on the way, and against entries of other daemons that
// would distort shares and verdicts.
func TestSectionsOnTheWire(t *testing.T) {
	entry := gateway.DaemonEntry{Name: "d1", Incarnation: 1, Counter: 1}
	want := gateway.Sections{
		Rollouts:   []gateway.VersionEvidence{{Service: "s", Order: 9, Route: "r", Target: true, Leaf: "i-1", Attempts: 10, BadAnswers: 2, SlowAnswers: 1, Latencies: []uint32{1, 9}, Leafs: 2, BadLeafs: 1}},
		Progress:   []gateway.RolloutProgress{{Service: "s", Order: 9, Acting: rollout.RolledBack, Age: 1500 * time.Millisecond, Open: 3}},
		Quota:      []gateway.TenantDemand{{Tenant: "x", ArrivalsPerSecond: 1.5, WorkPerSecond: 135, WantedShare: 0.25}},
		QuotaLoans: []quota.Loan{{Tenant: "y", Share: 0.125}}, QuotaEcho: quota.Echo{Incarnation: 1_790_000_000_000, Counter: 7},
		Capacity: []gateway.LeafCapacity{{Leaf: "i-1", Limit: 2.5, BaseLatency: 1.3}},
	}
	data, err := encodeGossip([]gateway.DaemonEntry{entry}, want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeGossip(data)
	if err != nil || !reflect.DeepEqual(got.Sections, want) {
		t.Errorf("%+v, %v", got.Sections, err)
	}
	bad := &gossippb.Sections{
		Quota: &gossippb.QuotaSection{Version: sectionVersion + 1, Tenants: []*gossippb.TenantDemand{{Tenant: "x"}}},
		Rollouts: &gossippb.RolloutSection{Version: sectionVersion, Evidence: []*gossippb.VersionEvidence{{Service: "s", Attempts: 1, BadAnswers: 2}, {Service: "s", Attempts: 2, BadAnswers: 1, SlowAnswers: 2}}, Progress: []*gossippb.RolloutProgress{
			{Service: ""}, {Service: "s", AgeMs: 1 << 60}, {Service: "s", Acting: 7}, {Service: "s", Acting: -1},
		}},
		Capacity: &gossippb.CapacitySection{Version: sectionVersion, Leafs: []*gossippb.LeafCapacity{{Leaf: "i", Limit: -1}, {Leaf: strings.Repeat("i", maxNameBytes+1)}}},
	}
	if got := decodeSections(bad); !reflect.DeepEqual(got, gateway.Sections{}) {
		t.Errorf("invalid entries were accepted: %+v", got)
	}
}

// Guards against messages that no longer fit into a datagram when a daemon has much to tell.
func TestSectionsFitIntoADatagram(t *testing.T) {
	var x gateway.Sections
	for i := range 2000 {
		name := fmt.Sprintf("name-%d", i)
		x.QuotaLoans = append(x.QuotaLoans, quota.Loan{Tenant: name, Share: 0.1})
		x.Quota = append(x.Quota, gateway.TenantDemand{Tenant: name, ArrivalsPerSecond: 1, WorkPerSecond: 1})
		x.Rollouts = append(x.Rollouts, gateway.VersionEvidence{Service: name, Order: 1 << 50, Route: name, Attempts: 1 << 40, Latencies: make([]uint32, 12)})
		x.Progress = append(x.Progress, gateway.RolloutProgress{Service: name, Order: 1 << 50, Age: time.Second})
		x.Capacity = append(x.Capacity, gateway.LeafCapacity{Leaf: name, Limit: 1, BaseLatency: 1})
	}
	m := encodeSections(x)
	for _, section := range []proto.Message{m.GetQuota(), m.GetRollouts(), m.GetCapacity()} {
		if size := proto.Size(section); size < maxSectionBytes/2 || size > maxSectionBytes+8 {
			t.Errorf("%T of %d bytes", section, size)
		}
	}
	var entries []gateway.DaemonEntry
	for i := range 19 {
		entries = append(entries, gateway.DaemonEntry{Name: fmt.Sprintf("%0100d", i), CallerAddress: "10.100.100.100:65000", PeerAddress: "10.100.100.100:65000", FailureDomain: strings.Repeat("d", 100)})
	}
	data, err := encodeGossip(entries, x)
	if err != nil || len(data) > maxDatagramBytes {
		t.Errorf("%d bytes, %v", len(data), err)
	}
}
