// Package site runs a small deployment for the trials of the review: the daemon's
// program as separate processes on loopback, and stand-ins of the store, leafs and
// clients that do what the users' pages say.
package site

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// ErrSetup means that a trial could not run.
var ErrSetup = errors.New("site: the trial could not run")

// Bounds of the deployment, as the users' page states them.
const (
	DrainBound    = 3 * time.Second
	EvacuateBound = 5 * time.Second
	ContactTime   = 4 * time.Second
)

const (
	host   = "parish.example"
	region = "slavonija"
	// program is what deploy/system.toml starts.
	program = "target/pistachiousher-edge"
)

// Zones are the zones of the deployment with their numbers of daemons.
var Zones = []string{"osijek-a", "osijek-b", "vukovar"}

// zoneOf has the zone of each daemon.
var zoneOf = []string{"osijek-a", "osijek-a", "osijek-a", "osijek-b", "osijek-b", "osijek-b", "vukovar", "vukovar"}

// Site is a running deployment.
type Site struct {
	Record  *Record
	Store   *Store
	Daemons []*Daemon

	dir    string
	ports  [5]int
	cancel context.CancelFunc
	ctx    context.Context
}

// Daemon is one daemon, on an address of its own.
type Daemon struct {
	Name, Zone, IP string
	// StartedAt is when its process was started last, TurnedAwayUntil when the store
	// served it again.
	StartedAt, TurnedAwayUntil time.Time

	site      *Site
	store     *http.Server
	storeAddr string
	cmd       *exec.Cmd
	done      chan struct{}
	log       *os.File
}

// New prepares a deployment.
func New(r *Record, seed uint64) (*Site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSetup, err)
	}
	s := &Site{Record: r, Store: NewStore(r, seed), dir: dir}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if err := s.choosePorts(); err != nil {
		return nil, err
	}
	return s, nil
}

// choosePorts finds ports that are free on the addresses of all daemons.
func (s *Site) choosePorts() error {
	for base := 17000 + os.Getpid()%10000; base < 30000; base += 10 {
		if portsFree(base) {
			for i := range s.ports {
				s.ports[i] = base + i
			}
			return nil
		}
	}
	return fmt.Errorf("%w: no free ports", ErrSetup)
}

func portsFree(base int) bool {
	for i := range zoneOf {
		for port := base; port < base+5; port++ {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", daemonIP(i), port))
			if err != nil {
				return false
			}
			ln.Close()
		}
	}
	return true
}

func daemonIP(i int) string { return fmt.Sprintf("127.0.1.%d", i+1) }

func (s *Site) fail(err error) {
	s.Record.Printf("cannot run: %v", err)
	s.Close()
	os.Exit(2)
}

// StartDaemons starts all daemons and waits until they are ready.
func (s *Site) StartDaemons() error {
	for i, zone := range zoneOf {
		d := &Daemon{Name: fmt.Sprintf("edge-%s-%d", zone, i+1), Zone: zone, IP: daemonIP(i), site: s}
		s.Daemons = append(s.Daemons, d)
		if err := d.openStore(); err != nil {
			return err
		}
		if err := d.Start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, d := range s.Daemons {
		for !d.Ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s is not ready", ErrSetup, d.Name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	s.Record.Printf("all %d daemons are ready", len(s.Daemons))
	return nil
}

func (s *Site) address(ip string, n int) string { return fmt.Sprintf("%s:%d", ip, s.ports[n]) }

// openStore opens the address at which the daemon reaches the store.
func (d *Daemon) openStore() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("%w: %w", ErrSetup, err)
	}
	d.storeAddr, d.store = ln.Addr().String(), &http.Server{Handler: d.site.Store.HandlerFor(d.Name)}
	go func() { _ = d.store.Serve(ln) }()
	return nil
}

