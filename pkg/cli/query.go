package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/api"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	defaultDeadline = 2 * time.Second
	defaultTopK     = 10
	// replyMargin is added to the deadline so that the reply can still arrive.
	replyMargin = time.Second
	// lookupTimeout bounds one lookup.
	lookupTimeout = 2 * time.Second
)

// caller is the part of the caller API's client that the commands use.
type caller interface {
	Lookup(ctx context.Context, address string, service model.ServiceName, caller model.CallerName) (*api.Lookup, error)
	Query(ctx context.Context, address string, service model.ServiceName, q api.QueryRequest) (*api.Answer, api.Versions, error)
}

// entryFlags are the flags of the commands that act as a caller.
type entryFlags struct {
	entries string
	service string
	caller  string
}

func (e *entryFlags) Flags(f *flag.FlagSet) {
	f.StringVar(&e.entries, "entry", "", "caller `addresses` of any entry VMs, ip:port, separated by commas")
	f.StringVar(&e.service, "service", "", "`name` of the service")
	f.StringVar(&e.caller, "caller", "", "`name` of the caller in the bundle")
}

// lookup asks the entry VMs in order until one answers.
func (e *entryFlags) lookup(ctx context.Context, c caller) (*api.Lookup, error) {
	entries, err := addressList("entry", e.entries)
	if err != nil {
		return nil, err
	}
	if len(entries) == 0 || e.service == "" || e.caller == "" {
		return nil, usageError("-entry, -service and -caller are required")
	}
	var errs []error
	for _, address := range entries {
		l, err := lookupAt(ctx, c, address, e)
		if err == nil {
			return l, nil
		}
		errs = append(errs, err)
	}
	return nil, lookupFailure(errors.Join(errs...))
}

func lookupAt(ctx context.Context, c caller, address string, e *entryFlags) (*api.Lookup, error) {
	ctx, cancel := withTimeout(ctx, lookupTimeout)
	defer cancel()
	return c.Lookup(ctx, address, model.ServiceName(e.service), model.CallerName(e.caller))
}

// lookupFailure returns the failure for a failed lookup. Its exit code is
// ExitNotRun, because a lookup runs nothing at a backend server; a refusal as
// invalid is returned unchanged.
func lookupFailure(err error) error {
	var refused *api.RefusalError
	if errors.As(err, &refused) && refused.Refusal.Kind == model.Invalid {
		return err
	}
	return &Failure{Code: ExitNotRun, Message: err.Error(), Next: "no entry VM gave an address; check -entry and the daemons with `status`, then try again"}
}

// lookupAction prints which daemons a caller should use.
type lookupAction struct{ entry entryFlags }

type lookedUp struct{ *api.Lookup }

// WriteText implements Result.
func (l lookedUp) WriteText(w io.Writer) error {
	var out strings.Builder
	fmt.Fprintf(&out, "valid for %d ms, bundle %d, epoch %d\n", l.MaxAgeMS, l.BundleVersion, l.Epoch)
	for _, a := range l.Addresses {
		fmt.Fprintf(&out, "%s (%s in %s), request ids %s.<n>\n", a.Address, a.VM, a.FailureDomain, a.RequestIDPrefix)
	}
	_, err := io.WriteString(w, out.String())
	return err
}

func (a *lookupAction) Flags(f *flag.FlagSet) { a.entry.Flags(f) }

func (a *lookupAction) Run(ctx context.Context, _ *Env, args []string) (Result, error) {
	if len(args) > 0 {
		return nil, usageError("unexpected argument %q", args[0])
	}
	l, err := a.entry.lookup(ctx, new(api.Client))
	if err != nil {
		return nil, err
	}
	return lookedUp{l}, nil
}

// queryAction runs one query.
type queryAction struct {
	entry    entryFlags
	request  api.QueryRequest
	id       string
	deadline time.Duration
}

type answered struct{ *api.Answer }

// WriteText implements Result. It writes the coverage first, so that a partial
// answer cannot be mistaken for a complete one.
func (a answered) WriteText(w io.Writer) error {
	var out strings.Builder
	what := "complete"
	if !a.Complete {
		what = "PARTIAL"
	}
	fmt.Fprintf(&out, "%s: %d of %d shards, layout %s, index version %d, bundle %d, epoch %d\n",
		what, a.Shards.Answered, a.Shards.Asked, a.Snapshot.Layout, a.Snapshot.IndexVersion, a.BundleVersion, a.Epoch)
	for _, m := range a.Shards.Missing {
		fmt.Fprintf(&out, "missing shard %s: %s\n", m.Shard, m.Reason)
	}
	for _, i := range a.Items {
		fmt.Fprintf(&out, "%.4f %s %s\n", i.Score, i.ID, i.Doc)
	}
	fmt.Fprintf(&out, "%d items, request id %s\n", a.Count, a.RequestID)
	_, err := io.WriteString(w, out.String())
	return err
}

