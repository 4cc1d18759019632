package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/edged"
)

// edgeCommands are the commands for edge daemons.
func edgeCommands() []Command {
	return []Command{
		{Name: "check", Args: "FILE", Synopsis: "check the settings of an edge daemon", New: func() Action { return new(edgeCheckAction) }},
		{Name: "status", Synopsis: "show the state of an edge daemon and the daemons that it knows", New: func() Action { return new(edgeStatusAction) }},
		{Name: "routes", Synopsis: "show the configuration in force at an edge daemon", New: func() Action { return new(edgeRoutesAction) }},
		{Name: "leafs", Args: "[SERVICE]", Synopsis: "show what an edge daemon knows of leafs", New: func() Action { return new(edgeLeafsAction) }},
		{Name: "tenants", Synopsis: "show the tenants and the use of their quotas at an edge daemon", New: func() Action { return new(edgeTenantsAction) }},
		{Name: "rollouts", Synopsis: "show the orders of roll-outs that an edge daemon knows", New: func() Action { return new(edgeRolloutsAction) }},
		{Name: "explain", Args: "HOST PATH", Synopsis: "show where a request would go now", New: func() Action { return new(edgeExplainAction) }},
		{Name: "follow", Args: "REQUEST-ID [FILE...]", Synopsis: "find a request in logs, from files or standard input", New: func() Action { return new(edgeFollowAction) }},
		{Name: "report", Args: "[FILE...]", Synopsis: "show from logs how requests ended and what they waited for", New: func() Action { return new(edgeReportAction) }},
	}
}

// askTimeout bounds a request to a daemon's admin address.
const askTimeout = 5 * time.Second

// edgeFlag is the flag -daemon, the admin address of an edge daemon.
type edgeFlag struct{ address string }

// Flags declares the flag.
func (e *edgeFlag) Flags(f *flag.FlagSet) {
	f.StringVar(&e.address, "daemon", "", "admin `address` of the daemon, ip:port")
}

// fetchJSON requests the path from the daemon's admin address and decodes the
// JSON reply into the value that into points to.
func (e *edgeFlag) fetchJSON(ctx context.Context, path string, query url.Values, into any) error {
	if e.address == "" {
		return usageError("-daemon is required")
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	target := "http://" + e.address + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	return askDaemon(ctx, e.address, http.MethodGet, target, nil, into)
}

// askDaemon sends a request to the daemon at address and decodes the JSON reply into the
// value that into points to.
func askDaemon(ctx context.Context, address, method, target string, body io.Reader, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return usageError("-daemon: %q is not ip:port", address)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return &Failure{Code: ExitFailed, Message: fmt.Sprintf("daemon %s: %v", address, err), Next: "check the address and that the daemon runs"}
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil || resp.StatusCode != http.StatusOK {
		return &Failure{Code: ExitFailed, Message: fmt.Sprintf("daemon %s: status %d, %v", address, resp.StatusCode, err), Next: "check that this is the admin address of an edge daemon"}
	}
	return nil
}

// edgeCheckAction checks a settings file.
type edgeCheckAction struct{}

type checkedSettings struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain"`
}

// WriteText implements Result.
func (c checkedSettings) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "ok: vm %s in failure domain %s\n", c.VM, c.FailureDomain)
	return err
}

// Flags implements Action.
func (*edgeCheckAction) Flags(*flag.FlagSet) {}

// Run implements Action.
func (*edgeCheckAction) Run(_ context.Context, _ *Env, args []string) (Result, error) {
	path, err := oneArgument("settings file", args)
	if err != nil {
		return nil, err
	}
	s, err := edged.LoadSettings(path)
	if err != nil {
		return nil, err
	}
	return checkedSettings{VM: s.VM, FailureDomain: s.FailureDomain}, nil
}

// edgeStatusAction shows the state of a daemon.
type edgeStatusAction struct{ edgeFlag }

type edgeStatus struct{ edged.StatusReply }

