package model

// DaemonStatus is what a daemon's reducer says of itself to readiness checks
// and metrics. Counters count since the start of the process.
type DaemonStatus struct {
	// Ready means that the daemon takes new work from callers; Reason says
	// why not.
	Ready  bool
	Reason string
	// HasLease, OnPanel and Owned describe its membership.
	HasLease bool
	OnPanel  bool
	Owned    int
	// Running counts the requests that the daemon runs as entry daemon.
	Running int
	Hedges  uint64
	Retries uint64
}
