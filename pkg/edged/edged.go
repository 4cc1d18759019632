// Package edged assembles an edge daemon: the reducer of package gateway, its
// runtime and the daemon's servers, in one process.
package edged

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"math/rand/v2"
	"net"
	"net/http"
	"os/signal"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/quota"
	"github.com/pistachiousher/pistachiousher/pkg/edge"
	"github.com/pistachiousher/pistachiousher/pkg/inbound"
	"github.com/pistachiousher/pistachiousher/pkg/leafconn"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/logwriter"
)

// Platform is the adapter to the platform that the daemon runs on.
type Platform struct {
	Protocol edge.Protocol
	Decoder  edge.Decoder
	// NewStore returns a client for the store at the given address.
	NewStore func(address string, count StoreCounter) edge.Store
	// ReadyHandler answers the platform's readiness checks, DirectoryHandler the
	// callers that ask which daemons to use.
	ReadyHandler     func(r *edge.Runtime) http.Handler
	DirectoryHandler func(r *edge.Runtime, ttl time.Duration) http.Handler
}

// StoreCounter is called once for each call to the store, with its kind of
// object, operation and outcome.
type StoreCounter func(kind edge.Kind, operation, outcome string)

const (
	// settingsCheckInterval is the interval at which the settings file is checked
	// for changes.
	settingsCheckInterval = 5 * time.Second
	// headerTimeout bounds the time for reading the header of a request.
	headerTimeout = 10 * time.Second
	// maxCallerHeaderBytes bounds the header of a caller's request, even if the
	// configuration has a larger limit.
	maxCallerHeaderBytes = 64 << 10
	// maxSilenceRatio is the part of Settings.ContactLoss after which a silent
	// daemon is no longer named to callers: three missed messages at today's sites.
	maxSilenceRatio = 0.3
	// addressReuseFactor allows for callers that use an address for up to this many
	// times its time to live.
	addressReuseFactor = 3
	// stopMargin is the end of Settings.StopTimeout that is reserved for the final
	// answers and the exit of the process.
	stopMargin = 500 * time.Millisecond
	// openRequestsReserve is the time reserved for answering open requests after the
	// caller listener is closed.
	openRequestsReserve = time.Second
	// finalAnswersTimeout bounds the time for sending the final answers at the end of
	// the shutdown.
	finalAnswersTimeout = 200 * time.Millisecond
	// stopPollInterval is the interval at which a stopping daemon checks for open
	// connections and requests.
	stopPollInterval = 20 * time.Millisecond
	// lingerTime allows for answers in transit: a stopping daemon goes on serving for
	// this long after the last connection and request have ended.
	lingerTime = 150 * time.Millisecond
)

// errStopped ends the run group after a graceful shutdown.
var errStopped = errors.New("edged: stopped")

type daemon struct {
	settings     *Settings
	runtime      *edge.Runtime
	follower     *edge.Follower
	peers        *edge.Peers
	explainer    *edge.Explainer
	pool         *leafconn.Pool
	budget       *leafconn.Budget
	log          *logwriter.Writer
	self         gateway.DaemonEntry
	callerServer *http.Server
	registry     *prometheus.Registry
	callerConns  *edge.CallerConns
	headBudget   *inbound.Budget
	refusals     *refusalLog
	// callerHeaderLimit is the limit of the configuration in force.
	callerHeaderLimit atomic.Int64
	// settingsModTime is the modification time of the settings file when it was last
	// read.
	settingsModTime time.Time
	// callerListener is closed during shutdown; callerListenerClosed is set first.
	callerListener       net.Listener
	callerListenerClosed atomic.Bool
}

