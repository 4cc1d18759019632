package load

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pistachiousher/pistachiousher/standin/backend"
	"github.com/pistachiousher/pistachiousher/standin/child"
)

// ErrSetup is returned for an unknown setup.
var ErrSetup = errors.New("load: unknown setup")

const (
	// Service times of the stand-ins: serviceTime plus up to jitter, evenly
	// spread, so 20 ms on average. They keep the load of the largest run near
	// 11,000 sub-requests/s, which this machine bears beside other work.
	serviceTime = 15 * time.Millisecond
	jitter      = 10 * time.Millisecond
	// stragglerProbability of the requests take stragglerDelay longer.
	stragglerProbability = 0.01
	stragglerDelay       = 80 * time.Millisecond
	// backendQueue is the number of requests that wait at a backend server, as
	// many as wait at an owner by default.
	backendQueue = 64
	// documents is the size of the corpus of each shard's server.
	documents = 200
	// daemons is the number of entry VMs of the larger of today's users.
	daemons = 8
)

// Setup is a user's servers as far as the comparison has them.
type Setup struct {
	Name    string
	Domains []string
	Callers []caller
	// Mode and Target are the policy of every service.
	Mode   string
	Target time.Duration
	// Deadline of the requests.
	Deadline time.Duration
	Services []service
}

type caller struct {
	Name  string
	Share float64
}

// service is one service with the shards of its only layout.
type service struct {
	Name string
	// Replicas has the number of replicas of each shard.
	Replicas    []int
	Slots       int
	Connections int
	ConnectCost time.Duration
}

// Find returns the setup of a user.
func Find(name string) (*Setup, error) {
	for _, s := range []*Setup{tomasic(), brenes()} {
		if s.Name == name {
			return s, nil
		}
	}
	return nil, fmt.Errorf("%w: %q; there are tomasic and brenes", ErrSetup, name)
}

func tomasic() *Setup {
	order := func(name string) service {
		return service{Name: name, Replicas: []int{2}, Slots: 3, Connections: 30, ConnectCost: 6 * time.Millisecond}
	}
	store := func(name string, shards int) service {
		return service{Name: name, Replicas: repeat(2, shards), Slots: 6, Connections: 110, ConnectCost: time.Millisecond}
	}
	return &Setup{
		Name:     "tomasic",
		Domains:  []string{"osijek-a", "osijek-b", "vukovar"},
		Callers:  []caller{{"finishing-bench", 0.5}, {"office", 0.4}},
		Mode:     "coverage_first",
		Deadline: time.Second,
		Services: []service{
			store("arhiv", 5), store("nabava", 2),
			order("narudzbe-01"), order("narudzbe-02"), order("racuni-01"), order("racuni-02"),
		},
	}
}

func brenes() *Setup {
	counter := func(name string) service {
		return service{Name: name, Replicas: []int{2}, Slots: 2, Connections: 25, ConnectCost: 6 * time.Millisecond}
	}
	store := func(name string, replicas ...int) service {
		return service{Name: name, Replicas: replicas, Slots: 2, Connections: 35, ConnectCost: time.Millisecond}
	}
	return &Setup{
		Name:     "brenes",
		Domains:  []string{"cartago-a", "cartago-b", "cartago-c"},
		Callers:  []caller{{"counter", 0.6}, {"office", 0.3}},
		Mode:     "tail_first",
		Target:   58 * time.Millisecond,
		Deadline: time.Second,
		Services: []service{
			store("bodega", 2, 2, 2, 2, 2, 2, 3), store("cooperativa", 2, 2, 3),
			counter("mostrador-01"), counter("mostrador-02"), counter("facturas-01"), counter("facturas-02"),
		},
	}
}

func repeat(n, times int) []int {
	list := make([]int, times)
	for i := range list {
		list[i] = n
	}
	return list
}

// leaf is one backend server.
type leaf struct {
	name    string
	domain  string
	shard   backend.Serve
	service *service
}

