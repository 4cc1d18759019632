package edged

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/logwriter"
)

const (
	// answeredPerSecond bounds the lines of requests that were answered in full and
	// in time; others are always written.
	answeredPerSecond = 20
	// logQueue is the number of lines that may wait to be written.
	logQueue = 512
)

// kindEvents are the log events of the reducer's lines.
var kindEvents = map[gateway.LogKind]logevent.ID{
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

// logs turns the reducer's lines into log events. It is called by one goroutine
// at a time.
type logs struct {
	out     *logwriter.Writer
	metrics *Metrics
	second  int64
	written int
	leftOut int
}

func (l *logs) write(e gateway.Log) {
	if e.Query != nil {
		l.metrics.request(e.Query)
	}
	if e.Kind == gateway.LogQueryAnswered && !e.Query.Late && !l.room() {
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
	l.out.Write(kindEvents[e.Kind], fields)
}

// room reports whether one more line of an answered request may be written in
// this second.
func (l *logs) room() bool {
	now := time.Now().Unix()
	if now != l.second {
		if l.leftOut > 0 {
			l.out.Write(logevent.EdgeLinesLeftOut, []logevent.Field{logevent.Int("count", l.leftOut)})
		}
		l.second, l.written, l.leftOut = now, 0, 0
	}
	if l.written >= answeredPerSecond {
		l.leftOut++
		return false
	}
	l.written++
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
