package gateway

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/tenant"
)

// tenantsChanged logs how the tenants of a new configuration differ and applies them to
// the requests that are open.
func (s *State) tenantsChanged(earlier *tenant.Directory) {
	now := s.config.directory
	changes := now.Compare(earlier)
	if changes != (tenant.Changes{}) || (now == nil) != (earlier == nil) {
		s.emit(Log{
			Kind: LogTenantsChanged, Number: int64(len(now.Tenants())),
			Detail: fmt.Sprintf("keys added %d, removed %d, moved %d", changes.Added, changes.Removed, changes.Moved),
		})
	}
	if now == nil && earlier == nil {
		return
	}
	s.updateQuotaHolding()
	revoked := int64(0)
	for _, id := range slices.Sorted(maps.Keys(s.queries)) {
		if q := s.queries[id]; q.identifyAgain(now) {
			s.revoke(q)
			revoked++
		}
	}
	if revoked > 0 {
		s.emit(Log{Kind: LogKeysRevoked, Number: revoked})
	}
}

// identifyAgain applies a new directory of tenants to an open request. It reports whether
// the key under which the request was admitted was removed. A request that was admitted
// without a key needs none later. The headers of one that was admitted with a key stay
// checked when the configuration has no tenants any more.
func (q *query) identifyAgain(d *tenant.Directory) (revoked bool) {
	next := d.Identify(q.credential, q.route.Public)
	switch {
	case !next.Checked && q.identity.Checked:
		return false
	case next.Denied && q.identity.Tenant == nil:
		q.identity = tenant.Identity{Checked: true}
		return false
	case next.Denied:
		return true
	}
	q.identity = next
	return false
}

// revoke refuses a request whose key was removed while it waited. Of one that a leaf may
// have begun to work on, attempts that have begun continue, and nothing more is sent.
func (s *State) revoke(q *query) {
	if !q.mayHaveRun() {
		s.refuse(q, RefusalUnauthorized)
		return
	}
	q.revoked = true
	for i := range q.parts {
		p := &q.parts[i]
		for _, c := range p.calls {
			if !c.begun {
				s.cancelCall(c)
			}
		}
		if p.state == partQueued && !q.closed {
			s.partFailed(q, i, RefusalUnauthorized.String())
		}
	}
}

// CallIdentity returns under whose name an attempt that is about to be sent runs. The
// name was checked with the configuration in force now.
func (s *State) CallIdentity(id CallID) tenant.Identity {
	if c, ok := s.calls[id]; ok {
		return c.query.identity
	}
	return tenant.Identity{Checked: true}
}

// compareByPriority orders queries by the priority of their tenants and then by that of
// their routes.
func compareByPriority(a, b *query) int {
	a1, a2 := a.identity.Order(a.route.Priority)
	b1, b2 := b.identity.Order(b.route.Priority)
	return cmp.Or(cmp.Compare(a1, b1), cmp.Compare(a2, b2))
}

// TenantStatus is what a daemon knows of a tenant.
type TenantStatus struct {
	Name string `json:"name"`
	// Keys is the number of keys that the tenant holds.
	Keys int `json:"keys"`
	// Priority is nil if that of the route counts.
	Priority      *int    `json:"priority,omitempty"`
	RatePerSecond float64 `json:"ratePerSecond"`
	Burst         float64 `json:"burst"`
	// OpenRequests is the number of requests without a final answer.
	OpenRequests int `json:"openRequests"`
	// Quota is nil if the tenant's requests are not limited.
	Quota *QuotaStatus `json:"quota,omitempty"`
	// Admission is what the tenant gets by route.
	Admission []AdmissionStatus `json:"admission,omitempty"`
}

// QuotaStatus is the use of a tenant's quota.
type QuotaStatus struct {
	// Admitted is the number of requests that this daemon admitted in the latest window,
	// Limit that which it may admit in one, Allowance that which all daemons may.
	Admitted  int     `json:"admitted"`
	Limit     int     `json:"limit"`
	Allowance float64 `json:"allowance"`
	// Borrowed and Lent are shares of the allowance that this daemon has from others and
	// that others have from it.
	Borrowed float64 `json:"borrowed"`
	Lent     float64 `json:"lent"`
	Refused  uint64  `json:"refused"`
}

// Tenants returns the tenants of the configuration in use, in its order.
func (s *State) Tenants() []TenantStatus {
	out := []TenantStatus{}
	if s.config == nil {
		return out
	}
	open, admitted := map[string]int{}, s.admissionStatus()
	for _, q := range s.queries {
		open[q.identity.Name()]++
	}
	for _, t := range s.config.directory.Tenants() {
		status := TenantStatus{Name: t.Name, Keys: len(t.Keys), RatePerSecond: t.RatePerSecond, Burst: t.Burst, OpenRequests: open[t.Name], Admission: admitted[t.Name]}
		if t.HasPriority {
			status.Priority = &t.Priority
		}
		if limits, ok := limitsOf(t); ok {
			u := s.quota.Usage(s.now, t.Name, limits)
			status.Quota = &QuotaStatus{Admitted: u.Admitted, Limit: u.Limit, Allowance: u.Allowance, Borrowed: u.Borrowed, Lent: u.Lent, Refused: u.Refused}
		}
		out = append(out, status)
	}
	return out
}
