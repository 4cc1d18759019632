// Package edged wires the reducer of package gateway, its runtime and the
// servers of an edge daemon into one process.
package edged

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/edge"
	"github.com/pistachiousher/pistachiousher/pkg/leafconn"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/logwriter"
)

// Platform is the adapter to the platform that a daemon runs on.
type Platform struct {
	Protocol edge.Protocol
	Decoder  edge.Decoder
	// NewStore returns a client of the store at an address.
	NewStore func(address string, count StoreCounter) edge.Store
	// ReadyHandler and DirectoryHandler answer the platform and callers.
	ReadyHandler     func(r *edge.Runtime) http.Handler
	DirectoryHandler func(r *edge.Runtime, ttl time.Duration) http.Handler
}

// StoreCounter is told the kind, operation and outcome of each call to the store.
type StoreCounter func(kind edge.Kind, operation, outcome string)

const (
	// settingsCheck is the interval at which the settings file is looked at.
	settingsCheck = 5 * time.Second
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 10 * time.Second
	// maxCallerHeader bounds the header of a caller's request in bytes, whatever
	// larger limit the configuration has.
	maxCallerHeader = 64 << 10
	// silenceShare of the contact loss is the silence after which a daemon is not
	// named to callers any more: three missed messages at today's sites.
	silenceShare = 0.3
	// keptAnswers is how often a caller may use an address past its time to live.
	keptAnswers = 3
	// stopMargin is left of the stop time for the end of the process.
	stopMargin = 500 * time.Millisecond
	// lastRequests is the part of the stop time that is left for open requests when
	// no new ones are taken any more.
	lastRequests = time.Second
	// lastAnswers is how long the final answers at the end of the stop time may take.
	lastAnswers = 200 * time.Millisecond
	// stopPoll is the interval at which a stopping daemon looks for open requests.
	stopPoll = 20 * time.Millisecond
	// lingerTime is how long a stopping daemon without open requests waits for
	// answers on their way.
	lingerTime = 150 * time.Millisecond
)

// errStopped ends the group after the graceful shutdown.
var errStopped = errors.New("edged: stopped")

type daemon struct {
	settings *Settings
	runtime  *edge.Runtime
	follower *edge.Follower
	peers    *edge.Peers
	pool     *leafconn.Pool
	budget   *leafconn.Budget
	log      *logwriter.Writer
	self     gateway.DaemonEntry
	callers  *http.Server
	registry *prometheus.Registry
	conns    *edge.CallerConns
	// settingsRead is the modification time of the settings file in use.
	settingsRead time.Time
	// callerListener is closed by a stopping daemon, after listenerClosed is set.
	callerListener net.Listener
	listenerClosed atomic.Bool
}

// Run runs a daemon until it has stopped gracefully, which SIGTERM, SIGINT or
// the end of ctx start, or until it fails.
func Run(ctx context.Context, s *Settings, p Platform, logOutput io.Writer) error {
	listeners, err := listen(s)
	if err != nil {
		return err
	}
	lag, err := edge.NewLagProbe()
	if err != nil {
		return err
	}
	d := newDaemon(s, p, listeners, lag, logOutput)
	var g run.Group
	g.Add(lag.Run, func(error) {
		if err := lag.Close(); err != nil {
			d.log.Write(logevent.EdgeListenerError, []logevent.Field{logevent.Str("listener", "lag probe"), logevent.Str("error", err.Error())})
		}
	})
	follow, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.addFollower(follow, cancel, &g)
	d.addServers(&g, p, listeners)
	d.addPeers(&g, listeners)
	d.addSignals(ctx, &g)
	d.addLog(&g)
	err = g.Run()
	d.pool.Close()
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}

