package fleet

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/tenant"
	"github.com/pistachiousher/pistachiousher/pkg/yamldoc"
)

// TenantProfile describes tenants. Each of them sends a share of the requests of all routes;
// the sizes of the tenants of an entry follow Zipf's law.
type TenantProfile struct {
	// Name is that of a single tenant; several have a number appended.
	Name  string
	Count int
	// Share is what the tenants of the entry send together.
	Share float64
	// Priority is that of the tenants if OwnPriority is set, otherwise that of the route counts.
	Priority    int
	OwnPriority bool
}

// sender is a tenant with its share of the requests.
type sender struct {
	name string
	// share is the share of the requests, times what multiplies it now.
	share, times float64
	tenant       *tenant.Tenant
	routes       map[string]bool
}

const maxTenants = 10000

func readTenants(list []yamldoc.Node) []TenantProfile {
	var out []TenantProfile
	for _, n := range list {
		m := n.Map("name", "count", "share", "priority", "own_priority")
		out = append(out, TenantProfile{
			Name: m.Need("name").Name(), Count: int(m.Get("count").Int(1, 1, maxTenants)), Share: m.Need("share").Float(1, 0, 1),
			Priority: int(m.Get("priority").Int(0, 0, 100)), OwnPriority: m.Get("own_priority").OneOf("no", "no", "yes") == "yes",
		})
	}
	return out
}

// senders returns the tenants; a single one without a name if the profile has none.
func (p *Profile) senders() []*sender {
	if len(p.Tenants) == 0 {
		return []*sender{{share: 1, times: 1}}
	}
	var out []*sender
	for _, t := range p.Tenants {
		total := 0.0
		for i := range t.Count {
			total += 1 / float64(i+1)
		}
		for i := range t.Count {
			name := t.Name
			if t.Count > 1 {
				name = fmt.Sprintf("%s-%d", t.Name, i)
			}
			out = append(out, &sender{
				name: name, share: t.Share / float64(i+1) / total, times: 1,
				tenant: &tenant.Tenant{Name: name, Keys: []tenant.KeyHash{tenant.HashKey(name)}, Priority: t.Priority, HasPriority: t.OwnPriority},
			})
		}
	}
	return out
}

// begun reports whether the tenant has begun to send to a route, and makes it begin.
func (s *sender) begun(route string) bool {
	if s.routes == nil {
		s.routes = map[string]bool{}
	}
	begun := s.routes[route]
	s.routes[route] = true
	return begun
}

// credential is the key that the caller sends.
func (s *sender) credential() tenant.Credential {
	if s.tenant == nil {
		return tenant.Credential{}
	}
	return tenant.Credential{Key: s.tenant.Keys[0], Present: true}
}

// TenantShares returns for each tenant the share of its requests that were answered in time.
func (r *Result) TenantShares() map[string]float64 {
	out := map[string]float64{}
	for name, c := range r.Tenants {
		out[name] = share(c.InTime, *c)
	}
	return out
}

// WriteTenants writes what each tenant got, summed over the runs, those that asked most first.
func (rs Runs) WriteTenants(out io.Writer) error {
	sums := map[string]Counts{}
	for _, r := range rs {
		for name, c := range r.Tenants {
			sums[name] = sums[name].plus(*c)
		}
	}
	names := slices.SortedFunc(maps.Keys(sums), func(a, b string) int {
		return cmp.Or(cmp.Compare(sums[b].Asked(), sums[a].Asked()), cmp.Compare(a, b))
	})
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "tenant\tasked\tin time\tlate\trefused\tfailed\tshare in time\tworth")
	for _, name := range names {
		c := sums[name]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\n", name, c.Asked(), c.InTime, c.Late, c.Refused, c.Failed, share(c.InTime, c), c.Worth())
	}
	return t.Flush()
}
