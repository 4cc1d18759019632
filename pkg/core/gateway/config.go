package gateway

import (
	"slices"
	"strings"
	"time"
)

// Config is one version of the operator's configuration. It is immutable once
// it was passed to Step.
type Config struct {
	// Version grows with each change, in uneven steps.
	Version  uint64
	Routes   []*Route
	Services map[string]ServiceConfig
	Limits   Limits

	// byHost holds the routes of each host, the longest prefix first.
	byHost map[string][]*Route
}

// Route says where requests for a host and path prefix go and how they may be
// repeated.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	// Idempotent requests may run more than once; all others run at most once.
	Idempotent bool
	// Timeout is the longest time that a request may be kept waiting; 0 is none.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer has its full worth.
	LatencyTarget time.Duration
	// Priority is the rank of the route, 0 the highest.
	Priority int
	// MaxAttempts is the number of leafs that one request may be sent to, for
	// each shard; at least 1.
	MaxAttempts int
	// Targets are the services of a route without shards.
	Targets []Target
	// Shards are the services that all have a part of the answer. If set, the
	// answer is the TopK greatest records of the parts.
	Shards []string
	TopK   int
	// MinShardRatio is the share of Shards, 0 to 1, that an answer needs.
	MinShardRatio float64
	// HomeRegions are the regions whose leafs may run requests; empty for all.
	HomeRegions []string
}

// Target is one service of a traffic split.
type Target struct {
	Service string
	Weight  float64
}

// ServiceConfig is what the configuration says of a service.
type ServiceConfig struct {
	// MaxConnections is the number of connections that each leaf accepts from
	// all callers together; 0 is unknown.
	MaxConnections int
	// WarmUp is how long a leaf stays cold after its start.
	WarmUp time.Duration
	// WarmUpPerSecond is the number of requests a second that a cold leaf bears;
	// 0 is no bound.
	WarmUpPerSecond float64
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// index prepares the look-up of routes.
func (c *Config) index() {
	c.byHost = make(map[string][]*Route, len(c.Routes))
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
}

// Match returns the route of a request, or nil. The port of the host and the
// query of the path do not count.
func (c *Config) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	path, _, _ = strings.Cut(path, "?")
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// regions returns the home regions of all routes of a host; nil when some
// route may be served in any region.
func (c *Config) regions(host string) []string {
	var all []string
	for _, r := range c.byHost[strings.ToLower(host)] {
		if len(r.HomeRegions) == 0 {
			return nil
		}
		all = append(all, r.HomeRegions...)
	}
	return all
}

// Server is one incarnation of a leaf, as registered.
type Server struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Slots is the number of requests that the leaf runs at once; at least 1.
	Slots    int
	Draining bool
	// WarmUpLeft is how long the leaf stays cold from the time of the entry.
	WarmUpLeft time.Duration
	// Born is the Unix millisecond of the leaf's start; 0 if unknown. A leaf may
	// start again under the same ID.
	Born int64
}
