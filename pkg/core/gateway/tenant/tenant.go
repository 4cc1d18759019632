// Package tenant decides to which tenant a request belongs. Tenants hold keys, of which
// only hashes are known here. It has no clock and does no I/O.
package tenant

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"slices"
)

// KeyHash is the SHA-256 hash of a key.
type KeyHash [sha256.Size]byte

// ErrKeyHash means that a text is not the hash of a key.
var ErrKeyHash = errors.New("tenant: not the hash of a key")

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// ParseKeyHash parses the text form of a hash.
func ParseKeyHash(text string) (KeyHash, error) {
	var h KeyHash
	if len(text) != hex.EncodedLen(len(h)) {
		return KeyHash{}, ErrKeyHash
	}
	if _, err := hex.Decode(h[:], []byte(text)); err != nil {
		return KeyHash{}, ErrKeyHash
	}
	return h, nil
}

// String returns the hash in hexadecimal digits.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// Credential is the key that a request carries.
type Credential struct {
	Key KeyHash
	// Present means that the request has exactly one key, which is not empty.
	Present bool
}

// Tenant is an organisation whose callers share keys, a priority and a quota.
type Tenant struct {
	Name string
	Keys []KeyHash
	// Priority goes before that of a route if HasPriority; 0 is the highest.
	Priority    int
	HasPriority bool
	// RatePerSecond and Burst bound the tenant's requests; a rate of 0 means no limit.
	RatePerSecond float64
	Burst         float64
}

// Directory holds the tenants of one version of the configuration. A nil Directory is
// that of a configuration without tenants, which asks for no keys.
type Directory struct {
	tenants []*Tenant
	byKey   map[KeyHash]*Tenant
	byName  map[string]*Tenant
}

// NewDirectory returns the directory of the tenants; nil if there are none. A key that
// several tenants hold belongs to the first of them.
func NewDirectory(tenants []*Tenant) *Directory {
	if len(tenants) == 0 {
		return nil
	}
	d := &Directory{tenants: tenants, byKey: map[KeyHash]*Tenant{}, byName: make(map[string]*Tenant, len(tenants))}
	for _, t := range tenants {
		if _, taken := d.byName[t.Name]; !taken {
			d.byName[t.Name] = t
		}
		for _, key := range t.Keys {
			if _, taken := d.byKey[key]; !taken {
				d.byKey[key] = t
			}
		}
	}
	return d
}

// Tenants returns the tenants in the order of the configuration.
func (d *Directory) Tenants() []*Tenant {
	if d == nil {
		return nil
	}
	return d.tenants
}

// Named returns the tenant of a name; nil if there is none.
func (d *Directory) Named(name string) *Tenant {
	if d == nil {
		return nil
	}
	return d.byName[name]
}

// HasLimits reports whether the requests of any tenant are limited.
func (d *Directory) HasLimits() bool {
	return slices.ContainsFunc(d.Tenants(), func(t *Tenant) bool { return t.RatePerSecond > 0 })
}

// Identity says under whose name a request may run.
type Identity struct {
	// Checked means that the configuration has tenants, so that leafs get neither the
	// key nor a tenant's name that the caller stated.
	Checked bool
	// Denied means that the request needs a key of a tenant and has none.
	Denied bool
	// Tenant holds the key of the request; nil on public routes.
	Tenant *Tenant
}

// Name returns the name of the tenant; empty if there is none.
func (i Identity) Name() string {
	if i.Tenant == nil {
		return ""
	}
	return i.Tenant.Name
}

// Identify returns the identity of a request to a route that is public or not.
func (d *Directory) Identify(c Credential, public bool) Identity {
	switch {
	case d == nil:
		return Identity{}
	case public:
		return Identity{Checked: true}
	case !c.Present:
		return Identity{Checked: true, Denied: true}
	}
	t := d.byKey[c.Key]
	return Identity{Checked: true, Denied: t == nil, Tenant: t}
}

// Changes counts how keys differ between two directories.
type Changes struct{ Added, Removed, Moved int }

// Compare returns how the keys of the directory differ from those of an earlier one.
func (d *Directory) Compare(earlier *Directory) Changes {
	var out Changes
	before, now := earlier.keys(), d.keys()
	for key, t := range now {
		switch old, known := before[key]; {
		case !known:
			out.Added++
		case old.Name != t.Name:
			out.Moved++
		}
	}
	for key := range before {
		if _, kept := now[key]; !kept {
			out.Removed++
		}
	}
	return out
}

func (d *Directory) keys() map[KeyHash]*Tenant {
	if d == nil {
		return nil
	}
	return d.byKey
}

// Order returns the priorities by which a request waits, the first before the second: that
// of its tenant, if it has one, goes before that of its route.
func (i Identity) Order(routePriority int) (first, second int) {
	if i.Tenant != nil && i.Tenant.HasPriority {
		return i.Tenant.Priority, routePriority
	}
	return routePriority, routePriority
}