func newDaemon(s *Settings, p Platform, l *listeners, lag *edge.LagProbe, logOutput io.Writer) *daemon {
	d := &daemon{settings: s, log: logwriter.NewSized(logOutput, s.LogLevel, nil, logQueue)}
	d.settingsRead = modified(s.Path)
	d.self = gateway.DaemonEntry{
		Name: s.VM, CallerAddress: s.Listen.Caller, PeerAddress: s.peerAddress(s.ip()), FailureDomain: s.FailureDomain,
		Cores: s.Cores,
	}
	self := d.self
	self.Incarnation = uint64(time.Now().UnixMilli())
	core := gateway.New(gateway.Options{
		Self: self, RegionOf: s.Regions, RetryRatio: s.Retry.Ratio, RetrySlack: s.Retry.Slack,
		MaxSilence: s.silence(), Seed: rand.Uint64(), Seeds: s.seedAddresses(), IsSeed: slices.Contains(s.Seeds, s.ip()),
	})
	d.registry = prometheus.NewRegistry()
	m := NewMetrics(d.registry)
	d.budget = leafconn.NewBudget(s.answerBudget())
	d.pool = leafconn.NewPool(m.opened.Inc, d.budget)
	d.conns = edge.NewCallerConns(s.callerConnections())
	lines := &logs{out: d.log, metrics: m}
	d.runtime = edge.New(edge.Config{
		Core: core, Protocol: p.Protocol, Pool: d.pool, Budget: d.budget, Log: lines.write, Observer: m, Lag: lag.Lag, OnPanic: d.panicked,
		OnLimits: func(l gateway.Limits) { d.conns.SetIdleLimit(l.IdleTimeout) },
	})
	d.follower = edge.NewFollower(edge.FollowerConfig{
		Store: p.NewStore(s.StoreAddress, m.StoreCall), Decoder: p.Decoder, Post: d.runtime.Post,
		SetView: d.runtime.SetViewRevision, OnInvalid: d.invalidObject, Rank: d.runtime.StoreRank,
	})
	registerStatus(d.registry, d.status, d.log.Dropped)
	registerLoad(d.registry, d.budget.Used, lag.Lag)
	d.peers = edge.NewPeers(l.peer, d.runtime.Post, d.follower, d.peerFailed)
	registerTraffic(d.registry, d.peers.Traffic())
	d.runtime.Link(d.peers, d.follower)
	d.callers = &http.Server{
		Handler: d.conns.Handler(d.runtime), ReadHeaderTimeout: headerTimeout, WriteTimeout: edge.WriteTime, MaxHeaderBytes: maxCallerHeader,
		ErrorLog:  d.listenerLog("caller"),
		ConnState: d.conns.ConnState, ConnContext: d.conns.ConnContext,
	}
	return d
}

func (d *daemon) invalidObject(kind edge.Kind, name string, err error) {
	d.log.Write(logevent.EdgeObjectInvalid, []logevent.Field{
		logevent.Str("kind", kind), logevent.Str("name", name), logevent.Str("error", err.Error()),
	})
}

func (d *daemon) panicked(where string, err error) {
	d.log.Write(logevent.EdgePanic, []logevent.Field{logevent.Str("where", where), logevent.Str("error", err.Error())})
}

// listenerLog returns the logger of a listener's server.
func (d *daemon) listenerLog(listener string) *stdlog.Logger {
	return stdlog.New(listenerWriter{d.log, listener}, "", 0)
}

// listenerWriter writes the lines of net/http as log events.
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

func (d *daemon) peerFailed(peer string, err error) {
	d.log.Write(logevent.EdgePeerFailed, []logevent.Field{logevent.Str("peer", peer), logevent.Str("error", err.Error())})
}

// addFollower adds the watches of the store and the daemon's registration.
func (d *daemon) addFollower(ctx context.Context, cancel context.CancelFunc, g *run.Group) {
	for _, kind := range edge.Kinds {
		g.Add(func() error { return d.follower.Follow(ctx, kind) }, func(error) { cancel() })
	}
	g.Add(func() error {
		return d.follower.KeepRegistered(ctx, d.self, func() { d.log.Write(logevent.EdgeRegistrationDone, nil) })
	}, func(error) { cancel() })
}

func (d *daemon) addPeers(g *run.Group, l *listeners) {
	g.Add(d.peers.Receive, func(error) { l.peer.Close() })
}

// addLog adds the log writer; it is added last so that it writes the last lines.
func (d *daemon) addLog(g *run.Group) {
	ctx, cancel := context.WithCancel(context.Background())
	d.log.Write(logevent.EdgeStarted, []logevent.Field{logevent.Str("vm", d.settings.VM), logevent.Str("failure_domain", d.settings.FailureDomain)})
	g.Add(func() error { return d.log.Run(ctx) }, func(error) {
		d.log.Write(logevent.EdgeStopped, []logevent.Field{logevent.Int("open", d.runtime.OpenQueries())})
		cancel()
	})
}
