package soak

import (
	"fmt"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/platform/standin"
	"github.com/pistachiousher/pistachiousher/standin/child"
	"github.com/pistachiousher/pistachiousher/standin/proxy"
)

const (
	host = "parish.example"
	// orderLeafs is the number of leafs that run orders, which are not idempotent.
	orderLeafs = 3
	// work is how long a leaf takes: long enough for requests to be open at each
	// moment.
	work = 25 * time.Millisecond
	// contact is the calm after which the promises with a time bound hold again.
	contact = 4 * time.Second
	// applyBound is how long a configuration or a drain may take to be in force,
	// evacuateBound an evacuation.
	applyBound    = 3 * time.Second
	evacuateBound = 5 * time.Second
	// settle is the calm at the end of a soak, in which service must be back.
	settle = 6 * time.Second
	// stopTime is the daemons' longest graceful shutdown.
	stopTime = 4 * time.Second
)

// layouts are the two sets of shards that configurations name by turns.
var layouts = [][]string{{"s0", "s1", "s2", "s3"}, {"t0", "t1", "t2", "t3", "t4", "t5"}}

// disturbance is a time in which something does not keep time bounds.
type disturbance struct {
	begin, end time.Time
	planned    bool
}

// site is a store, leafs and daemon processes on loopback.
type site struct {
	t      *testing.T
	dir    string
	store  *standin.Store
	server *httptest.Server

	mu      sync.Mutex
	daemons []*daemon
	leafs   []*standin.Leaf
	// links lead to the leafs, by their ids.
	links     map[string]*proxy.Link
	linkOut   map[string][]disturbance
	shardOf   map[string]string
	drainedAt map[string]time.Time
	// domainOf has the failure domains of the leafs.
	domainOf map[string]string
	// evacuations are the times in which domains were evacuated.
	evacuations []evacuation
	storeOut    []disturbance
	versions    []version
}

// evacuation is a time in which a failure domain was evacuated, from its
// acknowledgement until it was taken back.
type evacuation struct {
	domain     string
	begin, end time.Time
}

// leafDomains are the failure domains of leafs. The daemons are in the first one.
var leafDomains = []string{"a", "b"}

// version is a configuration that was acknowledged.
type version struct {
	number int
	layout int
	at     time.Time
}

type daemon struct {
	name     string
	settings string
	log      *os.File
	caller   string
	// directory and ready are addresses of the daemon.
	directory, ready string
	// store is the daemon's link to the store.
	store *proxy.Link
	// front is the callers' link to the daemon.
	front *proxy.Link

	// busy is held while a step changes the process.
	busy      sync.Mutex
	mu        sync.Mutex
	cmd       *exec.Cmd
	disturbed []disturbance
}

func newSite(t *testing.T, daemons int) *site {
	t.Helper()
	s := &site{t: t, dir: t.TempDir(), store: standin.NewStore(), shardOf: map[string]string{}, drainedAt: map[string]time.Time{}, domainOf: map[string]string{},
		links: map[string]*proxy.Link{}, linkOut: map[string][]disturbance{}}
	s.server = httptest.NewServer(s.store)
	t.Cleanup(func() { s.server.CloseClientConnections(); s.server.Close() })
	for _, layout := range layouts {
		for _, shard := range layout {
			for range 2 {
				s.addLeaf(shard)
			}
		}
	}
	for range orderLeafs {
		s.addLeaf("orders")
	}
	s.configure(0)
	peer := netip.MustParseAddrPort(freeAddresses(t, address(0), 1)[0]).Port()
	for i := range daemons {
		s.addDaemon(i, peer)
	}
	return s
}

// addLeaf starts a leaf; the record that it answers with names its shard.
func (s *site) addLeaf(shard string) *standin.Leaf {
	s.mu.Lock()
	id := fmt.Sprintf("i-%d", len(s.leafs))
	domain := leafDomains[len(s.leafs)%len(leafDomains)]
	s.mu.Unlock()
	l := standin.StartLeaf(id, normal(shard))
	s.t.Cleanup(l.Close)
	link := startLink(s.t, l.Address())
	s.mu.Lock()
	s.leafs = append(s.leafs, l)
	s.links[id] = link
	s.shardOf[id], s.domainOf[id] = shard, domain
	s.mu.Unlock()
	s.register(l, shard, false)
	return l
}

