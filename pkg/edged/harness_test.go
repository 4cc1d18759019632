package edged_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/edged"
	"github.com/pistachiousher/pistachiousher/platform"
	"github.com/pistachiousher/pistachiousher/platform/standin"
	"github.com/pistachiousher/pistachiousher/standin/child"
)

const host = "parish.example"

// site is a store with a configuration, leafs and daemons on loopback.
type site struct {
	t           *testing.T
	store       *standin.Store
	storeServer *httptest.Server
	version     uint64
	// peerPort is the port that all daemons use for gossip and views.
	peerPort uint16
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{t: t, store: standin.NewStore(), peerPort: netip.MustParseAddrPort(freeAddresses(t, "127.0.0.1", 1)[0]).Port()}
	s.storeServer = httptest.NewServer(s.store)
	t.Cleanup(func() {
		s.storeServer.CloseClientConnections()
		s.storeServer.Close()
	})
	return s
}

// configure writes a version of the configuration with the given routes.
func (s *site) configure(routes ...*gateway.Route) { s.configureTenants(nil, routes...) }

// configureTenants writes a version of the configuration with tenants and routes.
func (s *site) configureTenants(tenants []standin.Tenant, routes ...*gateway.Route) {
	s.version++
	c := &gateway.Config{
		Version: s.version, Routes: routes, Services: map[string]gateway.ServiceConfig{},
		Limits: gateway.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 1000, HeaderTimeout: 3 * time.Second, IdleTimeout: 5 * time.Second},
	}
	for _, r := range routes {
		services := slices.Clone(r.Shards)
		for _, target := range r.Targets {
			services = append(services, target.Service)
		}
		for _, name := range services {
			c.Services[name] = gateway.ServiceConfig{MaxConnections: 30, WarmUp: time.Second}
		}
	}
	s.store.PutConfig(c, tenants...)
}

// route returns an idempotent route to one service.
func route(prefix, service string) *gateway.Route {
	return &gateway.Route{
		Name: "r" + prefix, Host: host, PathPrefix: prefix, Idempotent: true, Timeout: 2 * time.Second,
		LatencyTarget: 200 * time.Millisecond, Priority: 1, MaxAttempts: 2, Targets: []gateway.Target{{Service: service, Weight: 1}},
	}
}

// nonIdempotentRoute returns a route whose requests are not idempotent.
func nonIdempotentRoute(prefix, service string) *gateway.Route {
	r := route(prefix, service)
	r.Idempotent = false
	return r
}

// shardedRoute returns a route that asks all the shards and merges their answers.
func shardedRoute(prefix string, topK int, ratio float64, shards ...string) *gateway.Route {
	r := route(prefix, "")
	r.Targets, r.Shards, r.TopK, r.MinShardRatio = nil, shards, topK, ratio
	return r
}

// leaf starts a leaf of a service and writes its entry in the store.
func (s *site) leaf(id, service string, b standin.Behavior) *standin.Leaf {
	s.t.Helper()
	l := standin.StartLeaf(id, b)
	s.t.Cleanup(l.Close)
	s.store.PutServer(gateway.Server{ID: id, Service: service, Address: l.Address(), FailureDomain: "a", Slots: 2})
	return l
}

// daemon is a daemon of the site.
type daemon struct {
	t            *testing.T
	settings     *edged.Settings
	settingsText string
	cancel       context.CancelFunc
	done         chan struct{}
	log          *child.Output
	// logOutput receives the log instead of the field log, if set.
	logOutput io.Writer
	client    *http.Client
	// adapter is used instead of platform.Adapter, if set.
	adapter *edged.Platform
}

// daemon starts the n-th daemon at 127.0.0.n.
func (s *site) daemon(n int) *daemon {
	s.t.Helper()
	addresses := freeAddresses(s.t, fmt.Sprintf("127.0.0.%d", n), 3)
	text := fmt.Sprintf(`vm: edge-%d
failure_domain: a
regions: [{failure_domain: a, region: north}]
listen: {caller: %q, ready: %q, directory: %q}
peer_port: %d
seeds: ["127.0.0.1:1"]
store: "%s"
retry: {ratio: 0.2, slack: 50}
stop: 3s
contact_loss: 2s
address_ttl: 200ms
`, n, addresses[0], addresses[1], addresses[2], s.peerPort, s.storeServer.Listener.Addr())
	settings, err := edged.ParseSettings("test", []byte(text))
	if err != nil {
		s.t.Fatal(err)
	}
	d := &daemon{t: s.t, settings: settings, settingsText: text, client: &http.Client{Transport: &http.Transport{}}}
	d.start()
	s.t.Cleanup(func() { d.stop() })
	return d
}

func (d *daemon) start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel, d.done, d.log = cancel, make(chan struct{}), &child.Output{}
	done, out := d.done, io.Writer(d.log)
	adapter := platform.Adapter()
	if d.adapter != nil {
		adapter = *d.adapter
	}
	if d.logOutput != nil {
		out = d.logOutput
	}
	go func() {
		defer close(done)
		if err := edged.Run(ctx, d.settings, adapter, out); err != nil {
			d.t.Errorf("daemon %s: %v", d.settings.VM, err)
		}
	}()
}

func (d *daemon) stop() {
	d.cancel()
	<-d.done
}

func freeAddresses(t *testing.T, ip string, n int) []string {
	t.Helper()
	list, err := child.FreeAddressesOf(ip, n)
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// call sends one request to a daemon.
func (d *daemon) call(method, path, id string, wait time.Duration, body string) standin.Answer {
	return d.caller().Ask(d.settings.Listen.Caller, standin.Request{Method: method, Path: path, ID: id, Wait: wait, Body: strings.NewReader(body)})
}

func (d *daemon) caller() *standin.Caller {
	return &standin.Caller{Client: d.client, Host: host, Region: "north"}
}

// ready reports whether the daemon tells the platform that it is ready.
func (d *daemon) ready() bool { return standin.Ready(d.client, d.settings.Listen.Ready) }

// addresses returns the addresses that the daemon's directory names.
func (d *daemon) addresses() []string {
	return d.caller().Resolve(context.Background(), d.settings.Listen.Directory)
}

// eventually waits until cond holds. The test fails if that takes longer than bound.
func eventually(t *testing.T, bound time.Duration, description string, cond func() bool) {
	t.Helper()
	deadline := time.Now().Add(bound)
	for !cond() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", bound, description)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
