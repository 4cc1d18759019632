package edged

import (
	"context"
	"fmt"
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

// Guards against a report that misses the requests whose lines were left out: their
// numbers must be logged by route and second.
func TestLeftOutLinesAreCountedByRoute(t *testing.T) {
	var text strings.Builder
	out := logwriter.NewSized(&text, log.InfoLevel, nil, logQueueLines)
	l := &reducerLog{out: out, metrics: NewMetrics(prometheus.NewRegistry())}
	l.currentSecond, l.writtenInSecond = time.Now().Unix(), maxAnsweredLinesPerSecond
	second := l.currentSecond
	l.leftOut = map[string]int{"b": 2, "a": 1}
	l.currentSecond-- // a later second has begun
	l.write(gateway.Log{Kind: gateway.LogQueryAnswered, Query: &gateway.QueryReport{RequestID: "next", Route: "a"}})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = out.Run(ctx)
	for route, count := range map[string]int{"a": 1, "b": 2} {
		want := fmt.Sprintf(`"count":"%d","event":1714,"route":%q,"second":"%d"`, count, route, second-1)
		if !strings.Contains(text.String(), want) {
			t.Errorf("no line with %s in %s", want, text.String())
		}
	}
	if len(l.leftOut) != 0 {
		t.Errorf("%v is counted again", l.leftOut)
	}
}

// Guards against a refusal whose line does not say by which version, how old, from whom and by
// which call.
func TestRefusalLineNamesOriginOfConfig(t *testing.T) {
	var text strings.Builder
	out := logwriter.NewSized(&text, log.InfoLevel, nil, 4)
	l := &reducerLog{out: out, metrics: NewMetrics(prometheus.NewRegistry())}
	origin := &gateway.ConfigOrigin{Source: gateway.ViewSource{Call: "view", Daemon: "d2"}, Age: 5 * time.Second, ProofAge: 700 * time.Millisecond}
	l.write(gateway.Log{Kind: gateway.LogQueryRefused, Query: &gateway.QueryReport{RequestID: "r", Outcome: "no_route", ConfigVersion: 17, ConfigOrigin: origin}})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = out.Run(ctx)
	for _, want := range []string{`"config":"17"`, `"config_from":"d2"`, `"config_by":"view"`, `"config_age_ms":"5000"`, `"proof_age_ms":"700"`} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no %s in %s", want, text.String())
		}
	}
}
