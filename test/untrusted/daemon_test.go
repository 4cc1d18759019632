// Package untrusted runs an edge daemon as a process with little memory against clients
// that send what no ordinary client sends, and checks that it stays within its memory.
//
// The tests measure the memory of a process, so they run one at a time and, in CI, apart
// from the tests of other packages.
package untrusted

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/platform/standin"
	"github.com/pistachiousher/pistachiousher/standin/child"
)

const (
	host = "parish.example"
	// memoryMB is the memory of the daemon under test. All bounds are this figure.
	memoryMB = 64
	// descriptors is the limit of open files in the settings of the daemon.
	descriptors = 4100
	// maxHeaderBytes and maxBodyBytes are the limits of the configuration.
	maxHeaderBytes = 16_384
	maxBodyBytes   = 262_144
	// work is how long the slow leafs hold a request: the time for which the heads of a
	// crowd are held.
	work = 3 * time.Second
	// shards is the number of shards of a query over all of them.
	shards = 24
	// sampleInterval is the interval at which the kernel's buffers are read.
	sampleInterval = 20 * time.Millisecond
	// settleTime bounds the wait for a state after a crowd has left. Nothing is said
	// about how fast that is.
	settleTime = 45 * time.Second
)

// program is the daemon.
var program string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	if testing.Short() {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "untrusted")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if program, err = child.BuildEdge(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// daemon is a daemon process, with a store and leafs in the test process.
type daemon struct {
	t                              *testing.T
	cmd                            *exec.Cmd
	ended                          chan struct{}
	caller, ready, directory, view string
	admin                          string
	store                          *standin.Store
	log                            string
	client                         *http.Client
}

// startDaemon starts a daemon with routes to a leaf that answers at once (/fast/), to a
// slow leaf with two slots (/slow/), to slow leafs of many shards (/all/) and to a leaf
// with a large answer (/large/).
func startDaemon(t *testing.T) *daemon {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	store := standin.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	config := &gateway.Config{Version: 1, Services: map[string]gateway.ServiceConfig{}, Limits: gateway.Limits{
		MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: maxBodyBytes, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
	}}
	leaf := func(service string, b standin.Behavior) {
		l := standin.StartLeaf("i-"+service, b)
		t.Cleanup(l.Close)
		store.PutServer(gateway.Server{ID: l.ID, Service: service, Address: l.Address(), FailureDomain: "a", Slots: 2})
		config.Services[service] = gateway.ServiceConfig{MaxConnections: 30}
	}
	route := func(name, service string) *gateway.Route {
		r := &gateway.Route{
			Name: name, Host: host, PathPrefix: "/" + name + "/", Idempotent: true, Timeout: work,
			LatencyTarget: work, Priority: 1, MaxAttempts: 1, Targets: []gateway.Target{{Service: service, Weight: 1}},
		}
		config.Routes = append(config.Routes, r)
		return r
	}
	leaf("fast", standin.Behavior{Body: []byte("body")})
	leaf("slow", standin.Behavior{Body: []byte("body"), Work: work})
	leaf("large", standin.Behavior{Body: make([]byte, 1<<20)})
	route("fast", "fast")
	route("slow", "slow")
	route("large", "large")
	all := route("all", "")
	all.Targets, all.TopK, all.MinShardRatio = nil, 3, 0.5
	for i := range shards {
		name := fmt.Sprintf("s%d", i)
		leaf(name, standin.Behavior{Body: fmt.Appendf(nil, "%-16s", name), Work: work})
		all.Shards = append(all.Shards, name)
	}
	store.PutConfig(config)
	d := &daemon{t: t, store: store, ended: make(chan struct{}), log: filepath.Join(t.TempDir(), "log"), client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	d.start(server.Listener.Addr().String())
	d.eventually("ready", func() bool { return standin.Ready(d.client, d.ready) && d.served() })
	return d
}

func (d *daemon) start(store string) {
	ip := child.OwnIP(7)
	free, err := child.FreeAddressesOf(ip, 5)
	if err != nil {
		d.t.Fatal(err)
	}
	d.caller, d.ready, d.directory, d.admin, d.view = free[0], free[1], free[2], free[3], free[4]
	text := fmt.Sprintf("vm: edge-0\nfailure_domain: a\nregions: [{failure_domain: a, region: north}]\nlisten: {caller: %q, ready: %q, directory: %q, admin: %q}\npeer_port: %d\nseeds: [\"%s:1\"]\nstore: %q\nmemory_mb: %d\ndescriptors: %d\nstop: 2s\n",
		d.caller, d.ready, d.directory, d.admin, netip.MustParseAddrPort(d.view).Port(), ip, store, memoryMB, descriptors)
	settings := filepath.Join(d.t.TempDir(), "settings.yaml")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	log, err := os.Create(d.log)
	if err != nil {
		d.t.Fatal(err)
	}
	d.cmd = exec.Command(program, "-settings", settings)
	d.cmd.Stdout, d.cmd.Stderr = log, log
	if err := d.cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	go func() {
		_ = d.cmd.Wait()
		log.Close()
		close(d.ended)
	}()
	d.t.Cleanup(func() {
		_ = d.cmd.Process.Signal(syscall.SIGKILL)
		<-d.ended
	})
}

// served reports whether one ordinary request is answered.
func (d *daemon) served() bool {
	c := standin.Caller{Client: d.client, Host: host, Region: "north"}
	a := c.Ask(d.caller, standin.Request{Method: "GET", Path: "/fast/x", ID: "ordinary", Wait: 2 * time.Second})
	return a.Status == http.StatusOK && a.Body == "body"
}

// eventually waits for a condition, and fails the test if the process ends first.
func (d *daemon) eventually(description string, cond func() bool) {
	d.t.Helper()
	for end := time.Now().Add(settleTime); !cond(); time.Sleep(50 * time.Millisecond) {
		select {
		case <-d.ended:
			d.t.Fatalf("the process has ended while waiting for: %s", description)
		default:
		}
		if time.Now().After(end) {
			d.t.Fatalf("not seen: %s", description)
		}
	}
}

// residentPeak returns the largest resident memory of the process so far, in bytes.
func (d *daemon) residentPeak() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		d.t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		var kb int64
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kb); n == 1 {
			return kb << 10
		}
	}
	d.t.Fatal("no peak memory: the process has ended")
	return 0
}