func (a *queryAction) Flags(f *flag.FlagSet) {
	a.entry.Flags(f)
	f.StringVar(&a.id, "request-id", "", "`id` of an earlier attempt to repeat; by default a new one")
	f.StringVar(&a.request.Class, "class", model.Normal.String(), "`class`: urgent, normal or bulk")
	f.BoolVar(&a.request.Idempotent, "idempotent", true, "whether the query may run more than once")
	f.DurationVar(&a.deadline, "deadline", defaultDeadline, "how long to wait for the answer")
	f.StringVar(&a.request.Key, "key", "", "ask only the shard that holds the `key`")
	f.IntVar(&a.request.TopK, "top-k", defaultTopK, "number of items")
}

func (a *queryAction) Run(ctx context.Context, _ *Env, args []string) (Result, error) {
	text, err := oneArgument("query text", args)
	if err != nil {
		return nil, err
	}
	a.request.Query = text
	a.request.Caller = model.CallerName(a.entry.caller)
	a.request.DeadlineMS = a.deadline.Milliseconds()
	answer, err := a.sendQuery(ctx, new(api.Client))
	if err != nil {
		return nil, err
	}
	return answered{answer}, nil
}

// sendQuery sends the query to the daemons of the lookup in order. It tries the
// next daemon only if the previous one was unreachable, so that nothing was sent
// to it.
func (a *queryAction) sendQuery(ctx context.Context, c caller) (*api.Answer, error) {
	l, err := a.entry.lookup(ctx, c)
	if err != nil {
		return nil, err
	}
	ctx, cancel := withTimeout(ctx, a.deadline+replyMargin)
	defer cancel()
	err = api.ErrUnreachable
	for _, d := range l.Addresses {
		q := a.request
		q.RequestID = a.requestID(d)
		if invalid := q.Validate(); invalid != nil {
			return nil, invalid
		}
		var answer *api.Answer
		answer, _, err = c.Query(ctx, d.Address, model.ServiceName(a.entry.service), q)
		if !errors.Is(err, api.ErrUnreachable) {
			return answer, withRequestID(err, q.RequestID)
		}
	}
	return nil, err
}

// withRequestID adds the request id to the error: with the same id the query can
// be repeated safely.
func withRequestID(err error, id model.RequestID) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("request id %s: %w", id, err)
}

func (a *queryAction) requestID(d api.Address) model.RequestID {
	if a.id != "" {
		return model.RequestID(a.id)
	}
	return model.RequestID(d.RequestIDPrefix + ".1")
}

// explainQuery translates the errors of the caller API, or returns nil for
// other errors. Failed lookups are translated by lookupFailure.
func explainQuery(err error) *Failure {
	var refused *api.RefusalError
	var invalid *api.InvalidError
	switch {
	case errors.As(err, &refused):
		return explainRefusal(refused.Refusal)
	case errors.As(err, &invalid):
		return &Failure{Code: ExitUsage, Next: "correct the flag and run the command again"}
	case errors.Is(err, api.ErrUnreachable):
		return &Failure{Code: ExitNotRun, Next: "no daemon was reached; try again, or check the daemons with `status`"}
	case errors.Is(err, api.ErrUnknownOutcome), errors.Is(err, api.ErrTruncated), errors.Is(err, api.ErrMismatch):
		return &Failure{Code: ExitMayHaveRun, Next: "repeat with the same -request-id: a query that is not idempotent does not run twice"}
	}
	return nil
}

func explainRefusal(r api.Refusal) *Failure {
	switch r.Kind {
	case model.NotRun:
		return &Failure{Code: ExitNotRun, Next: fmt.Sprintf("it did not run; try again after %d ms", r.RetryAfterMS)}
	case model.Invalid:
		return &Failure{Code: ExitUsage, Next: "correct the request as the reason says"}
	}
	return &Failure{Code: ExitMayHaveRun, Next: "check by other means whether it took effect before you send it under a new id"}
}