// Run runs a daemon until it fails or has shut down gracefully. SIGTERM, SIGINT
// and the end of ctx start the shutdown.
func Run(ctx context.Context, s *Settings, p Platform, logOutput io.Writer) error {
	// Without this, a write to a log that nobody reads any more ends the process.
	signal.Ignore(syscall.SIGPIPE)
	listeners, err := listen(s, func(err error) { logAtStart(logOutput, logevent.EdgeAddressInUse, err) })
	if err != nil {
		LogStartFailure(logOutput, err)
		return err
	}
	lagProbe, err := edge.NewLagProbe()
	if err != nil {
		LogStartFailure(logOutput, err)
		return err
	}
	d := newDaemon(s, p, listeners, lagProbe, logOutput)
	var g run.Group
	g.Add(lagProbe.Run, func(error) {
		if err := lagProbe.Close(); err != nil {
			d.log.Write(logevent.EdgeListenerError, []logevent.Field{logevent.Str("listener", "lag probe"), logevent.Str("error", err.Error())})
		}
	})
	followCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.addFollower(followCtx, cancel, &g)
	d.addServers(&g, p, listeners)
	d.addPeers(&g, listeners)
	d.addSignals(ctx, &g)
	d.addLogWriter(&g)
	err = g.Run()
	d.pool.Close()
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}

func newDaemon(s *Settings, p Platform, l *listeners, lagProbe *edge.LagProbe, logOutput io.Writer) *daemon {
	d := &daemon{settings: s, log: logwriter.NewSized(logOutput, s.LogLevel, nil, logQueueLines)}
	d.settingsModTime = modTime(s.Path)
	d.self = gateway.DaemonEntry{
		Name: s.VM, CallerAddress: s.Listen.Caller, PeerAddress: s.peerAddress(s.ownIP()), FailureDomain: s.FailureDomain,
		Cores: s.Cores,
	}
	self := d.self
	self.Incarnation = uint64(time.Now().UnixMilli())
	core := gateway.New(gateway.Options{
		Self: self, RegionOf: s.Regions, RetryRatio: s.Retry.Ratio, RetrySlack: s.Retry.Slack, RetryWindow: s.Retry.Window,
		Quota:      quota.Bounds{Window: s.Quota.Window, Overshoot: s.Quota.Overshoot, Slack: s.Quota.Slack},
		MaxSilence: s.maxSilence(), ApplyWithin: s.ApplyWithin, Seed: rand.Uint64(), Seeds: s.seedAddresses(), IsSeed: slices.Contains(s.Seeds, s.ownIP()),
		Rollout: s.rolloutLimits(),
	})
	d.registry = prometheus.NewRegistry()
	m := NewMetrics(d.registry)
	d.budget = leafconn.NewBudget(s.bodyMemoryBudget())
	d.pool = leafconn.NewPool(m.connsOpened.Inc, d.budget)
	d.callerConns = edge.NewCallerConns(s.maxCallerConns())
	d.headBudget = inbound.NewBudget(s.headMemoryBudget())
	d.refusals = &refusalLog{out: d.log, metrics: m}
	d.setHeaderLimit(0)
	coreLog := &reducerLog{out: d.log, metrics: m}
	d.runtime = edge.New(edge.Config{
		Core: core, Protocol: p.Protocol, Pool: d.pool, Budget: d.budget, Log: coreLog.write, Observer: m, Lag: lagProbe.Lag, OnPanic: d.logPanic,
		OnLimits: func(l gateway.Limits) {
			d.callerConns.SetIdleLimit(l.IdleTimeout)
			d.setHeaderLimit(l.MaxHeaderBytes)
		},
		OnInvalidAnswer: d.refusals.invalidAnswer,
		OnRefusal:       func(client, reason string) { d.refusals.refused("caller", client, reason) },
	})
	d.explainer = edge.NewExplainer(d.runtime, d.logExplained(m))
	d.follower = edge.NewFollower(edge.FollowerConfig{
		Store: p.NewStore(s.StoreAddress, m.StoreCall), Decoder: p.Decoder, Post: d.runtime.Post,
		OnInvalid: d.logInvalidObject, Turn: d.runtime.WatchTurn, Kinds: s.followedKinds(), Lag: lagProbe.Lag,
	})
	registerStatus(d.registry, d.status, d.log.Dropped)
	registerLoad(d.registry, d.budget.Used, d.headBudget.Used, lagProbe.Lag)
	d.peers = edge.NewPeers(l.peer, d.runtime.Post, d.follower, lagProbe.Lag, d.logPeerFailure)
	d.peers.ShareCapacities(func() (out []gateway.LeafCapacity) {
		d.runtime.Inspect(func(s *gateway.State) { out = s.LeafCapacities() })
		return out
	})
	registerTraffic(d.registry, d.peers.Traffic())
	d.runtime.Link(d.peers, d.follower)
	d.callerServer = &http.Server{
		Handler: d.callerConns.Handler(d.runtime), ReadHeaderTimeout: headerTimeout, WriteTimeout: edge.WriteTime, MaxHeaderBytes: maxCallerHeaderBytes,
		ErrorLog: d.listenerLogger("caller"),
		ConnState: func(c net.Conn, state http.ConnState) {
			inbound.ConnState(c, state)
			d.callerConns.ConnState(c, state)
		},
		ConnContext: d.callerConns.ConnContext,
	}
	return d
}

