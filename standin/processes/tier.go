// Package processes starts a query tier on loopback in which the platform
// stand-in, each backend stand-in and each daemon is a process of its own. It
// injects failures, sends load, and checks the outcome against the backend
// servers' own logs. Tests and measurements use it.
package processes

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/pistachiousher/pistachiousher/pkg/daemon"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/operator"
	"github.com/pistachiousher/pistachiousher/standin/backend"
	"github.com/pistachiousher/pistachiousher/standin/child"
	"github.com/pistachiousher/pistachiousher/standin/platform"
)

const (
	// Signer is the only operator; one signature is the quorum.
	Signer = "ana"
	// CallsPerSecond is each daemon's budget of platform calls, the default of
	// the settings.
	CallsPerSecond = 3

	readyTimeout = 15 * time.Second
	pollInterval = 50 * time.Millisecond
	// controlTimeout bounds a call to a stand-in or an admin address, whose
	// process may be suspended.
	controlTimeout = 2 * time.Second
)

// Options describe a Tier.
type Options struct {
	// Bin is the directory with the programs built by child.Build. Settings, logs
	// and traces are written to Dir.
	Bin, Dir string
	// Daemons is the number of daemons, spread over Domains.
	Daemons int
	// Trace makes each daemon record a trace in Dir.
	Trace bool
}

// Daemon is one entry VM. Its addresses and the name of its VM are kept when its
// process is restarted.
type Daemon struct {
	VM                  model.VM
	Domain              model.FailureDomain
	Caller, peer, Admin string
	process             *child.Process
	starts              int
}

// Tier is a running query tier. Its methods must be called from one goroutine.
type Tier struct {
	options         Options
	log             *os.File
	httpClient      *http.Client
	platformAddress string
	operator        *operator.Client
	publicKey       ed25519.PublicKey
	privateKey      ed25519.PrivateKey
	standins        []*child.Process
	servers         map[model.ServerName]*child.Process
	serverAddresses map[model.ServerName]string
	Daemons         []*Daemon
}

// Start starts a tier with bundle version 1 and waits until it is ready, as in
// WaitReady.
func Start(ctx context.Context, o Options) (*Tier, error) {
	log, err := os.Create(filepath.Join(o.Dir, "processes.log"))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", child.ErrProcess, err)
	}
	t := &Tier{
		options: o, log: log, httpClient: &http.Client{Timeout: controlTimeout},
		servers: make(map[model.ServerName]*child.Process), serverAddresses: make(map[model.ServerName]string),
	}
	if err := t.start(ctx); err != nil {
		t.Close()
		return nil, err
	}
	return t, nil
}

func (t *Tier) start(ctx context.Context) error {
	if err := t.startPlatform(); err != nil {
		return err
	}
	for _, s := range Servers() {
		if err := t.startServer(s); err != nil {
			return err
		}
	}
	if err := t.RollOut(ctx, Bundle{Version: 1}, 0); err != nil {
		return err
	}
	for range t.options.Daemons {
		if err := t.defineDaemon(); err != nil {
			return err
		}
	}
	if err := t.setVMList(ctx); err != nil {
		return err
	}
	for i := range t.Daemons {
		if err := t.StartDaemon(i); err != nil {
			return err
		}
	}
	return t.WaitReady(ctx)
}

func (t *Tier) startPlatform() error {
	var err error
	if t.publicKey, t.privateKey, err = ed25519.GenerateKey(nil); err != nil {
		return fmt.Errorf("%w: operator key: %w", child.ErrProcess, err)
	}
	p, addresses, err := child.Start(t.log, 1, t.programPath("standin"), "platform", "-listen", child.Loopback)
	if err != nil {
		return err
	}
	t.standins = append(t.standins, p)
	t.platformAddress = addresses[0]
	t.operator = operator.NewClient([]string{t.platformAddress})
	return nil
}

func (t *Tier) programPath(name string) string { return filepath.Join(t.options.Bin, name) }

