package edged

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/logwriter"
)

const (
	// maxAnsweredLinesPerSecond bounds the log lines for requests that were answered
	// completely and in time. Lines for other requests are not limited.
	maxAnsweredLinesPerSecond = 20
	// logQueueLines is the number of log lines that may wait to be written.
	logQueueLines = 512
)

// eventIDs maps the reducer's log entries to log events.
var eventIDs = map[gateway.LogKind]logevent.ID{
	gateway.LogQueryAnswered:   logevent.EdgeAnswered,
	gateway.LogQueryPartial:    logevent.EdgePartial,
	gateway.LogQueryRefused:    logevent.EdgeRefused,
	gateway.LogQueryAbandoned:  logevent.EdgeAbandoned,
	gateway.LogConfigApplied:   logevent.EdgeConfigApplied,
	gateway.LogConfigIgnored:   logevent.EdgeConfigIgnored,
	gateway.LogServerAdded:     logevent.EdgeServerAdded,
	gateway.LogServerRemoved:   logevent.EdgeServerRemoved,
	gateway.LogServerDraining:  logevent.EdgeServerDraining,
	gateway.LogServerCold:      logevent.EdgeServerCold,
	gateway.LogServerSuspected: logevent.EdgeServerSuspected,
	gateway.LogDomainEvacuated: logevent.EdgeDomainEvacuated,
	gateway.LogDomainReturned:  logevent.EdgeDomainReturned,
	gateway.LogDaemonSeen:      logevent.EdgeDaemonSeen,
	gateway.LogDaemonSilent:    logevent.EdgeDaemonSilent,
	gateway.LogStoreLost:       logevent.EdgeStoreLost,
	gateway.LogStoreRegained:   logevent.EdgeStoreRegained,
	gateway.LogStopStarted:     logevent.EdgeStopStarted,
}

// reducerLog writes the reducer's log entries as log events and counts requests in
// the metrics. It must be called by one goroutine at a time.
type reducerLog struct {
	out             *logwriter.Writer
	metrics         *Metrics
	currentSecond   int64
	writtenInSecond int
	leftOut         int
}

func (l *reducerLog) write(e gateway.Log) {
	if e.Query != nil {
		l.metrics.countRequest(e.Query)
	}
	if e.Kind == gateway.LogQueryAnswered && !e.Query.Late && !l.allowAnsweredLine() {
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

// allowAnsweredLine reports whether one more line for a request answered completely
// and in time may be written in this second. Lines left out are counted and logged
// as a number when a later second begins.
func (l *reducerLog) allowAnsweredLine() bool {
	now := time.Now().Unix()
	if now != l.currentSecond {
		if l.leftOut > 0 {
			l.out.Write(logevent.EdgeLinesLeftOut, []logevent.Field{logevent.Int("count", l.leftOut)})
		}
		l.currentSecond, l.writtenInSecond, l.leftOut = now, 0, 0
	}
	if l.writtenInSecond >= maxAnsweredLinesPerSecond {
		l.leftOut++
		return false
	}
	l.writtenInSecond++
	return true
}

func queryFields(q *gateway.QueryReport) []logevent.Field {
	fields := []logevent.Field{
		logevent.Str("request", q.RequestID), logevent.Str("route", q.Route), logevent.Str("outcome", q.Outcome),
		logevent.Int("elapsed_us", q.Elapsed.Microseconds()), logevent.Int("config", q.ConfigVersion),
		logevent.Int("view_age_ms", q.ViewAge.Milliseconds()), logevent.Int("shards", q.Shards),
		logevent.Int("missing", q.Missing), logevent.Int("calls", q.Calls), logevent.Int("hedges", q.Hedges),
		logevent.Int("retries", q.Retries), logevent.Int("budget_denied", q.BudgetDenied),
	}
	if q.Late {
		fields = append(fields, logevent.Int("late", 1))
	}
	if q.MissingReasons != "" {
		fields = append(fields, logevent.Str("why", q.MissingReasons))
	}
	if q.Servers != "" {
		fields = append(fields, logevent.Str("servers", q.Servers))
	}
	return fields
}