// leafs lists the service's backend servers, those of a shard in a row and in
// different failure domains.
func (s *Setup) leafs(v *service) []leaf {
	var all []leaf
	for i, n := range v.Replicas {
		shard := backend.Serve{Shard: backend.Shard{Layout: "l1", Name: fmt.Sprintf("s%d", i+1)}, Versions: []uint64{1}}
		shard.From, shard.To = bound(i, len(v.Replicas)), bound(i+1, len(v.Replicas))
		for range n {
			k := len(all)
			all = append(all, leaf{
				name:    fmt.Sprintf("%s-leaf-%d", v.Name, k+1),
				domain:  s.Domains[k%len(s.Domains)],
				shard:   shard,
				service: v,
			})
		}
	}
	return all
}

// bound returns the i-th of n+1 bounds of the key ranges, in hexadecimal.
func bound(i, n int) string {
	if i == 0 || i == n {
		return ""
	}
	return fmt.Sprintf("%02x", 256*i/n)
}

// backends returns the stand-ins of all backend servers; seed varies their
// random delays.
func (s *Setup) backends(seed uint64) []backend.Config {
	var all []backend.Config
	for i := range s.Services {
		v := &s.Services[i]
		for _, l := range s.leafs(v) {
			all = append(all, backend.Config{
				Name: l.name, Service: v.Name, Listen: child.Loopback,
				Slots: v.Slots, Queue: backendQueue, Connections: v.Connections, ConnectCost: v.ConnectCost,
				ServiceTime: serviceTime, Jitter: jitter,
				Straggler: backend.Straggler{Probability: stragglerProbability, Delay: stragglerDelay},
				Seed:      seed + uint64(len(all)),
				Corpus:    backend.Corpus{Documents: documents, Seed: 1},
				Serves:    []backend.Serve{l.shard},
				// The log of runs is not read.
				KeepRuns: 1,
			})
		}
	}
	return all
}

// bundle returns the bundle in YAML for a variant, with the servers' real
// addresses.
func (s *Setup) bundle(v Variant, addresses map[string]string) []byte {
	var b, servers strings.Builder
	b.WriteString("version: 1\nservices:\n")
	for i := range s.Services {
		svc := &s.Services[i]
		fmt.Fprintf(&b, "  - name: %s\n    policy: {%s}\n    callers: [%s]\n", svc.Name, s.policy(v), s.callerList())
		b.WriteString("    layouts:\n      - name: l1\n        shards:\n")
		leafs := s.leafs(svc)
		for _, n := range svc.Replicas {
			writeShard(&b, leafs[:n])
			leafs = leafs[n:]
		}
		for _, l := range s.leafs(svc) {
			fmt.Fprintf(&servers, "  - {name: %s, failure_domain: %s, address: %q, slots: %d, connections: %d, connect_cost: %v}\n",
				l.name, l.domain, addresses[l.name], svc.Slots, svc.Connections, svc.ConnectCost)
		}
	}
	b.WriteString("backend_servers:\n" + servers.String())
	return []byte(b.String())
}

func (s *Setup) policy(v Variant) string {
	if s.Mode == "tail_first" && !v.WaitForAll {
		return fmt.Sprintf("mode: tail_first, target: %v, max_deadline: %v, routing: %s", s.Target, s.Deadline, v.Routing)
	}
	return fmt.Sprintf("mode: coverage_first, max_deadline: %v, routing: %s", s.Deadline, v.Routing)
}

func (s *Setup) callerList() string {
	list := make([]string, len(s.Callers))
	for i, c := range s.Callers {
		list[i] = fmt.Sprintf("{name: %s, share: %g}", c.Name, c.Share)
	}
	return strings.Join(list, ", ")
}

// writeShard writes the shard that the leafs are replicas of.
func writeShard(b *strings.Builder, leafs []leaf) {
	names := make([]string, len(leafs))
	for i, l := range leafs {
		names[i] = l.name
	}
	shard := leafs[0].shard
	fmt.Fprintf(b, "          - {name: %s, from: %q, to: %q, replicas: [%s]}\n",
		shard.Name, shard.From, shard.To, strings.Join(names, ", "))
}
