package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/tenant"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Config is one version of the operator's configuration. It must not be changed after
// it was passed to Step.
type Config struct {
	// Version increases with each change, by any amount.
	Version  uint64
	Routes   []*Route
	Services map[string]ServiceConfig
	Limits   Limits
	// Tenants are the holders of keys. Without any, requests need no key.
	Tenants []*tenant.Tenant
	// Faults say which parts of the version cannot be used, and why.
	Faults []string

	// source and appliedAt say from where and when it came into force.
	source    ViewSource
	appliedAt model.Time

	directory *tenant.Directory
	// limitsTenants means that the requests of some tenant are limited.
	limitsTenants bool
	// byHost holds the routes of each host, those with the longest prefix first.
	byHost map[string][]*Route
}

// Route says which services get the requests for a host and path prefix, and how often
// a request may be sent.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	// Idempotent requests may run more than once; others run at most once.
	Idempotent bool
	// Timeout is the longest time that a caller may be kept waiting; 0 means no limit.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer is of full use to its caller.
	LatencyTarget time.Duration
	// Priority orders queued requests; 0 is sent first.
	Priority int
	// MaxAttempts is how many attempts of a request may reach a leaf, for each shard;
	// at least 1.
	MaxAttempts int
	// Targets are the services among which the requests of a route without shards are
	// split.
	Targets []Target
	// Shards are the services that each hold a part of the answer. If set, the answer
	// consists of the TopK greatest records of all parts.
	Shards []string
	TopK   int
	// MinShardRatio is the share of Shards, 0 to 1, that must contribute to an answer.
	MinShardRatio float64
	// HomeRegions are the regions whose leafs may run requests; empty means all.
	HomeRegions []string
	// Public routes need no key of a tenant.
	Public bool
	// Fault says why requests of the route cannot be served; empty if they can. They are
	// refused as not run and not passed to the route with the next shorter prefix.
	Fault string
}

// Target is one service of a traffic split.
type Target struct {
	Service string
	Weight  float64
}

// ServiceConfig is the configuration of a service.
type ServiceConfig struct {
	// MaxConnections is the number of connections that each leaf accepts from all
	// callers together; 0 means unknown.
	MaxConnections int
	// WarmUp is how long a leaf stays cold after its start.
	WarmUp time.Duration
	// WarmUpPerSecond is the number of requests per second that a cold leaf can handle;
	// 0 means no limit.
	WarmUpPerSecond float64
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// index prepares Match and the lookup of keys.
func (c *Config) index() {
	c.directory = tenant.NewDirectory(c.Tenants)
	c.limitsTenants = c.directory.HasLimits()
	c.byHost = make(map[string][]*Route, len(c.Routes))
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
}

// Match returns the route of a request, or nil. The port of the host and the query
// string of the path are ignored.
func (c *Config) Match(host, path string) *Route {
	path, _, _ = strings.Cut(path, "?")
	for _, r := range c.routesOf(host) {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// routesOf returns the routes of a host, whose port is ignored, in the order in which they
// are compared.
func (c *Config) routesOf(host string) []*Route {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return c.byHost[host]
}

// regions returns the home regions of all routes of a host; nil if some route may run
// in any region.
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

// Server is the registration of one incarnation of a leaf.
type Server struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Slots is the number of requests that the leaf runs concurrently; at least 1.
	Slots    int
	Draining bool
	// Version is the version of the leaf's software.
	Version string
	// Sequence increases with each write of the entry since the leaf started.
	Sequence uint64
	// WarmUpLeft is how long the leaf stays cold, counted from when the entry was
	// written.
	WarmUpLeft time.Duration
	// StartedMS is when the leaf started, in Unix milliseconds; 0 if unknown. A leaf may
	// restart under the same ID.
	StartedMS int64
}
