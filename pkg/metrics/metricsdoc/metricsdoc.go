// Package metricsdoc writes and checks the pages that list metrics.
package metricsdoc

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

// capture is a Registerer that only keeps the collectors.
type capture struct {
	prometheus.Registerer
	collectors []prometheus.Collector
}

// Register implements prometheus.Registerer.
func (c *capture) Register(x prometheus.Collector) error {
	c.collectors = append(c.collectors, x)
	return nil
}

// MustRegister implements prometheus.Registerer.
func (c *capture) MustRegister(xs ...prometheus.Collector) {
	c.collectors = append(c.collectors, xs...)
}

// maxMetrics bounds the metrics of a page.
const maxMetrics = 1000

var descPattern = regexp.MustCompile(`fqName: "([^"]*)", help: "([^"]*)".*variableLabels: \{([^}]*)\}`)

// Check compares a page with the metrics that the function register registers;
// if update is set, it writes the page first. intro is the text above the table.
func Check(t *testing.T, page, intro string, update bool, register func(prometheus.Registerer)) {
	t.Helper()
	c := &capture{}
	register(c)
	descs := make(chan *prometheus.Desc, maxMetrics)
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
	want := intro + "| name | labels | meaning |\n| --- | --- | --- |\n" + strings.Join(rows, "")
	if update {
		if err := os.WriteFile(page, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("%s differs from the code; run the test with -update", page)
	}
}
