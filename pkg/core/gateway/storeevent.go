package gateway

// ServersListed is the full list of leafs. With AfterOutage, entries that expired
// during an outage of the store may still come back.
type ServersListed struct {
	Servers     []Server
	AfterOutage bool
}

// ServerChanged is a new or changed entry of a leaf.
type ServerChanged struct{ Server Server }

// ServerRemoved is the removal of a leaf's entry.
type ServerRemoved struct {
	ID          string
	AfterOutage bool
	// Left means that the leaf is known to have left: its entry does not come back.
	Left bool
}

// EvacuationsListed is the full list of failure domains that must get no work.
type EvacuationsListed struct {
	FailureDomains []string
	// Held are those of them whose evacuation the store no longer shows since it came back
	// from a copy.
	Held []string
}

// StoreEraSeen is a later era of the store than those seen before. Copied means that
// something was known in an earlier one.
type StoreEraSeen struct {
	Era    uint64
	Copied bool
}

// ViewAdvanced has the store's revisions of changes that were applied before, by kind; 0
// for a kind without one.
type ViewAdvanced struct{ Revisions ViewRevisions }

// ViewFetched reports the end of a FetchView.
type ViewFetched struct {
	Fetch FetchView
	// OK means that the view was received and applied.
	OK bool
	// Capacities are what the other daemon has learned about leafs, if they were asked for.
	Capacities []LeafCapacity
}

// DaemonsListed is the full list of daemons in the store.
type DaemonsListed struct {
	Daemons []DaemonEntry
	// Era is that of the list; 0 if the store names none.
	Era uint64
}
