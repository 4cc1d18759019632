package model

import (
	"slices"
	"time"
)

// Bundle is one version of the operators' configuration. It is immutable once
// Index has been called.
type Bundle struct {
	Version  uint64
	Services []Service
	Servers  []BackendServer

	services        map[ServiceName]*Service
	servers         map[ServerName]*BackendServer
	serviceByServer map[ServerName]*Service
}

// Service is a sharded set of documents with its own callers and policy.
type Service struct {
	Name    ServiceName
	Policy  Policy
	Callers []Caller
	// Layouts are in ascending order of preference.
	Layouts []Layout
}

// CoverageMode says whether a service prefers coverage or latency when some shards
// are slow.
type CoverageMode string

// Coverage modes.
const (
	// CoverageFirst waits for missing shards up to the deadline.
	CoverageFirst CoverageMode = "coverage_first"
	// TailFirst answers at the service's target latency, if need be with partial
	// coverage.
	TailFirst CoverageMode = "tail_first"
)

// Routing says which daemons send sub-requests to a backend server, and how they
// limit them.
type Routing string

// Kinds of routing. All but RoutingOwned exist for comparison with it.
const (
	// RoutingOwned sends through the one daemon that owns the server.
	RoutingOwned Routing = "owned"
	// RoutingDirect sends from every daemon, without a limit and without hedges.
	RoutingDirect Routing = "direct"
	// RoutingShare sends from every daemon within a fixed share of the server's
	// slots, at least one.
	RoutingShare Routing = "share"
	// RoutingAdaptive sends from every daemon within a limit of its own, which
	// grows by additive increase and shrinks by multiplicative decrease.
	RoutingAdaptive Routing = "adaptive"
)

// Policy says how a service's queries are run.
type Policy struct {
	Mode    CoverageMode
	Routing Routing
	// Target is the latency at which a TailFirst service answers.
	Target time.Duration
	// MaxDeadline caps a request's deadline.
	MaxDeadline time.Duration
	// HedgePercentile is the percentile of recent sub-request latencies, in percent,
	// after which a sub-request is hedged; 0 turns hedging off.
	HedgePercentile float64
	// HedgeBudget and RetryBudget bound hedges and retries as fractions of the first
	// attempts.
	HedgeBudget float64
	RetryBudget float64
	// QueueLimit bounds each backend server's queue, in sub-requests.
	QueueLimit int
	// MaxInFlight bounds the service's running requests at each entry daemon.
	MaxInFlight int
}

// Caller may query a service. Share is its guaranteed fraction of the service's
// MaxInFlight. Under load, callers that use more are refused first.
type Caller struct {
	Name  CallerName
	Share float64
}

// Layout is one partition of a service's documents into shards.
type Layout struct {
	Name   LayoutName
	Shards []Shard
}

// Shard holds the keys in [From, To); an empty To has no upper bound.
type Shard struct {
	Name     ShardName
	From, To string
	Replicas []ServerName
}

// Holds reports whether the shard's key range holds key.
func (s *Shard) Holds(key string) bool { return key >= s.From && (s.To == "" || key < s.To) }

// BackendServer serves replicas of shards.
type BackendServer struct {
	Name          ServerName
	FailureDomain FailureDomain
	// Region limits the server's owners to the daemons of one region. It may be left
	// empty only if all daemons are in one region: every region has an epoch of its
	// own, so a server without a region has an owner in each.
	Region string
	// Address is host:port, where the host is an IP address.
	Address     string
	Slots       int
	Connections int
	ConnectCost time.Duration
	Cold        ColdStart
}

// ColdStart limits the load on a backend server until its caches are warm.
type ColdStart struct {
	// Slots is the number of slots that the server has when its caches are cold.
	Slots int
	// Requests is the number of good answers after which it gets one more slot.
	Requests int
}

// Index builds the tables for Service, Server and ServiceOf. It must be called
// once, before the bundle is shared.
func (b *Bundle) Index() {
	b.services = make(map[ServiceName]*Service, len(b.Services))
	b.servers = make(map[ServerName]*BackendServer, len(b.Servers))
	b.serviceByServer = make(map[ServerName]*Service, len(b.Servers))
	for i := range b.Servers {
		b.servers[b.Servers[i].Name] = &b.Servers[i]
	}
	for i := range b.Services {
		s := &b.Services[i]
		b.services[s.Name] = s
		for _, l := range s.Layouts {
			for _, sh := range l.Shards {
				for _, r := range sh.Replicas {
					b.serviceByServer[r] = s
				}
			}
		}
	}
}

// Service returns the named service.
func (b *Bundle) Service(name ServiceName) (*Service, bool) {
	s, ok := b.services[name]
	return s, ok
}

// Server returns the named backend server.
func (b *Bundle) Server(name ServerName) (*BackendServer, bool) {
	s, ok := b.servers[name]
	return s, ok
}

// ServiceOf returns the service whose shards the server holds.
func (b *Bundle) ServiceOf(name ServerName) (*Service, bool) {
	s, ok := b.serviceByServer[name]
	return s, ok
}

// Layout returns the named layout of the service.
func (s *Service) Layout(name LayoutName) (*Layout, bool) {
	i := slices.IndexFunc(s.Layouts, func(l Layout) bool { return l.Name == name })
	if i < 0 {
		return nil, false
	}
	return &s.Layouts[i], true
}

// Caller returns the named caller of the service.
func (s *Service) Caller(name CallerName) (*Caller, bool) {
	i := slices.IndexFunc(s.Callers, func(c Caller) bool { return c.Name == name })
	if i < 0 {
		return nil, false
	}
	return &s.Callers[i], true
}

// Controls lists what operators have taken out of service. An entry whose Until
// has passed is no longer in force.
type Controls struct {
	Version  uint64
	TakeOuts []TakeOut
	Drains   []Drain
}

// ControlEntry records who took something out of service, why and for how long.
type ControlEntry struct {
	Author string
	Reason string
	// Since and Until are Unix times in milliseconds. With Until 0 the entry has no
	// end.
	Since int64
	Until int64
}

// Active reports whether the entry is in force at the wall-clock time wall (Unix
// ms).
func (e ControlEntry) Active(wall int64) bool { return e.Until == 0 || wall < e.Until }

// TakeOut takes a failure domain out of service.
type TakeOut struct {
	FailureDomain FailureDomain
	ControlEntry
}

// Drain takes a backend server out of service.
type Drain struct {
	Server ServerName
	ControlEntry
}

// DomainOut reports whether the failure domain is out of service at the wall-clock
// time wall (Unix ms).
func (c *Controls) DomainOut(d FailureDomain, wall int64) bool {
	return c != nil && slices.ContainsFunc(c.TakeOuts, func(t TakeOut) bool {
		return t.FailureDomain == d && t.Active(wall)
	})
}

// ServerOut reports whether the server or its failure domain is out of service at
// the wall-clock time wall (Unix ms).
func (c *Controls) ServerOut(s *BackendServer, wall int64) bool {
	if c == nil {
		return false
	}
	if c.DomainOut(s.FailureDomain, wall) {
		return true
	}
	return slices.ContainsFunc(c.Drains, func(d Drain) bool {
		return d.Server == s.Name && d.Active(wall)
	})
}
