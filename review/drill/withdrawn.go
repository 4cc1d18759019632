package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/platform/standin"
)

// Bounds of the site.
const (
	drain        = 5000 * time.Millisecond
	evacuateTime = 5000 * time.Millisecond
)

const (
	// ordersPerSecond is the rate of requests that must not be repeated.
	ordersPerSecond = 30.0
	// orderWork is how long a leaf works on one; 160 ms on the average at the site.
	orderWork = 200 * time.Millisecond
	// exitAfter is when the leaf ends after its report: drainMs and some seconds.
	exitAfter = drain + 3*time.Second
	// evacuatedFor is the length of the evacuation.
	evacuatedFor = 9 * time.Second
)

// startOrders starts the machines, and leafs for requests that must not be repeated.
func (s *stage) startOrders() error {
	for _, zone := range zones {
		s.addLeaf("i-one-"+zone, "one", zone, standin.Behavior{Work: orderWork, Body: []byte("order taken")})
	}
	c := routesOf(1, map[string]string{"/order/": "one", "/stays/": "one"})
	for _, r := range c.Routes {
		r.Idempotent = r.PathPrefix != "/order/"
	}
	s.store.PutConfig(c)
	s.addMachines()
	return s.startAll(14 * time.Second)
}

// orders sends orders to machines until ctx ends and returns the status of each.
func (s *stage) orders(ctx context.Context, machines []*daemon) map[string]int {
	var mu sync.Mutex
	out := map[string]int{}
	var open sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(rand.ExpFloat64() / ordersPerSecond * float64(time.Second)))
		id, d := fmt.Sprintf("order-%d", n), machines[rand.IntN(len(machines))]
		open.Go(func() {
			code, _ := s.ask(d, "POST", host, "/order/x", id, 4*time.Second)
			mu.Lock()
			defer mu.Unlock()
			out[id] = code
		})
	}
	open.Wait()
	return out
}

// arrivedLate returns the requests that reached a leaf between two times.
func arrivedLate(l *standin.Leaf, from, to time.Time) (out []standin.ReceivedRequest) {
	for _, a := range l.Arrivals() {
		if a.At.After(from) && a.At.Before(to) {
			out = append(out, a)
		}
	}
	return out
}

// leafDrains lets a leaf leave after the watchers have. Rule DRAIN: no request reaches it later
// than drainMs after the store has acknowledged its report.
func leafDrains(s *stage) error {
	if err := s.startOrders(); err != nil {
		return err
	}
	others, err := s.removeWatchers()
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(context.Background(), exitAfter+4*time.Second)
	defer stop()
	const id = "i-one-bp-del"
	l := s.leafs[id]
	var reported, exited time.Time
	time.AfterFunc(2*time.Second, func() {
		s.store.PutServer(gateway.Server{ID: id, Service: "one", Address: l.Address(), FailureDomain: "bp-del", Slots: 2, Draining: true})
		reported = time.Now()
		s.note("%s reports draining, acknowledged", id)
	})
	ended := make(chan struct{})
	time.AfterFunc(2*time.Second+exitAfter, func() {
		defer close(ended)
		exited = time.Now()
		s.note("%s ends, %v after its report", id, exited.Sub(reported).Round(time.Millisecond))
		l.Close()
		s.store.Delete("servers", id)
	})
	answers := s.orders(ctx, others)
	<-ended
	late := arrivedLate(l, reported.Add(drain), exited)
	for _, a := range late {
		s.note("order %s reached %s %d ms after its report", a.RequestID, id, a.At.Sub(reported).Milliseconds())
	}
	lost := 0
	for _, r := range l.Ran() {
		if code, isOrder := answers[r.RequestID]; isOrder && code != 200 {
			lost++
			s.note("order %s ran at %s and is lost with it: its client got %d", r.RequestID, id, code)
		}
	}
	s.note("%d orders, %d reached the leaf later than %v after its report, %d were lost with it", len(answers), len(late), drain, lost)
	if len(late) > 0 {
		s.breaks("DRAIN: %d requests reached a leaf later than drainMs after its report", len(late))
	}
	return nil
}

// zoneIsEvacuated evacuates a zone after the watchers have left. Rule EVAC: no request reaches
// a leaf there later than evacuateMs after the acknowledgement.
func zoneIsEvacuated(s *stage) error {
	if err := s.startOrders(); err != nil {
		return err
	}
	others, err := s.removeWatchers()
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(context.Background(), evacuatedFor)
	defer stop()
	s.store.Put("evacuations", "bp-del", struct{}{})
	acknowledged := time.Now()
	s.note("bp-del is evacuated, acknowledged")
	answers := s.orders(ctx, others)
	s.store.Delete("evacuations", "bp-del")
	s.note("the evacuation is taken back")
	late := arrivedLate(s.leafs["i-one-bp-del"], acknowledged.Add(evacuateTime), acknowledged.Add(evacuatedFor))
	for _, a := range late {
		s.note("order %s reached the leaf of bp-del %d ms after the acknowledgement", a.RequestID, a.At.Sub(acknowledged).Milliseconds())
	}
	s.note("%d orders, %d reached the evacuated zone later than %v after the acknowledgement", len(answers), len(late), evacuateTime)
	if len(late) > 0 {
		s.breaks("EVAC: %d requests reached a leaf of an evacuated zone", len(late))
	}
	return nil
}
