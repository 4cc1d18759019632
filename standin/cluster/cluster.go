// Package cluster starts a whole query tier in one process on loopback: the
// platform stand-in, a backend stand-in for each backend server of a bundle,
// and daemons. Every listener gets a free port. Demos, benchmarks and tests use
// it. It can search its documents directly, so that answers can be checked
// independently of the daemons.
package cluster

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/pistachiousher/pistachiousher/pkg/bundle"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/operator"
	"github.com/pistachiousher/pistachiousher/standin/backend"
	"github.com/pistachiousher/pistachiousher/standin/platform"
)

const (
	// DefaultRegion is the region of the daemons.
	DefaultRegion = "region-1"
	// DefaultDocuments is the size of the generated corpus.
	DefaultDocuments = 2000
	// DefaultServiceTime is how long a backend server works on a request.
	DefaultServiceTime = 2 * time.Millisecond
	// DefaultCallsPerSecond is the budget of platform calls of a daemon.
	DefaultCallsPerSecond = 20
	// IndexVersion is the first index version of every shard.
	IndexVersion = 1
)

// Errors of a Cluster.
var (
	ErrOptions = errors.New("cluster: invalid options")
	// ErrNotServing means that the cluster was not ready in time.
	ErrNotServing = errors.New("cluster: not serving")
	// ErrDaemon means that a daemon failed or is not in the required state.
	ErrDaemon = errors.New("cluster: daemon failed")
)

// Daemon describes one daemon.
type Daemon struct {
	VM            model.VM
	FailureDomain model.FailureDomain
	// Region is DefaultRegion if empty.
	Region string
	// Trace is the path of the file to which the daemon records its events; empty
	// for none.
	Trace string
}

// Options describe a Cluster.
type Options struct {
	// Bundle is YAML. The addresses of its backend servers are replaced by those
	// of the stand-ins.
	Bundle  []byte
	Daemons []Daemon
	// Backend, if set, changes the configuration of a backend server before it
	// is created.
	Backend func(model.BackendServer, *backend.Config)
	// Documents is the number of generated documents, whose keys are spread evenly
	// over the range of eight hexadecimal digits; 0 is DefaultDocuments.
	Documents int
	// Corpus, if set, is used instead of generated documents.
	Corpus []backend.Document
	// Platform sets up the platform stand-in.
	Platform platform.Options
	// CallsPerSecond is each daemon's budget of platform calls; 0 is
	// DefaultCallsPerSecond.
	CallsPerSecond float64
	// LogOutput gets the log lines of all daemons; nil drops them.
	LogOutput io.Writer
	// LogLevel is the lowest level logged; the zero value is debug.
	LogLevel log.Level
}

func (o *Options) setDefaults() error {
	if len(o.Bundle) == 0 {
		return fmt.Errorf("%w: no bundle", ErrOptions)
	}
	for i, d := range o.Daemons {
		if d.VM == "" || d.FailureDomain == "" {
			return fmt.Errorf("%w: daemon %d has no VM or failure domain", ErrOptions, i)
		}
	}
	if o.Documents == 0 {
		o.Documents = DefaultDocuments
	}
	if o.CallsPerSecond == 0 {
		o.CallsPerSecond = DefaultCallsPerSecond
	}
	if o.LogOutput == nil {
		o.LogOutput = io.Discard
	}
	return nil
}

// Cluster is a running query tier. It is safe for concurrent use.
type Cluster struct {
	options         Options
	log             *lockedWriter
	docs            []backend.Document
	keys            operatorKeys
	platform        *platform.Server
	platformServer  *http.Server
	platformAddress string
	operator        *operator.Client

	mu       sync.Mutex
	backends map[model.ServerName]*backendServer
	daemons  []*daemonProcess
	bundle   *model.Bundle
}

// Start starts a cluster with the bundle rolled out. It does not wait until
// the daemons serve; see WaitServing. ctx bounds only Start itself.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	if err := o.setDefaults(); err != nil {
		return nil, err
	}
	keys, err := newOperatorKeys()
	if err != nil {
		return nil, err
	}
	c := &Cluster{
		options:  o,
		log:      &lockedWriter{w: o.LogOutput},
		docs:     o.Corpus,
		keys:     keys,
		platform: platform.New(o.Platform),
		backends: make(map[model.ServerName]*backendServer),
	}
	if c.docs == nil {
		c.docs = generateDocuments(o.Documents)
	}
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	if err := c.servePlatform(); err != nil {
		return err
	}
	if err := c.RollOut(ctx, c.options.Bundle); err != nil {
		return err
	}
	for _, d := range c.options.Daemons {
		if _, err := c.AddDaemon(ctx, d); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) servePlatform() error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return fmt.Errorf("cluster: platform: %w", err)
	}
	c.platformAddress = l.Addr().String()
	c.platformServer = &http.Server{Handler: c.platform.Handler()}
	go c.platformServer.Serve(l)
	c.operator = operator.NewClient([]string{c.platformAddress})
	return nil
}

// Close stops everything, the daemons without a graceful shutdown.
func (c *Cluster) Close() {
	c.mu.Lock()
	daemons := c.daemons
	c.mu.Unlock()
	var wg sync.WaitGroup
	for _, d := range daemons {
		wg.Go(d.kill)
	}
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.backends {
		b.Close()
	}
	if c.platformServer != nil {
		c.platformServer.Close()
	}
}

// Platform returns the platform stand-in.
func (c *Cluster) Platform() *platform.Server { return c.platform }

// PlatformAddress returns the address of the platform, ip:port.
func (c *Cluster) PlatformAddress() string { return c.platformAddress }

// Operator returns the client that the operators' commands use.
func (c *Cluster) Operator() *operator.Client { return c.operator }

// OperatorKeys returns the operators' public keys and the number of signatures
// that a bundle needs.
func (c *Cluster) OperatorKeys() (map[string]ed25519.PublicKey, int) {
	return c.keys.public, len(c.keys.public)
}

// Bundle returns the active bundle, with the addresses of the stand-ins.
func (c *Cluster) Bundle() *model.Bundle {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bundle
}

// parseBundle parses a bundle and adds the package name to errors.
func parseBundle(yaml []byte) (*model.Bundle, error) {
	b, err := bundle.Parse("bundle", yaml)
	if err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	return b, nil
}

// lockedWriter lets several daemons write lines to one writer.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

// Write implements io.Writer.
func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}
