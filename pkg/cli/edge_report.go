package cli

import (
	"context"
	"flag"
	"strings"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/logreport"
)

const (
	// defaultReportInterval is the length of the intervals of a report.
	defaultReportInterval = 2 * time.Second
	// minReportInterval is the shortest interval of a report; log lines have times in
	// milliseconds or finer.
	minReportInterval = time.Millisecond
	// defaultReportTop is the number of leafs, and of daemons, that a report lists.
	defaultReportTop = 10
)

// edgeReportAction summarises the lines of logs about requests.
type edgeReportAction struct {
	interval time.Duration
	top      int
	from, to timeFlag
}

// timeFlag is a time in RFC 3339; the zero value is no limit.
type timeFlag struct{ time.Time }

// String implements flag.Value.
func (t *timeFlag) String() string {
	if t.IsZero() {
		return ""
	}
	return t.Format(time.RFC3339Nano)
}

// Set implements flag.Value.
func (t *timeFlag) Set(text string) (err error) {
	t.Time, err = time.Parse(time.RFC3339Nano, text)
	return err
}

// Flags implements Action.
func (a *edgeReportAction) Flags(f *flag.FlagSet) {
	f.DurationVar(&a.interval, "interval", defaultReportInterval, "length of the intervals")
	f.IntVar(&a.top, "top", defaultReportTop, "how many leafs, and daemons, that stand out are listed")
	f.Var(&a.from, "from", "leave out lines before this `time`, as 2026-05-04T18:11:12Z")
	f.Var(&a.to, "to", "leave out lines from this `time` on")
}

// Run implements Action.
func (a *edgeReportAction) Run(_ context.Context, env *Env, args []string) (Result, error) {
	switch {
	case a.interval < minReportInterval:
		return nil, usageError("-interval: want %v or more", minReportInterval)
	case a.top < 0:
		return nil, usageError("-top: want 0 or more")
	case !a.to.IsZero() && !a.from.Before(a.to.Time):
		return nil, usageError("-from: want a time before -to")
	}
	b := logreport.NewBuilder(a.interval)
	skipped, err := readLogs(env, args, func(l logLine) error {
		if l.Timestamp.Before(a.from.Time) || !a.to.IsZero() && !l.Timestamp.Before(a.to.Time) {
			return nil
		}
		return b.Add(logreport.Line{Daemon: l.daemon(), Time: l.Timestamp, Message: l.Message, Fields: l.Fields})
	})
	if err != nil {
		return nil, err
	}
	b.AddSkipped(skipped.truncated, skipped.foreign)
	r := b.Report(a.top)
	if r.RequestLines == 0 {
		return nil, &Failure{Code: ExitFailed, Message: "no line about a request in these logs", Next: "check that these are the logs of edge daemons, and -from and -to"}
	}
	return r, nil
}

// daemon returns the name of the VM that wrote the line: the last word of From, which
// may begin with a time.
func (l logLine) daemon() string {
	return l.From[strings.LastIndexByte(l.From, ' ')+1:]
}
