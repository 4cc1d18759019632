// Package capacity measures what the parts of a daemon cost on one machine,
// fits lines to the results and works out from them what the design scale
// needs. It uses loopback connections only and bounds every run in count or
// time.
package capacity

import (
	"fmt"
	"runtime"
	"time"
)

// Series is one measured dependency and its fit.
type Series struct {
	Name string `json:"name"`
	// X and Y name the quantities with their units.
	X string `json:"x"`
	Y string `json:"y"`
	// Method says what ran and which of the repetitions counts.
	Method string  `json:"method"`
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
}

// Machine describes where a report was measured.
type Machine struct {
	CPUs int    `json:"cpus"`
	Go   string `json:"go"`
	OS   string `json:"os"`
	Arch string `json:"arch"`
}

// Report is everything that one run measured.
type Report struct {
	Time    string   `json:"time"`
	Seconds float64  `json:"seconds"`
	Machine Machine  `json:"machine"`
	Series  []Series `json:"series"`
	// Figures are worked out from the fits for the design scale.
	Figures []Figure `json:"figures"`
	// Failed lists measurements that gave no result.
	Failed []string `json:"failed,omitempty"`
}

// Figure is one value worked out for the design scale.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Basis is how it was worked out.
	Basis string `json:"basis"`
}

func newReport() *Report {
	return &Report{
		Time:    time.Now().UTC().Format(time.RFC3339),
		Machine: Machine{CPUs: runtime.NumCPU(), Go: runtime.Version(), OS: runtime.GOOS, Arch: runtime.GOARCH},
	}
}

// series returns the named series.
func (r *Report) series(name string) (*Series, error) {
	for i := range r.Series {
		if r.Series[i].Name == name {
			return &r.Series[i], nil
		}
	}
	return nil, fmt.Errorf("capacity: no series %q", name)
}

// add fits the series and appends it.
func (r *Report) add(s Series) error {
	fit, err := Line(s.Points)
	if err != nil {
		return fmt.Errorf("%s: %w", s.Name, err)
	}
	s.Fit = fit
	r.Series = append(r.Series, s)
	return nil
}
