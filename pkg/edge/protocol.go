package edge

import (
	"net/http"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/tenant"
	"github.com/pistachiousher/pistachiousher/pkg/leafconn"
)

// Protocol translates between HTTP headers and the values that the runtime uses. It
// holds no state.
type Protocol interface {
	// Caller returns the ID of a request and how long its caller waits, 0 if the caller
	// does not state it.
	Caller(h http.Header) (id string, wait time.Duration)
	// Credential returns the hash of the key that a request carries.
	Credential(h http.Header) tenant.Credential
	// SetTenant removes from h the key and the name of a tenant that the caller stated, and
	// sets the name of the tenant if it is not empty.
	SetTenant(h http.Header, name string)
	// ToLeaf sets in h how long the leaf may work on the request and which leaf must
	// answer.
	ToLeaf(h http.Header, wait time.Duration, server string)
	// FromLeaf interprets the status and header of a leaf's answer.
	FromLeaf(status int, h http.Header) LeafAnswer
	// Match tells whether an answer belongs to the request with the ID.
	Match(h http.Header, id string) leafconn.Match
	// Merged sets in h the stamps of the merged parts and the number of parts that are
	// missing.
	Merged(h http.Header, stamps []string, missing int)
}

// LeafAnswer is what a leaf's answer says besides its body.
type LeafAnswer struct {
	Outcome gateway.Outcome
	// Stamp is the leaf's signature; empty if there is none.
	Stamp      string
	Load       gateway.Load
	HasLoad    bool
	WarmUpLeft time.Duration
}

// connectionHeaders are the hop-by-hop header fields, which are never forwarded.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}
