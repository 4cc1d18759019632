package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pistachiousher/pistachiousher/pkg/edge"
	"github.com/pistachiousher/pistachiousher/pkg/edged"
	"github.com/pistachiousher/pistachiousher/platform"
	"github.com/pistachiousher/pistachiousher/standin/objects"
)

// cmdEdgeDaemon starts an edge daemon with a small configuration and sets EDGE
// to its admin address.
func cmdEdgeDaemon(ts *testscript.TestScript, _ bool, _ []string) {
	store := objects.New()
	store.Put("config", "main", map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{"name": "all", "host": "h.example", "pathPrefix": "/a/", "kind": "safe", "shards": []string{"x", "y"}, "topK": 3, "minShardRatio": 0.5, "maxAttempts": 2, "targetLatencyMs": 100},
			{"name": "one", "host": "h.example", "pathPrefix": "/o/", "kind": "unsafe", "backend": "x"},
		},
		"backends": []map[string]any{{"name": "x", "maxConnections": 5}, {"name": "y", "maxConnections": 5}},
	})
	store.Put("servers", "i-1", map[string]any{
		"backend": "x", "address": "127.0.0.1:9", "zone": "a", "version": "v", "slots": 2, "state": "ready", "warmupLeftMs": 0,
	})
	server := httptest.NewServer(store)
	ts.Defer(server.Close)
	admin := freeAddress(ts)
	text := fmt.Sprintf("vm: edge-1\nfailure_domain: a\nlisten: {caller: %q, ready: %q, directory: %q, admin: %q}\npeer_port: %d\nstore: %q\nstop: 1s\naddress_ttl: 100ms\n",
		freeAddress(ts), freeAddress(ts), freeAddress(ts), admin, freePort(ts), server.Listener.Addr())
	settings, err := edged.ParseSettings("settings", []byte(text))
	ts.Check(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = edged.Run(ctx, settings, edged.Platform{
			Protocol: platform.Protocol{}, Decoder: platform.Decoder{},
			NewStore:         func(address string, count edged.StoreCounter) edge.Store { return platform.NewStore(address, count) },
			ReadyHandler:     func(r *edge.Runtime) http.Handler { return platform.NewReadyHandler(r) },
			DirectoryHandler: func(r *edge.Runtime, ttl time.Duration) http.Handler { return platform.NewDirectoryHandler(r, ttl) },
		}, io.Discard)
	}()
	ts.Defer(func() { cancel(); <-done })
	for range 200 {
		resp, err := http.Get("http://" + settings.Listen.Ready + "/api/readyz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ts.Setenv("EDGE", admin)
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	ts.Fatalf("the daemon is not ready after 2 s")
}

func freePort(ts *testscript.TestScript) int {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	ts.Check(err)
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port
}

func freeAddress(ts *testscript.TestScript) string { return fmt.Sprintf("127.0.0.1:%d", freePort(ts)) }
