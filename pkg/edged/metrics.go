package edged

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/edge"
)

// maxLabelValues bounds the number of routes, of services and of tenants that get a series
// of their own: each series takes memory, and configurations add new names all day.
const maxLabelValues = 64

// otherLabel is the label value for all routes, services or tenants beyond maxLabelValues.
const otherLabel = "other"

// labelValues holds the first maxLabelValues values of a label.
type labelValues struct {
	mu    sync.Mutex
	known map[string]bool
}

// valueOrOther returns the value, or otherLabel if the value is new and
// maxLabelValues others are known.
func (l *labelValues) valueOrOther(value string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known[value] {
		return value
	}
	if len(l.known) >= maxLabelValues {
		return otherLabel
	}
	if l.known == nil {
		l.known = map[string]bool{}
	}
	l.known[value] = true
	return value
}

// requestBuckets and callBuckets are the upper bounds of histogram buckets in
// seconds, chosen around the latency targets of today's sites.
var (
	requestBuckets = []float64{.02, .05, .08, .12, .2, .5, .8, 2, 8}
	callBuckets    = []float64{.005, .01, .02, .04, .08, .16, .4, 1.5}
)

// Metrics are the collectors of a daemon.
type Metrics struct {
	requests      *prometheus.CounterVec
	latency       *prometheus.HistogramVec
	missingShards *prometheus.CounterVec
	extraAttempts *prometheus.CounterVec
	tenants       *prometheus.CounterVec
	calls         *prometheus.CounterVec
	callTime      *prometheus.HistogramVec
	storeCalls    *prometheus.CounterVec
	connsOpened   prometheus.Counter
	explanations  prometheus.Counter
	refused       *prometheus.CounterVec
	invalid       *prometheus.CounterVec
	services      labelValues
	routes        labelValues
	tenantNames   labelValues
}

// NewMetrics registers the collectors of a daemon.
func NewMetrics(r prometheus.Registerer) *Metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "pistachiousher_edge_" + name, Help: help}, labels)
		r.MustRegister(c)
		return c
	}
	histogram := func(name, help, label string, buckets []float64) *prometheus.HistogramVec {
		h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "pistachiousher_edge_" + name, Help: help, Buckets: buckets}, []string{label})
		r.MustRegister(h)
		return h
	}
	m := &Metrics{
		requests:      counter("requests_total", "Requests of callers by route and outcome.", "route", "outcome"),
		latency:       histogram("request_seconds", "Time from a request to its final answer.", "route", requestBuckets),
		missingShards: counter("missing_shards_total", "Shards that answers lack.", "route"),
		extraAttempts: counter("extra_attempts_total", "Attempts beyond the first, and those that the budget denied.", "route", "kind"),
		tenants:       counter("tenant_requests_total", "Requests of callers with the key of a tenant, by tenant and outcome.", "tenant", "outcome"),
		calls:         counter("calls_total", "Attempts at leafs by service and outcome.", "service", "outcome"),
		callTime:      histogram("call_seconds", "Time of attempts at leafs.", "service", callBuckets),
		refused:       counter("clients_refused_total", "Requests outside the limits that were refused, and connections that were closed for them, by listener and reason.", "listener", "reason"),
		invalid:       counter("invalid_answers_total", "Attempts at leafs that got bytes which are no answer in HTTP/1.", "service"),
		storeCalls:    counter("store_calls_total", "Calls to the store.", "kind", "operation", "outcome"),
	}
	m.connsOpened = prometheus.NewCounter(prometheus.CounterOpts{Name: "pistachiousher_edge_connections_opened_total", Help: "New connections to leafs."})
	r.MustRegister(m.connsOpened)
	m.explanations = prometheus.NewCounter(prometheus.CounterOpts{Name: "pistachiousher_edge_explanations_total", Help: "Requests that were explained and not sent."})
	r.MustRegister(m.explanations)
	return m
}