func (t *Tier) startServer(s Server) error {
	raw, err := yaml.Marshal(map[string][]backend.Config{"backends": {s.backendConfig()}})
	if err != nil {
		return fmt.Errorf("%w: %w", child.ErrProcess, err)
	}
	file := filepath.Join(t.options.Dir, string(s.Name)+".yaml")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return fmt.Errorf("%w: %w", child.ErrProcess, err)
	}
	p, addresses, err := child.Start(t.log, 1, t.programPath("standin"), "backend", "-config", file)
	if err != nil {
		return err
	}
	t.standins = append(t.standins, p)
	t.servers[s.Name], t.serverAddresses[s.Name] = p, addresses[0]
	return nil
}

// defineDaemon appends a daemon with free addresses, without starting it.
func (t *Tier) defineDaemon() error {
	listen, err := child.FreeAddresses(3)
	if err != nil {
		return err
	}
	n := len(t.Daemons)
	t.Daemons = append(t.Daemons, &Daemon{
		VM:     model.VM(fmt.Sprintf("entry-%d", n+1)),
		Domain: Domains[n%len(Domains)],
		Caller: listen[0], peer: listen[1], Admin: listen[2],
	})
	return nil
}

// StartDaemon starts the process of daemon i, which must not be running.
func (t *Tier) StartDaemon(i int) error {
	d := t.Daemons[i]
	d.starts++
	file := filepath.Join(t.options.Dir, string(d.VM)+".yaml")
	if err := os.WriteFile(file, []byte(t.settingsYAML(d)), 0o600); err != nil {
		return fmt.Errorf("%w: %w", child.ErrProcess, err)
	}
	var err error
	d.process, _, err = child.Start(t.log, 0, t.programPath("pistachiousherd"), "-settings", file)
	return err
}

func (t *Tier) settingsYAML(d *Daemon) string {
	trace := ""
	if t.options.Trace {
		trace = t.TraceFile(d)
	}
	var seeds []string
	for _, other := range t.Daemons {
		if other != d {
			seeds = append(seeds, fmt.Sprintf("%q", other.peer))
		}
	}
	return fmt.Sprintf(`vm: %s
region: region-1
failure_domain: %s
listen: {caller: %q, peer: %q, admin: %q}
platform: {address: %q, calls_per_second: %d}
seeds: [%s]
operators: {quorum: 1, keys: [{name: %s, public_key: %q}]}
log: {level: info, file: %q}
trace: {file: %q}
`, d.VM, d.Domain, d.Caller, d.peer, d.Admin, t.platformAddress, CallsPerSecond, strings.Join(seeds, ", "),
		Signer, base64.StdEncoding.EncodeToString(t.publicKey),
		filepath.Join(t.options.Dir, fmt.Sprintf("%s.%d.log", d.VM, d.starts)), trace)
}

// TraceFile returns the path of the trace of the daemon's latest process.
func (t *Tier) TraceFile(d *Daemon) string {
	return filepath.Join(t.options.Dir, fmt.Sprintf("%s.%d.trace", d.VM, d.starts))
}

// KillDaemon kills the process of daemon i.
func (t *Tier) KillDaemon(i int) { t.Daemons[i].process.Kill() }

// StopDaemon shuts the process of daemon i down gracefully.
func (t *Tier) StopDaemon(i int) error { return t.Daemons[i].process.Stop() }

// PauseDaemon suspends the process of daemon i with SIGSTOP, until ResumeDaemon.
func (t *Tier) PauseDaemon(i int) { t.Daemons[i].process.Signal(syscall.SIGSTOP) }

// ResumeDaemon resumes a suspended daemon.
func (t *Tier) ResumeDaemon(i int) { t.Daemons[i].process.Signal(syscall.SIGCONT) }

// PauseServer suspends the process of a backend server with SIGSTOP, until
// ResumeServer.
func (t *Tier) PauseServer(name model.ServerName) { t.servers[name].Signal(syscall.SIGSTOP) }

// ResumeServer resumes a suspended backend server.
func (t *Tier) ResumeServer(name model.ServerName) { t.servers[name].Signal(syscall.SIGCONT) }

// Callers returns the addresses at which all daemons serve callers.
func (t *Tier) Callers() []string {
	var list []string
	for _, d := range t.Daemons {
		list = append(list, d.Caller)
	}
	return list
}

// Status fetches the status of daemon i from its admin address.
func (t *Tier) Status(ctx context.Context, i int) (daemon.Status, error) {
	var s daemon.Status
	err := t.getJSON(ctx, t.Daemons[i].Admin, "/statusz", &s)
	return s, err
}

