package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/tenant"
	"github.com/pistachiousher/pistachiousher/pkg/edged"
)

const (
	// maxKeyBytes bounds the file with a caller's key.
	maxKeyBytes = 64 << 10
	// maxFleetQuestions is the number of daemons that are asked at once.
	maxFleetQuestions = 16
)

// edgeExplainAction shows how a request would be handled now, without sending it.
type edgeExplainAction struct {
	edgeFlag
	keyFile  string
	tenant   string
	deadline time.Duration
	fleet    bool
}

// Flags implements Action.
func (a *edgeExplainAction) Flags(f *flag.FlagSet) {
	a.edgeFlag.Flags(f)
	f.StringVar(&a.keyFile, "key-file", "", "`file` with the caller's key, - for standard input; only its hash is sent")
	f.StringVar(&a.tenant, "tenant", "", "`name` of a tenant whose key the request carries, instead of -key-file")
	f.DurationVar(&a.deadline, "deadline", 0, "how long the caller waits; 0 if it does not say")
	f.BoolVar(&a.fleet, "fleet", false, "ask all daemons that the daemon knows and show where they differ")
}

// Run implements Action.
func (a *edgeExplainAction) Run(ctx context.Context, env *Env, args []string) (Result, error) {
	if len(args) != 2 {
		return nil, usageError("want a host and a path")
	}
	if a.keyFile != "" && a.tenant != "" {
		return nil, usageError("-key-file and -tenant exclude each other")
	}
	if a.address == "" {
		return nil, usageError("-daemon is required")
	}
	r := gateway.ExplainRequest{Host: args[0], Path: args[1], Tenant: a.tenant, TimeoutMS: a.deadline.Milliseconds()}
	if a.keyFile != "" {
		key, err := readCallerKey(a.keyFile, env.Stdin)
		if err != nil {
			return nil, err
		}
		r.KeyHash = tenant.HashKey(key).String()
	}
	if a.fleet {
		return a.askFleet(ctx, r)
	}
	e, err := explainAt(ctx, a.address, r)
	if err != nil {
		return nil, err
	}
	return edgeExplanation{e}, nil
}

// readCallerKey reads a key, without the line break at its end.
func readCallerKey(path string, stdin io.Reader) (string, error) {
	in := stdin
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return "", &Failure{Code: ExitFailed, Message: fmt.Sprintf("-key-file: %v", err), Next: "name a file that holds only the key"}
		}
		defer file.Close()
		in = file
	}
	data, err := io.ReadAll(io.LimitReader(in, maxKeyBytes))
	key := strings.TrimRight(string(data), "\r\n")
	if err != nil || key == "" {
		return "", &Failure{Code: ExitFailed, Message: "-key-file: the key is empty or cannot be read", Next: "name a file that holds only the key"}
	}
	return key, nil
}

// explainAt asks the daemon at an address.
func explainAt(ctx context.Context, address string, r gateway.ExplainRequest) (gateway.Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var e gateway.Explanation
	body, err := json.Marshal(r)
	if err != nil {
		return e, err
	}
	err = askDaemon(ctx, address, http.MethodPost, "http://"+address+edged.ExplainPath, bytes.NewReader(body), &e)
	return e, err
}

// askFleet asks the daemon and all living daemons that it knows, at their internal
// addresses.
func (a *edgeExplainAction) askFleet(ctx context.Context, r gateway.ExplainRequest) (Result, error) {
	var status edged.StatusReply
	if err := a.fetchJSON(ctx, edged.StatusPath, nil, &status); err != nil {
		return nil, err
	}
	out := fleetExplanation{Failed: map[string]string{}}
	var mu sync.Mutex
	var asking sync.WaitGroup
	free := make(chan struct{}, maxFleetQuestions)
	for _, d := range status.Daemons {
		if !d.Alive {
			out.Failed[d.Name] = "it is not heard"
			continue
		}
		address := d.PeerAddress
		if d.Name == status.VM {
			address = a.address
		}
		asking.Go(func() {
			free <- struct{}{}
			defer func() { <-free }()
			e, err := explainAt(ctx, address, r)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				out.Failed[d.Name] = err.Error()
				return
			}
			out.Daemons = append(out.Daemons, e)
		})
	}
	asking.Wait()
	slices.SortFunc(out.Daemons, func(x, y gateway.Explanation) int { return strings.Compare(x.Daemon, y.Daemon) })
	out.Differences = differences(out.Daemons)
	for _, e := range out.Daemons {
		if e.Tenant != nil && e.Tenant.Quota != nil {
			out.QuotaAdmitted += e.Tenant.Quota.Admitted
			out.QuotaAllowance = e.Tenant.Quota.FleetAllowance
		}
	}
	return out, nil
}

