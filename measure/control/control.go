// Package control measures how a tier of processes follows its operators and
// survives the loss of daemons and of the platform: roll-outs, a failure domain
// taken out and brought back, a rolling replacement, and a platform outage.
package control

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/standin/child"
	"github.com/pistachiousher/pistachiousher/standin/processes"
)

const (
	// Daemons is the number of entry VMs of the larger of today's users.
	Daemons = 8
	// Rate is the number of queries per second; half as many orders are added.
	Rate = 80

	// settle separates the experiments.
	settle = 3 * time.Second
	// pollEvery is the resolution of the time until a version is in force.
	pollEvery = 10 * time.Millisecond
	// forceLimit bounds the wait for a version.
	forceLimit = 30 * time.Second
	outDomain  = model.FailureDomain("vukovar")
)

// Options describe a run.
type Options struct {
	RollOuts int
	// Phase is the length of the phases that end by time alone.
	Phase time.Duration
	// Outage is the length of the platform outage.
	Outage   time.Duration
	Progress io.Writer
}

// Phase is what callers saw in a part of an experiment.
type Phase struct {
	Name     string
	Length   time.Duration
	Requests int
	// Refused has the not_run and may_have_run refusals, Failed the requests
	// without any response.
	NotRun, MayHaveRun, Failed int
	// Partial answers lack shards; Coverage is the fraction of the shards asked
	// by answered requests that are in the answers.
	Partial       int
	Coverage      float64
	P50, P99, Max time.Duration
}

// Calls are platform calls by all daemons in a time.
type Calls struct {
	Name   string
	Length time.Duration
	Calls  int
}

// Result has all figures of a run.
type Result struct {
	Options  Options
	Started  time.Time
	Took     time.Duration
	RollOuts []time.Duration
	Phases   []Phase
	Calls    []Calls
	// LastWork is how long after the take-out a server of the domain got its
	// last request.
	LastWork time.Duration
	// Lost is the number of servers that the daemon killed in the outage owned.
	Lost int
	// Recovered is how long after the kill in the outage the last request was
	// sent that got no complete answer; 0 if all got one.
	Recovered time.Duration
	// OwnsAgain is the time from the end of the outage until the replacement of
	// the killed daemon owned a server.
	OwnsAgain time.Duration
	// Violations break what must always hold.
	Violations []string
}

// measurement is a running measurement.
type measurement struct {
	*processes.Tier
	Options
	result *Result
	load   *processes.Load
	// parts are the phases to be summed up at the end.
	parts []part
	// out and back are when the failure domain was taken out and brought back,
	// killed when the daemon was lost in the outage and over the outage's end.
	out, back, killed, over time.Time
}

type part struct {
	name     string
	from, to time.Time
}

// Run builds the programs, starts a tier and makes all measurements.
func Run(ctx context.Context, o Options) (*Result, error) {
	dir, err := os.MkdirTemp("", "measure-control")
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	defer os.RemoveAll(dir)
	if err := child.Build(ctx, dir); err != nil {
		return nil, err
	}
	tier, err := processes.Start(ctx, processes.Options{Bin: dir, Dir: dir, Daemons: Daemons})
	if err != nil {
		return nil, err
	}
	defer tier.Close()
	m := &measurement{Tier: tier, Options: o, result: &Result{Options: o, Started: time.Now()}}
	if err := m.run(ctx); err != nil {
		return nil, err
	}
	m.result.Took = time.Since(m.result.Started)
	return m.result, nil
}

func (m *measurement) run(ctx context.Context) error {
	time.Sleep(settle)
	if err := m.count(ctx, "idle, without requests", m.Phase); err != nil {
		return err
	}
	m.load = m.StartLoad(Rate)
	defer m.load.Stop()
	steps := []struct {
		name string
		run  func(context.Context) error
	}{
		{"roll-outs", m.rollOuts},
		{"failure domain", m.domain},
		{"rolling replacement", m.replacement},
		{"platform outage", m.outage},
	}
	for _, s := range steps {
		fmt.Fprintf(m.Progress, "%s\n", s.name)
		time.Sleep(settle)
		if err := s.run(ctx); err != nil {
			return fmt.Errorf("control: %s: %w", s.name, err)
		}
	}
	m.load.Stop()
	return m.sumUp(ctx)
}

// phase waits until a time has passed and names it.
func (m *measurement) phase(name string, length time.Duration) {
	from := time.Now()
	time.Sleep(length)
	m.parts = append(m.parts, part{name, from, time.Now()})
}

