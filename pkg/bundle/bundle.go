// Package bundle reads, checks, signs and compares bundles, the operators'
// declarative configuration.
//
// A bundle is written in YAML and kept in version control. Parse reports all
// faults at once. Operators sign the digest of its canonical encoding, and
// daemons put a bundle into effect only after Decode accepted its Envelope.
package bundle

import (
	"errors"
	"fmt"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/yamldoc"
)

// ErrInvalid is wrapped by the error of Parse for a bundle that breaks rules;
// errors.As finds the *yamldoc.Error that lists the faults.
var ErrInvalid = errors.New("bundle: invalid")

// MaxSizeBytes is the limit in bytes of a bundle and of its encoded Envelope. It
// keeps to the platform's limit on a value.
const MaxSizeBytes = 1_000_000

// Defaults of the optional keys. They are part of the digest: changing one
// invalidates the signatures of every bundle that relies on it.
const (
	DefaultRouting         = model.RoutingOwned
	DefaultMaxDeadline     = 10 * time.Second
	DefaultHedgePercentile = 95.0
	DefaultHedgeBudget     = 0.05
	DefaultRetryBudget     = 0.1
	DefaultQueueLimit      = 64
	DefaultMaxInFlight     = 256
	DefaultConnectCost     = time.Millisecond
	DefaultColdSlots       = 1
	DefaultColdRequests    = 20
)

// Limits of the values in a bundle.
const (
	// MaxHedgeBudget is the extra load, as a fraction, that hedging may cause.
	MaxHedgeBudget = 0.05
	maxVersion     = 1 << 53 // exact in every JSON reader
	maxCount       = 1_000_000
	minTarget      = time.Millisecond
	maxDeadline    = 10 * time.Minute
	maxConnectCost = time.Minute
)

// Parse reads and checks a bundle and builds its lookup tables. The name,
// usually the file's, appears in the faults.
func Parse(name string, data []byte) (*model.Bundle, error) {
	doc, root := yamldoc.Parse(name, data, MaxSizeBytes)
	r := reader{lines: newLines()}
	b := r.bundle(root)
	checkBundle(doc, b, r.lines)
	if err := doc.Err(); err != nil {
		return nil, fmt.Errorf("%w:\n%w", ErrInvalid, err)
	}
	b.Index()
	return b, nil
}
