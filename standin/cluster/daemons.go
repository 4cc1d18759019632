package cluster

import (
	"context"
	"fmt"
	"io"

	"github.com/pistachiousher/pistachiousher/pkg/daemon"
	"github.com/pistachiousher/pistachiousher/pkg/settings"
	"github.com/pistachiousher/pistachiousher/standin/platform"
)

// States of a VM in the platform's list.
const (
	vmLive    = "live"
	vmLeaving = "leaving"
)

// daemonProcess is one run of a daemon.
type daemonProcess struct {
	daemon    Daemon
	addresses daemon.Addresses
	cancel    context.CancelFunc
	abort     context.CancelFunc
	done      chan struct{}
	err       error // valid once done is closed
	stopped   bool  // stopping or stopped on request; guarded by Cluster.mu
}

// stop requests a graceful shutdown and waits for it.
func (p *daemonProcess) stop() error {
	p.cancel()
	<-p.done
	return p.err
}

// kill ends the daemon without a graceful shutdown.
func (p *daemonProcess) kill() {
	p.abort()
	<-p.done
}

// AddDaemon starts another daemon, adds its VM to the platform's VM list, and
// returns its index.
func (c *Cluster) AddDaemon(ctx context.Context, d Daemon) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, err := c.run(ctx, d)
	if err != nil {
		return 0, err
	}
	c.daemons = append(c.daemons, p)
	c.setVMList()
	return len(c.daemons) - 1, nil
}

// StopDaemon stops a daemon gracefully, waits until it has ended, and removes its
// VM from the platform's VM list.
func (c *Cluster) StopDaemon(i int) error {
	c.mu.Lock()
	p := c.daemons[i]
	p.stopped = true
	c.mu.Unlock()
	err := p.stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setVMList()
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrDaemon, p.daemon.VM, err)
	}
	return nil
}

// KillDaemon ends a daemon without a graceful shutdown, as when its VM fails.
// Its VM stays in the platform's VM list.
func (c *Cluster) KillDaemon(i int) {
	c.mu.Lock()
	p := c.daemons[i]
	p.stopped = true
	c.mu.Unlock()
	p.kill()
}

// LeaveVM marks the daemon's VM as leaving in the platform's VM list. The daemon
// then shuts down gracefully on its own.
func (c *Cluster) LeaveVM(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.daemons[i].stopped = true
	c.setVMList()
}

// StartDaemon starts a stopped daemon again, with new addresses.
func (c *Cluster) StartDaemon(ctx context.Context, i int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.daemons[i].done:
	default:
		return fmt.Errorf("%w: %s is running", ErrDaemon, c.daemons[i].daemon.VM)
	}
	p, err := c.run(ctx, c.daemons[i].daemon)
	if err != nil {
		return err
	}
	c.daemons[i] = p
	c.setVMList()
	return nil
}

// CallerAddress returns the address at which daemon i serves callers.
func (c *Cluster) CallerAddress(i int) string { return c.addresses(i).Caller }

// AdminAddress returns the admin address of daemon i.
func (c *Cluster) AdminAddress(i int) string { return c.addresses(i).Admin }

func (c *Cluster) addresses(i int) daemon.Addresses {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.daemons[i].addresses
}

// CallerAddresses returns the addresses at which the daemons that were not stopped
// serve callers.
func (c *Cluster) CallerAddresses() []string {
	return c.runningAddresses(func(a daemon.Addresses) string { return a.Caller })
}

// AdminAddresses returns the admin addresses of the daemons that were not
// stopped.
func (c *Cluster) AdminAddresses() []string {
	return c.runningAddresses(func(a daemon.Addresses) string { return a.Admin })
}

func (c *Cluster) runningAddresses(pick func(daemon.Addresses) string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for _, p := range c.daemons {
		if !p.stopped {
			list = append(list, pick(p.addresses))
		}
	}
	return list
}

// run starts a daemon and waits until it listens. The caller holds mu.
func (c *Cluster) run(ctx context.Context, d Daemon) (*daemonProcess, error) {
	if d.Region == "" {
		d.Region = DefaultRegion
	}
	options, openFiles, err := daemon.FromSettings(c.settings(d))
	if err != nil {
		openFiles.Close()
		return nil, fmt.Errorf("cluster: %w", err)
	}
	listening := make(chan daemon.Addresses, 1)
	options.LogOutput = c.log
	options.Listening = func(a daemon.Addresses) { listening <- a }
	runCtx, cancel := context.WithCancel(context.Background())
	abortCtx, abort := context.WithCancel(context.Background())
	options.Abort = abortCtx.Done()
	p := &daemonProcess{daemon: d, cancel: cancel, abort: abort, done: make(chan struct{})}
	go p.run(runCtx, options, openFiles)
	select {
	case p.addresses = <-listening:
		return p, nil
	case <-p.done:
		return nil, fmt.Errorf("%w: %s: %w", ErrDaemon, d.VM, p.err)
	case <-ctx.Done():
		abort()
		return nil, fmt.Errorf("cluster: start of %s: %w", d.VM, ctx.Err())
	}
}

func (p *daemonProcess) run(ctx context.Context, o daemon.Options, files io.Closer) {
	defer close(p.done)
	defer p.cancel()
	defer p.abort()
	p.err = daemon.Run(ctx, o)
	if err := files.Close(); p.err == nil {
		p.err = err
	}
}

func (c *Cluster) settings(d Daemon) *settings.Settings {
	return &settings.Settings{
		VM:            d.VM,
		Region:        d.Region,
		FailureDomain: d.FailureDomain,
		Listen:        settings.Listen{Caller: loopback, Peer: loopback, Admin: loopback},
		Platform:      settings.Platform{Addresses: []string{c.platformAddress}, CallsPerSecond: c.options.CallsPerSecond},
		Operators:     settings.Operators{Keys: c.keys.public, Quorum: len(c.keys.public)},
		Log:           settings.Log{Level: c.options.LogLevel},
		Trace:         settings.Trace{File: d.Trace},
	}
}

// setVMList sets the platform's VM list. VMs whose daemons were stopped are listed
// as leaving until the daemon has ended. The caller holds mu.
func (c *Cluster) setVMList() {
	var vms []platform.VM
	for _, p := range c.daemons {
		vm := platform.VM{Name: string(p.daemon.VM), State: vmLive}
		if p.stopped {
			vm.State = vmLeaving
		}
		if p.stopped && p.hasEnded() {
			continue
		}
		vms = append(vms, vm)
	}
	c.platform.SetVMs(vms, 0)
}

func (p *daemonProcess) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}
