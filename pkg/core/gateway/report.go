package gateway

// queryReport summarises a query for the log.
func (s *State) queryReport(q *query, kind LogKind, outcome string) *QueryReport {
	r := &QueryReport{
		RequestID: q.requestID, Route: q.route.Name, Tenant: q.identity.Name(), Outcome: outcome, Elapsed: s.now.Sub(q.arrived), Late: s.isLate(q),
		ConfigVersion: q.config.Version, ViewAge: s.viewAge(), Shards: len(q.parts), Missing: len(q.parts) - q.answeredParts,
		Calls: q.sent, Hedges: q.hedges, Retries: q.retries, BudgetDenied: q.budgetDenied,
		Wait: s.waitReport(q, kind, outcome),
	}
	if kind == LogQueryRefused {
		r.ConfigOrigin = s.configOrigin(q.config)
	}
	if r.Missing > 0 {
		r.MissingReasons = missingReasons(q)
	}
	if len(q.parts) == 1 {
		for _, c := range q.parts[0].calls {
			r.Servers = appendWord(r.Servers, c.server.ID)
		}
	}
	return r
}

// maxMissingListed bounds the number of shards that a log line lists.
const maxMissingListed = 6

// missingReasons lists the shards without an answer as "service:reason@leaf". It omits
// shards that were neither sent nor given up.
func missingReasons(q *query) string {
	var out string
	listed := 0
	for i := range q.parts {
		p := &q.parts[i]
		neverSent := p.failureReason == "" && len(p.calls) == 0
		if p.state == partAnswered || neverSent {
			continue
		}
		if listed++; listed > maxMissingListed {
			return out + " ..."
		}
		reason := p.failureReason
		if reason == "" {
			reason = "late"
		}
		entry := p.svc.name + ":" + reason
		if n := len(p.calls); n > 0 {
			entry += "@" + p.calls[n-1].server.ID
		}
		out = appendWord(out, entry)
	}
	return out
}

func appendWord(a, b string) string {
	if a == "" {
		return b
	}
	return a + " " + b
}