func startLink(t *testing.T, target string) *proxy.Link {
	t.Helper()
	link, err := proxy.Start(target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	return link
}

func normal(shard string) standin.Behavior {
	return standin.Behavior{Work: work, Body: []byte(recordOf(shard))}
}

// recordOf is the record of 16 bytes that the leafs of a shard answer with.
func recordOf(shard string) string { return fmt.Sprintf("%-16s", shard) }

func (s *site) register(l *standin.Leaf, service string, draining bool) {
	s.mu.Lock()
	address, domain := s.links[l.ID].Address(), s.domainOf[l.ID]
	s.mu.Unlock()
	s.store.PutServer(gateway.Server{ID: l.ID, Service: service, Address: address, FailureDomain: domain, Slots: 4, Draining: draining})
}

// configure writes the next version, with the given set of shards, and notes
// when it was acknowledged.
func (s *site) configure(layout int) {
	s.mu.Lock()
	number := len(s.versions) + 1
	s.mu.Unlock()
	route := func(name, prefix string) *gateway.Route {
		return &gateway.Route{
			Name: name, Host: host, PathPrefix: prefix, Idempotent: true, Timeout: 1500 * time.Millisecond,
			LatencyTarget: 150 * time.Millisecond, Priority: 1, MaxAttempts: 2, Targets: []gateway.Target{{Service: "orders", Weight: 1}},
		}
	}
	all, order, probe := route("all", "/all/"), route("order", "/order/"), route("probe", fmt.Sprintf("/v%d/", number))
	all.Targets, all.Shards, all.TopK, all.MinShardRatio = nil, layouts[layout], 3, 0.5
	order.Idempotent = false
	c := &gateway.Config{
		Version: uint64(number), Routes: []*gateway.Route{all, order, probe}, Services: map[string]gateway.ServiceConfig{},
		Limits: gateway.Limits{MaxBodyBytes: 1000, IdleTimeout: 3 * time.Second},
	}
	for _, name := range slices.Concat([]string{"orders"}, layouts[0], layouts[1]) {
		c.Services[name] = gateway.ServiceConfig{MaxConnections: 40}
	}
	s.store.PutConfig(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = append(s.versions, version{number, layout, time.Now()})
}

// address is the loopback address of a daemon.
func address(daemon int) string { return child.OwnIP(daemon + 1) }

func (s *site) addDaemon(i int, peer uint16) {
	free := freeAddresses(s.t, address(i), 3)
	d := &daemon{name: fmt.Sprintf("edge-%d", i), caller: free[0], directory: free[1], ready: free[2]}
	d.store = startLink(s.t, s.server.Listener.Addr().String())
	d.front = startLink(s.t, d.caller)
	text := fmt.Sprintf("vm: %s\nfailure_domain: a\nregions: [{failure_domain: a, region: north}, {failure_domain: b, region: north}]\nlisten: {caller: %q, ready: %q, directory: %q}\npeer_port: %d\nseeds: [\"%s:1\", \"%s:1\"]\nstore: %q\nretry: {ratio: 0.2, slack: 50}\nstop: %v\ncontact_loss: 2s\naddress_ttl: 300ms\n",
		d.name, d.caller, d.ready, d.directory, peer, address(0), address(1), d.store.Address(), stopTime)
	d.settings = filepath.Join(s.dir, d.name+".yaml")
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(s.dir, d.name+".log"))
	if err != nil {
		s.t.Fatal(err)
	}
	d.log = log
	s.daemons = append(s.daemons, d)
	d.start(s.t)
	s.t.Cleanup(func() {
		d.signal(syscall.SIGCONT)
		d.signal(syscall.SIGKILL)
		log.Close()
	})
}

func (d *daemon) start(t *testing.T) {
	cmd := exec.Command(program, "-settings", d.settings)
	cmd.Stdout, cmd.Stderr = d.log, d.log
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := cmd.Start(); err != nil {
		t.Error(err)
		return
	}
	d.cmd = cmd
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	cmd := d.cmd
	d.mu.Unlock()
	// A process that has ended needs no signal.
	_ = cmd.Process.Signal(s)
}

// peakMemory returns the greatest resident memory of the process in bytes.
func (d *daemon) peakMemory(t *testing.T) int64 {
	t.Helper()
	d.mu.Lock()
	pid := d.cmd.Process.Pid
	d.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Error(err)
		return 0
	}
	for line := range strings.Lines(string(data)) {
		var kb int64
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kb); n == 1 {
			return kb << 10
		}
	}
	t.Errorf("%s: no peak memory", d.name)
	return 0
}

// wait waits for the end of the process that runs now.
func (d *daemon) wait() {
	d.mu.Lock()
	cmd := d.cmd
	d.mu.Unlock()
	_ = cmd.Wait()
}

// disturb notes a time in which the daemon does not keep time bounds. The
// returned function ends it.
func (d *daemon) disturb(planned bool) func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := len(d.disturbed)
	d.disturbed = append(d.disturbed, disturbance{begin: time.Now(), planned: planned})
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.disturbed[i].end = time.Now()
	}
}

// calm reports whether nothing disturbed the daemon from contact before begin
// until end; planned stops count if withPlanned is set.
func (d *daemon) calm(begin, end time.Time, withPlanned bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return calm(d.disturbed, begin, end, withPlanned)
}

func calm(list []disturbance, begin, end time.Time, withPlanned bool) bool {
	for _, x := range list {
		if x.planned && !withPlanned {
			continue
		}
		over := !x.end.IsZero() && x.end.Add(contact).Before(begin)
		if !over && x.begin.Before(end) {
			return false
		}
	}
	return true
}

// storeCalm reports whether the store kept time bounds.
func (s *site) storeCalm(begin, end time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return calm(s.storeOut, begin, end, true)
}

func freeAddresses(t *testing.T, ip string, n int) []string {
	t.Helper()
	list, err := child.FreeAddressesOf(ip, n)
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// keepLogs keeps the daemons' logs of a failed seed.
func (s *site) keepLogs(t *testing.T, seed uint64) {
	t.Helper()
	dir := filepath.Join(os.TempDir(), fmt.Sprintf("soak-seed-%d", seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Error(err)
		return
	}
	for _, d := range s.daemons {
		data, err := os.ReadFile(d.log.Name())
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, d.name+".log"), data, 0o600)
		}
		if err != nil {
			t.Error(err)
		}
	}
	t.Logf("logs are in %s; again: go test ./test/soak -run Soak -seed %d -seeds 1", dir, seed)
}
