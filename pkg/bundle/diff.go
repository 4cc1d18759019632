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

// Diff returns the changes from a to b. In each list, parts of a come first, in
// their order, then those added by b. A nil bundle has no parts.
func Diff(a, b *model.Bundle) []Change {
	if a == nil {
		a = &model.Bundle{}
	}
	if b == nil {
		b = &model.Bundle{}
	}
	d := &differ{}
	d.compareValue("version", fmt.Sprint(a.Version), fmt.Sprint(b.Version))
	diffLists(d, "service ", a.Services, b.Services,
		func(s model.Service) string { return string(s.Name) }, serviceSummary, d.compareService)
	diffLists(d, "backend server ", a.Servers, b.Servers,
		func(s model.BackendServer) string { return string(s.Name) }, serverSummary, d.compareServer)
	return d.changes
}

// differ collects changes.
type differ struct{ changes []Change }

func (d *differ) compareValue(path, before, after string) {
	if before != after {
		d.changes = append(d.changes, Change{Kind: Changed, Path: path, Old: before, New: after})
	}
}

// diffLists compares two lists of named parts; compare is called for parts that
// are in both.
func diffLists[T any](d *differ, prefix string, a, b []T, name, summary func(T) string, compare func(path string, a, b T)) {
	after := make(map[string]T, len(b))
	for _, x := range b {
		after[name(x)] = x
	}
	before := make(map[string]bool, len(a))
	for _, x := range a {
		before[name(x)] = true
		path := prefix + name(x)
		if y, ok := after[name(x)]; ok {
			compare(path, x, y)
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

func (d *differ) compareService(path string, a, b model.Service) {
	d.comparePolicy(path+": policy.", a.Policy, b.Policy)
	diffLists(d, path+": caller ", a.Callers, b.Callers,
		func(c model.Caller) string { return string(c.Name) }, callerSummary,
		func(path string, a, b model.Caller) { d.compareValue(path, callerSummary(a), callerSummary(b)) })
	d.compareValue(path+": order of layouts", layoutNames(a.Layouts), layoutNames(b.Layouts))
	diffLists(d, path+": layout ", a.Layouts, b.Layouts,
		func(l model.Layout) string { return string(l.Name) }, layoutSummary, d.compareLayout)
}

func (d *differ) comparePolicy(path string, a, b model.Policy) {
	d.compareValue(path+"mode", string(a.Mode), string(b.Mode))
	d.compareValue(path+"routing", string(a.Routing), string(b.Routing))
	d.compareValue(path+"target", a.Target.String(), b.Target.String())
	d.compareValue(path+"max_deadline", a.MaxDeadline.String(), b.MaxDeadline.String())
	d.compareValue(path+"hedge_percentile", fmt.Sprint(a.HedgePercentile), fmt.Sprint(b.HedgePercentile))
	d.compareValue(path+"hedge_budget", fmt.Sprint(a.HedgeBudget), fmt.Sprint(b.HedgeBudget))
	d.compareValue(path+"retry_budget", fmt.Sprint(a.RetryBudget), fmt.Sprint(b.RetryBudget))
	d.compareValue(path+"queue_limit", fmt.Sprint(a.QueueLimit), fmt.Sprint(b.QueueLimit))
	d.compareValue(path+"max_in_flight", fmt.Sprint(a.MaxInFlight), fmt.Sprint(b.MaxInFlight))
}

func (d *differ) compareLayout(path string, a, b model.Layout) {
	diffLists(d, path+": shard ", a.Shards, b.Shards,
		func(s model.Shard) string { return string(s.Name) }, shardSummary,
		func(path string, a, b model.Shard) { d.compareValue(path, shardSummary(a), shardSummary(b)) })
}

func (d *differ) compareServer(path string, a, b model.BackendServer) {
	d.compareValue(path+": failure_domain", string(a.FailureDomain), string(b.FailureDomain))
	d.compareValue(path+": region", a.Region, b.Region)
	d.compareValue(path+": address", a.Address, b.Address)
	d.compareValue(path+": slots", fmt.Sprint(a.Slots), fmt.Sprint(b.Slots))
	d.compareValue(path+": connections", fmt.Sprint(a.Connections), fmt.Sprint(b.Connections))
	d.compareValue(path+": connect_cost", a.ConnectCost.String(), b.ConnectCost.String())
	d.compareValue(path+": cold.slots", fmt.Sprint(a.Cold.Slots), fmt.Sprint(b.Cold.Slots))
	d.compareValue(path+": cold.requests", fmt.Sprint(a.Cold.Requests), fmt.Sprint(b.Cold.Requests))
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