// WaitReady waits until every daemon serves and every server has an owner.
func (t *Tier) WaitReady(ctx context.Context) error {
	return poll(ctx, readyTimeout, func() error {
		owned := 0
		for i, d := range t.Daemons {
			s, err := t.Status(ctx, i)
			if err != nil {
				return err
			}
			if !s.Serving {
				return fmt.Errorf("%s is not serving: %s", d.VM, s.Reason)
			}
			owned += s.OwnedServers
		}
		if owned != len(t.servers) {
			return fmt.Errorf("%d of %d backend servers have an owner", owned, len(t.servers))
		}
		return nil
	})
}

// WaitOwner waits until daemon i owns at least one backend server.
func (t *Tier) WaitOwner(ctx context.Context, i int, limit time.Duration) error {
	return poll(ctx, limit, func() error {
		s, err := t.Status(ctx, i)
		if err == nil && s.OwnedServers == 0 {
			err = fmt.Errorf("%s owns no backend server", t.Daemons[i].VM)
		}
		return err
	})
}

// poll calls f until it succeeds, and returns its last error after limit.
func poll(ctx context.Context, limit time.Duration, f func() error) error {
	for end := time.Now().Add(limit); ; {
		err := f()
		if err == nil {
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("%w: condition not met within %v: %w", child.ErrProcess, limit, err)
		}
		time.Sleep(pollInterval)
	}
}

// setVMList sets the platform's VM list to the daemons' VMs, all of them live.
func (t *Tier) setVMList(ctx context.Context) error {
	var vms []platform.VM
	for _, d := range t.Daemons {
		vms = append(vms, platform.VM{Name: string(d.VM), State: "live"})
	}
	return t.postControl(ctx, t.platformAddress, "vms", map[string]any{"vms": vms}, nil)
}

// Outage starts or ends an outage of the platform.
func (t *Tier) Outage(ctx context.Context, on bool) error {
	return t.postControl(ctx, t.platformAddress, "outage", map[string]any{"on": on}, nil)
}

// SlowPlatform delays every call to the platform.
func (t *Tier) SlowPlatform(ctx context.Context, delay time.Duration) error {
	return t.postControl(ctx, t.platformAddress, "delay", map[string]any{"ms": delay.Milliseconds()}, nil)
}

// ResetPlatformCounts sets the platform's counts of calls to zero.
func (t *Tier) ResetPlatformCounts(ctx context.Context) error {
	return t.postControl(ctx, t.platformAddress, "reset_counts", map[string]any{}, nil)
}

// PlatformCounts returns the platform's counts of calls.
func (t *Tier) PlatformCounts(ctx context.Context) (platform.Counts, error) {
	var c platform.Counts
	err := t.getJSON(ctx, t.platformAddress, "/v1/control/counts", &c)
	return c, err
}

// TurnCold makes the caches of a backend server cold, as after a restart.
func (t *Tier) TurnCold(ctx context.Context, name model.ServerName) error {
	return t.postControl(ctx, t.serverAddresses[name], "cold", map[string]any{}, nil)
}

func (t *Tier) postControl(ctx context.Context, address, name string, body map[string]any, v any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("%w: %w", child.ErrProcess, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/control/"+name, bytes.NewReader(raw))
	if err != nil {
		return fmt.Errorf("%w: %w", child.ErrProcess, err)
	}
	return t.doRequest(req, v)
}

func (t *Tier) getJSON(ctx context.Context, address, path string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", child.ErrProcess, err)
	}
	return t.doRequest(req, v)
}

func (t *Tier) doRequest(req *http.Request, v any) error {
	resp, err := t.httpClient.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", child.ErrProcess, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %s: status %d", child.ErrProcess, req.URL, resp.StatusCode)
	}
	if v == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(v); err != nil {
		return fmt.Errorf("%w: %s: %w", child.ErrProcess, req.URL, err)
	}
	return nil
}

// Close kills all processes, including suspended ones.
func (t *Tier) Close() {
	for _, d := range t.Daemons {
		if d.process != nil {
			d.process.Kill()
		}
	}
	for _, p := range t.standins {
		p.Kill()
	}
	t.log.Close()
}
