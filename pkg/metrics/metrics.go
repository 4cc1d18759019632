// Package metrics holds the Prometheus collectors of a daemon. Metrics
// implements runtime.Observer.
package metrics

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const namespace = "pistachiousher"

// Metrics are the collectors of one daemon.
type Metrics struct {
	events                          *prometheus.CounterVec
	stepSeconds                     prometheus.Histogram
	queueLength                     prometheus.Gauge
	queries                         *prometheus.CounterVec
	latency                         *prometheus.HistogramVec
	coverage                        prometheus.Histogram
	missingShards                   *prometheus.CounterVec
	extraAttempts                   prometheus.Counter
	subResults                      *prometheus.CounterVec
	platformCalls                   *prometheus.CounterVec
	peerMessages                    *prometheus.CounterVec
	peerBytes                       *prometheus.CounterVec
	peerBytesRead, peerBytesWritten prometheus.Counter
	logEvents                       *prometheus.CounterVec
	// eventsByType avoids building label values in the event loop.
	eventsByType map[reflect.Type]prometheus.Counter
}

// Values of the label outcome of queries, in addition to the kinds of refusal.
const (
	outcomeComplete  = "complete"
	outcomePartial   = "partial"
	outcomeAbandoned = "abandoned"
)

var (
	// stepBuckets cover 1 µs to 4 ms; the target of a step is 3 µs.
	stepBuckets = prometheus.ExponentialBuckets(1e-6, 2, 13)
	// latencyBuckets cover 1 ms to about 8 s.
	latencyBuckets = prometheus.ExponentialBuckets(1e-3, 1.5, 23)
	// coverageBuckets are fractions of the shards asked that were answered.
	coverageBuckets = []float64{0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.9999}
)

// New returns the collectors, registered with r. It fails if r has collectors
// of the same names.
func New(r prometheus.Registerer) (*Metrics, error) {
	m := &Metrics{
		events:        newCounterVec("events_total", "Events handled by the reducer.", "event"),
		stepSeconds:   newHistogram("step_seconds", "Time of one step of the reducer.", stepBuckets),
		queueLength:   prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: "event_queue_length", Help: "Events waiting for the reducer."}),
		queries:       newCounterVec("queries_total", "Requests of callers by class and outcome.", "class", "outcome"),
		latency:       prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "query_seconds", Help: "Latency of answered requests.", Buckets: latencyBuckets}, []string{"class"}),
		coverage:      newHistogram("query_coverage_ratio", "Shards answered of those asked, per answer.", coverageBuckets),
		missingShards: newCounterVec("missing_shards_total", "Shards missing in answers by reason.", "reason"),
		extraAttempts: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "extra_attempts_total", Help: "Sub-requests beyond one per shard asked: hedges and retries."}),
		subResults:    newCounterVec("backend_results_total", "Sub-requests at backend servers by outcome.", "outcome"),
		platformCalls: newCounterVec("platform_calls_total", "Calls to the platform; a long poll counts as one.", "operation", "result"),
		peerMessages:  newCounterVec("peer_messages_total", "Messages sent to peers.", "message", "result"),
		peerBytes:     newCounterVec("peer_bytes_total", "Bytes on connections opened to peers.", "direction"),
		logEvents:     newCounterVec("log_events_total", "Log events by name, whether written or not.", "name"),
		eventsByType:  make(map[reflect.Type]prometheus.Counter),
	}
	for _, c := range m.collectors() {
		if err := r.Register(c); err != nil {
			return nil, fmt.Errorf("metrics: register: %w", err)
		}
	}
	m.peerBytesRead = m.peerBytes.WithLabelValues("read")
	m.peerBytesWritten = m.peerBytes.WithLabelValues("written")
	return m, nil
}

func (m *Metrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{
		m.events, m.stepSeconds, m.queueLength, m.queries, m.latency, m.coverage, m.missingShards,
		m.extraAttempts, m.subResults, m.platformCalls, m.peerMessages, m.peerBytes, m.logEvents,
	}
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newHistogram(name, help string, buckets []float64) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets})
}

// Step implements runtime.Observer. It is called from the event loop only.
func (m *Metrics) Step(body event.Body, took time.Duration, queued int) {
	t := reflect.TypeOf(body)
	c, ok := m.eventsByType[t]
	if !ok {
		c = m.events.WithLabelValues(strings.TrimPrefix(t.String(), "event."))
		m.eventsByType[t] = c
	}
	c.Inc()
	m.stepSeconds.Observe(took.Seconds())
	m.queueLength.Set(float64(queued))
}

// Answered implements runtime.Observer.
func (m *Metrics) Answered(class model.Class, a *model.Answer, took time.Duration) {
	outcome := outcomePartial
	if a.Complete {
		outcome = outcomeComplete
	}
	m.queries.WithLabelValues(class.String(), outcome).Inc()
	m.latency.WithLabelValues(class.String()).Observe(took.Seconds())
	if a.Asked > 0 {
		m.coverage.Observe(float64(a.Answered) / float64(a.Asked))
	}
	if a.Attempts > a.Asked {
		m.extraAttempts.Add(float64(a.Attempts - a.Asked))
	}
	for _, s := range a.Missing {
		m.missingShards.WithLabelValues(string(s.Reason)).Inc()
	}
}

// Refused implements runtime.Observer.
func (m *Metrics) Refused(class model.Class, r *model.Refusal) {
	m.queries.WithLabelValues(class.String(), string(r.Kind)).Inc()
}

// Abandoned implements runtime.Observer.
func (m *Metrics) Abandoned(class model.Class) {
	m.queries.WithLabelValues(class.String(), outcomeAbandoned).Inc()
}

// SubResult implements runtime.Observer.
func (m *Metrics) SubResult(r *model.SubResult) {
	m.subResults.WithLabelValues(r.Outcome.String()).Inc()
}

// Message implements runtime.Observer.
func (m *Metrics) Message(kind string, ok bool) {
	result := "ok"
	if !ok {
		result = "failed"
	}
	m.peerMessages.WithLabelValues(kind, result).Inc()
}

// PlatformCall counts a call to the platform. It is used as
// objectapi.Options.OnCall.
func (m *Metrics) PlatformCall(operation, result string) {
	m.platformCalls.WithLabelValues(operation, result).Inc()
}

// PeerTraffic counts bytes on connections to peers. It is used as peer.Traffic.
func (m *Metrics) PeerTraffic(read, written int) {
	m.peerBytesRead.Add(float64(read))
	m.peerBytesWritten.Add(float64(written))
}

// LogEvent counts a log event.
func (m *Metrics) LogEvent(def logevent.Def) {
	m.logEvents.WithLabelValues(def.Name).Inc()
}
