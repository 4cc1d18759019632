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

// BenchmarkLogLine is the whole cost of one routing decision's log line: the
// fields, the queue and the encoding, which the log goroutine does.
func BenchmarkLogLine(b *testing.B) {
	w := New(io.Discard, log.InfoLevel, nil)
	b.ReportAllocs()
	for b.Loop() {
		w.Write(logevent.QueryRouted, routedFields())
		w.write(<-w.lines)
	}
}

// BenchmarkLogQueue is the part of that cost that the event loop bears.
func BenchmarkLogQueue(b *testing.B) {
	w := New(io.Discard, log.InfoLevel, nil)
	b.ReportAllocs()
	for b.Loop() {
		w.Write(logevent.QueryRouted, routedFields())
		<-w.lines
	}
}
