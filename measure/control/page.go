package control

import (
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/pistachiousher/pistachiousher/standin/processes"
)

// WritePage writes the figures as a page in Markdown. command is what made them.
func (r *Result) WritePage(w io.Writer, command string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "# Measurements of the control path\n\nAs measured by one run of\n\n    %s\n\n", command)
	fmt.Fprintf(&b, "on %s, %s, in %v.\n", r.Started.UTC().Format("2006-01-02 15:04 UTC"), machine(), r.Took.Round(time.Second))
	fmt.Fprintf(&b, `Everything runs on loopback, without added latency: the platform stand-in, %d
backend servers with %d slots and %d daemons, each a process, with %d queries/s
of 4 shards and %d orders/s of one shard. Daemons have %d platform calls/s each.
Errors and coverage are what callers saw; the servers' logs are the oracle.

`, len(processes.Servers()), processes.Slots, Daemons, Rate, Rate/2, processes.CallsPerSecond)
	r.writeRollOuts(&b)
	r.writePhases(&b)
	r.writeTimes(&b)
	r.writeCalls(&b)
	r.writeViolations(&b)
	_, err := io.WriteString(w, b.String())
	return err
}

// machine describes the machine and its load.
func machine() string {
	text := fmt.Sprintf("%d CPUs, %s, %s/%s", runtime.NumCPU(), runtime.Version(), runtime.GOOS, runtime.GOARCH)
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return text
	}
	return text + ", 1-minute load average at the end " + strings.Fields(string(raw))[0]
}

func (r *Result) writeRollOuts(b *strings.Builder) {
	sorted := slices.Sorted(slices.Values(r.RollOuts))
	b.WriteString("## Roll-out\n\nFrom the start of the activating command until the last daemon has the bundle in\nforce, polled every 10 ms. Target: 3 s.\n\n")
	b.WriteString("| roll-outs | p50 | p99 | max |\n| --- | --- | --- | --- |\n")
	fmt.Fprintf(b, "| %d | %s | %s | %s |\n\n", len(sorted), millis(Quantile(sorted, 0.5)), millis(Quantile(sorted, 0.99)), millis(Quantile(sorted, 1)))
}

func (r *Result) writePhases(b *strings.Builder) {
	b.WriteString("## Requests\n\nLatency is of answered requests, at the caller.\n\n")
	b.WriteString("| phase | length | requests | not_run | may_have_run | no response | partial | coverage | p50 | p99 | max |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, p := range r.Phases {
		fmt.Fprintf(b, "| %s | %.1f s | %d | %d | %d | %d | %d | %.3f %% | %s | %s | %s |\n", p.Name, p.Length.Seconds(),
			p.Requests, p.NotRun, p.MayHaveRun, p.Failed, p.Partial, 100*p.Coverage, millis(p.P50), millis(p.P99), millis(p.Max))
	}
	b.WriteString("\n")
}

func (r *Result) writeTimes(b *strings.Builder) {
	b.WriteString("## Times\n\n| time | measured | target |\n| --- | --- | --- |\n")
	fmt.Fprintf(b, "| last new work in the failure domain after the take-out | %s | 3 s |\n", millis(r.LastWork))
	fmt.Fprintf(b, "| last request without a complete answer after the kill, in the outage, of the owner of %d servers | %s | 3 s |\n", r.Lost, millis(r.Recovered))
	fmt.Fprintf(b, "| replacement owns servers after the outage | %s | none stated |\n\n", millis(r.OwnsAgain))
}

func (r *Result) writeCalls(b *strings.Builder) {
	fmt.Fprintf(b, "## Platform calls\n\nOf all %d daemons together.\n\n| when | length | calls | calls/s |\n| --- | --- | --- | --- |\n", Daemons)
	for _, c := range r.Calls {
		fmt.Fprintf(b, "| %s | %.0f s | %d | %.2f |\n", c.Name, c.Length.Seconds(), c.Calls, float64(c.Calls)/c.Length.Seconds())
	}
	b.WriteString("\n")
}

func (r *Result) writeViolations(b *strings.Builder) {
	b.WriteString("## Oracle\n\n")
	if len(r.Violations) == 0 {
		b.WriteString("No order ran twice, nothing refused as not_run ran, no server got more than its\nslots, and every complete answer equals a direct search.\n")
		return
	}
	for _, v := range r.Violations {
		fmt.Fprintf(b, "- %s\n", v)
	}
}

func millis(d time.Duration) string { return fmt.Sprintf("%.1f ms", float64(d.Microseconds())/1000) }
