// Package backend is a stand-in for a backend server: a small search server
// with an in-memory inverted index, few slots, a connection limit, cold start
// and a log of the requests that ran, against which tests check what clients saw.
package backend

import (
	"errors"
	"fmt"
	"time"

	"github.com/goccy/go-yaml"
)

// Defaults of a Config.
const (
	DefaultSlots       = 2
	DefaultConnections = 25
	// DefaultKeepRuns is enough for the runs of a test and uses little memory.
	DefaultKeepRuns = 1 << 18
	// DefaultFallOver is how long a cold server fails all requests after an
	// overload.
	DefaultFallOver = time.Second
)

// ErrConfig is wrapped by errors about a Config.
var ErrConfig = errors.New("backend: invalid configuration")

// Config describes one backend server. Durations are written like 6ms.
type Config struct {
	Name    string `yaml:"name"`
	Service string `yaml:"service"`
	// Listen is the address on which cmd/standin serves.
	Listen string `yaml:"listen"`
	// Slots is the number of requests that the server runs at once.
	Slots int `yaml:"slots"`
	// Queue is the number of requests that may wait for a slot, in order of arrival;
	// 0 refuses requests at once while all slots are taken.
	Queue int `yaml:"queue"`
	// Connections is the limit of open connections; further ones are closed.
	Connections int `yaml:"connections"`
	// ConnectCost delays the first byte that is read from a new connection.
	ConnectCost time.Duration `yaml:"connect_cost"`
	// ServiceTime is how long a request takes, plus a uniformly random time below
	// Jitter.
	ServiceTime time.Duration `yaml:"service_time"`
	Jitter      time.Duration `yaml:"jitter"`
	Cold        Cold          `yaml:"cold"`
	Straggler   Straggler     `yaml:"straggler"`
	// StatusLag is the age of the status that the status endpoint returns.
	StatusLag time.Duration `yaml:"status_lag"`
	// KeepRuns bounds the log of runs; the oldest are dropped and counted.
	KeepRuns int `yaml:"keep_runs"`
	// Seed is the seed of the random delays.
	Seed   uint64  `yaml:"seed"`
	Corpus Corpus  `yaml:"corpus"`
	Serves []Serve `yaml:"serves"`
}

// Cold is the behaviour of a server with cold caches.
type Cold struct {
	// Start makes the server cold when it is created.
	Start bool `yaml:"start"`
	// Slots is how many requests the server can run at once at first. It can run
	// one more after every Requests successful answers, and is warm when it can use
	// all its slots.
	Slots    int `yaml:"slots"`
	Requests int `yaml:"requests"`
	// Slowdown multiplies the service time while the server is cold.
	Slowdown float64 `yaml:"slowdown"`
	// FallOver is how long all requests fail after more requests ran at once than
	// the cold server could run.
	FallOver time.Duration `yaml:"fall_over"`
}

// Straggler adds Delay to a request with the given Probability, between 0 and 1.
type Straggler struct {
	Probability float64       `yaml:"probability"`
	Delay       time.Duration `yaml:"delay"`
}

// Corpus is a generated set of documents; the same seed gives the same ones.
type Corpus struct {
	Documents int    `yaml:"documents"`
	Seed      uint64 `yaml:"seed"`
}

// Shard identifies a shard of a layout.
type Shard struct {
	Layout string `yaml:"layout" json:"layout"`
	Name   string `yaml:"shard" json:"shard"`
}

// Serve describes a shard that a server holds: its key range [From, To), where an
// empty To is no upper bound, and the index versions served at the start.
type Serve struct {
	Shard    `yaml:",inline"`
	From     string   `yaml:"from"`
	To       string   `yaml:"to"`
	Versions []uint64 `yaml:"versions"`
}

// ParseConfigs parses YAML with a list `backends` of configurations.
func ParseConfigs(raw []byte) ([]Config, error) {
	var file struct {
		Backends []Config `yaml:"backends"`
	}
	if err := yaml.UnmarshalWithOptions(raw, &file, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrConfig, err)
	}
	for i := range file.Backends {
		if _, err := file.Backends[i].withDefaults(); err != nil {
			return nil, err
		}
	}
	return file.Backends, nil
}

func (c Config) withDefaults() (Config, error) {
	if c.Name == "" {
		return c, fmt.Errorf("%w: a backend server has no name", ErrConfig)
	}
	if c.Slots < 0 || c.Queue < 0 || c.Connections < 0 || c.Cold.Slots < 0 {
		return c, fmt.Errorf("%w: %s: slots, queue and connections must not be negative", ErrConfig, c.Name)
	}
	if c.Slots == 0 {
		c.Slots = DefaultSlots
	}
	if c.Connections == 0 {
		c.Connections = DefaultConnections
	}
	if c.KeepRuns <= 0 {
		c.KeepRuns = DefaultKeepRuns
	}
	if c.Cold.Slots == 0 {
		c.Cold.Slots = 1
	}
	if c.Cold.Requests <= 0 {
		c.Cold.Requests = 1
	}
	if c.Cold.Slowdown < 1 {
		c.Cold.Slowdown = 1
	}
	if c.Cold.FallOver == 0 {
		c.Cold.FallOver = DefaultFallOver
	}
	return c, nil
}
