package capacity

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pistachiousher/pistachiousher/pkg/core/placement"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	regionName     = "region-1"
	serviceName    = model.ServiceName("arhiv")
	layoutName     = model.LayoutName("layout-1")
	callerName     = model.CallerName("office")
	indexVersion   = 5
	regionDomains  = 4
	panelLimit     = 7
	epochNumber    = 1
	bundleVersion  = 1
	leafSlots      = 6
	leafConns      = 110
	shardsPerLeafs = 1900.0 / 2300.0 // of the design scale
)

// world is one region with generated names: its bundle, members and epoch.
type world struct {
	bundle *model.Bundle
	epoch  *model.Epoch
	yaml   string
	// reports has one report per leaf, by index; places their indexes.
	reports []model.ServerReport
	places  map[model.ServerName]int
}

// newWorld returns a region in the proportions of the design scale.
func newWorld(leafs, members int) *world {
	w := &world{bundle: newBundle(leafs)}
	w.epoch = newEpoch(w.bundle, epochNumber, newMembers(members), nil)
	w.yaml = bundleYAML(w.bundle)
	w.places = make(map[model.ServerName]int, leafs)
	for i := range w.bundle.Servers {
		w.reports = append(w.reports, w.newReport(i))
		w.places[w.bundle.Servers[i].Name] = i
	}
	return w
}

func domain(i int) model.FailureDomain {
	return model.FailureDomain(fmt.Sprintf("domain-%c", 'a'+i%regionDomains))
}

func newMembers(n int) []model.Member {
	members := make([]model.Member, n)
	for i := range members {
		members[i] = model.Member{
			MemberRef: model.MemberRef{
				VM: model.VM(fmt.Sprintf("entry-%03d", i)), Incarnation: model.Incarnation(1_700_000_000_000<<20 + i),
			},
			FailureDomain: domain(i),
			PeerAddress:   fmt.Sprintf("10.1.%d.%d:7002", i/250, i%250+1),
			CallerAddress: fmt.Sprintf("10.1.%d.%d:7001", i/250, i%250+1),
		}
	}
	return members
}

func newEpoch(b *model.Bundle, number uint64, members []model.Member, previous []model.MemberRef) *model.Epoch {
	listed := make(map[model.VM]bool, len(members))
	for _, m := range members {
		listed[m.VM] = true
	}
	e := &model.Epoch{Region: regionName, Number: number, Members: members, PreviousPanel: previous}
	e.Panel = placement.Panel(members, listed, previous, panelLimit)
	for _, s := range b.Servers {
		e.Servers = append(e.Servers, model.ServerHome{Server: s.Name, FailureDomain: s.FailureDomain})
	}
	return e
}

// newBundle gives every shard one replica, and a second one to as many shards
// as there are leafs left.
func newBundle(leafs int) *model.Bundle {
	b := &model.Bundle{Version: bundleVersion}
	shards := max(1, int(float64(leafs)*shardsPerLeafs))
	layout := model.Layout{Name: layoutName, Shards: make([]model.Shard, shards)}
	for i := range layout.Shards {
		sh := &layout.Shards[i]
		sh.Name = model.ShardName(fmt.Sprintf("shard-%04d", i))
		if i > 0 {
			sh.From = fmt.Sprintf("k%05d", i)
			layout.Shards[i-1].To = sh.From
		}
	}
	for i := range leafs {
		s := newServer(i)
		b.Servers = append(b.Servers, s)
		sh := &layout.Shards[i%shards]
		sh.Replicas = append(sh.Replicas, s.Name)
	}
	b.Services = []model.Service{{
		Name:    serviceName,
		Policy:  defaultPolicy(),
		Callers: []model.Caller{{Name: callerName, Share: 1}},
		Layouts: []model.Layout{layout},
	}}
	b.Index()
	return b
}

