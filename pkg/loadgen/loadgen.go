// Package loadgen generates a bounded open-loop load: requests start at a fixed
// rate whether or not earlier ones have ended, so that queueing shows in the
// tail latencies.
package loadgen

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Limits of a load. They keep a mistyped flag from overloading a machine.
const (
	MaxRate     = 20000
	MaxDuration = 10 * time.Minute
	MaxRequests = 2_000_000
)

// ErrOptions is wrapped by every error about Options.
var ErrOptions = errors.New("loadgen: bad options")

// Outcome is how one request ended.
type Outcome uint8

// Outcomes.
const (
	Complete Outcome = iota
	Partial
	NotRun
	MayHaveRun
	Invalid
	Failed
	numOutcomes
)

var outcomeNames = [numOutcomes]string{"complete", "partial", "not_run", "may_have_run", "invalid", "failed"}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }

// Result is the result of one request.
type Result struct {
	Outcome  Outcome
	Asked    int
	Answered int
	// Attempts counts the sub-requests sent for the request.
	Attempts int
	// Reason says why there is no answer.
	Reason string
	// Wrong describes how an answer differs from the expected one; empty if it
	// does not.
	Wrong string
}

// Target runs the i-th request of a load.
type Target interface {
	Do(ctx context.Context, i int) Result
}

// Options describe a load.
type Options struct {
	// Rate is in requests per second.
	Rate     float64
	Duration time.Duration
	// Timeout bounds each request.
	Timeout time.Duration
	// MaxInFlight bounds the requests that run at once; a request that would
	// exceed it counts as Failed.
	MaxInFlight int
	// Seed, if not 0, makes the arrivals a Poisson process that is the same for
	// the same seed; with 0 they are evenly spaced.
	Seed uint64
	// Progress, if not nil, receives one line per second.
	Progress io.Writer
}

func (o Options) validate() error {
	switch {
	case o.Rate <= 0 || o.Rate > MaxRate:
		return fmt.Errorf("%w: rate %g is not in 0..%d requests/s", ErrOptions, o.Rate, MaxRate)
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return fmt.Errorf("%w: duration %v is not in 0..%v", ErrOptions, o.Duration, MaxDuration)
	case o.Rate*o.Duration.Seconds() > MaxRequests:
		return fmt.Errorf("%w: more than %d requests", ErrOptions, MaxRequests)
	case o.Timeout <= 0:
		return fmt.Errorf("%w: timeout %v is not positive", ErrOptions, o.Timeout)
	case o.MaxInFlight <= 0:
		return fmt.Errorf("%w: max in flight %d is not positive", ErrOptions, o.MaxInFlight)
	}
	return nil
}

// Report holds the totals of a load.
type Report struct {
	Requests int
	Elapsed  time.Duration
	Outcomes [numOutcomes]int
	Asked    int
	Answered int
	Attempts int
	// Reasons counts the requests without an answer by reason; those beyond
	// maxReasons are counted as otherReason.
	Reasons map[string]int
	Wrong   []string
	// latencies are in microseconds, measured from the planned start of a
	// request.
	latencies *hdrhistogram.Histogram
}

func newReport() *Report {
	return &Report{Reasons: make(map[string]int), latencies: hdrhistogram.New(1, time.Hour.Microseconds(), 3)}
}

func (r *Report) addReason(reason string) {
	if _, known := r.Reasons[reason]; !known && len(r.Reasons) >= maxReasons {
		reason = otherReason
	}
	r.Reasons[reason]++
}

// Percentile returns the latency of the given percentile, 0 to 100, over the
// requests that got an answer.
func (r *Report) Percentile(p float64) time.Duration {
	return time.Duration(r.latencies.ValueAtPercentile(p)) * time.Microsecond
}

// Count returns the number of requests that ended with an outcome.
func (r *Report) Count(o Outcome) int { return r.Outcomes[o] }

// Coverage returns the fraction of the shards asked that answered, 0 to 1.
func (r *Report) Coverage() float64 {
	if r.Asked == 0 {
		return 0
	}
	return float64(r.Answered) / float64(r.Asked)
}

// ExtraLoad returns the number of sub-requests beyond one per shard, as a
// fraction of the shards asked.
func (r *Report) ExtraLoad() float64 {
	if r.Asked == 0 {
		return 0
	}
	return max(0, float64(r.Attempts)/float64(r.Asked)-1)
}

