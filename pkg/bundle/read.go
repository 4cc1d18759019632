package bundle

import (
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/yamldoc"
)

// lines holds the source lines of the parts of a bundle, for the checks that
// need the whole bundle. Its indexes are those of the model's slices.
type lines struct {
	services []int
	servers  []int
	layouts  map[[2]int]int
	shards   map[[3]int]int
	replicas map[[4]int]int
	callers  map[[2]int]int
}

func newLines() *lines {
	return &lines{
		layouts:  map[[2]int]int{},
		shards:   map[[3]int]int{},
		replicas: map[[4]int]int{},
		callers:  map[[2]int]int{},
	}
}

// reader converts nodes to the model's types and records their lines.
type reader struct{ lines *lines }

func (r reader) bundle(root yamldoc.Node) *model.Bundle {
	m := root.Map("version", "services", "backend_servers")
	b := &model.Bundle{Version: m.Need("version").Int(0, 1, maxVersion)}
	for i, n := range m.Need("services").List() {
		r.lines.services = append(r.lines.services, n.Line())
		b.Services = append(b.Services, r.service(i, n))
	}
	for _, n := range m.Need("backend_servers").List() {
		r.lines.servers = append(r.lines.servers, n.Line())
		b.Servers = append(b.Servers, server(n))
	}
	return b
}

func (r reader) service(i int, n yamldoc.Node) model.Service {
	m := n.Map("name", "policy", "callers", "layouts")
	s := model.Service{
		Name:   model.ServiceName(m.Need("name").Name()),
		Policy: policy(m.Need("policy")),
	}
	for j, c := range m.Need("callers").NonEmptyList() {
		r.lines.callers[[2]int{i, j}] = c.Line()
		s.Callers = append(s.Callers, caller(c))
	}
	for j, l := range m.Need("layouts").NonEmptyList() {
		r.lines.layouts[[2]int{i, j}] = l.Line()
		s.Layouts = append(s.Layouts, r.layout(i, j, l))
	}
	return s
}

func policy(n yamldoc.Node) model.Policy {
	m := n.Map("mode", "routing", "target", "max_deadline", "hedge_percentile",
		"hedge_budget", "retry_budget", "queue_limit", "max_in_flight")
	p := model.Policy{
		Mode: model.CoverageMode(m.Need("mode").OneOf("", string(model.CoverageFirst), string(model.TailFirst))),
		Routing: model.Routing(m.Get("routing").OneOf(string(DefaultRouting), string(model.RoutingOwned),
			string(model.RoutingDirect), string(model.RoutingShare), string(model.RoutingAdaptive))),
		Target:          m.Get("target").Duration(0, minTarget, maxDeadline),
		MaxDeadline:     m.Get("max_deadline").Duration(DefaultMaxDeadline, minTarget, maxDeadline),
		HedgePercentile: m.Get("hedge_percentile").Float(DefaultHedgePercentile, 0, 99.99),
		HedgeBudget:     m.Get("hedge_budget").Float(DefaultHedgeBudget, 0, MaxHedgeBudget),
		RetryBudget:     m.Get("retry_budget").Float(DefaultRetryBudget, 0, 1),
		QueueLimit:      int(m.Get("queue_limit").Int(DefaultQueueLimit, 1, maxCount)),
		MaxInFlight:     int(m.Get("max_in_flight").Int(DefaultMaxInFlight, 1, maxCount)),
	}
	if p.Mode == model.TailFirst && !m.Has("target") {
		m.Fault(RuleTarget, "mode %s needs a target", model.TailFirst)
	}
	if p.Target > p.MaxDeadline {
		m.Get("target").Fault(RuleTarget, "target %v is above max_deadline %v", p.Target, p.MaxDeadline)
	}
	return p
}

func caller(n yamldoc.Node) model.Caller {
	m := n.Map("name", "share")
	return model.Caller{
		Name:  model.CallerName(m.Need("name").Name()),
		Share: m.Need("share").Float(0, 0, 1),
	}
}

func (r reader) layout(i, j int, n yamldoc.Node) model.Layout {
	m := n.Map("name", "shards")
	l := model.Layout{Name: model.LayoutName(m.Need("name").Name())}
	for k, s := range m.Need("shards").NonEmptyList() {
		r.lines.shards[[3]int{i, j, k}] = s.Line()
		l.Shards = append(l.Shards, r.shard([3]int{i, j, k}, s))
	}
	return l
}

func (r reader) shard(at [3]int, n yamldoc.Node) model.Shard {
	m := n.Map("name", "from", "to", "replicas")
	s := model.Shard{
		Name: model.ShardName(m.Need("name").Name()),
		From: m.Get("from").Text(),
		To:   m.Get("to").Text(),
	}
	for k, rep := range m.Need("replicas").NonEmptyList() {
		r.lines.replicas[[4]int{at[0], at[1], at[2], k}] = rep.Line()
		s.Replicas = append(s.Replicas, model.ServerName(rep.Name()))
	}
	return s
}

func server(n yamldoc.Node) model.BackendServer {
	m := n.Map("name", "failure_domain", "region", "address", "slots", "connections", "connect_cost", "cold")
	s := model.BackendServer{
		Name:          model.ServerName(m.Need("name").Name()),
		FailureDomain: model.FailureDomain(m.Need("failure_domain").Name()),
		Region:        m.Get("region").Name(),
		Address:       m.Need("address").Address(),
		Slots:         int(m.Need("slots").Int(0, 1, maxCount)),
		Connections:   int(m.Need("connections").Int(0, 1, maxCount)),
		ConnectCost:   m.Get("connect_cost").Duration(DefaultConnectCost, 0, maxConnectCost),
		Cold:          coldStart(m.Get("cold")),
	}
	if s.Connections > 0 && s.Slots > s.Connections {
		m.Get("slots").Fault(RuleSlots, "slots %d is above connections %d", s.Slots, s.Connections)
	}
	if s.Slots > 0 && s.Cold.Slots > s.Slots {
		m.Get("cold").Fault(RuleSlots, "cold.slots %d is above slots %d", s.Cold.Slots, s.Slots)
	}
	return s
}

func coldStart(n yamldoc.Node) model.ColdStart {
	m := n.Map("slots", "requests")
	return model.ColdStart{
		Slots:    int(m.Get("slots").Int(DefaultColdSlots, 1, maxCount)),
		Requests: int(m.Get("requests").Int(DefaultColdRequests, 1, maxCount)),
	}
}
