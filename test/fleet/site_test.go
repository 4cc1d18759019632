// Package fleet runs fleets of edge daemons as processes and checks when they are ready and
// whom they name to callers.
package fleet

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/edged"
	"github.com/pistachiousher/pistachiousher/platform/standin"
	"github.com/pistachiousher/pistachiousher/standin/child"
)

// program is the daemon.
var program string

func TestMain(m *testing.M) {
	flag.Parse()
	if testing.Short() {
		os.Exit(m.Run())
	}
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if program, err = child.BuildEdge(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

const (
	host    = "parish.example"
	region  = "north"
	contact = 5 * time.Second
	stop    = 3 * time.Second
)

// domains are the failure domains of a site, all of one region.
var domains = []string{"a", "b", "c"}

// site is a store, leafs and daemon processes on loopback.
type site struct {
	t     *testing.T
	dir   string
	store *standin.Store
	gate  *gate
	// ports are those of all daemons: for callers, readiness, directory, admin and peers.
	ports   [5]int
	seeds   []string
	daemons []*daemon
	client  *http.Client
}

// daemon is a VM with its process.
type daemon struct {
	site         *site
	name, ip     string
	domain       string
	cores        float64
	settingsPath string
	// gate is the daemon's own way to the store; nil if it takes that of the site.
	gate *gate
	// output is what all processes of the daemon have written.
	output child.Output

	cmd    *exec.Cmd
	exited chan struct{}
}

// newSite returns a site with a store and a configuration, whose daemons are not started. The
// first two daemons of each domain are on large VMs.
func newSite(t *testing.T, size int) *site {
	t.Helper()
	if testing.Short() {
		t.Skip("runs processes")
	}
	s := &site{t: t, dir: t.TempDir(), store: standin.NewStore(), client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	s.gate = startGate(t, s.store)
	for i := range s.ports {
		s.ports[i] = freePort(t)
	}
	for i := range min(size, len(domains)) {
		s.seeds = append(s.seeds, fmt.Sprintf("%q", child.OwnIP(i+1)+":1"))
	}
	for i := range size {
		s.addDaemon(i)
	}
	for _, service := range []string{"one", "two"} {
		for _, domain := range domains {
			l := standin.StartLeaf("i-"+service+"-"+domain, standin.Behavior{Body: []byte("answer")})
			t.Cleanup(l.Close)
			s.store.PutServer(gateway.Server{ID: l.ID, Service: service, Address: l.Address(), FailureDomain: domain, Slots: 2})
		}
	}
	s.store.PutConfig(configuration(1))
	return s
}

// configuration returns a version with a route to a service that has leafs.
func configuration(version uint64) *gateway.Config {
	return &gateway.Config{
		Version: version, Services: map[string]gateway.ServiceConfig{"one": {MaxConnections: 500}},
		Limits: gateway.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Routes: []*gateway.Route{{
			Name: "r", Host: host, PathPrefix: "/one/", Idempotent: true, Timeout: 4 * time.Second, LatencyTarget: time.Second, Priority: 2, MaxAttempts: 2,
			Targets: []gateway.Target{{Service: "one", Weight: 1}},
		}},
	}
}

func (s *site) addDaemon(i int) {
	domain := domains[i%len(domains)]
	d := &daemon{site: s, name: fmt.Sprintf("edge-%s-%d", domain, i/len(domains)+1), ip: child.OwnIP(i + 1), domain: domain, cores: 0.192}
	if i < 2*len(domains) {
		d.cores = 0.8
	}
	d.settingsPath = filepath.Join(s.dir, d.name+".yaml")
	s.daemons = append(s.daemons, d)
	d.writeSettings("")
}

// writeSettings writes the settings of a daemon, with further lines.
func (d *daemon) writeSettings(further string) {
	s, gate := d.site, d.gate
	if gate == nil {
		gate = s.gate
	}
	text := fmt.Sprintf(`vm: %s
failure_domain: %s
regions: [{failure_domain: a, region: north}, {failure_domain: b, region: north}, {failure_domain: c, region: north}]
listen: {caller: %q, ready: %q, directory: %q, admin: %q}
peer_port: %d
seeds: [%s]
store: %q
processor: {share: %g, cores: 1}
retry: {ratio: 0.2, slack: 200, window: 10s}
stop: %v
contact_loss: %v
%s`, d.name, d.domain, d.address(0), d.address(1), d.address(2), d.address(3), s.ports[4], strings.Join(s.seeds, ", "), gate.address, d.cores, stop, contact, further)
	if err := os.WriteFile(d.settingsPath, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

func (d *daemon) address(port int) string { return fmt.Sprintf("%s:%d", d.ip, d.site.ports[port]) }

// start starts the process of a daemon, which is ended with the test.
func (d *daemon) start() { d.run(exec.Command(program, "-settings", d.settingsPath)) }

// run starts a process that is the daemon or becomes it.
func (d *daemon) run(cmd *exec.Cmd) {
	t := d.site.t
	t.Helper()
	if cmd.Stdout == nil {
		cmd.Stdout, cmd.Stderr = &d.output, &d.output
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan struct{})
	d.cmd, d.exited = cmd, exited
	go func() {
		// The state of the process tells how it ended.
		_ = cmd.Wait()
		close(exited)
	}()
	t.Cleanup(func() {
		// A process that has ended needs no signal.
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-exited
	})
}

// kill ends the process without notice.
func (d *daemon) kill() {
	_ = d.cmd.Process.Kill()
	<-d.exited
}

// hasExited reports whether the process has ended.
func (d *daemon) hasExited() bool {
	select {
	case <-d.exited:
		return true
	default:
		return false
	}
}

// isReady reports whether the daemon says that it takes requests.
func (d *daemon) isReady() bool { return standin.Ready(d.site.client, d.address(1)) }

// status returns the daemon's state as operators see it.
func (d *daemon) status() (edged.StatusReply, error) {
	var out edged.StatusReply
	resp, err := d.site.client.Get("http://" + d.address(3) + edged.StatusPath)
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	return out, json.NewDecoder(resp.Body).Decode(&out)
}

// startAll starts all daemons, a pause apart.
func (s *site) startAll(pause time.Duration) {
	s.t.Helper()
	for _, d := range s.daemons {
		d.start()
		time.Sleep(pause)
	}
}

// notReady returns the daemons that are not ready.
func (s *site) notReady() []*daemon {
	var mu sync.Mutex
	var out []*daemon
	var asked sync.WaitGroup
	for _, d := range s.daemons {
		asked.Go(func() {
			if !d.isReady() {
				mu.Lock()
				defer mu.Unlock()
				out = append(out, d)
			}
		})
	}
	asked.Wait()
	return out
}

// awaitReady waits until all daemons are ready and reports those that are not within a time.
// It returns how long that took.
func (s *site) awaitReady(within time.Duration) time.Duration {
	s.t.Helper()
	begin := time.Now()
	for {
		missing := s.notReady()
		switch {
		case len(missing) == 0:
			return time.Since(begin)
		case time.Since(begin) > within:
			for _, d := range missing[:min(2, len(missing))] {
				s.t.Logf("%s: ended %v, wrote:\n%s", d.name, d.hasExited(), lastLines(d.output.String()))
			}
			s.t.Fatalf("%d of %d daemons are not ready within %v", len(missing), len(s.daemons), within)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// lastLines returns the end of a log.
func lastLines(text string) string {
	const most = 3000
	return text[max(0, len(text)-most):]
}

// taken are the ports of all sites, which share the addresses of this process.
var taken sync.Map

// freePort returns a port that no other site has.
func freePort(t *testing.T) int {
	t.Helper()
	for {
		list, err := child.FreeAddressesOf(child.OwnIP(1), 1)
		if err != nil {
			t.Fatal(err)
		}
		port := int(netip.MustParseAddrPort(list[0]).Port())
		if _, ok := taken.LoadOrStore(port, true); !ok {
			return port
		}
	}
}