// Goodput returns the complete answers per second.
func (r *Report) Goodput() float64 {
	return float64(r.Outcomes[Complete]) / r.Elapsed.Seconds()
}

const (
	// maxReasons bounds the reasons that a report counts separately.
	maxReasons  = 50
	otherReason = "other"
	// reasonInFlight is the reason of a request that was not sent because of
	// Options.MaxInFlight.
	reasonInFlight = "too many requests in flight"
)

// Add adds the report of another load, which ran at the same time, to r. It does
// not add Reasons.
func (r *Report) Add(o *Report) {
	r.Requests += o.Requests
	r.Elapsed = max(r.Elapsed, o.Elapsed)
	for i, n := range o.Outcomes {
		r.Outcomes[i] += n
	}
	r.Asked += o.Asked
	r.Answered += o.Answered
	r.Attempts += o.Attempts
	r.Wrong = append(r.Wrong, o.Wrong...)
	r.latencies.Merge(o.latencies)
}

// maxWrong bounds the wrong answers that a report keeps.
const maxWrong = 10

// run is a load in progress.
type run struct {
	opts   Options
	mu     sync.Mutex
	report *Report
	active int
}

// Run sends the load and waits for all its requests to end. It returns an
// error that wraps ErrOptions for bad options.
func Run(ctx context.Context, t Target, opts Options) (*Report, error) {
	if err := opts.validate(); err != nil {
		return nil, err
	}
	r := &run{opts: opts, report: newReport()}
	stopProgress := r.startProgress()
	start := time.Now()
	var wg sync.WaitGroup
	total := int(opts.Rate * opts.Duration.Seconds())
	next := arrivals(opts)
	for i := range total {
		planned := start.Add(next())
		if !sleepUntil(ctx, planned) {
			break
		}
		if !r.beginRequest() {
			continue
		}
		wg.Go(func() { r.runRequest(ctx, t, i, planned) })
	}
	wg.Wait()
	stopProgress()
	r.report.Elapsed = time.Since(start)
	return r.report, nil
}

// arrivals returns a function that returns the time of the next arrival, as an
// offset from the start of the load.
func arrivals(o Options) func() time.Duration {
	gap := float64(time.Second) / o.Rate
	next := 0.0
	if o.Seed == 0 {
		return func() time.Duration {
			at := next
			next += gap
			return time.Duration(at)
		}
	}
	random := rand.New(rand.NewPCG(o.Seed, 0))
	return func() time.Duration {
		next += random.ExpFloat64() * gap
		return time.Duration(next)
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// beginRequest counts a request and reports whether it may run. It returns false
// if MaxInFlight requests are already running.
func (r *run) beginRequest() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests++
	if r.active >= r.opts.MaxInFlight {
		r.report.Outcomes[Failed]++
		r.report.addReason(reasonInFlight)
		return false
	}
	r.active++
	return true
}

func (r *run) runRequest(ctx context.Context, t Target, i int, planned time.Time) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	res := t.Do(ctx, i)
	took := time.Since(planned)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active--
	rep := r.report
	rep.Outcomes[res.Outcome]++
	if res.Outcome == Complete || res.Outcome == Partial {
		rep.Asked += res.Asked
		rep.Answered += res.Answered
		rep.Attempts += res.Attempts
		_ = rep.latencies.RecordValue(max(1, took.Microseconds()))
	}
	if res.Reason != "" {
		rep.addReason(res.Reason)
	}
	if res.Wrong != "" && len(rep.Wrong) < maxWrong {
		rep.Wrong = append(rep.Wrong, res.Wrong)
	}
}

// startProgress prints one line per second until the returned function is
// called.
func (r *run) startProgress() func() {
	if r.opts.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				r.printProgress()
			case <-done:
				return
			}
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

func (r *run) printProgress() {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := r.report
	fmt.Fprintf(r.opts.Progress, "sent %d, running %d, complete %d, partial %d, refused %d, p99 %v\n",
		rep.Requests, r.active, rep.Outcomes[Complete], rep.Outcomes[Partial],
		rep.Outcomes[NotRun]+rep.Outcomes[MayHaveRun], rep.Percentile(99))
}
