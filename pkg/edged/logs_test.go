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

// Guards against a request that somebody complains about and that has no line:
// only answers that were complete and in time may be left out.
func TestOnlyGoodAnswersAreLeftOut(t *testing.T) {
	var text strings.Builder
	out := logwriter.NewSized(&text, log.InfoLevel, nil, logQueue)
	l := &logs{out: out, metrics: NewMetrics(prometheus.NewRegistry())}
	const each = 2 * answeredPerSecond
	for _, c := range []struct {
		kind gateway.LogKind
		id   string
		late bool
	}{
		{gateway.LogQueryAnswered, "intime", false}, {gateway.LogQueryAnswered, "late", true},
		{gateway.LogQueryPartial, "partial", false}, {gateway.LogQueryRefused, "refused", false},
	} {
		for range each {
			l.write(gateway.Log{Kind: c.kind, Query: &gateway.QueryReport{RequestID: "id-" + c.id, Route: "r", Late: c.late, Elapsed: time.Second}})
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = out.Run(ctx)
	for id, most := range map[string]int{"late": each, "partial": each, "refused": each} {
		if n := strings.Count(text.String(), "id-"+id+`"`); n != most {
			t.Errorf("%d lines of %d %s answers", n, most, id)
		}
	}
	// The lines may be written in two seconds.
	if n := strings.Count(text.String(), `id-intime"`); n < answeredPerSecond || n >= each {
		t.Errorf("%d lines of %d answers in time, want the bound of %d a second", n, each, answeredPerSecond)
	}
}
