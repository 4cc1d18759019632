package load

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
	"time"

	"github.com/goccy/go-yaml"

	"github.com/pistachiousher/pistachiousher/pkg/bundle"
	"github.com/pistachiousher/pistachiousher/pkg/operator"
	"github.com/pistachiousher/pistachiousher/standin/backend"
	"github.com/pistachiousher/pistachiousher/standin/child"
)

const (
	// readyTimeout bounds the start of a tier.
	readyTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	// signer signs the bundle alone; the quorum is one.
	signer = "ana"
)

// tier is a running query tier: a platform, backend servers and daemons, each
// kind in processes of its own.
type tier struct {
	setup    *Setup
	bin, dir string
	log      *os.File
	platform string
	// backends are the servers' addresses by name, callers and admins those of
	// the daemons.
	backends map[string]string
	callers  []string
	admins   []string
	public   ed25519.PublicKey
	private  ed25519.PrivateKey
	daemons  []*child.Process
	others   []*child.Process
}

// startBackends starts the platform and the backend servers.
func startBackends(s *Setup, bin, dir string, seed uint64) (*tier, error) {
	log, err := os.Create(filepath.Join(dir, "processes.log"))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", child.ErrProcess, err)
	}
	t := &tier{setup: s, bin: bin, dir: dir, log: log, backends: make(map[string]string)}
	if err := t.startStandins(seed); err != nil {
		t.stop()
		return nil, err
	}
	return t, nil
}

func (t *tier) startStandins(seed uint64) error {
	program := filepath.Join(t.bin, "standin")
	p, addresses, err := child.Start(t.log, 1, program, "platform", "-listen", child.Loopback)
	if err != nil {
		return err
	}
	t.others = append(t.others, p)
	t.platform = addresses[0]
	configs := t.setup.backends(seed)
	raw, err := yaml.Marshal(map[string][]backend.Config{"backends": configs})
	if err != nil {
		return fmt.Errorf("%w: %w", child.ErrProcess, err)
	}
	file := filepath.Join(t.dir, "backends.yaml")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return fmt.Errorf("%w: %w", child.ErrProcess, err)
	}
	p, addresses, err = child.Start(t.log, len(configs), program, "backend", "-config", file)
	if err != nil {
		return err
	}
	t.others = append(t.others, p)
	for i, c := range configs {
		t.backends[c.Name] = addresses[i]
	}
	return nil
}

// startDaemons activates the variant's bundle, starts the daemons and waits
// until they serve.
func (t *tier) startDaemons(ctx context.Context, v Variant) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := t.activate(ctx, t.setup.bundle(v, t.backends)); err != nil {
		return err
	}
	if err := t.listVMs(ctx); err != nil {
		return err
	}
	for i := range daemons {
		if err := t.startDaemon(i); err != nil {
			return err
		}
	}
	return t.waitReady(ctx)
}

func (t *tier) activate(ctx context.Context, raw []byte) error {
	var err error
	if t.public, t.private, err = ed25519.GenerateKey(nil); err != nil {
		return fmt.Errorf("load: operator key: %w", err)
	}
	e, err := bundle.NewEnvelope("bundle", raw)
	if err != nil {
		return fmt.Errorf("load: bundle: %w", err)
	}
	client := operator.NewClient([]string{t.platform})
	if _, err := client.Propose(ctx, e); err != nil {
		return fmt.Errorf("load: propose: %w", err)
	}
	if _, err := client.Sign(ctx, 1, e.Digest, signer, t.private); err != nil {
		return fmt.Errorf("load: sign: %w", err)
	}
	r := operator.RollOut{Version: 1, Keys: map[string]ed25519.PublicKey{signer: t.public}, Quorum: 1}
	if _, err := client.RollOut(ctx, r); err != nil {
		return fmt.Errorf("load: roll out: %w", err)
	}
	return nil
}

