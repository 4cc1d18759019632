package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Guards against gossip that grows with the rate of changes in a large fleet. The test
// counts what one of 300 daemons sends while leafs change five times a second. The
// daemon receives as much from the others, and all its control traffic may take 19 kB a
// second.
func TestGossipBytesOfLargeFleet(t *testing.T) {
	const (
		daemons = 300
		seconds = 10
		// most is a third of 19 kB a second: for gossip sent, gossip received and
		// views.
		most = 19_000 / 3
	)
	s := gateway.New(gateway.Options{
		Self:     gateway.DaemonEntry{Name: "edge-osijek-a-1", Incarnation: 1, CallerAddress: "10.1.0.1:8104", PeerAddress: "10.1.0.1:7380", FailureDomain: "a"},
		RegionOf: map[string]string{"a": "north"}, MaxSilence: 2 * time.Second, Seed: 1,
	})
	var entries []gateway.DaemonEntry
	for i := range daemons - 1 {
		entries = append(entries, gateway.DaemonEntry{
			Name: fmt.Sprintf("edge-osijek-a-%d", i+2), Incarnation: 1_790_000_000_000, Counter: 100, PeerAddress: "10.1.0.2:7380", FailureDomain: "a", State: gateway.DaemonReady, Cores: 0.4,
			ConfigVersion: 30, View: gateway.ViewRevisions{Servers: 1_000_000, Evacuations: 900_000},
		})
	}
	s.Step(1, gateway.DaemonsListed{Daemons: entries})
	bytes, full := 0, 0
	now := model.Time(1)
	step := func(e gateway.Event) {
		for _, effect := range s.Step(now, e) {
			g, ok := effect.(gateway.Gossip)
			if !ok {
				continue
			}
			data, err := encodeGossip(g.Daemons, g.Sections)
			if err != nil {
				t.Fatal(err)
			}
			bytes += len(data) * len(g.To)
			if len(g.Daemons) > 1 {
				full++
			}
		}
	}
	end := now.Add(seconds * time.Second)
	for revision := uint64(1); now < end; {
		now = now.Add(100 * time.Millisecond)
		for i := range entries {
			entries[i].Counter++
		}
		step(gateway.GossipReceived{Daemons: entries})
		if now >= model.Time(revision)*model.Time(200*time.Millisecond) {
			revision++
			step(gateway.ViewAdvanced{Revisions: gateway.ViewRevisions{Servers: revision}})
		}
		step(gateway.Tick{})
	}
	if got := bytes / seconds; got > most {
		t.Errorf("%d bytes a second, %d at most", got, most)
	}
	if want := seconds * 2; full < want*9/10 {
		t.Errorf("%d full messages in %d s: frequent changes delay them", full, seconds)
	}
}
