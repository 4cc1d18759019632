package metrics

import (
	"fmt"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Sources are the functions that give the current values when metrics are
// collected.
type Sources struct {
	Status     func() model.DaemonStatus
	Header     func() model.Header
	LogDropped func() uint64
}

// RegisterStatus registers metrics that are read from the sources.
func RegisterStatus(r prometheus.Registerer, s Sources) error {
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value)
	}
	counter := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, value)
	}
	collectors := []prometheus.Collector{
		gauge("ready", "1 while the daemon takes new work.", func() float64 { return boolValue(s.Status().Ready) }),
		gauge("lease", "1 while the daemon holds a lease.", func() float64 { return boolValue(s.Status().HasLease) }),
		gauge("panel_member", "1 while the daemon grants leases.", func() float64 { return boolValue(s.Status().OnPanel) }),
		gauge("owned_servers", "Backend servers that the daemon owns.", func() float64 { return float64(s.Status().Owned) }),
		gauge("running_queries", "Requests that run at this entry daemon.", func() float64 { return float64(s.Status().Running) }),
		gauge("bundle_version", "Version of the bundle in effect.", func() float64 { return float64(s.Header().BundleVersion) }),
		gauge("controls_version", "Version of the controls in effect.", func() float64 { return float64(s.Header().ControlsVersion) }),
		gauge("epoch", "Number of the epoch.", func() float64 { return float64(s.Header().Epoch) }),
		counter("hedges_total", "Hedges sent.", func() float64 { return float64(s.Status().Hedges) }),
		counter("retries_total", "Retries sent.", func() float64 { return float64(s.Status().Retries) }),
		counter("log_dropped_total", "Log lines dropped because the output fell behind.", func() float64 { return float64(s.LogDropped()) }),
	}
	for _, c := range collectors {
		if err := r.Register(c); err != nil {
			return fmt.Errorf("metrics: register: %w", err)
		}
	}
	return nil
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
