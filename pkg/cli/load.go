package cli

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/api"
	"github.com/pistachiousher/pistachiousher/pkg/loadgen"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	defaultRate     = 50.0
	defaultDuration = 10 * time.Second
	defaultInFlight = 1000
)

// loadAction sends a load of queries and reports how the requests ended.
type loadAction struct {
	entry    entryFlags
	options  loadgen.Options
	callers  loadgen.Callers
	classes  string
	queries  string
	progress bool
}

type loaded struct{ loadgen.Summary }

func (a *loadAction) Flags(f *flag.FlagSet) {
	f.StringVar(&a.entry.entries, "entry", "", "caller `addresses` of any entry VMs, ip:port, separated by commas")
	f.StringVar(&a.entry.service, "service", "", "`names` of the services, separated by commas; each request goes to one of them")
	f.StringVar(&a.entry.caller, "caller", "", "`name` of the caller in the bundle")
	f.Float64Var(&a.options.Rate, "rate", defaultRate, "requests per second, sent whether or not earlier ones have ended")
	f.DurationVar(&a.options.Duration, "duration", defaultDuration, "how long to send")
	f.IntVar(&a.options.MaxInFlight, "max-in-flight", defaultInFlight, "requests that may run at once; further ones are not sent and count as failed")
	f.StringVar(&a.classes, "class", model.Normal.String(), "`class`, or shares such as urgent=0.1,normal=0.8,bulk=0.1")
	f.Float64Var(&a.callers.Orders, "order-fraction", 0, "`fraction` of requests that are not idempotent")
	f.DurationVar(&a.callers.Deadline, "deadline", defaultDeadline, "deadline of each request")
	f.IntVar(&a.callers.TopK, "top-k", defaultTopK, "number of items")
	f.StringVar(&a.queries, "queries", "", "`file` with a query in each line, instead of the arguments")
	f.Uint64Var(&a.callers.Seed, "seed", 1, "the same `seed` draws the same requests")
	f.BoolVar(&a.progress, "progress", true, "print a line a second on standard error")
}

func (a *loadAction) Run(ctx context.Context, env *Env, args []string) (Result, error) {
	if err := a.prepare(args); err != nil {
		return nil, err
	}
	if a.progress {
		a.options.Progress = env.Stderr
	}
	report, err := loadgen.Run(ctx, &a.callers, a.options)
	if errors.Is(err, loadgen.ErrOptions) {
		return nil, usageError("%v", err)
	}
	if err != nil {
		return nil, err
	}
	return loaded{report.Summary()}, loadFailure(report)
}

func (a *loadAction) prepare(args []string) error {
	entries, err := addressList("entry", a.entry.entries)
	if err != nil {
		return err
	}
	if len(entries) == 0 || a.entry.service == "" || a.entry.caller == "" {
		return usageError("-entry, -service and -caller are required")
	}
	if a.callers.Classes, err = parseShares(a.classes); err != nil {
		return err
	}
	if a.callers.Queries, err = readQueries(a.queries, args); err != nil {
		return err
	}
	for _, s := range strings.Split(a.entry.service, ",") {
		a.callers.Services = append(a.callers.Services, model.ServiceName(s))
	}
	a.callers.Caller = model.CallerName(a.entry.caller)
	a.callers.Session = api.NewSession(loadClient(a.options.MaxInFlight), entries)
	a.options.Timeout = a.callers.Deadline + replyMargin
	if err := a.callers.Validate(); err != nil {
		return usageError("%v", err)
	}
	return nil
}

// loadClient returns a client that keeps an idle connection for every request
// that may run at once, so that connections are reused under load.
func loadClient(inFlight int) *api.Client {
	return &api.Client{HTTP: &http.Client{
		Transport:     &http.Transport{MaxIdleConns: inFlight, MaxIdleConnsPerHost: inFlight},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// parseShares parses one class, such as "normal", or weighted classes, such as
// "urgent=0.1,normal=0.9".
func parseShares(text string) ([]loadgen.Share, error) {
	var shares []loadgen.Share
	for _, part := range strings.Split(text, ",") {
		class, weight, found := strings.Cut(part, "=")
		share := loadgen.Share{Class: class, Weight: 1}
		if found {
			w, err := strconv.ParseFloat(weight, 64)
			if err != nil {
				return nil, usageError("-class: weight %q of class %s is not a number", weight, class)
			}
			share.Weight = w
		}
		shares = append(shares, share)
	}
	return shares, nil
}

// readQueries returns the queries given as arguments, or else those in the
// file at path, one per line.
func readQueries(path string, args []string) ([]string, error) {
	if (path == "") == (len(args) == 0) {
		return nil, usageError("give queries either as arguments or by -queries")
	}
	if path == "" {
		return args, nil
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return queryLines(f)
}

func queryLines(r io.Reader) ([]string, error) {
	var queries []string
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		if text := strings.TrimSpace(lines.Text()); text != "" {
			queries = append(queries, text)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("queries: %w", err)
	}
	if len(queries) == 0 {
		return nil, usageError("-queries: the file has no query")
	}
	return queries, nil
}

// loadFailure returns the failure that determines the exit code of a load, or
// nil. Refusals and partial answers are expected under load; if any request was
// answered, they are reported but do not fail the command.
func loadFailure(r *loadgen.Report) error {
	answers := r.Count(loadgen.Complete) + r.Count(loadgen.Partial)
	switch {
	case len(r.Wrong) > 0:
		return &Failure{Code: ExitFailed, Message: "some answers were wrong", Next: "look at the logs of the daemons for the request ids above"}
	case r.Count(loadgen.Failed) > 0:
		return &Failure{Code: ExitFailed, Message: fmt.Sprintf("%d requests were not sent", r.Count(loadgen.Failed)),
			Next: "the daemons are slower than the rate needs; lower -rate or raise -max-in-flight"}
	case r.Count(loadgen.Invalid) > 0:
		return &Failure{Code: ExitUsage, Message: fmt.Sprintf("%d requests were invalid", r.Count(loadgen.Invalid)),
			Next: "correct the flags as the reasons say"}
	case answers > 0:
		return nil
	case r.Count(loadgen.MayHaveRun) > 0:
		return &Failure{Code: ExitMayHaveRun, Message: "no request was answered, and some may have run", Next: "look at the reasons, and at the daemons with `status`"}
	}
	return &Failure{Code: ExitNotRun, Message: "no request ran", Next: "look at the reasons, and at the daemons with `status`"}
}
