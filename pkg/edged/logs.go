package edged

import (
	"context"
	"io"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/logwriter"
)

const (
	// maxAnsweredLinesPerSecond bounds the log lines for which isFrequent is true. Lines for
	// other requests are not limited.
	maxAnsweredLinesPerSecond = 20
	// logQueueLines is the number of log lines that may wait to be written.
	logQueueLines = 512
)

// eventIDs maps the reducer's log entries to log events.
var eventIDs = map[gateway.LogKind]logevent.ID{
	gateway.LogQueryAnswered:    logevent.EdgeAnswered,
	gateway.LogQueryPartial:     logevent.EdgePartial,
	gateway.LogQueryRefused:     logevent.EdgeRefused,
	gateway.LogQueryAbandoned:   logevent.EdgeAbandoned,
	gateway.LogConfigHeard:      logevent.EdgeConfigHeard,
	gateway.LogConfigApplied:    logevent.EdgeConfigApplied,
	gateway.LogConfigIgnored:    logevent.EdgeConfigIgnored,
	gateway.LogServerAdded:      logevent.EdgeServerAdded,
	gateway.LogServerRemoved:    logevent.EdgeServerRemoved,
	gateway.LogServerDraining:   logevent.EdgeServerDraining,
	gateway.LogServerCold:       logevent.EdgeServerCold,
	gateway.LogServerSuspected:  logevent.EdgeServerSuspected,
	gateway.LogReportsIgnored:   logevent.EdgeReportsIgnored,
	gateway.LogReportsTrusted:   logevent.EdgeReportsTrusted,
	gateway.LogCapacityStart:    logevent.EdgeCapacityStart,
	gateway.LogAdmissionLimited: logevent.EdgeAdmissionLimited,
	gateway.LogAdmissionEnded:   logevent.EdgeAdmissionEnded,
	gateway.LogDomainEvacuated:  logevent.EdgeDomainEvacuated,
	gateway.LogDomainReturned:   logevent.EdgeDomainReturned,
	gateway.LogDaemonSeen:       logevent.EdgeDaemonSeen,
	gateway.LogDaemonSilent:     logevent.EdgeDaemonSilent,
	gateway.LogWatchersChanged:  logevent.EdgeWatchersChanged,
	gateway.LogViewUnproven:     logevent.EdgeViewUnproven,
	gateway.LogReady:            logevent.EdgeReady,
	gateway.LogNotReady:         logevent.EdgeNotReady,
	gateway.LogStoreLost:        logevent.EdgeStoreLost,
	gateway.LogStoreRegained:    logevent.EdgeStoreRegained,
	gateway.LogStoreCopied:      logevent.EdgeStoreCopied,
	gateway.LogEvacuationHeld:   logevent.EdgeEvacuationHeld,
	gateway.LogStopStarted:      logevent.EdgeStopStarted,
	gateway.LogTenantsChanged:   logevent.EdgeTenantsChanged,
	gateway.LogKeysRevoked:      logevent.EdgeKeysRevoked,
	gateway.LogQuotaExceeded:    logevent.EdgeQuotaExceeded,
	gateway.LogQuotaHolding:     logevent.EdgeQuotaHolding,

	gateway.LogRolloutStarted:     logevent.EdgeRolloutStarted,
	gateway.LogRolloutWithdrawn:   logevent.EdgeRolloutWithdrawn,
	gateway.LogRolloutActing:      logevent.EdgeRolloutActing,
	gateway.LogRolloutVerdict:     logevent.EdgeRolloutVerdict,
	gateway.LogRolloutWriteFailed: logevent.EdgeRolloutWriteFailed,
}

// LogStartFailure writes the log event of a daemon that cannot start.
func LogStartFailure(out io.Writer, err error) { logAtStart(out, logevent.EdgeStartFailed, err) }

// logAtStart writes one log event while no log writer runs.
func logAtStart(out io.Writer, id logevent.ID, err error) {
	w := logwriter.NewSized(out, defaultLogLevel, nil, 1)
	w.Write(id, []logevent.Field{logevent.Str("error", err.Error())})
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	// It ends with the context's error.
	_ = w.Run(ended)
}

// reducerLog writes the reducer's log entries as log events and counts requests in
// the metrics. It must be called by one goroutine at a time.
type reducerLog struct {
	out             *logwriter.Writer
	metrics         *Metrics
	currentSecond   int64
	writtenInSecond int
	// leftOut is the number of lines left out in currentSecond, by route.
	leftOut map[string]int
}

func (l *reducerLog) write(e gateway.Log) {
	if e.Query != nil {
		l.metrics.countRequest(e.Query)
	}
	if isFrequent(e) && !l.allowFrequentLine(e.Query.Route) {
		return
	}
	var fields []logevent.Field
	if e.Query != nil {
		fields = queryFields(e.Query)
	}
	if e.Subject != "" {
		fields = append(fields, logevent.Str("subject", e.Subject))
	}
	if e.Detail != "" {
		fields = append(fields, logevent.Str("detail", e.Detail))
	}
	if e.Number != 0 {
		fields = append(fields, logevent.Int("number", e.Number))
	}
	if e.Duration != 0 {
		fields = append(fields, logevent.Int("age_ms", e.Duration.Milliseconds()))
	}
	l.out.Write(eventIDs[e.Kind], fields)
}

