package edged

import (
	"io"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/logwriter"
)

// queryLine is the line of a query over 20 shards with one hedge.
func queryLine(kind gateway.LogKind) gateway.Log {
	return gateway.Log{Kind: kind, Query: &gateway.QueryReport{
		RequestID: "9c41d07be2a35f68", Route: "r-q3ujdha", Outcome: "answered", Elapsed: 71 * time.Millisecond,
		ConfigVersion: 14, Shards: 20, Missing: 1, Calls: 21, Hedges: 1, MissingReasons: "ziba41f:late@i-1a939ceaaa",
	}}
}

// BenchmarkQueryLine is what the log and the metrics of one query cost the event
// loop: counted only, left out by the bound of lines, and queued. The encoding of
// a queued line is BenchmarkLogLine of package logwriter.
func BenchmarkQueryLine(b *testing.B) {
	for _, c := range []struct {
		name string
		run  func(l *logs)
	}{
		{"counted", func(l *logs) { l.metrics.request(queryLine(gateway.LogQueryAnswered).Query) }},
		{"left_out", func(l *logs) { l.write(queryLine(gateway.LogQueryAnswered)) }},
		{"queued", func(l *logs) { l.write(queryLine(gateway.LogQueryPartial)) }},
	} {
		b.Run(c.name, func(b *testing.B) {
			// Nothing is written: lines that find no room cost the loop the same.
			out := logwriter.NewSized(io.Discard, log.InfoLevel, nil, logQueue)
			l := &logs{out: out, metrics: NewMetrics(prometheus.NewRegistry())}
			b.ReportAllocs()
			for b.Loop() {
				c.run(l)
			}
		})
	}
}
