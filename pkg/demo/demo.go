// Package demo runs a complete query tier in one process as an introduction: the
// Tomašić example with a daemon in each of three failure domains. It queries
// every service, sends a load while a failure domain is taken out of service
// and brought back, and checks the answers against a direct search and the
// outcomes against what the backend servers ran.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/apex/log"

	"github.com/pistachiousher/pistachiousher/examples"
	"github.com/pistachiousher/pistachiousher/pkg/api"
	"github.com/pistachiousher/pistachiousher/pkg/loadgen"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/standin/backend"
	"github.com/pistachiousher/pistachiousher/standin/cluster"
)

const (
	// startTimeout bounds the time until every service answers completely.
	startTimeout = 20 * time.Second
	// actionDelay is how long the load of a phase runs before its take-out or
	// bring-back.
	actionDelay = 500 * time.Millisecond
	// stopWorkLimit is the time after which a failure domain that was taken out
	// must get no new work.
	stopWorkLimit = 3 * time.Second

	defaultRate  = 150
	defaultPhase = 6 * time.Second
	deadline     = 2 * time.Second
	// replyMargin is added to the deadline so that the reply can still arrive.
	replyMargin = time.Second
	inFlight    = 1000
	topK        = 10

	serviceTime   = 2 * time.Millisecond
	serviceJitter = 2 * time.Millisecond
	// Stragglers cause hedges, which show in the extra load.
	stragglerProbability = 0.01
	stragglerDelay       = 80 * time.Millisecond
	// orderFraction is the fraction of requests that are not idempotent.
	orderFraction = 0.1
)

// caller and outDomain are named in the example's bundle.
const (
	caller    = model.CallerName("finishing-bench")
	outDomain = model.FailureDomain("vukovar")
)

// daemons are the entry daemons, one in each failure domain.
var daemons = []cluster.Daemon{
	{VM: "entry-1", FailureDomain: "osijek-a"},
	{VM: "entry-2", FailureDomain: "osijek-b"},
	{VM: "entry-3", FailureDomain: "vukovar"},
}

// loadServices are the services that get the load: the two large ones and a few
// small ones.
var loadServices = []model.ServiceName{
	"arhiv", "nabava", "narudzbe-01", "narudzbe-02", "narudzbe-03", "racuni-01", "racuni-02", "racuni-03",
}

// queries use words of the generated documents.
var queries = []string{
	"leather spine", "gold edge folio", "blue ribbon", "invoice", "paper board press", "oak crate delivery",
}

// classes are the shares of the request classes in the load.
var classes = []loadgen.Share{
	{Class: model.Urgent.String(), Weight: 0.2},
	{Class: model.Normal.String(), Weight: 0.6},
	{Class: model.Bulk.String(), Weight: 0.2},
}

// Options configure a run. The zero value selects the defaults.
type Options struct {
	// Rate of the load in requests per second; 0 is the default.
	Rate float64
	// Phase is the length of each phase under load; 0 is the default. It must
	// be longer than the 3 s after which a failure domain gets no new work.
	Phase time.Duration
	// Progress receives one line for each step; nil discards them.
	Progress io.Writer
	// Log receives the log lines of the daemons; nil discards them.
	Log io.Writer
}

