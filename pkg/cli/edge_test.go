package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/edged"
	"github.com/pistachiousher/pistachiousher/platform"
	"github.com/pistachiousher/pistachiousher/platform/standin"
	"github.com/pistachiousher/pistachiousher/standin/child"
)

// cmdEdgeDaemon starts an edge daemon with a small configuration and sets EDGE
// to its admin address.
func cmdEdgeDaemon(ts *testscript.TestScript, _ bool, _ []string) {
	store := standin.NewStore()
	store.PutConfig(&gateway.Config{
		Version: 7,
		Routes: []*gateway.Route{
			{
				Name: "all", Host: "h.example", PathPrefix: "/a/", Idempotent: true, Shards: []string{"x", "y"}, TopK: 3,
				MinShardRatio: 0.5, MaxAttempts: 2, LatencyTarget: 100 * time.Millisecond, Public: true,
			},
			{Name: "one", Host: "h.example", PathPrefix: "/o/", Targets: []gateway.Target{{Service: "x", Weight: 1}}, Public: true},
			{Name: "keyed", Host: "h.example", PathPrefix: "/k/", Targets: []gateway.Target{{Service: "x", Weight: 1}}},
		},
		Services: map[string]gateway.ServiceConfig{"x": {MaxConnections: 5}, "y": {MaxConnections: 5}},
	}, standin.Tenant{Name: "ralo620", Keys: []string{"the key"}, Priority: new(int), RatePerSecond: 19, Burst: 19},
		standin.Tenant{Name: "limited", Keys: []string{"secret-1", "secret-2"}, RatePerSecond: 2, Burst: 3}, standin.Tenant{Name: "free"})
	store.PutServer(gateway.Server{ID: "i-1", Service: "x", Address: "127.0.0.1:9", FailureDomain: "a", Slots: 2})
	server := httptest.NewServer(store)
	ts.Defer(server.Close)
	free, err := child.FreeAddresses(5)
	ts.Check(err)
	admin, peer := free[3], netip.MustParseAddrPort(free[4]).Port()
	text := fmt.Sprintf("vm: edge-1\nfailure_domain: a\nlisten: {caller: %q, ready: %q, directory: %q, admin: %q}\npeer_port: %d\nstore: %q\nstop: 1s\naddress_ttl: 100ms\n",
		free[0], free[1], free[2], admin, peer, server.Listener.Addr())
	settings, err := edged.ParseSettings("settings", []byte(text))
	ts.Check(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = edged.Run(ctx, settings, platform.Adapter(), io.Discard)
	}()
	ts.Defer(func() { cancel(); <-done })
	for range 200 {
		if standin.Ready(http.DefaultClient, settings.Listen.Ready) {
			ts.Setenv("EDGE", admin)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	ts.Fatalf("the daemon is not ready after 2 s")
}
