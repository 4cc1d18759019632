package loadgen

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Summary holds the figures of a Report, for output as JSON or text.
type Summary struct {
	Requests int `json:"requests"`
	// ElapsedMS is the time in milliseconds from the start of the load to the
	// end of its last request.
	ElapsedMS float64 `json:"elapsed_ms"`
	// Outcomes counts the requests by how they ended.
	Outcomes map[string]int `json:"outcomes"`
	// Reasons counts the requests without an answer by reason.
	Reasons map[string]int `json:"reasons"`
	// Latency is the latency of answered requests in milliseconds, measured
	// from the planned start of a request.
	Latency Latency `json:"latency_ms"`
	// Coverage is the fraction of the shards asked that answered. ExtraLoad is
	// the number of sub-requests beyond one per shard, as a fraction of the
	// shards asked.
	Coverage  float64 `json:"coverage"`
	ExtraLoad float64 `json:"extra_load"`
	// Goodput is in complete answers per second.
	Goodput float64 `json:"goodput_per_second"`
	// Wrong describes answers that differ from the expected ones.
	Wrong []string `json:"wrong"`
}

// Latency holds percentiles in milliseconds.
type Latency struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99.9"`
}

// Summary returns the figures of the report.
func (r *Report) Summary() Summary {
	s := Summary{
		Requests:  r.Requests,
		ElapsedMS: milliseconds(r.Elapsed),
		Outcomes:  make(map[string]int),
		Reasons:   maps.Clone(r.Reasons),
		Latency: Latency{
			P50:  milliseconds(r.Percentile(50)),
			P90:  milliseconds(r.Percentile(90)),
			P99:  milliseconds(r.Percentile(99)),
			P999: milliseconds(r.Percentile(99.9)),
		},
		Coverage:  r.Coverage(),
		ExtraLoad: r.ExtraLoad(),
		Goodput:   r.Goodput(),
		Wrong:     append([]string{}, r.Wrong...),
	}
	for o, n := range r.Outcomes {
		s.Outcomes[Outcome(o).String()] = n
	}
	return s
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// WriteText writes the summary as lines.
func (s Summary) WriteText(w io.Writer) error {
	var out strings.Builder
	fmt.Fprintf(&out, "%d requests in %.1f s, %.1f complete answers/s\n", s.Requests, s.ElapsedMS/1000, s.Goodput)
	fmt.Fprintf(&out, "latency p50 %.1f ms, p90 %.1f ms, p99 %.1f ms, p99.9 %.1f ms\n",
		s.Latency.P50, s.Latency.P90, s.Latency.P99, s.Latency.P999)
	fmt.Fprintf(&out, "coverage %.4f %%, extra load %.2f %%\n", 100*s.Coverage, 100*s.ExtraLoad)
	for o := range numOutcomes {
		fmt.Fprintf(&out, "%s: %d\n", o, s.Outcomes[o.String()])
	}
	for _, reason := range slices.Sorted(maps.Keys(s.Reasons)) {
		fmt.Fprintf(&out, "reason %q: %d\n", reason, s.Reasons[reason])
	}
	for _, wrong := range s.Wrong {
		fmt.Fprintf(&out, "WRONG: %s\n", wrong)
	}
	_, err := io.WriteString(w, out.String())
	return err
}