// settings fills in deploy/settings.yaml.
func (s *Site) settings(d *Daemon) (string, error) {
	template, err := os.ReadFile("deploy/settings.yaml")
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrSetup, err)
	}
	text := string(template)
	from := strings.Index(text, "{{#zones}}")
	to := strings.Index(text, "{{/zones}}") + len("{{/zones}}")
	var zones strings.Builder
	for i, z := range Zones {
		if i > 0 {
			zones.WriteString("\n")
		}
		fmt.Fprintf(&zones, "  - {failure_domain: %s, region: %s}", z, region)
	}
	text = text[:from] + zones.String() + text[to:]
	// Of the seeds a daemon uses the hosts only.
	seeds := fmt.Sprintf("[%q, %q, %q]", s.address(daemonIP(0), 4), s.address(daemonIP(3), 4), s.address(daemonIP(6), 4))
	for name, value := range map[string]string{
		"node": d.Name, "zone": d.Zone, "ip": d.IP, "listen.front": s.address(d.IP, 0), "listen.ready": s.address(d.IP, 1),
		"listen.directory": s.address(d.IP, 2), "internalPorts.0": fmt.Sprint(s.ports[3]), "seeds|json": seeds,
		"platform.address": d.storeAddr, "limits.cpuShare": "0.4", "limits.cores": "1", "limits.memoryMb": "284", "limits.maxFds": "4100",
		"bounds.retryBudgetRatio": "0.2", "bounds.budgetSlack": "56", "bounds.graceS": "6", "bounds.contactMs": "4000",
	} {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("%w: unknown placeholder in deploy/settings.yaml", ErrSetup)
	}
	// The template has a fixed port for metrics; trials use free ports.
	return strings.Replace(text, ":9464", fmt.Sprintf(":%d", s.ports[4]), 1), nil
}

// Start starts the daemon's process.
func (d *Daemon) Start() error {
	text, err := d.site.settings(d)
	if err != nil {
		return err
	}
	path := filepath.Join(d.site.dir, d.Name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return fmt.Errorf("%w: %w", ErrSetup, err)
	}
	if d.log == nil {
		if d.log, err = os.Create(filepath.Join(d.site.dir, d.Name+".log")); err != nil {
			return fmt.Errorf("%w: %w", ErrSetup, err)
		}
	}
	d.cmd = exec.Command(program)
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.site.dir, "LANG=C", "PISTACHIOUSHER_SETTINGS=" + path}
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return fmt.Errorf("%w: %w", ErrSetup, err)
	}
	d.StartedAt, d.done = time.Now(), make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(d.cmd, d.done)
	return nil
}

// Kill ends the daemon's process with SIGKILL.
func (d *Daemon) Kill() { d.Signal(syscall.SIGKILL); <-d.done }

// Signal sends a signal to the daemon's process.
func (d *Daemon) Signal(sig syscall.Signal) { _ = d.cmd.Process.Signal(sig) }

// Ready asks the daemon whether it is ready.
func (d *Daemon) Ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + d.site.address(d.IP, 1) + "/api/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Log returns what the daemon has written.
func (d *Daemon) Log() []byte {
	data, _ := os.ReadFile(d.log.Name())
	return data
}

// InTouch reports whether the daemon was in touch at a time, for all that a trial does
// to daemons.
func (d *Daemon) InTouch(at time.Time) bool {
	return at.Sub(d.StartedAt) >= ContactTime && at.Sub(d.TurnedAwayUntil) >= ContactTime
}

// Daemon returns the daemon with a name.
func (s *Site) Daemon(name string) *Daemon {
	for _, d := range s.Daemons {
		if d.Name == name {
			return d
		}
	}
	return nil
}

// Close ends all processes and removes the files of the deployment.
func (s *Site) Close() {
	s.cancel()
	for _, d := range s.Daemons {
		if d.cmd != nil && d.cmd.Process != nil {
			d.Kill()
		}
		d.store.Close()
		if bytes.Contains(d.Log(), []byte("panic")) {
			s.Record.Printf("the log of %s mentions a panic", d.Name)
		}
	}
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		_ = os.CopyFS(dir, os.DirFS(s.dir))
	}
	os.RemoveAll(s.dir)
}
