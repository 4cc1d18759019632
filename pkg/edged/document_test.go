package edged

import (
	"flag"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/metrics/metricsdoc"
)

var update = flag.Bool("update", false, "write docs/metrics-edge.md")

// Guards against a page of metrics that operators cannot rely on.
func TestDocumentAgreesWithMetrics(t *testing.T) {
	intro := "# Metrics of an edge daemon\n\nAn edge daemon serves these at `/metrics` of its admin address. Services beyond\nthe first 64 are counted as `other`. Written by `go test ./pkg/edged -update`.\n\n"
	metricsdoc.Check(t, "../../docs/metrics-edge.md", intro, *update, func(r prometheus.Registerer) {
		NewMetrics(r)
		registerStatus(r, func() gateway.Status { return gateway.Status{} }, func() uint64 { return 0 })
	})
}
