package demo

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pistachiousher/pistachiousher/pkg/loadgen"
)

// maxFaults bounds the faults that a report keeps.
const maxFaults = 20

// Phase is the result of the load of one phase.
type Phase struct {
	Name string `json:"name"`
	loadgen.Summary
}

// Report holds the measurements and the results of the checks of a run.
type Report struct {
	Services int `json:"services"`
	Servers  int `json:"backend_servers"`
	// StartSeconds is the time until every service answered completely.
	StartSeconds float64 `json:"start_seconds"`
	Phases       []Phase `json:"phases"`
	// Checked is the number of answers compared with the direct search.
	Checked int `json:"answers_checked"`
	// Orders is the number of requests sent that were not idempotent.
	Orders int `json:"orders"`
	// LastWorkSeconds is the time from the take-out of the failure domain to the
	// last start of new work there while it was out.
	LastWorkSeconds float64 `json:"last_work_seconds"`
	// RunsBefore and RunsAfter count the requests that backend servers there ran
	// before it was taken out and after it was brought back.
	RunsBefore int `json:"runs_before"`
	RunsAfter  int `json:"runs_after"`
	// Faults describe the checks that failed.
	Faults []string `json:"faults"`
}

func (r *Report) addFault(format string, args ...any) {
	if len(r.Faults) < maxFaults {
		r.Faults = append(r.Faults, fmt.Sprintf(format, args...))
	}
}

// WriteText writes the report: a table of the phases, the results of the checks,
// and either the faults or a last line "demo: ok".
func (r *Report) WriteText(w io.Writer) error {
	var out strings.Builder
	fmt.Fprintf(&out, "%d services on %d backend servers, %d daemons; all answered completely after %.1f s\n\n",
		r.Services, r.Servers, len(daemons), r.StartSeconds)
	r.writePhases(&out)
	fmt.Fprintf(&out, "\n%d answers compared with a direct search\n", r.Checked)
	fmt.Fprintf(&out, "%d orders checked to have run at most once\n", r.Orders)
	fmt.Fprintf(&out, "%s: %d runs before it was taken out, the last new work %.3f s after the command (limit %.0f s), %d runs after it was brought back\n",
		outDomain, r.RunsBefore, r.LastWorkSeconds, stopWorkLimit.Seconds(), r.RunsAfter)
	for _, f := range r.Faults {
		fmt.Fprintf(&out, "FAULT: %s\n", f)
	}
	if len(r.Faults) == 0 {
		out.WriteString("demo: ok\n")
	}
	_, err := io.WriteString(w, out.String())
	return err
}

func (r *Report) writePhases(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "phase\trequests\tp50 ms\tp90 ms\tp99 ms\tp99.9 ms\tcoverage\textra load\tpartial\tnot run\tmay have run\t")
	for _, p := range r.Phases {
		fmt.Fprintf(t, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f %%\t%.2f %%\t%d\t%d\t%d\t\n",
			p.Name, p.Requests, p.Latency.P50, p.Latency.P90, p.Latency.P99, p.Latency.P999, 100*p.Coverage, 100*p.ExtraLoad,
			p.Outcomes[loadgen.Partial.String()], p.Outcomes[loadgen.NotRun.String()], p.Outcomes[loadgen.MayHaveRun.String()])
	}
	t.Flush()
}
