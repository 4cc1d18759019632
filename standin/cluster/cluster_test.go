package cluster

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/api"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// startExample starts the example bundle with a daemon in each failure domain.
func startExample(t *testing.T) *Cluster {
	t.Helper()
	yaml, err := os.ReadFile("../../examples/tomasic.yaml")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	c, err := Start(ctx, Options{Bundle: yaml, Daemons: []Daemon{
		{VM: "entry-1", FailureDomain: "osijek-a"},
		{VM: "entry-2", FailureDomain: "osijek-b"},
		{VM: "entry-3", FailureDomain: "vukovar"},
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	if err := c.WaitServing(ctx); err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against answers that differ from the direct search, and against a daemon
// that does not serve again after it was stopped and started.
func TestClusterServesExample(t *testing.T) {
	if testing.Short() {
		t.Skip("starts daemons")
	}
	c := startExample(t)
	checkAnswer(t, c, 0)
	if err := c.StopDaemon(0); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := c.StartDaemon(ctx, 0); err != nil {
		t.Fatal(err)
	}
	if err := c.WaitServing(ctx); err != nil {
		t.Fatal(err)
	}
	checkAnswer(t, c, 0)
}

func checkAnswer(t *testing.T, c *Cluster, daemon int) {
	t.Helper()
	const service, caller, query = model.ServiceName("arhiv"), model.CallerName("office"), "leather spine"
	client, address := new(api.Client), c.CallerAddress(daemon)
	l, err := client.Lookup(t.Context(), address, service, caller)
	if err != nil {
		t.Fatal(err)
	}
	got, _, err := client.Query(t.Context(), address, service, api.QueryRequest{
		Caller: caller, RequestID: model.RequestID(l.Addresses[0].RequestIDPrefix + ".7"),
		Idempotent: true, DeadlineMS: 2000, Query: query, TopK: 25,
	})
	if err != nil {
		t.Fatal(err)
	}
	want, err := c.Expect(service, query, 25, "")
	if err != nil {
		t.Fatal(err)
	}
	if !got.Complete || len(got.Items) != len(want) || len(want) == 0 {
		t.Fatalf("answer has complete=%t and %d items, want a complete one with %d items", got.Complete, len(got.Items), len(want))
	}
	for i := range want {
		if got.Items[i].ID != want[i].ID || got.Items[i].Score != want[i].Score {
			t.Fatalf("item %d is %v, want %v", i, got.Items[i], want[i])
		}
	}
}
