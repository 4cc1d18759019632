package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"
)

// edgeFollowAction finds the log lines of a request, and lines about its leafs
// that were logged shortly before.
type edgeFollowAction struct{ context time.Duration }

// Flags implements Action.
func (a *edgeFollowAction) Flags(f *flag.FlagSet) {
	f.DurationVar(&a.context, "context", 2*time.Second, "how long before the request's line changes of leafs, daemons and configuration are shown")
}

type followed struct {
	Request []logLine `json:"request"`
	// Before are earlier lines about leafs that the request's first line names.
	Before []logLine `json:"before"`
}

// WriteText implements Result.
func (f followed) WriteText(w io.Writer) error {
	for _, part := range []struct {
		title string
		lines []logLine
	}{{"the request", f.Request}, {"what became of its leafs before", f.Before}} {
		if len(part.lines) == 0 {
			continue
		}
		if _, err := fmt.Fprintf(w, "%s:\n", part.title); err != nil {
			return err
		}
		for _, l := range part.lines {
			if _, err := fmt.Fprintf(w, "  %s %s %s %s\n", l.Timestamp.Format(time.RFC3339Nano), l.From, l.Message, l.fields()); err != nil {
				return err
			}
		}
	}
	return nil
}

// Run implements Action. Lines without a JSON object are skipped, because the
// logs of several processes may be mixed.
func (a *edgeFollowAction) Run(_ context.Context, env *Env, args []string) (Result, error) {
	if len(args) == 0 {
		return nil, usageError("want a request id")
	}
	var lines []logLine
	_, err := readLogs(env, args[1:], func(l logLine) error { lines = append(lines, l); return nil })
	if err != nil {
		return nil, err
	}
	var f followed
	for _, l := range lines {
		if l.Fields["request"] == args[0] {
			f.Request = append(f.Request, l)
		}
	}
	if len(f.Request) == 0 {
		return nil, &Failure{Code: ExitFailed, Message: fmt.Sprintf("request %q is not in these logs", args[0]),
			Next: "answered requests may be left out of the log: look for edge_lines_left_out at that time"}
	}
	f.Before = leafLinesBefore(lines, f.Request[0], a.context)
	return f, nil
}

// leafLinesBefore returns the lines that were logged within span before the
// request's line and whose subject that line names.
func leafLinesBefore(lines []logLine, request logLine, span time.Duration) []logLine {
	named := fmt.Sprint(request.Fields["why"], " ", request.Fields["servers"])
	var out []logLine
	for _, l := range lines {
		subject, ok := l.Fields["subject"].(string)
		age := request.Timestamp.Sub(l.Timestamp)
		if ok && subject != "" && age >= 0 && age <= span && strings.Contains(named, subject) {
			out = append(out, l)
		}
	}
	return out
}
