package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/loadgen"
)

// WriteTable writes the medians over the rounds as a Markdown table; counts of
// the backend servers are sums over the rounds.
func (r *Result) WriteTable(w io.Writer) {
	fmt.Fprintf(w, "%s; queries/s that the servers bear:", r.Setup)
	for _, name := range slices.Sorted(maps.Keys(r.Bears)) {
		fmt.Fprintf(w, " %s %.0f", name, r.Bears[name])
	}
	fmt.Fprint(w, "\n\n")
	fmt.Fprintln(w, "| load | policy | p50 ms | p99 ms | p99.9 ms | complete | coverage | extra attempts | extra runs | goodput/s | refused | failed | over slots | fall-overs | CPU µs/leaf call |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, load := range r.loads() {
		for _, v := range Variants {
			if cells := r.pick(v.Name, load); len(cells) > 0 {
				writeRow(w, v.Name, load, cells)
			}
		}
	}
}

// WriteWrong writes every answer that contradicts itself and returns their
// number.
func (r *Result) WriteWrong(w io.Writer) int {
	n := 0
	for _, c := range r.Cells {
		for _, wrong := range c.Report.Wrong {
			fmt.Fprintf(w, "wrong answer, %s at %gx: %s\n", c.Variant, c.Load, wrong)
			n++
		}
	}
	return n
}

func (r *Result) loads() []float64 {
	var list []float64
	for _, c := range r.Cells {
		if !slices.Contains(list, c.Load) {
			list = append(list, c.Load)
		}
	}
	slices.Sort(list)
	return list
}

func (r *Result) pick(variant string, load float64) []Cell {
	var list []Cell
	for _, c := range r.Cells {
		if c.Variant == variant && c.Load == load {
			list = append(list, c)
		}
	}
	return list
}

func writeRow(w io.Writer, name string, load float64, cells []Cell) {
	percentile := func(p float64) float64 {
		return median(cells, func(c Cell) float64 {
			return float64(c.Report.Percentile(p)) / float64(time.Millisecond)
		})
	}
	count := func(o loadgen.Outcome) float64 {
		return median(cells, func(c Cell) float64 { return 100 * float64(c.Report.Count(o)) / float64(c.Report.Requests) })
	}
	over, fallOvers := 0, 0
	for _, c := range cells {
		over += c.Counts.Violations
		fallOvers += c.Counts.FallOvers
	}
	fmt.Fprintf(w, "| %gx | %s | %.1f | %.1f | %.1f | %.2f%% | %.2f%% | %.2f%% | %.2f%% | %.0f | %.2f%% | %.2f%% | %d | %d | %.0f |\n",
		load, name, percentile(50), percentile(99), percentile(99.9), count(loadgen.Complete),
		100*median(cells, func(c Cell) float64 { return c.Report.Coverage() }),
		100*median(cells, func(c Cell) float64 { return c.Report.ExtraLoad() }),
		100*median(cells, extraRuns),
		median(cells, func(c Cell) float64 { return c.Report.Goodput() }),
		count(loadgen.NotRun), count(loadgen.Failed), over, fallOvers,
		median(cells, cpuPerCall))
}

// extraRuns is the work of the backend servers beyond one run per answered
// shard, as a fraction. Unlike the extra attempts it has none that an owner
// refused, and it has runs whose result came too late.
func extraRuns(c Cell) float64 {
	if c.Report.Answered == 0 {
		return 0
	}
	return float64(c.Counts.Ran)/float64(c.Report.Answered) - 1
}

// cpuPerCall is the daemons' processor time per request that ran at a backend
// server, in microseconds.
func cpuPerCall(c Cell) float64 {
	if c.Counts.Ran == 0 {
		return 0
	}
	return float64(c.CPU.Microseconds()) / float64(c.Counts.Ran)
}

func median(cells []Cell, of func(Cell) float64) float64 {
	values := make([]float64, len(cells))
	for i, c := range cells {
		values[i] = of(c)
	}
	slices.Sort(values)
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}
