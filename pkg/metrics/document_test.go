package metrics

import (
	"flag"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pistachiousher/pistachiousher/pkg/metrics/metricsdoc"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

var update = flag.Bool("update", false, "write docs/metrics.md")

// Guards against a page of metrics that differs from the metrics that a daemon
// has.
func TestDocumentAgreesWithMetrics(t *testing.T) {
	intro := "# Metrics\n\nA daemon serves these at `/metrics` of its admin address, beside those of the\nGo runtime and the process. Written by `go test ./pkg/metrics -update`.\n\n"
	metricsdoc.Check(t, "../../docs/metrics.md", intro, *update, func(r prometheus.Registerer) {
		if _, err := New(r); err != nil {
			t.Fatal(err)
		}
		sources := Sources{
			Status:     func() (s model.DaemonStatus) { return s },
			Header:     func() (h model.Header) { return h },
			LogDropped: func() uint64 { return 0 },
		}
		if err := RegisterStatus(r, sources); err != nil {
			t.Fatal(err)
		}
	})
}
