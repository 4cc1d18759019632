package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/quota"
	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/tenant"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Guards against messages about quotas that take more than their part of what daemons may
// send each other: 19 kB a second for all control traffic, sent and received. One of 72
// daemons, on one of six larger VMs, gets 83 tenants at their usual rates, of which the six
// largest use this daemon alone, and the other five ask it for shares of six more.
func TestQuotaGossipBytes(t *testing.T) {
	const (
		daemons = 72
		holders = 6
		seconds = 20
		most    = 19_000 / 2
		usual   = 1 / 1.6
		focused = 6
	)
	entry := func(i int) gateway.DaemonEntry {
		e := gateway.DaemonEntry{
			Name: fmt.Sprintf("edge-osijek-a-%d", i), Incarnation: 1_790_000_000_000, Counter: 1, CallerAddress: "10.1.0.1:8104", PeerAddress: fmt.Sprintf("10.1.0.%d:7380", i), FailureDomain: "a",
			State: gateway.DaemonReady, Cores: 0.192,
		}
		if i < holders {
			e.Cores = 0.8
		}
		return e
	}
	s := gateway.New(gateway.Options{
		Self: entry(0), RegionOf: map[string]string{"a": "north"}, MaxSilence: 2 * time.Second, Seed: 1, Quota: quota.Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20},
	})
	var entries []gateway.DaemonEntry
	for i := range daemons {
		entries = append(entries, entry(i))
	}
	route := &gateway.Route{Name: "r", Host: "h", PathPrefix: "/", Idempotent: true, Timeout: time.Second, LatencyTarget: 100 * time.Millisecond, MaxAttempts: 1, Targets: []gateway.Target{{Service: "s", Weight: 1}}}
	config := &gateway.Config{Version: 1, Routes: []*gateway.Route{route}, Services: map[string]gateway.ServiceConfig{"s": {MaxConnections: 10_000}}}
	for i := range 83 {
		name := fmt.Sprintf("tenant%d", i)
		rate := 19 / float64(i+1)
		config.Tenants = append(config.Tenants, &tenant.Tenant{Name: name, Keys: []tenant.KeyHash{tenant.HashKey(name)}, RatePerSecond: rate, Burst: rate})
	}
	now, query := model.Time(time.Second), gateway.QueryID(0)
	bytes := 0
	var step func(e gateway.Event)
	step = func(e gateway.Event) {
		for _, effect := range append([]gateway.Effect(nil), s.Step(now, e)...) {
			switch e := effect.(type) {
			case gateway.Gossip:
				data, err := encodeGossip(e.Daemons, e.Sections)
				if err != nil {
					t.Fatal(err)
				}
				bytes += len(data) * len(e.To)
			case gateway.SendCall:
				s.BeginCall(now, e.Call)
				step(gateway.CallDone{Call: e.Call, Outcome: gateway.OutcomeSucceeded})
			}
		}
	}
	step(gateway.DaemonsListed{Daemons: entries})
	step(gateway.ConfigSeen{Config: config})
	step(gateway.ServersListed{Servers: []gateway.Server{{ID: "s-1", Service: "s", Address: "10.1.1.1:80", FailureDomain: "a", Slots: 1000}}})
	step(gateway.Registered{First: true})
	due := make([]float64, len(config.Tenants))
	for end := now.Add(seconds * time.Second); now < end; now = now.Add(10 * time.Millisecond) {
		for i, x := range config.Tenants {
			share := 1.0 / holders
			if i < focused {
				share = 1
			}
			due[i] += x.RatePerSecond * usual * share / 100
			if due[i] >= 1 {
				due[i]--
				query++
				step(gateway.RequestArrived{At: now, Query: query, Host: "h", Path: "/", CallerTimeout: time.Second, Credential: tenant.Credential{Key: x.Keys[0], Present: true}})
			}
		}
		if now%model.Time(500*time.Millisecond) == 0 {
			for i := 1; i < daemons; i++ {
				entries[i].Counter++
				var sections gateway.Sections
				for j := range focused {
					if i < holders {
						sections.Quota = append(sections.Quota, gateway.TenantDemand{Tenant: fmt.Sprintf("tenant%d", focused+j), ArrivalsPerSecond: 1, WantedShare: 0.5})
					}
				}
				step(gateway.GossipReceived{Daemons: []gateway.DaemonEntry{entries[i]}, Sections: sections})
			}
		}
		step(gateway.Tick{})
	}
	got := bytes / seconds
	t.Logf("%d bytes a second", got)
	if got > most {
		t.Errorf("%d bytes a second, %d at most", got, most)
	}
}