// listVMs shows the daemons' VMs in the platform's list.
func (t *tier) listVMs(ctx context.Context) error {
	type vm struct {
		Name  string `json:"name"`
		State string `json:"state"`
	}
	var body struct {
		VMs []vm `json:"vms"`
	}
	for i := range daemons {
		body.VMs = append(body.VMs, vm{vmName(i), "live"})
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("load: VM list: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.platform+"/v1/control/vms", bytes.NewReader(raw))
	if err != nil {
		return fmt.Errorf("load: VM list: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("load: VM list: %w", err)
	}
	return resp.Body.Close()
}

func vmName(i int) string { return fmt.Sprintf("entry-%d", i+1) }

func (t *tier) startDaemon(i int) error {
	listen, err := child.FreeAddresses(3)
	if err != nil {
		return err
	}
	settings := fmt.Sprintf(`vm: %s
region: region-1
failure_domain: %s
listen: {caller: %q, peer: %q, admin: %q}
platform: {address: %q, calls_per_second: 20}
operators: {quorum: 1, keys: [{name: %s, public_key: %q}]}
log: {level: info, file: %q}
`, vmName(i), t.setup.Domains[i%len(t.setup.Domains)], listen[0], listen[1], listen[2], t.platform,
		signer, base64.StdEncoding.EncodeToString(t.public), filepath.Join(t.dir, vmName(i)+".log"))
	file := filepath.Join(t.dir, vmName(i)+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return fmt.Errorf("%w: %w", child.ErrProcess, err)
	}
	p, _, err := child.Start(t.log, 0, filepath.Join(t.bin, "pistachiousherd"), "-settings", file)
	if err != nil {
		return err
	}
	t.daemons = append(t.daemons, p)
	t.callers = append(t.callers, listen[0])
	t.admins = append(t.admins, listen[2])
	return nil
}

// waitReady waits until every daemon serves and every server has an owner.
func (t *tier) waitReady(ctx context.Context) error {
	for {
		err := t.checkReady(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("%w: not ready: %w", child.ErrProcess, err)
		}
	}
}

func (t *tier) checkReady(ctx context.Context) error {
	owned := 0
	for _, address := range t.admins {
		var s struct {
			Serving      bool `json:"serving"`
			OwnedServers int  `json:"owned_servers"`
		}
		if err := getJSON(ctx, "http://"+address+"/statusz", &s); err != nil {
			return err
		}
		if !s.Serving {
			return fmt.Errorf("%s does not serve", address)
		}
		owned += s.OwnedServers
	}
	if owned != len(t.backends) {
		return fmt.Errorf("%d of %d backend servers have an owner", owned, len(t.backends))
	}
	return nil
}

// counts adds up what the backend servers counted.
func (t *tier) counts(ctx context.Context) (backend.Counts, error) {
	var sum backend.Counts
	for _, address := range t.backends {
		var c backend.Counts
		if err := getJSON(ctx, "http://"+address+"/v1/control/counts", &c); err != nil {
			return sum, err
		}
		sum.Requests += c.Requests
		sum.Ran += c.Ran
		sum.Violations += c.Violations
		sum.Queued += c.Queued
		sum.FallOvers += c.FallOvers
		sum.Canceled += c.Canceled
		sum.Expired += c.Expired
		sum.ConnectionsRefused += c.ConnectionsRefused
		sum.MaxQueued = max(sum.MaxQueued, c.MaxQueued)
	}
	return sum, nil
}

func getJSON(ctx context.Context, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(v); err != nil {
		return fmt.Errorf("load: %s: %w", url, err)
	}
	return nil
}

// cpu returns the processor time that all daemons have used.
func (t *tier) cpu() (time.Duration, error) {
	var sum time.Duration
	for _, p := range t.daemons {
		d, err := p.CPU()
		if err != nil {
			return 0, err
		}
		sum += d
	}
	return sum, nil
}

// stop ends all processes. The daemons are killed, since a graceful shutdown
// takes seconds and nothing is measured any more.
func (t *tier) stop() {
	for _, p := range t.daemons {
		p.Kill()
	}
	for _, p := range t.others {
		p.Stop()
	}
	t.log.Close()
}
