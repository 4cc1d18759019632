package gateway

import "slices"

// Refusal says why a request is refused.
type Refusal uint8

// Refusals.
const (
	// RefusalNoConfig means that no configuration is known, or that what it says of the
	// route cannot be used. It and all up to RefusalOverload promise that the request has
	// not run and will not run later.
	RefusalNoConfig Refusal = iota
	RefusalNoServer
	// RefusalThrottled and RefusalUnreachable are given on arrival, before anything is
	// sent.
	RefusalThrottled
	RefusalUnreachable
	// RefusalTooLate means that the request waited too long in this daemon to be sent
	// to a leaf; nothing was sent.
	RefusalTooLate
	// RefusalStopping means that the daemon ends before an answer can be expected; nothing
	// was sent.
	RefusalStopping
	// RefusalUnauthorized means that the request needs a key of a tenant and has none, or
	// that the key was removed before the request was sent to a leaf.
	RefusalUnauthorized
	// RefusalQuota means that the request exceeds the quota of its tenant.
	RefusalQuota
	RefusalOverload
	// RefusalNoRoute means that no route matches.
	RefusalNoRoute
	// RefusalFailed and RefusalDeadline do not say whether the request has run.
	RefusalFailed
	RefusalDeadline
)

// refusalNames are the reasons as log lines show them.
var refusalNames = [...]string{"no_configuration", "no_server", "throttled", "unreachable", "too_late", "stopping", "unauthorized", "quota", "overload", "no_route", "failed", "deadline"}

// String returns the reason as log lines show it.
func (r Refusal) String() string { return refusalNames[r] }

// IsNotRunOutcome reports whether a log line's outcome is a refusal that promises that
// the request has not run.
func IsNotRunOutcome(outcome string) bool {
	i := slices.Index(refusalNames[:], outcome)
	return i >= 0 && Refusal(i).NotRun()
}

// NotRun reports whether the refusal promises that the request has not run.
func (r Refusal) NotRun() bool { return r <= RefusalOverload }