// fleetExplanation is what the daemons of a fleet say about one request.
type fleetExplanation struct {
	Daemons []gateway.Explanation `json:"daemons"`
	// Failed are the daemons that did not answer, with the reason.
	Failed      map[string]string  `json:"failed,omitempty"`
	Differences []daemonDifference `json:"differences"`
	// QuotaAdmitted is what the daemons that answered have admitted of the tenant in their
	// latest windows, QuotaAllowance what all may; 0 without a quota.
	QuotaAdmitted  int     `json:"quotaAdmitted,omitempty"`
	QuotaAllowance float64 `json:"quotaAllowance,omitempty"`
}

// daemonDifference is something on which daemons do not agree.
type daemonDifference struct {
	What string `json:"what"`
	// Values maps what they say to the names of those that say it.
	Values map[string][]string `json:"values"`
}

// differences returns where explanations differ, apart from which leaf each daemon happens
// to choose.
func differences(all []gateway.Explanation) []daemonDifference {
	values := map[string]map[string][]string{}
	add := func(what, value, daemon string) {
		if values[what] == nil {
			values[what] = map[string][]string{}
		}
		values[what][value] = append(values[what][value], daemon)
	}
	for _, e := range all {
		for what, value := range aspects(e) {
			add(what, value, e.Daemon)
		}
	}
	out := []daemonDifference{}
	for _, what := range slices.Sorted(maps.Keys(values)) {
		said := 0
		for _, daemons := range values[what] {
			said += len(daemons)
		}
		if said < len(all) {
			for _, e := range all {
				if _, ok := aspects(e)[what]; !ok {
					add(what, "not known", e.Daemon)
				}
			}
		}
		if len(values[what]) > 1 {
			out = append(out, daemonDifference{What: what, Values: values[what]})
		}
	}
	return out
}

// aspects returns what the daemons of a fleet should agree on.
func aspects(e gateway.Explanation) map[string]string {
	out := map[string]string{"configuration": fmt.Sprint(e.ConfigVersion), "route": "none", "tenant": "none", "decision": "admitted"}
	if e.Route != nil {
		out["route"] = e.Route.Name
	}
	if e.Tenant != nil {
		out["tenant"] = e.Tenant.Name
	}
	if !e.Decision.Admitted {
		out["decision"] = "refused: " + e.Decision.Reason
	}
	for _, svc := range e.Services {
		if svc.Rollout != nil {
			out["roll-out of "+svc.Name] = svc.Rollout.Target + " " + svc.Rollout.State + ", acting on " + svc.Rollout.Acting
		}
		for _, leaf := range svc.Leafs {
			out["leaf "+leaf.ID] = fmt.Sprintf("of %s, version %s, draining %v, evacuated %v, excluded by version %v", svc.Name, leaf.Version, leaf.Draining, leaf.Evacuated, leaf.Excluded)
		}
	}
	return out
}

// WriteText implements Result.
func (f fleetExplanation) WriteText(w io.Writer) error {
	var out strings.Builder
	fmt.Fprintf(&out, "%d daemons answered, %d did not\n", len(f.Daemons), len(f.Failed))
	for _, name := range slices.Sorted(maps.Keys(f.Failed)) {
		fmt.Fprintf(&out, "no answer of %s: %s\n", name, f.Failed[name])
	}
	if f.QuotaAllowance > 0 {
		fmt.Fprintf(&out, "quota: %d admitted in the latest windows, the fleet may admit %.1f in one\n", f.QuotaAdmitted, f.QuotaAllowance)
	}
	if len(f.Differences) == 0 {
		out.WriteString("they do not differ\n")
	}
	for _, d := range f.Differences {
		fmt.Fprintf(&out, "%s differs\n", d.What)
		for _, value := range slices.Sorted(maps.Keys(d.Values)) {
			fmt.Fprintf(&out, "  %s: %s\n", value, strings.Join(d.Values[value], " "))
		}
	}
	_, err := io.WriteString(w, out.String())
	return err
}

type edgeExplanation struct{ gateway.Explanation }