// WriteText implements Result.
func (s edgeStatus) WriteText(w io.Writer) error {
	st := s.Status
	out := fmt.Sprintf("%s: ready %v, configuration %d, leafs revision %d, evacuations revision %d, view age %v\n", s.VM, st.Ready, st.ConfigVersion, st.View.Servers, st.View.Evacuations, st.ViewAge)
	for _, cause := range st.NotReady {
		out += "not ready: " + cause + "\n"
	}
	for _, fault := range st.ConfigFaults {
		out += "configuration: " + fault + "\n"
	}
	out += fmt.Sprintf("store: watched %v, down %v", st.Watcher, st.StoreDown)
	if st.StoreEra > 0 {
		out += fmt.Sprintf(", era %d, %d evacuations held", st.StoreEra, st.HeldEvacuations)
	}
	out += "\n"
	out += fmt.Sprintf("leafs: %d, cold %d, suspect %d\n", st.Leafs, st.ColdLeafs, st.SuspectLeafs)
	out += fmt.Sprintf("open: %d requests, %d calls, %d queued; least retry budget %.1f, throttle %.2f, share %.3f\n",
		st.OpenRequests, st.OpenCalls, st.Queued, st.LeastTokens, st.Throttle, st.Share)
	for _, d := range s.Daemons {
		out += fmt.Sprintf("daemon %s: alive %v, active %v, heard %d ms ago, configuration %d, leafs %d, evacuations %d\n", d.Name, d.Alive, d.Active, d.HeardMS, d.ConfigVersion, d.View.Servers, d.View.Evacuations)
	}
	_, err := io.WriteString(w, out)
	return err
}

// Run implements Action.
func (a *edgeStatusAction) Run(ctx context.Context, _ *Env, args []string) (Result, error) {
	if len(args) > 0 {
		return nil, usageError("unexpected argument %q", args[0])
	}
	var s edgeStatus
	if err := a.fetchJSON(ctx, edged.StatusPath, nil, &s.StatusReply); err != nil {
		return nil, err
	}
	return s, nil
}

// edgeRoutesAction shows the configuration in force.
type edgeRoutesAction struct{ edgeFlag }

type edgeRoutes struct{ edged.RoutesReply }

// WriteText implements Result.
func (r edgeRoutes) WriteText(w io.Writer) error {
	out := fmt.Sprintf("configuration %d\n", r.ConfigVersion)
	for _, route := range r.Routes {
		out += fmt.Sprintf("%s: %s%s %s\n", route.Name, route.Host, route.PathPrefix, destination(route))
	}
	_, err := io.WriteString(w, out)
	return err
}

func destination(r *gateway.Route) string {
	if len(r.Shards) > 0 {
		return fmt.Sprintf("over %d shards, top %d, at least %v of them", len(r.Shards), r.TopK, r.MinShardRatio)
	}
	var parts []string
	for _, t := range r.Targets {
		parts = append(parts, fmt.Sprintf("%s (weight %v)", t.Service, t.Weight))
	}
	return "to " + strings.Join(parts, ", ")
}

// Run implements Action.
func (a *edgeRoutesAction) Run(ctx context.Context, _ *Env, args []string) (Result, error) {
	if len(args) > 0 {
		return nil, usageError("unexpected argument %q", args[0])
	}
	var r edgeRoutes
	if err := a.fetchJSON(ctx, edged.RoutesPath, nil, &r.RoutesReply); err != nil {
		return nil, err
	}
	return r, nil
}

// edgeLeafsAction shows what a daemon knows of leafs.
type edgeLeafsAction struct{ edgeFlag }

type edgeLeafs []gateway.LeafStatus

// WriteText implements Result.
func (l edgeLeafs) WriteText(w io.Writer) error {
	var out strings.Builder
	for _, x := range l {
		fmt.Fprintf(&out, "%s %s %s %s: version %s, usable %v, excluded by version %v, draining %v, evacuated %v, cold %d ms, calls %d, load %.1f, latency x%.1f, failures %.2f, silent %d ms\n",
			x.Service, x.ID, x.Address, x.FailureDomain, x.Version, x.Usable, x.Excluded, x.Draining, x.Evacuated, x.ColdMS, x.OpenCalls, x.Load, x.RelativeLatency, x.FailureRate, x.SilentMS)
		if l := x.Learned; l != nil {
			fmt.Fprintf(&out, "  learned: limit %.1f, base latency x%.2f, slowdown x%.1f, reports ignored %v\n", l.Limit, l.BaseLatency, l.Slowdown, l.ReportsIgnored)
		}
	}
	_, err := io.WriteString(w, out.String())
	return err
}

// Run implements Action.
func (a *edgeLeafsAction) Run(ctx context.Context, _ *Env, args []string) (Result, error) {
	if len(args) > 1 {
		return nil, usageError("want at most one service")
	}
	query := url.Values{}
	if len(args) == 1 {
		query.Set("service", args[0])
	}
	var l edgeLeafs
	if err := a.fetchJSON(ctx, edged.LeafsPath, query, &l); err != nil {
		return nil, err
	}
	return l, nil
}
