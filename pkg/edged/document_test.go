package edged

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/edge"
	"github.com/pistachiousher/pistachiousher/pkg/metrics/metricsdoc"
)

var update = flag.Bool("update", false, "write docs/metrics-edge.md")

// Guards against a metrics page that differs from the registered metrics.
func TestMetricsPageIsCurrent(t *testing.T) {
	intro := "# Metrics of an edge daemon\n\nAn edge daemon serves these at `/metrics` of its admin address. Routes,\nservices and tenants beyond the first 64 of each are counted as `other`. Written by `go test ./pkg/edged -update`.\n\n"
	metricsdoc.Check(t, "../../docs/metrics-edge.md", intro, *update, func(r prometheus.Registerer) {
		NewMetrics(r)
		registerStatus(r, func() gateway.Status { return gateway.Status{} }, func() uint64 { return 0 })
		registerTraffic(r, new(edge.PeerTraffic))
		registerLoad(r, func() int64 { return 0 }, func() int64 { return 0 }, func() time.Duration { return 0 })
	})
}

// Guards against a number of series that grows with each new route or service.
func TestLabelValuesAreBounded(t *testing.T) {
	m := NewMetrics(prometheus.NewRegistry())
	for i := range 10 * maxLabelValues {
		m.countRequest(&gateway.QueryReport{Route: fmt.Sprintf("r%d", i), Outcome: "answered", Tenant: fmt.Sprintf("t%d", i)})
		m.Call(fmt.Sprintf("s%d", i), gateway.OutcomeSucceeded, 0)
	}
	for name, c := range map[string]prometheus.Collector{"requests": m.requests, "latency": m.latency, "calls": m.calls, "tenants": m.tenants} {
		series := make(chan prometheus.Metric, 20*maxLabelValues)
		c.Collect(series)
		if n := len(series); n != maxLabelValues+1 {
			t.Errorf("%s: %d series, want %d and one for the others", name, n, maxLabelValues)
		}
	}
}
