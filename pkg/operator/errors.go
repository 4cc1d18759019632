package operator

import (
	"errors"
	"fmt"

	"github.com/pistachiousher/pistachiousher/pkg/bundle"
)

// Errors of the platform access.
var (
	// ErrNotFound means that the object does not exist on the platform.
	ErrNotFound = errors.New("operator: object not found")
	// ErrUnavailable means that the call had no effect: no platform address
	// was reached, or the platform refused the call.
	ErrUnavailable = errors.New("operator: platform unavailable")
	// ErrUnknownOutcome means that a write may have taken effect or may still
	// take effect, and that reading the object back did not show which.
	ErrUnknownOutcome = errors.New("operator: outcome of the write is unknown")
	// ErrInvalidReply means that the platform's reply violates the protocol.
	ErrInvalidReply = errors.New("operator: invalid reply from the platform")
	// ErrTooLarge means that the platform refused a value as too large.
	ErrTooLarge = errors.New("operator: value is larger than 1 MB")
	// ErrNotHigher means that a roll-out names a version that is not above the
	// active one.
	ErrNotHigher = errors.New("operator: version is not above the active one")
	// ErrDigest means that a proposal is not the one that the operator reviewed.
	ErrDigest = errors.New("operator: proposal has another digest")
)

// ErrChanged means that an object was not written because it no longer had the
// expected version.
type ErrChanged struct {
	Key string
	// Found is the object as read afterwards. Its version is 0 if it does not
	// exist or could not be read.
	Found Object
}

// Error names the object and its version.
func (e *ErrChanged) Error() string {
	return fmt.Sprintf("operator: %s was changed by another writer and has version %d", e.Key, e.Found.Version)
}

// ErrRace means that the active bundle is not the one that the operator saw:
// another operator rolled out a bundle in between.
type ErrRace struct {
	Saw, Found uint64
	// Diff lists the changes from the bundle that the operator saw to the one
	// found; empty if the former could not be read.
	Diff []bundle.Change
}

// Error names both versions.
func (e *ErrRace) Error() string {
	return fmt.Sprintf("operator: the active bundle has version %d, not %d: another operator rolled out", e.Found, e.Saw)
}

// ErrProposed means that another bundle was proposed under the same version.
type ErrProposed struct {
	Version uint64
	// Diff lists the changes from the bundle found to the one to be proposed.
	Diff []bundle.Change
}

// Error names the version.
func (e *ErrProposed) Error() string {
	return fmt.Sprintf("operator: another bundle is already proposed as version %d", e.Version)
}
