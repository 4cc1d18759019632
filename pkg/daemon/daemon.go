// Package daemon wires the reducer, its runtime and the servers of a daemon
// into one process.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/pistachiousher/pistachiousher/pkg/backend"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/logwriter"
	"github.com/pistachiousher/pistachiousher/pkg/metrics"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/objectapi"
	"github.com/pistachiousher/pistachiousher/pkg/peer"
	"github.com/pistachiousher/pistachiousher/pkg/runtime"
)

// Addresses are the addresses that the daemon listens on, host:port.
type Addresses struct {
	Caller string
	Peer   string
	Admin  string
}

// Options describe a daemon.
type Options struct {
	VM     model.VM
	Region string
	// Listen are the addresses to listen on; port 0 takes a free port.
	Listen Addresses
	// Platform are the base URLs of the platform; PlatformRate and PlatformBurst
	// limit the daemon's calls to it, in calls per second and in calls made at
	// once.
	Platform      []string
	PlatformRate  float64
	PlatformBurst int
	// NewCore creates the reducer when the listeners are open and their
	// addresses are known.
	NewCore func(Addresses) (runtime.Core, error)
	// Decode checks and decodes a bundle or controls document.
	Decode func(kind event.DocumentKind, raw []byte) (event.Document, error)
	// Queue is the capacity of the event queue; 0 is the default.
	Queue int
	// LogOutput receives log lines of LogLevel and above as JSON; nil means
	// standard error.
	LogOutput io.Writer
	LogLevel  log.Level
	// Recorder records the event stream; nil for none.
	Recorder runtime.Recorder
	// Abort, if closed, ends the daemon without a graceful shutdown, like a
	// second signal.
	Abort <-chan struct{}
	// Listening, if set, is called with the addresses when all listeners are
	// open.
	Listening func(Addresses)
}

var (
	// ErrOptions means that the options are incomplete.
	ErrOptions = errors.New("daemon: invalid options")
	// ErrAborted means that a second signal or Options.Abort ended the daemon
	// before its graceful shutdown was complete.
	ErrAborted = errors.New("daemon: stopped at once, without a graceful shutdown")
)

func (o *Options) check() error {
	switch {
	case o.VM == "":
		return fmt.Errorf("%w: no VM name", ErrOptions)
	case o.Region == "":
		return fmt.Errorf("%w: no region", ErrOptions)
	case len(o.Platform) == 0:
		return fmt.Errorf("%w: no platform URL", ErrOptions)
	case o.PlatformRate <= 0 || o.PlatformBurst <= 0:
		return fmt.Errorf("%w: PlatformRate and PlatformBurst must be above 0", ErrOptions)
	case o.NewCore == nil || o.Decode == nil:
		return fmt.Errorf("%w: NewCore and Decode are required", ErrOptions)
	}
	return nil
}

// daemon is one running daemon.
type daemon struct {
	options  Options
	registry *prometheus.Registry
	metrics  *metrics.Metrics
	log      *logwriter.Writer
	platform *objectapi.Client
	backends *backend.Client
	peers    *peer.Client
	loop     *runtime.Loop
}

// Run runs a daemon until it fails or has shut down gracefully. SIGTERM, SIGINT
// and the end of ctx start the graceful shutdown.
func Run(ctx context.Context, o Options) error {
	if err := o.check(); err != nil {
		return err
	}
	// Without this, a write to a log that nobody reads any more ends the process.
	signal.Ignore(syscall.SIGPIPE)
	listeners, err := listen(o.Listen)
	if err != nil {
		return err
	}
	defer listeners.close()
	d, err := newDaemon(o, listeners.addresses())
	if err != nil {
		return err
	}
	defer d.close()
	var g run.Group
	d.addEventLoop(&g)
	d.addServers(&g, listeners)
	d.addSignals(ctx, &g)
	d.addLogWriter(&g)
	d.reportStarted(listeners.addresses())
	return runError(g.Run())
}

// runError returns the daemon's error for the error that ended the group. An exit
// of the reducer is not an error.
func runError(err error) error {
	if errors.Is(err, errExited) {
		return nil
	}
	return fmt.Errorf("daemon: %w", err)
}

func newDaemon(o Options, addresses Addresses) (*daemon, error) {
	core, err := o.NewCore(addresses)
	if err != nil {
		return nil, fmt.Errorf("daemon: create the reducer: %w", err)
	}
	d := &daemon{options: o, registry: prometheus.NewRegistry()}
	if d.metrics, err = metrics.New(d.registry); err != nil {
		return nil, err
	}
	if d.options.LogOutput == nil {
		d.options.LogOutput = os.Stderr
	}
	d.log = logwriter.New(d.options.LogOutput, o.LogLevel, d.metrics.LogEvent)
	d.platform = objectapi.New(objectapi.Options{
		URLs:   o.Platform,
		Rate:   o.PlatformRate,
		Burst:  o.PlatformBurst,
		OnCall: d.metrics.PlatformCall,
	})
	d.backends = backend.New()
	d.peers = peer.NewClient(d.metrics.PeerTraffic)
	d.loop = runtime.New(runtime.Config{
		Core:     core,
		Peers:    d.peers,
		Backends: d.backends,
		Platform: d.platform,
		Decode:   o.Decode,
		Region:   o.Region,
		Log:      d.log,
		Recorder: o.Recorder,
		Observer: d.metrics,
		Queue:    o.Queue,
	})
	if err := d.registerCollectors(); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *daemon) registerCollectors() error {
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return metrics.RegisterStatus(d.registry, metrics.Sources{
		Status:     d.status,
		Header:     d.loop.Header,
		LogDropped: d.log.Dropped,
	})
}

func (d *daemon) status() model.DaemonStatus {
	s, _ := d.loop.Status()
	return s
}

func (d *daemon) close() {
	d.backends.Close()
	d.peers.Close()
	d.platform.Close()
}

func (d *daemon) reportStarted(a Addresses) {
	d.log.Write(logevent.DaemonStarted, []logevent.Field{
		logevent.Str("vm", d.options.VM),
		logevent.Str("caller_address", a.Caller),
		logevent.Str("peer_address", a.Peer),
		logevent.Str("admin_address", a.Admin),
	})
	if d.options.Listening != nil {
		d.options.Listening(a)
	}
}

// listeners are the open listeners.
type listeners struct{ caller, peer, admin net.Listener }

func listen(a Addresses) (*listeners, error) {
	l := new(listeners)
	for _, entry := range []struct {
		address  string
		listener *net.Listener
	}{{a.Caller, &l.caller}, {a.Peer, &l.peer}, {a.Admin, &l.admin}} {
		ln, err := net.Listen("tcp", entry.address)
		if err != nil {
			l.close()
			return nil, fmt.Errorf("daemon: listen on %s: %w", entry.address, err)
		}
		*entry.listener = ln
	}
	return l, nil
}

func (l *listeners) addresses() Addresses {
	return Addresses{
		Caller: l.caller.Addr().String(),
		Peer:   l.peer.Addr().String(),
		Admin:  l.admin.Addr().String(),
	}
}

func (l *listeners) close() {
	for _, ln := range []net.Listener{l.caller, l.peer, l.admin} {
		if ln != nil {
			ln.Close()
		}
	}
}

// stopSignals start the graceful shutdown.
var stopSignals = []os.Signal{syscall.SIGTERM, syscall.SIGINT}
