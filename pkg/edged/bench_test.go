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

// queryLog returns the log entry of a query over 20 shards with one hedge.
func queryLog(kind gateway.LogKind) gateway.Log {
	return gateway.Log{Kind: kind, Query: &gateway.QueryReport{
		RequestID: "9c41d07be2a35f68", Route: "r-q3ujdha", Outcome: "answered", Elapsed: 71 * time.Millisecond,
		ConfigVersion: 14, Shards: 20, Missing: 1, Calls: 21, Hedges: 1, MissingReasons: "ziba41f:late@i-1a939ceaaa",
		Wait: &gateway.WaitReport{
			Cause: gateway.WaitSlowLeaf, Service: "ziba41f", Server: "i-1a939ceaaa", Connect: 300 * time.Microsecond, AtLeaf: 70 * time.Millisecond,
			Expected: 31 * time.Millisecond, Load: 2, Slots: 3, RetryTokens: 4, QuotaShare: 0.106, Connections: 2,
		},
	}}
}

// BenchmarkQueryLine measures what the log and the metrics of one query cost the
// event loop: counted only, left out because of the limit of lines, and queued.
// BenchmarkLogLine of package logwriter measures the encoding of a queued line.
func BenchmarkQueryLine(b *testing.B) {
	for _, c := range []struct {
		name string
		run  func(l *reducerLog)
	}{
		{"counted", func(l *reducerLog) { l.metrics.countRequest(queryLog(gateway.LogQueryAnswered).Query) }},
		{"left_out", func(l *reducerLog) { l.write(queryLog(gateway.LogQueryAnswered)) }},
		{"queued", func(l *reducerLog) { l.write(queryLog(gateway.LogQueryPartial)) }},
	} {
		b.Run(c.name, func(b *testing.B) {
			// The writer does not run. Lines that no longer fit into its queue cost the
			// event loop the same.
			out := logwriter.NewSized(io.Discard, log.InfoLevel, nil, logQueueLines)
			l := &reducerLog{out: out, metrics: NewMetrics(prometheus.NewRegistry())}
			b.ReportAllocs()
			for b.Loop() {
				c.run(l)
			}
		})
	}
}