func newServer(i int) model.BackendServer {
	return model.BackendServer{
		Name:          model.ServerName(fmt.Sprintf("arhiv-%04d", i)),
		FailureDomain: domain(i),
		Address:       fmt.Sprintf("10.2.%d.%d:9001", i/250, i%250+1),
		Slots:         leafSlots,
		Connections:   leafConns,
		Cold:          model.ColdStart{Slots: leafSlots, Requests: 20},
	}
}

func bundleYAML(b *model.Bundle) string {
	var y strings.Builder
	s := &b.Services[0]
	fmt.Fprintf(&y, "version: %d\nservices:\n  - name: %s\n    policy: {mode: coverage_first, queue_limit: 1000, max_in_flight: 1000}\n", b.Version, s.Name)
	fmt.Fprintf(&y, "    callers: [{name: %s, share: 1}]\n    layouts:\n      - name: %s\n        shards:\n", s.Callers[0].Name, layoutName)
	for _, sh := range s.Layouts[0].Shards {
		names := make([]string, len(sh.Replicas))
		for i, r := range sh.Replicas {
			names[i] = string(r)
		}
		fmt.Fprintf(&y, "          - {name: %s,", sh.Name)
		if sh.From != "" {
			fmt.Fprintf(&y, " from: %s,", sh.From)
		}
		if sh.To != "" {
			fmt.Fprintf(&y, " to: %s,", sh.To)
		}
		fmt.Fprintf(&y, " replicas: [%s]}\n", strings.Join(names, ", "))
	}
	y.WriteString("backend_servers:\n")
	for _, v := range b.Servers {
		fmt.Fprintf(&y, "  - {name: %s, failure_domain: %s, address: %q, slots: %d, connections: %d}\n",
			v.Name, v.FailureDomain, v.Address, v.Slots, v.Connections)
	}
	return y.String()
}

// newReport returns the report of the leaf's first owner.
func (w *world) newReport(i int) model.ServerReport {
	layout := &w.bundle.Services[0].Layouts[0]
	server := &w.bundle.Servers[i]
	owners := placement.Owners(server.Name, server.FailureDomain, w.epoch.Members)
	return model.ServerReport{
		Server:   server.Name,
		Owner:    w.epoch.Members[owners[0]].MemberRef,
		Sequence: 1,
		Usable:   true,
		Limit:    leafSlots,
		Load:     leafSlots,
		Serves: []model.Serving{{
			Layout:   layoutName,
			Shard:    layout.Shards[i%len(layout.Shards)].Name,
			Versions: []uint64{indexVersion - 1, indexVersion},
		}},
	}
}

// serverReports returns the reports of the first n leafs.
func (w *world) serverReports(n int, sequence uint64) []model.ServerReport {
	reports := slices.Clone(w.reports[:n])
	for i := range reports {
		reports[i].Sequence = sequence
	}
	return reports
}

func (w *world) memberReports(n int, sequence uint64) []model.MemberReport {
	reports := make([]model.MemberReport, n)
	for i := range reports {
		reports[i] = model.MemberReport{Member: w.epoch.Members[i], Sequence: sequence, Serving: true}
	}
	return reports
}

// header is that of a message of the member.
func (w *world) header(ref model.MemberRef) model.Header {
	return model.Header{From: ref, BundleVersion: w.bundle.Version, Epoch: w.epoch.Number}
}

// ordinary returns a member that is not on the panel, or the last one.
func (w *world) ordinary() model.Member {
	for _, m := range w.epoch.Members {
		if !w.onPanel(m.MemberRef) {
			return m
		}
	}
	return w.epoch.Members[len(w.epoch.Members)-1]
}

func (w *world) onPanel(ref model.MemberRef) bool {
	for _, p := range w.epoch.Panel {
		if p == ref {
			return true
		}
	}
	return false
}

func (w *world) member(ref model.MemberRef) model.Member {
	m, _ := w.epoch.Member(ref.VM)
	return m
}
