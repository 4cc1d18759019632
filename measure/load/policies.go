// Package load compares the routing policies under load: it starts stand-ins
// and daemons as processes on loopback, sends the same open-loop load to each
// policy and reports latency, coverage, extra load, goodput and what the
// backend servers counted.
package load

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/api"
	"github.com/pistachiousher/pistachiousher/pkg/loadgen"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/standin/backend"
	"github.com/pistachiousher/pistachiousher/standin/child"
)

const (
	// maxInFlight bounds the running requests of a service's load.
	maxInFlight = 2000
	// warmTime at half load lets limits and estimates settle.
	warmTime = 3 * time.Second
	// pause lets the queues drain between two loads.
	pause = 500 * time.Millisecond
	// callerGrace is added to the deadline until a caller gives up.
	callerGrace = time.Second
)

// Loads are the offered loads, relative to what the servers bear.
var Loads = []float64{0.5, 1, 2}

// Variant is one way to route.
type Variant struct {
	Name    string
	Routing string
	// WaitForAll makes every service coverage_first.
	WaitForAll bool
}

// Variants are compared side by side. The naive baseline waits for all shards
// up to the deadline of the request.
var Variants = []Variant{
	{Name: "owned", Routing: "owned"},
	{Name: "direct", Routing: "direct", WaitForAll: true},
	{Name: "share", Routing: "share"},
	{Name: "adaptive", Routing: "adaptive"},
}

// Options of a comparison.
type Options struct {
	Setup    *Setup
	Rounds   int
	Duration time.Duration
	Seed     uint64
	// Only limits the comparison to some variants; nil takes all.
	Only []string
	// Loads are the offered loads; nil takes Loads.
	Loads []float64
	// Keep is a directory for the logs; empty keeps none.
	Keep     string
	Progress io.Writer
}

// Cell is the result of one load of one variant in one round.
type Cell struct {
	Variant string
	Load    float64
	Report  *loadgen.Report
	Counts  backend.Counts
	// CPU is the daemons' processor time.
	CPU time.Duration
}

// Result is that of a comparison.
type Result struct {
	Setup string
	// Bears is the queries per second that each service's servers bear.
	Bears map[string]float64
	Cells []Cell
}

// Run runs the comparison. Variants alternate; a round gives each the same
// seed of the stand-ins and of the arrivals.
func Run(ctx context.Context, o Options) (*Result, error) {
	dir, err := os.MkdirTemp("", "measure-load-")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", child.ErrProcess, err)
	}
	defer os.RemoveAll(dir)
	if err := child.Build(ctx, dir); err != nil {
		return nil, err
	}
	r := &Result{Setup: o.Setup.Name}
	if r.Bears, err = measureBears(ctx, o, dir); err != nil {
		return nil, err
	}
	variants := o.variants()
	for round := range o.Rounds {
		for i := range variants {
			v := variants[(i+round)%len(variants)]
			fmt.Fprintf(o.Progress, "round %d of %d: %s\n", round+1, o.Rounds, v.Name)
			cells, err := runVariant(ctx, o, dir, r.Bears, v, round)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", v.Name, err)
			}
			r.Cells = append(r.Cells, cells...)
		}
	}
	return r, nil
}

func (o *Options) variants() []Variant {
	if len(o.Only) == 0 {
		return Variants
	}
	var list []Variant
	for _, name := range o.Only {
		for _, v := range Variants {
			if v.Name == name {
				list = append(list, v)
			}
		}
	}
	return list
}

func (o *Options) loads() []float64 {
	if len(o.Loads) == 0 {
		return Loads
	}
	return o.Loads
}

func measureBears(ctx context.Context, o Options, bin string) (map[string]float64, error) {
	dir := filepath.Join(bin, "bears")
	if err := os.Mkdir(dir, 0o700); err != nil {
		return nil, fmt.Errorf("%w: %w", child.ErrProcess, err)
	}
	t, err := startBackends(o.Setup, bin, dir, o.Seed)
	if err != nil {
		return nil, err
	}
	defer t.stop()
	return t.bears(ctx)
}

// runVariant runs all loads against fresh processes.
func runVariant(ctx context.Context, o Options, bin string, bears map[string]float64, v Variant, round int) ([]Cell, error) {
	parent := bin
	if o.Keep != "" {
		parent = o.Keep
	}
	dir := filepath.Join(parent, fmt.Sprintf("%s-%d", v.Name, round))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("%w: %w", child.ErrProcess, err)
	}
	seed := o.Seed + uint64(round)*1000
	t, err := startBackends(o.Setup, bin, dir, seed)
	if err != nil {
		return nil, err
	}
	defer t.stop()
	if err := t.startDaemons(ctx, v); err != nil {
		return nil, err
	}
	targets := t.targets()
	if _, err := send(ctx, targets, bears, o.Setup.Deadline, 0.5, warmTime, seed); err != nil {
		return nil, err
	}
	var cells []Cell
	for _, load := range o.loads() {
		time.Sleep(pause)
		cell, err := t.measure(ctx, targets, bears, load, o.Duration, seed)
		if err != nil {
			return nil, err
		}
		cell.Variant = v.Name
		cells = append(cells, cell)
	}
	return cells, nil
}

func (t *tier) targets() []*target {
	client, next := &api.Client{HTTP: newHTTP()}, new(atomic.Uint64)
	var list []*target
	for i := range t.setup.Services {
		list = append(list, &target{client: client, setup: t.setup, service: model.ServiceName(t.setup.Services[i].Name), callers: t.callers, next: next})
	}
	return list
}

// measure sends one load and takes the differences of the counters.
func (t *tier) measure(ctx context.Context, targets []*target, bears map[string]float64, load float64, d time.Duration, seed uint64) (Cell, error) {
	cell := Cell{Load: load}
	before, err := t.counts(ctx)
	if err != nil {
		return cell, err
	}
	cpuBefore, err := t.cpu()
	if err != nil {
		return cell, err
	}
	if cell.Report, err = send(ctx, targets, bears, t.setup.Deadline, load, d, seed); err != nil {
		return cell, err
	}
	cpuAfter, err := t.cpu()
	if err != nil {
		return cell, err
	}
	after, err := t.counts(ctx)
	cell.CPU = cpuAfter - cpuBefore
	cell.Counts = difference(after, before)
	return cell, err
}

func difference(a, b backend.Counts) backend.Counts {
	a.Requests -= b.Requests
	a.Ran -= b.Ran
	a.Violations -= b.Violations
	a.Queued -= b.Queued
	a.FallOvers -= b.FallOvers
	a.Canceled -= b.Canceled
	a.Expired -= b.Expired
	a.ConnectionsRefused -= b.ConnectionsRefused
	return a
}

// send sends load to all services at once and sums their reports up.
func send(ctx context.Context, targets []*target, bears map[string]float64, deadline time.Duration, load float64, d time.Duration, seed uint64) (*loadgen.Report, error) {
	reports := make([]*loadgen.Report, len(targets))
	errs := make([]error, len(targets))
	var wg sync.WaitGroup
	for i, t := range targets {
		wg.Go(func() {
			reports[i], errs[i] = loadgen.Run(ctx, t, loadgen.Options{
				Rate:        load * bears[string(t.service)],
				Duration:    d,
				Timeout:     deadline + callerGrace,
				MaxInFlight: maxInFlight,
				Seed:        seed + uint64(i) + 1,
			})
		})
	}
	wg.Wait()
	total := reports[0]
	for i, err := range errs {
		if err != nil {
			return nil, err
		}
		if i > 0 {
			total.Add(reports[i])
		}
	}
	return total, ctx.Err()
}