// isFrequent reports whether a line is one of many: for a request answered completely and
// in time, or one that a client without a valid key or over its quota may repeat at any
// rate.
func isFrequent(e gateway.Log) bool {
	if e.Kind == gateway.LogQueryAnswered {
		return !e.Query.Late
	}
	outcome := gateway.RefusalUnauthorized.String()
	return e.Kind == gateway.LogQueryRefused && (e.Query.Outcome == outcome || e.Query.Outcome == gateway.RefusalQuota.String())
}

// allowFrequentLine reports whether one more line for which isFrequent is true may be written in this second. Lines left out are counted by route and
// logged as numbers when a later second begins.
func (l *reducerLog) allowFrequentLine(route string) bool {
	now := time.Now().Unix()
	if now != l.currentSecond {
		l.writeLeftOut()
		l.currentSecond, l.writtenInSecond = now, 0
	}
	if l.writtenInSecond >= maxAnsweredLinesPerSecond {
		if l.leftOut == nil {
			l.leftOut = map[string]int{}
		}
		l.leftOut[route]++
		return false
	}
	l.writtenInSecond++
	return true
}

// writeLeftOut logs how many lines of each route were left out in currentSecond.
func (l *reducerLog) writeLeftOut() {
	for _, route := range slices.Sorted(maps.Keys(l.leftOut)) {
		l.out.Write(logevent.EdgeLinesLeftOut, []logevent.Field{
			logevent.Str("route", route), logevent.Int("count", l.leftOut[route]), logevent.Int("second", l.currentSecond),
		})
	}
	clear(l.leftOut)
}

func queryFields(q *gateway.QueryReport) []logevent.Field {
	fields := []logevent.Field{
		logevent.Str("request", q.RequestID), logevent.Str("route", q.Route), logevent.Str("outcome", q.Outcome),
		logevent.Int("elapsed_us", q.Elapsed.Microseconds()), logevent.Int("config", q.ConfigVersion),
		logevent.Int("view_age_ms", q.ViewAge.Milliseconds()), logevent.Int("shards", q.Shards),
		logevent.Int("missing", q.Missing), logevent.Int("calls", q.Calls), logevent.Int("hedges", q.Hedges),
		logevent.Int("retries", q.Retries), logevent.Int("budget_denied", q.BudgetDenied),
	}
	fields = append(fields, originFields(q.ConfigOrigin)...)
	if q.Tenant != "" {
		fields = append(fields, logevent.Str("tenant", q.Tenant))
	}
	if q.Late {
		fields = append(fields, logevent.Int("late", 1))
	}
	fields = append(fields, waitFields(q.Wait)...)
	if q.MissingReasons != "" {
		fields = append(fields, logevent.Str("why", q.MissingReasons))
	}
	if q.Servers != "" {
		fields = append(fields, logevent.Str("servers", q.Servers))
	}
	return fields
}

// originFields describes how the daemon learned of the version that decided on a request;
// there are none for one that was not refused.
func originFields(o *gateway.ConfigOrigin) []logevent.Field {
	if o == nil {
		return nil
	}
	from := o.Source.Daemon
	if from == "" {
		from = "store"
	}
	return []logevent.Field{
		logevent.Str("config_from", from), logevent.Str("config_by", o.Source.Call), logevent.Int("config_age_ms", o.Age.Milliseconds()),
		logevent.Int("proof_age_ms", o.ProofAge.Milliseconds()),
	}
}

// waitFields describes what a request waited for; there are none for one that was
// answered completely and in time.
func waitFields(w *gateway.WaitReport) []logevent.Field {
	if w == nil {
		return nil
	}
	fields := []logevent.Field{
		logevent.Str("waited_for", w.Cause), logevent.Int("lag_us", w.Lag.Microseconds()), logevent.Int("queued_us", w.Queued.Microseconds()),
		logevent.Int("share_permille", int(math.Round(1000*w.QuotaShare))),
	}
	if w.Service != "" {
		fields = append(fields, logevent.Str("service", w.Service), logevent.Int("retry_tokens", int(w.RetryTokens)), logevent.Int("connections", w.Connections))
	}
	if w.Server != "" {
		fields = append(fields,
			logevent.Str("server", w.Server), logevent.Int("earlier_us", w.Earlier.Microseconds()), logevent.Int("connect_us", w.Connect.Microseconds()),
			logevent.Int("at_leaf_us", w.AtLeaf.Microseconds()), logevent.Int("expected_us", w.Expected.Microseconds()),
			logevent.Int("load", int(math.Round(w.Load))), logevent.Int("slots", w.Slots))
	}
	return fields
}
