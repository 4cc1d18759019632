package bundle

import (
	"fmt"
	"strings"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// ChangeKind says what happened to a part of a bundle.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two bundles.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Path names the part, for example "service arhiv: policy.queue_limit".
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return strings.TrimSuffix("+ "+c.Path+": "+c.New, ": ")
	case Removed:
		return strings.TrimSuffix("- "+c.Path+": "+c.Old, ": ")
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
}

// Diff returns what changes from a to b, the parts of a first, in their order.
// A nil bundle has no parts.
func Diff(a, b *model.Bundle) []Change {
	if a == nil {
		a = &model.Bundle{}
	}
	if b == nil {
		b = &model.Bundle{}
	}
	d := &differ{}
	d.value("version", fmt.Sprint(a.Version), fmt.Sprint(b.Version))
	diffLists(d, "service ", a.Services, b.Services,
		func(s model.Service) string { return string(s.Name) }, serviceSummary, d.service)
	diffLists(d, "backend server ", a.Servers, b.Servers,
		func(s model.BackendServer) string { return string(s.Name) }, serverSummary, d.server)
	return d.changes
}

// differ collects changes.
type differ struct{ changes []Change }

func (d *differ) value(path, before, after string) {
	if before != after {
		d.changes = append(d.changes, Change{Kind: Changed, Path: path, Old: before, New: after})
	}
}

// diffLists compares two lists of named parts; same compares parts that are in
// both.
func diffLists[T any](d *differ, prefix string, a, b []T, name, summary func(T) string, same func(path string, a, b T)) {
	after := make(map[string]T, len(b))
	for _, x := range b {
		after[name(x)] = x
	}
	before := make(map[string]bool, len(a))
	for _, x := range a {
		before[name(x)] = true
		path := prefix + name(x)
		if y, ok := after[name(x)]; ok {
			same(path, x, y)
			continue
		}
		d.changes = append(d.changes, Change{Kind: Removed, Path: path, Old: summary(x)})
	}
	for _, x := range b {
		if !before[name(x)] {
			d.changes = append(d.changes, Change{Kind: Added, Path: prefix + name(x), New: summary(x)})
		}
	}
}

func (d *differ) service(path string, a, b model.Service) {
	d.policy(path+": policy.", a.Policy, b.Policy)
	diffLists(d, path+": caller ", a.Callers, b.Callers,
		func(c model.Caller) string { return string(c.Name) }, callerSummary,
		func(path string, a, b model.Caller) { d.value(path, callerSummary(a), callerSummary(b)) })
	d.value(path+": order of layouts", layoutNames(a.Layouts), layoutNames(b.Layouts))
	diffLists(d, path+": layout ", a.Layouts, b.Layouts,
		func(l model.Layout) string { return string(l.Name) }, layoutSummary, d.layout)
}

func (d *differ) policy(path string, a, b model.Policy) {
	d.value(path+"mode", string(a.Mode), string(b.Mode))
	d.value(path+"routing", string(a.Routing), string(b.Routing))
	d.value(path+"target", a.Target.String(), b.Target.String())
	d.value(path+"max_deadline", a.MaxDeadline.String(), b.MaxDeadline.String())
	d.value(path+"hedge_percentile", fmt.Sprint(a.HedgePercentile), fmt.Sprint(b.HedgePercentile))
	d.value(path+"hedge_budget", fmt.Sprint(a.HedgeBudget), fmt.Sprint(b.HedgeBudget))
	d.value(path+"retry_budget", fmt.Sprint(a.RetryBudget), fmt.Sprint(b.RetryBudget))
	d.value(path+"queue_limit", fmt.Sprint(a.QueueLimit), fmt.Sprint(b.QueueLimit))
	d.value(path+"max_in_flight", fmt.Sprint(a.MaxInFlight), fmt.Sprint(b.MaxInFlight))
}

func (d *differ) layout(path string, a, b model.Layout) {
	diffLists(d, path+": shard ", a.Shards, b.Shards,
		func(s model.Shard) string { return string(s.Name) }, shardSummary,
		func(path string, a, b model.Shard) { d.value(path, shardSummary(a), shardSummary(b)) })
}

func (d *differ) server(path string, a, b model.BackendServer) {
	d.value(path+": failure_domain", string(a.FailureDomain), string(b.FailureDomain))
	d.value(path+": region", a.Region, b.Region)
	d.value(path+": address", a.Address, b.Address)
	d.value(path+": slots", fmt.Sprint(a.Slots), fmt.Sprint(b.Slots))
	d.value(path+": connections", fmt.Sprint(a.Connections), fmt.Sprint(b.Connections))
	d.value(path+": connect_cost", a.ConnectCost.String(), b.ConnectCost.String())
	d.value(path+": cold.slots", fmt.Sprint(a.Cold.Slots), fmt.Sprint(b.Cold.Slots))
	d.value(path+": cold.requests", fmt.Sprint(a.Cold.Requests), fmt.Sprint(b.Cold.Requests))
}

func serviceSummary(s model.Service) string {
	return fmt.Sprintf("%s, callers %d, layouts %s", s.Policy.Mode, len(s.Callers), layoutNames(s.Layouts))
}

func callerSummary(c model.Caller) string { return fmt.Sprintf("share %v", c.Share) }

func layoutNames(layouts []model.Layout) string {
	names := make([]string, len(layouts))
	for i, l := range layouts {
		names[i] = string(l.Name)
	}
	return strings.Join(names, ", ")
}

func layoutSummary(l model.Layout) string { return fmt.Sprintf("%d shards", len(l.Shards)) }

func shardSummary(s model.Shard) string {
	return fmt.Sprintf("keys [%q, %q) on %v", s.From, s.To, s.Replicas)
}

func serverSummary(s model.BackendServer) string {
	return fmt.Sprintf("%s in %s, %d slots", s.Address, s.FailureDomain, s.Slots)
}