func (d *daemon) logInvalidObject(kind edge.Kind, name string, err error) {
	d.log.Write(logevent.EdgeObjectInvalid, []logevent.Field{
		logevent.Str("kind", kind), logevent.Str("name", name), logevent.Str("error", err.Error()),
	})
}

func (d *daemon) logPanic(where string, err error) {
	d.log.Write(logevent.EdgePanic, []logevent.Field{logevent.Str("where", where), logevent.Str("error", err.Error())})
}

// listenerLogger returns the error logger for the server of a listener.
func (d *daemon) listenerLogger(listener string) *stdlog.Logger {
	return stdlog.New(listenerWriter{d.log, listener}, "", 0)
}

// listenerWriter turns the log lines of net/http into log events.
type listenerWriter struct {
	log      *logwriter.Writer
	listener string
}

// Write implements io.Writer.
func (w listenerWriter) Write(line []byte) (int, error) {
	w.log.Write(logevent.EdgeListenerError, []logevent.Field{
		logevent.Str("listener", w.listener), logevent.Str("error", strings.TrimSpace(string(line))),
	})
	return len(line), nil
}

func (d *daemon) logPeerFailure(peer string, err error) {
	d.log.Write(logevent.EdgePeerFailed, []logevent.Field{logevent.Str("peer", peer), logevent.Str("error", err.Error())})
}

// addFollower adds the actors that follow the store and keep this daemon
// registered in it.
func (d *daemon) addFollower(ctx context.Context, cancel context.CancelFunc, g *run.Group) {
	for _, kind := range d.settings.followedKinds() {
		g.Add(func() error { return d.follower.Follow(ctx, kind) }, func(error) { cancel() })
	}
	g.Add(func() error {
		return d.follower.KeepRegistered(ctx, d.self, func() { d.log.Write(logevent.EdgeRegistrationDone, nil) })
	}, func(error) { cancel() })
}

func (d *daemon) addPeers(g *run.Group, l *listeners) {
	g.Add(d.peers.Receive, func(error) { l.peer.Close() })
}

// addLogWriter adds the log writer. It must be added last, because the group
// interrupts its actors in this order and the writer has to write the last lines.
func (d *daemon) addLogWriter(g *run.Group) {
	ctx, cancel := context.WithCancel(context.Background())
	d.log.Write(logevent.EdgeStarted, []logevent.Field{logevent.Str("vm", d.settings.VM), logevent.Str("failure_domain", d.settings.FailureDomain)})
	g.Add(func() error { return d.log.Run(ctx) }, func(error) {
		d.log.Write(logevent.EdgeStopped, []logevent.Field{logevent.Int("open", d.runtime.OpenQueries())})
		cancel()
	})
}
