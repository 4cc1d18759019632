package gateway

// report summarises a query for the log.
func (s *State) report(q *query, outcome string) *QueryReport {
	r := &QueryReport{
		RequestID: q.requestID, Route: q.route.Name, Outcome: outcome, Elapsed: s.now.Sub(q.arrived), Late: s.late(q),
		ConfigVersion: q.version, ViewAge: s.age(), Shards: len(q.parts), Missing: len(q.parts) - q.in,
		Calls: q.sent, Hedges: q.hedges, Retries: q.retries, BudgetDenied: q.denied,
	}
	if r.Missing > 0 {
		r.MissingWhy = missingWhy(q)
	}
	if len(q.parts) == 1 {
		for _, c := range q.parts[0].calls {
			r.Servers = joinWords(r.Servers, c.server.ID)
		}
	}
	return r
}

// maxMissingListed bounds the shards that a log line names.
const maxMissingListed = 6

func missingWhy(q *query) string {
	var out string
	listed := 0
	for i := range q.parts {
		p := &q.parts[i]
		neverSent := p.failure == "" && len(p.calls) == 0
		if p.state == partIn || neverSent {
			continue
		}
		if listed++; listed > maxMissingListed {
			return out + " ..."
		}
		why := p.failure
		if why == "" {
			why = "late"
		}
		word := p.svc.name + ":" + why
		if n := len(p.calls); n > 0 {
			word += "@" + p.calls[n-1].server.ID
		}
		out = joinWords(out, word)
	}
	return out
}

func joinWords(a, b string) string {
	if a == "" {
		return b
	}
	return a + " " + b
}