// unreadBytes returns the bytes that the kernel holds for the daemon's sockets because
// they have not been read.
func (d *daemon) unreadBytes() int64 {
	ports := map[uint64]bool{}
	for _, a := range []string{d.caller, d.ready, d.directory, d.admin, d.view} {
		ports[uint64(netip.MustParseAddrPort(a).Port())] = true
	}
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		d.t.Error(err)
		return 0
	}
	defer f.Close()
	var sum int64
	for in := bufio.NewScanner(f); in.Scan(); {
		// sl local_address rem_address st tx_queue:rx_queue; those of listeners count
		// connections.
		fields := strings.Fields(in.Text())
		if len(fields) < 5 || fields[3] == "0A" {
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		_, queue, _ := strings.Cut(fields[4], ":")
		local, err1 := strconv.ParseUint(port, 16, 16)
		unread, err2 := strconv.ParseInt(queue, 16, 64)
		if err1 == nil && err2 == nil && ports[local] {
			sum += unread
		}
	}
	return sum
}

// descriptors returns the number of open files and sockets of the process.
func (d *daemon) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
	if err != nil {
		d.t.Fatal(err)
	}
	return len(entries)
}

// goroutines returns the number of goroutines of the process.
func (d *daemon) goroutines() int {
	resp, err := d.client.Get("http://" + d.admin + "/metrics")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(body)) {
		var n int
		if k, _ := fmt.Sscanf(line, "pistachiousher_edge_goroutines %d", &n); k == 1 {
			return n
		}
	}
	d.t.Fatal("no metric of goroutines")
	return 0
}
