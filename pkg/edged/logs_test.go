package edged

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/logwriter"
)

// Guards against a request with a problem that leaves no line in the log: only lines
// for complete answers in time may be left out.
func TestOnlyCompleteTimelyAnswersAreLeftOut(t *testing.T) {
	var text strings.Builder
	out := logwriter.NewSized(&text, log.InfoLevel, nil, logQueueLines)
	l := &reducerLog{out: out, metrics: NewMetrics(prometheus.NewRegistry())}
	const linesPerKind = 2 * maxAnsweredLinesPerSecond
	for _, c := range []struct {
		kind gateway.LogKind
		id   string
		late bool
	}{
		{gateway.LogQueryAnswered, "intime", false}, {gateway.LogQueryAnswered, "late", true},
		{gateway.LogQueryPartial, "partial", false}, {gateway.LogQueryRefused, "refused", false},
	} {
		for range linesPerKind {
			l.write(gateway.Log{Kind: c.kind, Query: &gateway.QueryReport{RequestID: "id-" + c.id, Route: "r", Late: c.late, Elapsed: time.Second}})
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = out.Run(ctx)
	for id, want := range map[string]int{"late": linesPerKind, "partial": linesPerKind, "refused": linesPerKind} {
		if n := strings.Count(text.String(), "id-"+id+`"`); n != want {
			t.Errorf("%d lines, want %d, for %s answers", n, want, id)
		}
	}
	// The loop may cross into a second second, which allows more lines.
	if n := strings.Count(text.String(), `id-intime"`); n < maxAnsweredLinesPerSecond || n >= linesPerKind {
		t.Errorf("%d lines for %d answers in time, want the limit of %d a second", n, linesPerKind, maxAnsweredLinesPerSecond)
	}
}
