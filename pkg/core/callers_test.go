package core_test

import (
	"fmt"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// caller follows the caller protocol: it looks up addresses, uses them for the
// maximum age of the lookup answer, and tries the next address when a connection
// is refused.
type caller struct {
	w          *world
	addresses  []effect.LookupAddress
	validUntil time.Duration
	serial     int
}

// refreshAddresses asks a random live daemon for addresses when the present ones
// have expired.
func (c *caller) refreshAddresses() {
	w := c.w
	if w.now < c.validUntil || len(w.nodes) == 0 {
		return
	}
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if n.dead || n.paused {
		return
	}
	asked := w.now
	t := n.expectReply(func(r any) {
		l := r.(effect.ReplyLookup)
		if l.Refusal == nil {
			c.addresses, c.validUntil = l.Addresses, asked+l.MaxAge
		}
	})
	n.post(event.LookupArrived{Token: t, Service: "search", Caller: "counter"})
}

// sendQuery sends one request to the preferred address and returns the request.
// It returns false if the caller has no valid addresses.
func (c *caller) sendQuery(idempotent bool, key string, deadline time.Duration) (model.Request, bool) {
	c.refreshAddresses()
	if len(c.addresses) == 0 || c.w.now >= c.validUntil {
		return model.Request{}, false
	}
	c.serial++
	a := c.addresses[0]
	req := model.Request{
		ID:      model.RequestID(fmt.Sprintf("%s.%d", a.RequestIDPrefix, c.serial)),
		Service: "search", Caller: "counter", Class: model.Class(c.w.rng.IntN(int(model.NumClasses))),
		Idempotent: idempotent, Query: "q", Key: key, TopK: 100,
	}
	c.sendRequest(req, c.addresses, deadline)
	return req, true
}

// sendRequest tries the addresses in order until a daemon accepts the connection,
// and checks that this daemon replies by the deadline.
func (c *caller) sendRequest(req model.Request, addresses []effect.LookupAddress, deadline time.Duration) {
	if len(addresses) == 0 {
		return
	}
	w := c.w
	n := w.byVM[addresses[0].VM]
	if n == nil || n.dead {
		if n != nil && n.exited && w.now < c.validUntil {
			w.oracle.failf("graceful stop: %s has exited while a valid lookup answer still names it", n.vm)
		}
		// Nothing was sent, so the request gets a new id with the next daemon's prefix.
		if len(addresses) > 1 && !req.Idempotent {
			c.serial++
			req.ID = model.RequestID(fmt.Sprintf("%s.%d", addresses[1].RequestIDPrefix, c.serial))
		}
		c.sendRequest(req, addresses[1:], deadline)
		return
	}
	sent := w.now
	req.Deadline = n.clock().Add(deadline)
	replied := false
	t := n.expectReply(func(r any) {
		if replied {
			w.oracle.failf("reply: %s was answered twice", req.ID)
		}
		replied = true
		w.oracle.checkReply(n, req, r.(effect.ReplyQuery), sent)
	})
	n.post(event.QueryArrived{Token: t, Request: req})
	paused := n.paused
	w.after(deadline+300*time.Millisecond, func() {
		if !replied && !n.dead && !n.paused && !paused && n.clock() >= req.Deadline+model.Time(300*time.Millisecond) && !n.resumedSince(sent) {
			w.oracle.failf("reply: %s got no reply from %s by its deadline", req.ID, n.vm)
		}
	})
}

// testBundle returns a bundle with six backend servers in three failure domains
// and one service. With layouts 1 its data is split into two shards with two
// replicas each; with layouts 2 a second layout of three shards is added.
func testBundle(version uint64, layouts int) *model.Bundle {
	domains := []model.FailureDomain{"a", "b", "c"}
	b := &model.Bundle{Version: version}
	var names []model.ServerName
	for i := range 6 {
		name := model.ServerName(fmt.Sprintf("s%d", i))
		names = append(names, name)
		b.Servers = append(b.Servers, model.BackendServer{
			Name: name, FailureDomain: domains[i%3], Address: string(name), Slots: 3, Connections: 30,
			ConnectCost: 6 * time.Millisecond, Cold: model.ColdStart{Slots: 1, Requests: 10},
		})
	}
	first := model.Layout{Name: "l1", Shards: []model.Shard{
		{Name: "p0", To: "m", Replicas: []model.ServerName{names[0], names[1]}},
		{Name: "p1", From: "m", Replicas: []model.ServerName{names[2], names[4]}},
	}}
	second := model.Layout{Name: "l2", Shards: []model.Shard{
		{Name: "q0", To: "h", Replicas: []model.ServerName{names[0], names[4]}},
		{Name: "q1", From: "h", To: "r", Replicas: []model.ServerName{names[1], names[5]}},
		{Name: "q2", From: "r", Replicas: []model.ServerName{names[2], names[3]}},
	}}
	svc := model.Service{
		Name: "search",
		Policy: model.Policy{
			Mode: model.CoverageFirst, Routing: model.RoutingOwned, Target: 58 * time.Millisecond,
			MaxDeadline: time.Second, HedgePercentile: 95, HedgeBudget: 0.05, RetryBudget: 0.1,
			QueueLimit: 64, MaxInFlight: 256,
		},
		Callers: []model.Caller{{Name: "counter", Share: 1}},
		Layouts: []model.Layout{first, second}[:layouts],
	}
	b.Services = []model.Service{svc}
	b.Index()
	return b
}

// vmNames and vmDomains are the VMs that run daemons and their failure domains.
var (
	vmNames   = []model.VM{"e0", "e1", "e2", "e3", "e4"}
	vmDomains = []model.FailureDomain{"a", "b", "c", "a", "b"}
)

// startFleet starts all daemons and gives them 6 s of simulated time to become
// ready.
func startFleet(w *world) {
	for i, vm := range vmNames {
		w.startDaemon(vm, vmDomains[i])
	}
	for range 60 {
		w.runFor(100 * time.Millisecond)
	}
	w.oracle.lastCompleteAt = w.now
}

// runFor advances time in steps of at most 100 ms and, after each step, records
// which versions the panel has accepted.
func (w *world) runFor(d time.Duration) {
	for d > 0 {
		step := min(d, 100*time.Millisecond)
		w.advance(step)
		w.oracle.recordAcceptance()
		d -= step
	}
}

// heal ends every fault and restarts or resumes the daemons that do not run.
func (w *world) heal() {
	w.cutLinks = map[[2]model.VM]bool{}
	w.lossPct = 0
	w.platform.unavailable, w.platform.servesPrevious, w.platform.losesNextReply = false, false, false
	for _, b := range w.sortedBackends() {
		b.frozen, b.draining = false, false
	}
	for i, vm := range vmNames {
		n := w.byVM[vm]
		switch {
		case n == nil || n.dead:
			w.startDaemon(vm, vmDomains[i])
		case n.paused:
			n.resume()
		}
	}
}