func (o *Options) setDefaults() error {
	if o.Rate == 0 {
		o.Rate = defaultRate
	}
	if o.Phase == 0 {
		o.Phase = defaultPhase
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	if o.Phase <= actionDelay+stopWorkLimit {
		return fmt.Errorf("demo: a phase of %v is not longer than %v", o.Phase, actionDelay+stopWorkLimit)
	}
	return nil
}

// demo is one run of the demo.
type demo struct {
	options  Options
	cluster  *cluster.Cluster
	session  *api.Session
	expected expectedResults
	sent     sentRequests
	report   *Report
	// takenOut and broughtBack are the times just before the failure domain was
	// taken out and brought back.
	takenOut    time.Time
	broughtBack time.Time
}

// Run runs the demo. The report's Faults list the checks that failed. Run
// returns an error if the demo could not be completed; the report is then
// incomplete.
func Run(ctx context.Context, o Options) (*Report, error) {
	d := &demo{options: o, report: new(Report)}
	if err := d.options.setDefaults(); err != nil {
		return d.report, err
	}
	start := time.Now()
	if err := d.start(ctx); err != nil {
		return d.report, err
	}
	defer d.cluster.Close()
	d.report.StartSeconds = time.Since(start).Seconds()
	if err := d.queryServices(ctx); err != nil {
		return d.report, err
	}
	if err := d.phases(ctx); err != nil {
		return d.report, err
	}
	d.checkRuns()
	return d.report, nil
}

func (d *demo) printProgress(format string, args ...any) {
	fmt.Fprintf(d.options.Progress, format+"\n", args...)
}

func (d *demo) start(ctx context.Context) error {
	d.printProgress("starting the platform, backend servers and %d daemons", len(daemons))
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	c, err := cluster.Start(ctx, cluster.Options{
		Bundle:    examples.Tomasic,
		Daemons:   daemons,
		Backend:   configureBackend,
		LogOutput: d.options.Log,
		LogLevel:  log.InfoLevel,
	})
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	if err := c.WaitServing(ctx); err != nil {
		c.Close()
		return fmt.Errorf("demo: %w", err)
	}
	d.cluster = c
	d.session = api.NewSession(nil, c.CallerAddresses())
	d.expected = expectedResults{cluster: c, items: make(map[string][]cluster.Item)}
	d.report.Servers = len(c.Bundle().Servers)
	d.report.Services = len(c.Bundle().Services)
	return nil
}

func configureBackend(_ model.BackendServer, cfg *backend.Config) {
	cfg.ServiceTime, cfg.Jitter = serviceTime, serviceJitter
	cfg.Straggler = backend.Straggler{Probability: stragglerProbability, Delay: stragglerDelay}
}

// queryServices sends every query to every service, once over all shards and
// once for one key.
func (d *demo) queryServices(ctx context.Context) error {
	docs := d.cluster.Documents()
	for i, s := range d.cluster.Bundle().Services {
		for j, text := range queries {
			key := docs[(i*len(queries)+j)*len(docs)/(len(queries)*d.report.Services)].Key
			for _, k := range []string{"", key} {
				if err := d.query(ctx, s.Name, text, k); err != nil {
					return err
				}
			}
		}
	}
	d.printProgress("%d answers equal those of a direct search", d.report.Checked)
	return nil
}

func (d *demo) query(ctx context.Context, service model.ServiceName, text, key string) error {
	q := api.QueryRequest{Caller: caller, Idempotent: true, DeadlineMS: deadline.Milliseconds(), Query: text, Key: key, TopK: topK}
	answer, id, err := d.session.Query(ctx, service, q)
	if err != nil {
		return fmt.Errorf("demo: query %q to %s, request id %s: %w", text, service, id, err)
	}
	if wrong := d.expected.check(service, q, answer); wrong != "" {
		d.report.addFault("%s", wrong)
	}
	d.report.Checked++
	return nil
}

// phases runs the three phases, each under load.
func (d *demo) phases(ctx context.Context) error {
	for i, p := range []struct {
		name   string
		action func(context.Context) error
	}{
		{"all domains", nil},
		{string(outDomain) + " out", d.takeOut},
		{string(outDomain) + " back", d.bringBack},
	} {
		d.printProgress("phase %q, %v at %g requests/s", p.name, d.options.Phase, d.options.Rate)
		if err := d.phase(ctx, uint64(i), p.name, p.action); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) phase(ctx context.Context, seed uint64, name string, action func(context.Context) error) error {
	done := make(chan error, 1)
	go func() { done <- afterDelay(ctx, action) }()
	r, err := loadgen.Run(ctx, d.callers(seed), loadgen.Options{
		Rate:        d.options.Rate,
		Duration:    d.options.Phase,
		Timeout:     deadline + replyMargin,
		MaxInFlight: inFlight,
	})
	if err := <-done; err != nil {
		return fmt.Errorf("demo: %s: %w", name, err)
	}
	if err != nil {
		return fmt.Errorf("demo: %s: %w", name, err)
	}
	if ctx.Err() != nil {
		return fmt.Errorf("demo: %s: %w", name, ctx.Err())
	}
	d.addPhase(name, r)
	return nil
}

func afterDelay(ctx context.Context, action func(context.Context) error) error {
	if action == nil {
		return nil
	}
	select {
	case <-time.After(actionDelay):
		return action(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (d *demo) addPhase(name string, r *loadgen.Report) {
	s := r.Summary()
	d.report.Phases = append(d.report.Phases, Phase{Name: name, Summary: s})
	d.report.Checked += r.Count(loadgen.Complete) + r.Count(loadgen.Partial)
	for _, wrong := range s.Wrong {
		d.report.addFault("%s: %s", name, wrong)
	}
	if r.Count(loadgen.Complete) == 0 {
		d.report.addFault("%s: no complete answer", name)
	}
}

func (d *demo) callers(seed uint64) *loadgen.Callers {
	return &loadgen.Callers{
		Session:  d.session,
		Services: loadServices,
		Caller:   caller,
		Queries:  queries,
		Classes:  classes,
		Orders:   orderFraction,
		Deadline: deadline,
		TopK:     topK,
		Seed:     seed,
		Check:    d.expected.check,
		Sent:     d.sent.add,
	}
}

func (d *demo) takeOut(ctx context.Context) error {
	d.takenOut = time.Now()
	_, err := d.cluster.TakeOut(ctx, outDomain)
	return err
}

func (d *demo) bringBack(ctx context.Context) error {
	d.broughtBack = time.Now()
	_, err := d.cluster.BringBack(ctx, outDomain)
	return err
}
