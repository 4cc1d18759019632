package gateway

import (
	"math"
	"reflect"
	"strings"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/deepcopy"
	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/tenant"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// ExplainRequest describes a request that is explained and not sent.
type ExplainRequest struct {
	Host string `json:"host"`
	Path string `json:"path"`
	// KeyHash is the hash of the caller's key in hexadecimal digits; empty if it has none.
	KeyHash string `json:"keyHash,omitempty"`
	// Tenant stands for a key of the tenant of that name, if KeyHash is empty.
	Tenant string `json:"tenant,omitempty"`
	// TimeoutMS is the caller's timeout; 0 if it does not state one.
	TimeoutMS int64 `json:"timeoutMs,omitempty"`
}

// Explanation shows how a request would be handled now, and why.
type Explanation struct {
	Daemon        string `json:"daemon"`
	ConfigVersion uint64 `json:"configVersion"`
	// Route is the route that matched; nil if none did.
	Route       *Route       `json:"route"`
	OtherRoutes []OtherRoute `json:"otherRoutes,omitempty"`
	// Tenant is that of the request; nil if the configuration has none or the route is
	// public.
	Tenant   *TenantExplanation `json:"tenant,omitempty"`
	Decision Decision           `json:"decision"`
	// HedgeAfterMS and AnswerByMS are when open parts get a second attempt, and when a
	// partial answer is given; 0 for never.
	HedgeAfterMS float64              `json:"hedgeAfterMs"`
	AnswerByMS   float64              `json:"answerByMs"`
	Services     []ServiceExplanation `json:"services"`
	// Unknown is what this daemon does not know, Ages how old what it knows is.
	Unknown []string `json:"unknown,omitempty"`
	Ages    Ages     `json:"ages"`
}

// OtherRoute is a route of the same host that the request does not take.
type OtherRoute struct {
	Name       string `json:"name"`
	PathPrefix string `json:"pathPrefix"`
	Reason     string `json:"reason"`
}

// TenantExplanation is what a daemon knows of the tenant of a request.
type TenantExplanation struct {
	Name string `json:"name"`
	// Priority is what orders the request first; OwnPriority means that it is the tenant's
	// and not the route's.
	Priority    int               `json:"priority"`
	OwnPriority bool              `json:"ownPriority"`
	Quota       *QuotaExplanation `json:"quota,omitempty"`
}

// QuotaExplanation is the quota of a tenant, in requests in a window.
type QuotaExplanation struct {
	// Admitted and Limit are those of this daemon, Left what it can still admit.
	Admitted int `json:"admitted"`
	Limit    int `json:"limit"`
	Left     int `json:"left"`
	// FleetAllowance is what all daemons may admit. A daemon does not know what the others
	// have admitted.
	FleetAllowance float64 `json:"fleetAllowance"`
	Borrowed       float64 `json:"borrowed"`
	Lent           float64 `json:"lent"`
}

// Decision is what would be done with a request on its arrival.
type Decision struct {
	// Admitted means that the request is not refused at once.
	Admitted bool `json:"admitted"`
	// Reason is that of the refusal, NotRun whether it promises that the request has not
	// run, RetryAfterMS when the caller may retry.
	Reason       string  `json:"reason,omitempty"`
	NotRun       bool    `json:"notRun,omitempty"`
	RetryAfterMS float64 `json:"retryAfterMs,omitempty"`
	// Status is the status that the caller would get; 0 if a leaf's answer decides.
	Status int `json:"status,omitempty"`
	// RefusalProbability is the share of the route's requests, with tenants of this tenant's to
	// it, that are refused because its leafs are overloaded.
	RefusalProbability float64 `json:"refusalProbability,omitempty"`
	// Attempts are those that would be sent at once, Queued the services whose part would
	// wait and Missing those whose part would be given up, with the reason.
	Attempts []PlannedAttempt  `json:"attempts"`
	Queued   map[string]string `json:"queued,omitempty"`
	Missing  map[string]string `json:"missing,omitempty"`
	refusal  Refusal
}

// Refusal returns the reason for which the request is refused; ok is false if it is
// admitted.
func (d Decision) Refusal() (reason Refusal, ok bool) { return d.refusal, !d.Admitted }

// PlannedAttempt is an attempt that would be sent.
type PlannedAttempt struct {
	Service string `json:"service"`
	Leaf    string `json:"leaf"`
}

// ServiceExplanation is what a daemon knows of a service of a route.
type ServiceExplanation struct {
	Name string `json:"name"`
	// Rollout is the order for the service, if there is one.
	Rollout *RolloutStatus `json:"rollout,omitempty"`
	// RetryTokens is the retry budget in attempts right after the arrival of the request.
	// HedgeAllowed and RetryAllowed say whether it, and the route, allow a second attempt.
	RetryTokens  float64 `json:"retryTokens"`
	HedgeAllowed bool    `json:"hedgeAllowed"`
	RetryAllowed bool    `json:"retryAllowed"`
	Connections  int     `json:"connectionsPerLeaf"`
	Queued       int     `json:"queued"`
	// Leafs are in the order of preference: candidates by cost, then those that are busy,
	// then those that must get no attempt.
	Leafs []LeafExplanation `json:"leafs"`
}

// LeafExplanation is what speaks for or against a leaf.
type LeafExplanation struct {
	LeafStatus
	// Chosen means that the request would be sent there.
	Chosen bool `json:"chosen"`
	// Reason is why the leaf is not chosen.
	Reason string `json:"reason,omitempty"`
	// Cost is what candidates are compared by, in typical attempt times. The cheapest of up
	// to three random ones is chosen, at a random increase of up to a tenth.
	Cost float64 `json:"cost"`
	// ExpectedMS is how long an attempt is expected to take, WaitMS the part of it that the
	// leaf's load causes.
	ExpectedMS float64 `json:"expectedMs"`
	WaitMS     float64 `json:"waitMs"`
	// LoadAgeMS is the age of the leaf's report of its load, AnswerAgeMS that of its last
	// answer; -1 if there is none.
	LoadAgeMS   int64 `json:"loadAgeMs"`
	AnswerAgeMS int64 `json:"answerAgeMs"`

	availability leafAvailability
}

// Ages say how old what a daemon knows is, in milliseconds; -1 for never.
type Ages struct {
	// ViewMS is for how long the list of leafs could not be confirmed.
	ViewMS int64 `json:"viewMs"`
	// StoreFailedMS is when a call to the store last failed.
	StoreFailedMS int64 `json:"storeFailedMs"`
	// OldestDaemonMS is for how long the quietest of the living daemons was not heard.
	OldestDaemonMS int64 `json:"oldestDaemonMs"`
}

// explainedQuery is the ID of an explained request. No other has it.
const explainedQuery = QueryID(math.MaxUint64)

// Copy returns a copy of the reducer that shares only what never changes. A step of the copy
// decides as one of the original would, also by the same random numbers.
func (s *State) Copy() *State {
	return deepcopy.Of(s, reflect.TypeFor[*Config](), reflect.TypeFor[*Route](), reflect.TypeFor[*tenant.Directory](), reflect.TypeFor[*tenant.Tenant]())
}

// Explain shows how a request that arrives now would be handled. It changes the state: it is
// called on a copy of it.
func (s *State) Explain(now model.Time, r ExplainRequest) Explanation {
	s.now = max(s.now, now)
	e := Explanation{Daemon: s.opt.Self.Name, ConfigVersion: s.Version(), Services: []ServiceExplanation{}}
	decided := s.Copy()
	credential := s.credentialOf(r)
	effects := decided.Step(now, RequestArrived{
		At: s.now, Query: explainedQuery, RequestID: "explain", Host: r.Host, Path: r.Path, Credential: credential,
		CallerTimeout: time.Duration(r.TimeoutMS) * time.Millisecond,
	})
	e.Decision = decisionOf(effects)
	if q, ok := decided.queries[explainedQuery]; ok {
		e.Decision.Queued, e.Decision.Missing = q.unsentParts()
	}
	s.explainUnknown(&e)
	if s.config == nil {
		return e
	}
	e.Route = s.config.Match(r.Host, r.Path)
	e.OtherRoutes = s.otherRoutes(e.Route, r)
	if e.Route == nil {
		return e
	}
	e.Tenant = s.explainTenant(e.Route, credential)
	e.Decision.RefusalProbability = s.refusedShare(e.Route, credential)
	s.explainServices(&e, decided)
	return e
}

// credentialOf returns the credential of a request that is explained.
func (s *State) credentialOf(r ExplainRequest) tenant.Credential {
	if key, err := tenant.ParseKeyHash(r.KeyHash); err == nil {
		return tenant.Credential{Key: key, Present: true}
	}
	if s.config == nil {
		return tenant.Credential{}
	}
	if t := s.config.directory.Named(r.Tenant); t != nil && len(t.Keys) > 0 {
		return tenant.Credential{Key: t.Keys[0], Present: true}
	}
	return tenant.Credential{}
}

// decisionOf reads the decision on the explained request from the effects of its arrival.
func decisionOf(effects []Effect) Decision {
	d := Decision{Admitted: true, Attempts: []PlannedAttempt{}}
	for _, effect := range effects {
		switch x := effect.(type) {
		case SendCall:
			if x.Query == explainedQuery {
				d.Attempts = append(d.Attempts, PlannedAttempt{Service: x.Service, Leaf: x.Server})
			}
		case Refuse:
			if x.Query == explainedQuery {
				d.Admitted, d.refusal, d.Reason, d.NotRun = false, x.Reason, x.Reason.String(), x.Reason.NotRun()
				d.RetryAfterMS = milliseconds(x.RetryAfter)
			}
		}
	}
	if !d.Admitted {
		d.Attempts = []PlannedAttempt{}
	}
	return d
}

// unsentParts returns the services whose part of a query waits or was given up, with the
// reason.
func (q *query) unsentParts() (queued, missing map[string]string) {
	queued, missing = map[string]string{}, map[string]string{}
	for i := range q.parts {
		switch p := &q.parts[i]; p.state {
		case partQueued:
			queued[p.svc.name] = string(p.queuedBecause)
		case partFailed:
			missing[p.svc.name] = p.failureReason
		}
	}
	return queued, missing
}

// otherRoutes returns the routes of the host that a request does not take, with the reason.
func (s *State) otherRoutes(taken *Route, r ExplainRequest) []OtherRoute {
	path, _, _ := strings.Cut(r.Path, "?")
	var out []OtherRoute
	for _, x := range s.config.routesOf(r.Host) {
		reason := "the path does not begin with its prefix"
		if strings.HasPrefix(path, x.PathPrefix) {
			reason = "another route has a longer prefix, or the same one and comes first"
		}
		if x != taken {
			out = append(out, OtherRoute{Name: x.Name, PathPrefix: x.PathPrefix, Reason: reason})
		}
	}
	return out
}

func (s *State) explainTenant(r *Route, c tenant.Credential) *TenantExplanation {
	t := s.config.directory.Identify(c, r.Public).Tenant
	if t == nil {
		return nil
	}
	out := &TenantExplanation{Name: t.Name, Priority: r.Priority, OwnPriority: t.HasPriority}
	if t.HasPriority {
		out.Priority = t.Priority
	}
	if limits, limited := limitsOf(t); limited {
		u := s.quota.Usage(s.now, t.Name, limits)
		out.Quota = &QuotaExplanation{
			Admitted: u.Admitted, Limit: u.Limit, Left: max(0, u.Limit-u.Admitted), FleetAllowance: u.Allowance, Borrowed: u.Borrowed, Lent: u.Lent,
		}
	}
	return out
}

// ageMS returns the age of a moment in milliseconds; -1 if it never was.
func (s *State) ageMS(at model.Time) int64 {
	if at == 0 {
		return -1
	}
	return s.now.Sub(at).Milliseconds()
}

// explainUnknown adds what the daemon does not know and how old its knowledge is.
func (s *State) explainUnknown(e *Explanation) {
	e.Ages = Ages{ViewMS: s.viewAge().Milliseconds(), StoreFailedMS: s.ageMS(s.storeFailedAt), OldestDaemonMS: -1}
	alive := 0
	for _, d := range s.daemons {
		if s.alive(d) {
			alive++
			e.Ages.OldestDaemonMS = max(e.Ages.OldestDaemonMS, s.ageMS(d.heardAt))
		}
	}
	add := func(unknown bool, what string) {
		if unknown {
			e.Unknown = append(e.Unknown, what)
		}
	}
	add(s.config == nil, "the configuration: none has been read yet")
	add(!s.serversKnown, "the leafs: no list has been read yet")
	add(s.storeDown, "changes of the store: calls to it fail")
	add(alive == 0 && len(s.daemons) > 0, "the other daemons: none is heard")
	add(len(s.heldEvacuations) > 0, "whether these evacuations still hold, which the store lost: "+strings.Join(s.heldEvacuations, ", "))
	add(s.quotaEnabled(), "how much of the tenants' quotas the other daemons have used")
	if s.config != nil && len(s.routes) < len(s.config.Routes) {
		add(true, "the latency of routes without recent requests: it is assumed from their latency target")
	}
}
