package logreport

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteText writes the report as tables.
func (r *Report) WriteText(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "%d lines of %d daemons, %d about requests; %d truncated, %d foreign\n\n", r.Lines, r.DaemonCount, r.RequestLines, r.Truncated, r.Foreign); err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "interval\troute\tasked\tin time\tpartial\tlate\trefused\tfailed\tabandoned\twaited for")
	for _, i := range r.Intervals {
		i.writeRow(t, i.Start.Format("15:04:05.000"))
	}
	for _, i := range r.Totals {
		i.writeRow(t, "all")
	}
	writeSubjects(t, "leaf", r.Leafs)
	writeSubjects(t, "daemon", r.Daemons)
	return t.Flush()
}

func (i Interval) writeRow(w io.Writer, label string) {
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", label, cmp.Or(i.Route, "(none)"), i.Asked(), i.InTime, i.Partial, i.Late, i.Refused, i.Failed, i.Abandoned, causes(i.WaitedFor))
}

func writeSubjects(w io.Writer, kind string, list []Subject) {
	if len(list) == 0 {
		return
	}
	fmt.Fprintf(w, "\n%s\tservice\trequests\tunserved\tbeyond average\twaited for\n", kind)
	for _, s := range list {
		requests := "-"
		if s.Requests > 0 {
			requests = fmt.Sprint(s.Requests)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.1f\t%s\n", s.Name, cmp.Or(s.Service, "-"), requests, s.Unserved, s.Excess, causes(s.WaitedFor))
	}
}

// causes lists causes with their numbers, the most frequent first.
func causes(counts map[string]int) string {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), strings.Compare(a, b))
	})
	words := make([]string, len(names))
	for i, name := range names {
		words[i] = fmt.Sprintf("%s %d", name, counts[name])
	}
	return strings.Join(words, ", ")
}