// countRequest counts a request that has ended.
func (m *Metrics) countRequest(q *gateway.QueryReport) {
	if q.Tenant != "" {
		m.tenants.WithLabelValues(m.tenantNames.valueOrOther(q.Tenant), q.Outcome).Inc()
	}
	if q.Route == "" {
		m.requests.WithLabelValues("", q.Outcome).Inc()
		return
	}
	route := m.routes.valueOrOther(q.Route)
	m.requests.WithLabelValues(route, q.Outcome).Inc()
	m.latency.WithLabelValues(route).Observe(q.Elapsed.Seconds())
	m.missingShards.WithLabelValues(route).Add(float64(q.Missing))
	m.extraAttempts.WithLabelValues(route, "hedge").Add(float64(q.Hedges))
	m.extraAttempts.WithLabelValues(route, "retry").Add(float64(q.Retries))
	m.extraAttempts.WithLabelValues(route, "denied").Add(float64(q.BudgetDenied))
}

// Call implements edge.Observer.
func (m *Metrics) Call(service string, outcome gateway.Outcome, took time.Duration) {
	label := m.services.valueOrOther(service)
	m.calls.WithLabelValues(label, outcome.String()).Inc()
	if outcome == gateway.OutcomeSucceeded {
		m.callTime.WithLabelValues(label).Observe(took.Seconds())
	}
}

// countInvalid counts an attempt at a leaf of the service that got an invalid answer.
func (m *Metrics) countInvalid(service string) {
	m.invalid.WithLabelValues(m.services.valueOrOther(service)).Inc()
}

// StoreCall counts a call to the store.
func (m *Metrics) StoreCall(kind edge.Kind, operation, outcome string) {
	m.storeCalls.WithLabelValues(string(kind), operation, outcome).Inc()
}

// registerLoad registers gauges of the load on the process.
func registerLoad(r prometheus.Registerer, heldBytes, headBytes func() int64, lag func() time.Duration) {
	r.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "pistachiousher_edge_held_bytes", Help: "Bytes held in bodies of answers and requests.",
		}, func() float64 { return float64(heldBytes()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "pistachiousher_edge_head_bytes", Help: "Bytes reserved for heads of requests that are received or not answered.",
		}, func() float64 { return float64(headBytes()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "pistachiousher_edge_read_lag_seconds", Help: "Longest time for which bytes that are read now may have waited in the process.",
		}, func() float64 { return lag().Seconds() }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "pistachiousher_edge_goroutines", Help: "Goroutines of the process.",
		}, func() float64 { return float64(runtime.NumGoroutine()) }),
	)
}

// registerTraffic registers counters of the bytes sent between daemons.
func registerTraffic(r prometheus.Registerer, t *edge.PeerTraffic) {
	for name, counter := range map[string]struct {
		help  string
		count *atomic.Uint64
	}{
		"gossip_sent_bytes_total":     {"Bytes of gossip to other daemons.", &t.GossipSent},
		"gossip_received_bytes_total": {"Bytes of gossip of other daemons.", &t.GossipReceived},
		"views_sent_bytes_total":      {"Bytes of views that other daemons fetched.", &t.ViewsSent},
		"views_received_bytes_total":  {"Bytes of views that were fetched from other daemons.", &t.ViewsReceived},
	} {
		r.MustRegister(prometheus.NewCounterFunc(
			prometheus.CounterOpts{Name: "pistachiousher_edge_" + name, Help: counter.help},
			func() float64 { return float64(counter.count.Load()) },
		))
	}
}

