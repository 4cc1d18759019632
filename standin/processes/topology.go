package processes

import (
	"fmt"
	"strings"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/standin/backend"
	"github.com/pistachiousher/pistachiousher/standin/child"
)

// The services of a tier and their caller. Queries of ServiceArchive touch all its
// shards. Requests of ServiceOrders are not idempotent and touch its only shard.
const (
	ServiceArchive model.ServiceName = "arhiv"
	ServiceOrders  model.ServiceName = "narudzbe"
	Caller         model.CallerName  = "office"
)

// Layouts of ServiceArchive. The servers hold both. A bundle contains LayoutHalves
// only if Bundle.Halves is set, and daemons then prefer it, so a server's log of
// runs shows which bundle a daemon used.
const (
	LayoutQuarters = "quarters"
	LayoutHalves   = "halves"
)

const (
	// Slots is the number of slots of each backend server.
	Slots = 3
	// serviceTime is long enough that several requests overlap at a server.
	serviceTime  = 8 * time.Millisecond
	indexVersion = 1
	documents    = 400
)

// Corpus describes the documents of the backend servers.
var Corpus = backend.Corpus{Documents: documents, Seed: 7}

// Domains are the failure domains.
var Domains = []model.FailureDomain{"osijek-a", "osijek-b", "vukovar"}

// Server is a backend server of the tier.
type Server struct {
	Name    model.ServerName
	Service model.ServiceName
	Domain  model.FailureDomain
	// quarter is the index of its shard in LayoutQuarters, from 0.
	quarter int
}

// Servers lists the backend servers: two replicas of each of the four quarters
// of the archive and two of the orders, in different failure domains.
func Servers() []Server {
	var all []Server
	for i := range 8 {
		all = append(all, Server{
			Name:    model.ServerName(fmt.Sprintf("arhiv-%d", i+1)),
			Service: ServiceArchive, Domain: Domains[i%len(Domains)], quarter: i / 2,
		})
	}
	for i := range 2 {
		all = append(all, Server{
			Name:    model.ServerName(fmt.Sprintf("narudzbe-%d", i+1)),
			Service: ServiceOrders, Domain: Domains[(i+1)%len(Domains)],
		})
	}
	return all
}

// servedShards returns the shards that the server holds.
func (s Server) servedShards() []backend.Serve {
	if s.Service == ServiceOrders {
		return []backend.Serve{{Shard: backend.Shard{Layout: "all", Name: "s1"}, Versions: []uint64{indexVersion}}}
	}
	return []backend.Serve{
		evenShard(LayoutQuarters, s.quarter, 4),
		evenShard(LayoutHalves, s.quarter/2, 2),
	}
}

// evenShard returns shard i, from 0, of a layout that splits the corpus into n
// shards of equal size.
func evenShard(layout string, i, n int) backend.Serve {
	return backend.Serve{
		Shard:    backend.Shard{Layout: layout, Name: fmt.Sprintf("s%d", i+1)},
		From:     keyBound(i, n),
		To:       keyBound(i+1, n),
		Versions: []uint64{indexVersion},
	}
}

// keyBound returns bound i of the n+1 bounds of n equal key ranges. The first and
// the last are open.
func keyBound(i, n int) string {
	if i == 0 || i == n {
		return ""
	}
	return fmt.Sprintf("k%05d", documents*i/n)
}

func (s Server) backendConfig() backend.Config {
	return backend.Config{
		Name: string(s.Name), Service: string(s.Service), Listen: child.Loopback,
		Slots: Slots, Connections: 50, ConnectCost: time.Millisecond,
		ServiceTime: serviceTime, Jitter: serviceTime / 2,
		Cold:   backend.Cold{Slots: 1, Requests: 20, Slowdown: 2},
		Corpus: Corpus, Serves: s.servedShards(),
	}
}

// Bundle describes the contents of a bundle.
type Bundle struct {
	Version uint64
	// Halves adds LayoutHalves to ServiceArchive.
	Halves bool
	// HedgePercentile lets two bundles differ while their layouts are equal; 0 is
	// 95.
	HedgePercentile float64
}

// yaml returns the bundle as YAML with the given server addresses.
func (b Bundle) yaml(addresses map[model.ServerName]string) []byte {
	if b.HedgePercentile == 0 {
		b.HedgePercentile = 95
	}
	var w strings.Builder
	fmt.Fprintf(&w, "version: %d\nservices:\n", b.Version)
	writeService(&w, ServiceArchive, b.HedgePercentile)
	writeLayout(&w, ServiceArchive, LayoutQuarters)
	if b.Halves {
		writeLayout(&w, ServiceArchive, LayoutHalves)
	}
	writeService(&w, ServiceOrders, b.HedgePercentile)
	writeLayout(&w, ServiceOrders, "all")
	w.WriteString("backend_servers:\n")
	for _, s := range Servers() {
		fmt.Fprintf(&w, "  - {name: %s, failure_domain: %s, address: %q, slots: %d, connections: 50, cold: {slots: 1, requests: 20}}\n",
			s.Name, s.Domain, addresses[s.Name], Slots)
	}
	return []byte(w.String())
}

func writeService(w *strings.Builder, name model.ServiceName, percentile float64) {
	fmt.Fprintf(w, "  - name: %s\n    policy: {mode: coverage_first, max_deadline: 2s, hedge_percentile: %g}\n", name, percentile)
	fmt.Fprintf(w, "    callers: [{name: %s, share: 1}]\n    layouts:\n", Caller)
}

// writeLayout writes a layout. Every server that holds one of its shards is a
// replica of that shard.
func writeLayout(w *strings.Builder, service model.ServiceName, layout string) {
	fmt.Fprintf(w, "      - name: %s\n        shards:\n", layout)
	replicas := make(map[backend.Shard][]string)
	var shards []backend.Serve
	for _, s := range Servers() {
		if s.Service != service {
			continue
		}
		for _, v := range s.servedShards() {
			if v.Layout != layout {
				continue
			}
			if replicas[v.Shard] == nil {
				shards = append(shards, v)
			}
			replicas[v.Shard] = append(replicas[v.Shard], string(s.Name))
		}
	}
	for _, v := range shards {
		fmt.Fprintf(w, "          - {name: %s, from: %q, to: %q, replicas: [%s]}\n",
			v.Name, v.From, v.To, strings.Join(replicas[v.Shard], ", "))
	}
}