// count counts platform calls for a time.
func (m *measurement) count(ctx context.Context, name string, length time.Duration) error {
	if err := m.ResetPlatformCounts(ctx); err != nil {
		return err
	}
	time.Sleep(length)
	c, err := m.PlatformCounts(ctx)
	if err != nil {
		return err
	}
	m.result.Calls = append(m.result.Calls, Calls{name, length, c.Reads + c.Writes + c.Watches + c.Lists + c.VMs})
	return nil
}

func (m *measurement) rollOuts(ctx context.Context) error {
	from := time.Now()
	for i := range m.Options.RollOuts {
		b := processes.Bundle{Version: uint64(i) + 2, HedgePercentile: 90 + float64(i%9)}
		if err := m.Propose(ctx, b); err != nil {
			return err
		}
		start := time.Now()
		if err := m.Activate(ctx, b.Version, b.Version-1); err != nil {
			return err
		}
		if err := m.waitBundle(ctx, b.Version); err != nil {
			return err
		}
		m.result.RollOuts = append(m.result.RollOuts, time.Since(start))
		time.Sleep(time.Second)
	}
	m.parts = append(m.parts, part{"roll-outs", from, time.Now()})
	return nil
}

// waitBundle waits until every daemon has the version in force.
func (m *measurement) waitBundle(ctx context.Context, version uint64) error {
	errs := make([]error, len(m.Daemons))
	var wg sync.WaitGroup
	for i := range m.Daemons {
		wg.Go(func() { errs[i] = m.waitBundleAt(ctx, i, version) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (m *measurement) waitBundleAt(ctx context.Context, i int, version uint64) error {
	for end := time.Now().Add(forceLimit); ; time.Sleep(pollEvery) {
		s, err := m.Status(ctx, i)
		if err != nil {
			return err
		}
		if s.BundleVersion >= version {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s has bundle version %d, not %d, after %v", s.VM, s.BundleVersion, version, forceLimit)
		}
	}
}

func (m *measurement) domain(ctx context.Context) error {
	m.phase("before the take-out", m.Phase)
	if err := m.TakeOut(ctx, outDomain); err != nil {
		return err
	}
	m.out = time.Now()
	m.phase("failure domain out", m.Phase)
	m.back = time.Now()
	if err := m.BringBack(ctx, outDomain); err != nil {
		return err
	}
	m.phase("failure domain back", m.Phase)
	return nil
}

func (m *measurement) replacement(ctx context.Context) error {
	from := time.Now()
	for i := range m.Daemons {
		if err := m.StopDaemon(i); err != nil {
			return err
		}
		if err := m.StartDaemon(i); err != nil {
			return err
		}
		if err := m.WaitReady(ctx); err != nil {
			return err
		}
	}
	m.parts = append(m.parts, part{"rolling replacement", from, time.Now()})
	return nil
}

// victim returns the daemon that owns the most servers and their number.
func (m *measurement) victim(ctx context.Context) (daemon, owned int, err error) {
	for i := range m.Daemons {
		s, err := m.Status(ctx, i)
		if err != nil {
			return 0, 0, err
		}
		if s.OwnedServers > owned {
			daemon, owned = i, s.OwnedServers
		}
	}
	return daemon, owned, nil
}

// outage kills an owner at a third of the outage and starts its replacement
// soon afterwards.
func (m *measurement) outage(ctx context.Context) error {
	victim, owned, err := m.victim(ctx)
	if err != nil {
		return err
	}
	m.result.Lost = owned
	if err := m.count(ctx, "idle, with requests", m.Phase); err != nil {
		return err
	}
	if err := m.Tier.Outage(ctx, true); err != nil {
		return err
	}
	begin := time.Now()
	m.phase("outage before the kill", m.Options.Outage/3)
	m.KillDaemon(victim)
	m.killed = time.Now()
	m.phase("outage, 3 s from the kill", 3*time.Second)
	if err := m.StartDaemon(victim); err != nil {
		return err
	}
	m.phase("outage from 3 s after the kill", time.Until(begin.Add(m.Options.Outage)))
	if err := m.Tier.Outage(ctx, false); err != nil {
		return err
	}
	m.over = time.Now()
	owns := make(chan error, 1)
	go func() {
		err := m.WaitOwner(ctx, victim, forceLimit)
		m.result.OwnsAgain = time.Since(m.over)
		owns <- err
	}()
	if err := m.count(ctx, "from the end of the outage", 10*time.Second); err != nil {
		return err
	}
	m.parts = append(m.parts, part{"after the outage", m.over, time.Now()})
	return <-owns
}