// registerStatus registers gauges of the reducer's state.
func registerStatus(r prometheus.Registerer, status func() gateway.Status, dropped func() uint64) {
	gauge := func(name, help string, value func(gateway.Status) float64) {
		r.MustRegister(prometheus.NewGaugeFunc(
			prometheus.GaugeOpts{Name: "pistachiousher_edge_" + name, Help: help},
			func() float64 { return value(status()) },
		))
	}
	toFloat := func(condition bool) float64 {
		if condition {
			return 1
		}
		return 0
	}
	gauge("config_version", "Version of the configuration in force; 0 for none.", func(s gateway.Status) float64 { return float64(s.ConfigVersion) })
	gauge("leafs_revision", "Store revision of the latest known change of leafs.", func(s gateway.Status) float64 { return float64(s.View.Servers) })
	gauge("evacuations_revision", "Store revision of the latest known change of evacuations.", func(s gateway.Status) float64 { return float64(s.View.Evacuations) })
	gauge("view_age_seconds", "Time for which the list of leafs could not be confirmed.", func(s gateway.Status) float64 { return s.ViewAge.Seconds() })
	gauge("ready", "1 if the daemon takes requests.", func(s gateway.Status) float64 { return toFloat(s.Ready) })
	gauge("store_watcher", "1 if the daemon watches the store.", func(s gateway.Status) float64 { return toFloat(s.Watcher) })
	gauge("store_watch_age_seconds", "Time since a daemon last told that it watches the store; 0 if this one does.", func(s gateway.Status) float64 { return s.WatchAge.Seconds() })
	gauge("store_proof_age_seconds", "Time for which the daemon has not known that its view is that of the store.", func(s gateway.Status) float64 { return s.ProofAge.Seconds() })
	gauge("store_down", "1 if calls to the store fail.", func(s gateway.Status) float64 { return toFloat(s.StoreDown) })
	gauge("store_era", "Era of the store; 0 if it names none. It rises when the store comes back from a copy.", func(s gateway.Status) float64 { return float64(s.StoreEra) })
	gauge("held_evacuations", "Evacuations in force that the store no longer shows since it came back from a copy.", func(s gateway.Status) float64 { return float64(s.HeldEvacuations) })
	gauge("leafs", "Known leafs.", func(s gateway.Status) float64 { return float64(s.Leafs) })
	gauge("cold_leafs", "Leafs that are taken to be cold.", func(s gateway.Status) float64 { return float64(s.ColdLeafs) })
	gauge("limited_pools", "Services, or groups of shards, whose requests are admitted by fair shares because they are overloaded.", func(s gateway.Status) float64 { return float64(s.LimitedPools) })
	gauge("learned_leafs", "Leafs that report how fast their VM is and whose capacity is learned.", func(s gateway.Status) float64 { return float64(s.LearnedLeafs) })
	gauge("ignored_report_leafs", "Leafs whose reports of their VM's speed are ignored because their latency does not show it.", func(s gateway.Status) float64 { return float64(s.IgnoredReports) })
	gauge("suspect_leafs", "Leafs that are slow and probed.", func(s gateway.Status) float64 { return float64(s.SuspectLeafs) })
	gauge("daemons", "Daemons that are heard and reach the store, this one included.", func(s gateway.Status) float64 { return float64(s.Daemons) })
	gauge("open_requests", "Requests without a final answer.", func(s gateway.Status) float64 { return float64(s.OpenRequests) })
	gauge("open_calls", "Attempts at leafs that have not ended.", func(s gateway.Status) float64 { return float64(s.OpenCalls) })
	gauge("queued", "Shards that wait for a connection or a cold leaf.", func(s gateway.Status) float64 { return float64(s.Queued) })
	gauge("least_budget", "Least retry budget of all services, in attempts.", func(s gateway.Status) float64 { return s.LeastTokens })
	gauge("throttle", "Greatest probability of all routes with which a request is refused at its arrival because leafs are overloaded.", func(s gateway.Status) float64 { return s.Throttle })
	gauge("share", "This daemon's part of what all daemons together may do.", func(s gateway.Status) float64 { return s.Share })
	gauge("tenants", "Tenants in the configuration in force.", func(s gateway.Status) float64 { return float64(s.Tenants) })
	gauge("quota_holders", "Daemons that hold shares of the quotas of tenants.", func(s gateway.Status) float64 { return float64(s.QuotaHolders) })
	gauge("quota_holder", "1 if this daemon holds a share of the quotas of tenants.", func(s gateway.Status) float64 { return toFloat(s.QuotaHolder) })
	gauge("running_rollouts", "Orders of roll-outs without a verdict.", func(s gateway.Status) float64 { return float64(s.RunningRollouts) })
	gauge("excluded_leafs", "Leafs that get no requests, or only sampled ones, because of their version.", func(s gateway.Status) float64 { return float64(s.ExcludedLeafs) })
	gauge("exposed_attempts", "Attempts since the start at leafs of versions whose roll-out had no verdict.", func(s gateway.Status) float64 { return float64(s.ExposedAttempts) })
	r.MustRegister(prometheus.NewCounterFunc(
		prometheus.CounterOpts{Name: "pistachiousher_edge_log_lines_dropped_total", Help: "Log lines dropped because the output was slow."},
		func() float64 { return float64(dropped()) },
	))
}