// WriteText implements Result.
func (e edgeExplanation) WriteText(w io.Writer) error {
	var out strings.Builder
	fmt.Fprintf(&out, "daemon %s, configuration %d, view age %d ms\n", e.Daemon, e.ConfigVersion, e.Ages.ViewMS)
	e.writeRoute(&out)
	e.writeTenant(&out)
	e.writeDecision(&out)
	for _, s := range e.Services {
		writeService(&out, s)
	}
	for _, what := range e.Unknown {
		fmt.Fprintf(&out, "not known: %s\n", what)
	}
	_, err := io.WriteString(w, out.String())
	return err
}

func (e edgeExplanation) writeRoute(out io.Writer) {
	if r := e.Route; r == nil {
		fmt.Fprintf(out, "configuration %d has no route for it\n", e.ConfigVersion)
	} else {
		fmt.Fprintf(out, "route %s: %s%s %s\n", r.Name, r.Host, r.PathPrefix, destination(r))
		fmt.Fprintf(out, "idempotent %v, attempts %d, timeout %v, target %v, hedge after %.0f ms, partial answer at %.0f ms\n",
			r.Idempotent, r.MaxAttempts, r.Timeout, r.LatencyTarget, e.HedgeAfterMS, e.AnswerByMS)
	}
	for _, r := range e.OtherRoutes {
		fmt.Fprintf(out, "not route %s (%s): %s\n", r.Name, r.PathPrefix, r.Reason)
	}
}

func (e edgeExplanation) writeTenant(out io.Writer) {
	t := e.Tenant
	if t == nil {
		return
	}
	source := "of the route"
	if t.OwnPriority {
		source = "of the tenant"
	}
	fmt.Fprintf(out, "tenant %s: priority %d %s\n", t.Name, t.Priority, source)
	if q := t.Quota; q != nil {
		fmt.Fprintf(out, "quota: %d of %d left here in this window, the fleet may admit %.1f; borrowed %.3f, lent %.3f\n", q.Left, q.Limit, q.FleetAllowance, q.Borrowed, q.Lent)
	}
}

func (e edgeExplanation) writeDecision(out io.Writer) {
	d := e.Decision
	if !d.Admitted {
		fmt.Fprintf(out, "refused: %d %s, not run %v, Retry-After %.0f ms\n", d.Status, d.Reason, d.NotRun, d.RetryAfterMS)
	} else {
		fmt.Fprintf(out, "admitted: %d attempts at once, %d parts wait, %d are missing\n", len(d.Attempts), len(d.Queued), len(d.Missing))
	}
	if d.RefusalProbability > 0 {
		fmt.Fprintf(out, "the route's requests are refused with probability %.2f\n", d.RefusalProbability)
	}
	for _, service := range slices.Sorted(maps.Keys(d.Queued)) {
		fmt.Fprintf(out, "waits: %s, %s\n", service, d.Queued[service])
	}
	for _, service := range slices.Sorted(maps.Keys(d.Missing)) {
		fmt.Fprintf(out, "missing: %s, %s\n", service, d.Missing[service])
	}
}

func writeService(out io.Writer, s gateway.ServiceExplanation) {
	fmt.Fprintf(out, "service %s: %d leafs, retry budget %.1f, hedge allowed %v, retry allowed %v, queued %d, %d connections a leaf\n",
		s.Name, len(s.Leafs), s.RetryTokens, s.HedgeAllowed, s.RetryAllowed, s.Queued, s.Connections)
	if r := s.Rollout; r != nil {
		fmt.Fprintf(out, "  roll-out to %s: %s, acting on %s %s\n", r.Target, r.State, r.Acting, r.Reason)
	}
	for _, l := range s.Leafs {
		verdict := "chosen"
		if !l.Chosen {
			verdict = "not chosen: " + l.Reason
		}
		fmt.Fprintf(out, "  %s %s in %s, version %s: cost %.2f, expected %.1f ms (%.1f of waiting), load %.1f, failures %.2f, cold %d ms; %s\n",
			l.ID, l.Address, l.FailureDomain, l.Version, l.Cost, l.ExpectedMS, l.WaitMS, l.Load, l.FailureRate, l.ColdMS, verdict)
		if c := l.Learned; c != nil {
			fmt.Fprintf(out, "    takes %.1f at once as learned, latency without load %.2f, work takes %.2f times as long now, reports ignored %v\n", c.Limit, c.BaseLatency, c.Slowdown, c.ReportsIgnored)
		}
	}
}
