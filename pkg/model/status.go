package model

// DaemonStatus is a summary of a daemon's state for readiness checks, metrics
// and operators.
type DaemonStatus struct {
	Self            MemberRef
	BundleVersion   uint64
	ControlsVersion uint64
	Epoch           uint64
	// Ready means that the daemon accepts new work from callers. If it is false,
	// Reason says why.
	Ready  bool
	Reason string
	// Leaving is set from the start of a graceful shutdown.
	Leaving bool
	// HasLease, OnPanel and Owned describe the daemon's membership. Owned is the
	// number of backend servers that it owns.
	HasLease bool
	OnPanel  bool
	Owned    int
	// Running counts the requests that the daemon runs as entry daemon, SubRequests
	// the sub-requests that it runs or queues as an owner.
	Running     int
	SubRequests int
	Hedges      uint64
	Retries     uint64
}
