package logwriter

import (
	"io"
	"testing"

	"github.com/apex/log"

	"github.com/pistachiousher/pistachiousher/pkg/logevent"
)

func routedFields() []logevent.Field {
	return []logevent.Field{
		logevent.Str("request", "entry-1.1a23f89e7d95c934.1a23f8a0586-aece399c37d12649.1"),
		logevent.Int("shards", 10),
		logevent.Str("owners", "entry-1:4 entry-2:3 entry-3:3"),
	}
}

// edgeFields returns the fields that an edge daemon logs for a partial answer.
func edgeFields() []logevent.Field {
	fields := []logevent.Field{
		logevent.Str("request", "9c41d07be2a35f68"), logevent.Str("route", "r-q3ujdha"), logevent.Str("outcome", "partial"),
		logevent.Str("why", "ziba41f:late@i-1a939ceaaa"),
	}
	for _, name := range []string{"elapsed_us", "config", "view_age_ms", "shards", "missing", "calls", "hedges", "retries", "budget_denied"} {
		fields = append(fields, logevent.Int(name, 21))
	}
	return fields
}

// BenchmarkLogLine measures the whole cost of one log line of a routing
// decision: the fields, the queue, and the encoding in the log goroutine.
func BenchmarkLogLine(b *testing.B) {
	for name, fields := range map[string]func() []logevent.Field{"daemon": routedFields, "edge": edgeFields} {
		b.Run(name, func(b *testing.B) {
			w := New(io.Discard, log.InfoLevel, nil)
			b.ReportAllocs()
			for b.Loop() {
				w.Write(logevent.QueryRouted, fields())
				w.writeLine(<-w.lines)
			}
		})
	}
}

// BenchmarkLogQueue measures the part of that cost that is spent in the event
// loop.
func BenchmarkLogQueue(b *testing.B) {
	w := New(io.Discard, log.InfoLevel, nil)
	b.ReportAllocs()
	for b.Loop() {
		w.Write(logevent.QueryRouted, routedFields())
		<-w.lines
	}
}
