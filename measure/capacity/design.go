package capacity

// The design scale, from section 2 of docs/design.md.
const (
	DesignDaemons   = 560
	DesignLeafs     = 2300
	DesignShards    = 1900
	DesignQueries   = 98_000 // per second
	DesignRegions   = 3
	DesignDomains   = 12
	DesignChanges   = 2200 // per day
	DesignReplaced  = 220  // per day, VMs restarted or replaced
	DesignFailed    = 13   // per day, VMs that fail
	DesignP99Millis = 58
	RegionMembers   = 187
	RegionLeafs     = 767
	day             = 86_400.0 // seconds
)

// Limits of the control plane per daemon, from the same section.
const (
	LimitCore     = 0.04 // of one core
	LimitMemory   = 128  // MB
	LimitTraffic  = 19   // KB per second
	LimitDocument = 1000 // KB
)
