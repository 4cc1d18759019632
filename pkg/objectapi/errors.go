package objectapi

import (
	"errors"
	"fmt"
)

// Errors of the platform client.
var (
	// ErrNotFound means that the platform has no such object.
	ErrNotFound = errors.New("objectapi: object not found")
	// ErrConflict means that the object has another version; nothing was
	// written. The error is a *ConflictError.
	ErrConflict = errors.New("objectapi: version conflict")
	// ErrUnavailable means that the call had no effect: it was not sent, the
	// platform refused it, or it was a read that failed.
	ErrUnavailable = errors.New("objectapi: unavailable")
	// ErrUnknownOutcome means that a write may have taken effect: the request
	// was sent, but its reply was lost or unreadable.
	ErrUnknownOutcome = errors.New("objectapi: outcome of the write is unknown")
	// ErrTooLarge means that a value is above MaxValueBytes.
	ErrTooLarge = errors.New("objectapi: value above 1 MB")
	// ErrInvalidReply means that a reply does not follow the protocol.
	ErrInvalidReply = errors.New("objectapi: invalid reply")
)

// ConflictError says which version a conditional write found.
type ConflictError struct {
	Key     string
	Version uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("objectapi: %s has version %d", e.Key, e.Version)
}

// Is reports true for ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }
