package gateway

import (
	"cmp"
	"slices"
)

// explainServices adds the services of the route. decided is the state after the arrival of
// the request.
func (s *State) explainServices(e *Explanation, decided *State) {
	r := e.Route
	services := slices.Clone(r.Shards)
	if len(services) > 0 {
		e.AnswerByMS = milliseconds(s.partialAnswerDelay(r, 0))
	}
	for _, t := range r.Targets {
		services = append(services, t.Service)
	}
	repeatable := r.MaxAttempts > 1
	if r.Idempotent && repeatable {
		e.HedgeAfterMS = milliseconds(s.hedgeDelay(r, 0))
	}
	orders := map[string]RolloutStatus{}
	for _, x := range s.Rollouts() {
		orders[x.Service] = x
	}
	for _, name := range services {
		svc, tokens := s.service(name), decided.retryTokens(decided.service(name))
		out := ServiceExplanation{
			Name: name, RetryTokens: tokens, Connections: s.maxConnections(svc), Queued: len(svc.queue),
			RetryAllowed: repeatable && tokens >= 1, HedgeAllowed: repeatable && r.Idempotent && tokens >= 1,
			Leafs: s.explainLeafs(svc, r, e.Decision.Attempts),
		}
		if x, ok := orders[name]; ok {
			out.Rollout = &x
		}
		e.Services = append(e.Services, out)
	}
}

// explainLeafs returns the leafs of a service in the order of preference.
func (s *State) explainLeafs(svc *service, r *Route, attempts []PlannedAttempt) []LeafExplanation {
	typical := s.route(r).typicalAttemptTime(r)
	out := []LeafExplanation{}
	status := map[string]LeafStatus{}
	for _, x := range s.Leafs(svc.name) {
		status[x.ID] = x
	}
	for _, srv := range svc.servers {
		load := s.estimatedLoad(srv)
		x := LeafExplanation{
			LeafStatus: status[srv.ID], Cost: s.attemptCost(srv, typical), availability: s.availability(srv, r),
			Chosen:     slices.Contains(attempts, PlannedAttempt{Service: svc.name, Leaf: srv.ID}),
			ExpectedMS: milliseconds(typical) * s.expectedRatio(srv, load), WaitMS: milliseconds(typical) * (s.expectedRatio(srv, load) - s.expectedRatio(srv, 0)),
			LoadAgeMS: s.ageMS(srv.othersLoadAt), AnswerAgeMS: s.ageMS(srv.lastAnswerAt),
		}
		if !x.Chosen {
			x.Reason = s.notChosenBecause(srv, r, x.availability)
		}
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b LeafExplanation) int {
		return cmp.Or(cmp.Compare(a.availability, b.availability), cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// notChosenBecause says why a leaf is not chosen.
func (s *State) notChosenBecause(srv *server, r *Route, a leafAvailability) string {
	switch {
	case a == leafAvailable:
		return "another leaf was cheaper, or it was not among the candidates compared"
	case srv.Draining:
		return "it drains, or another leaf has its address"
	case s.evacuated[srv.FailureDomain]:
		return "its failure domain is evacuated"
	case !s.inHomeRegion(srv, r):
		return "it is outside of the route's home regions"
	case srv.excluded:
		return "its version gets no requests, or only sampled ones"
	case a == leafUnavailable:
		return "it must get no work"
	case srv.connectAfter > s.now:
		return "connections to it failed; the next one is tried later"
	case !s.hasColdToken(srv):
		return "it is cold and has got this daemon's share of requests"
	case len(srv.inflight) >= s.maxConnectionsTo(srv):
		return "this daemon's share of its connections is in use"
	}
	return "it takes no more requests now"
}
