package metrics

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

var update = flag.Bool("update", false, "write docs/metrics.md")

const document = "../../docs/metrics.md"

// capture is a Registerer that keeps the collectors.
type capture struct {
	prometheus.Registerer
	collectors []prometheus.Collector
}

func (c *capture) Register(x prometheus.Collector) error {
	c.collectors = append(c.collectors, x)
	return nil
}

func (c *capture) MustRegister(xs ...prometheus.Collector) {
	c.collectors = append(c.collectors, xs...)
}

var descPattern = regexp.MustCompile(`fqName: "([^"]*)", help: "([^"]*)".*variableLabels: \{([^}]*)\}`)

// Guards against a page of metrics that operators cannot rely on.
func TestDocumentAgreesWithMetrics(t *testing.T) {
	c := &capture{}
	if _, err := New(c); err != nil {
		t.Fatal(err)
	}
	sources := Sources{
		Status:     func() (s model.DaemonStatus) { return s },
		Header:     func() (h model.Header) { return h },
		LogDropped: func() uint64 { return 0 },
	}
	if err := RegisterStatus(c, sources); err != nil {
		t.Fatal(err)
	}
	descs := make(chan *prometheus.Desc, 1000)
	for _, x := range c.collectors {
		x.Describe(descs)
	}
	close(descs)
	var rows []string
	for d := range descs {
		m := descPattern.FindStringSubmatch(d.String())
		if m == nil {
			t.Fatalf("unexpected description %s", d)
		}
		rows = append(rows, fmt.Sprintf("| `%s` | %s | %s |\n", m[1], m[3], m[2]))
	}
	slices.Sort(rows)
	want := "# Metrics\n\nA daemon serves these at `/metrics` of its admin address, beside those of the\nGo runtime and the process. Written by `go test ./pkg/metrics -update`.\n\n" +
		"| name | labels | meaning |\n| --- | --- | --- |\n" + strings.Join(rows, "")
	if *update {
		if err := os.WriteFile(document, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(document)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("%s differs from the code; run: go test ./pkg/metrics -update", document)
	}
}
