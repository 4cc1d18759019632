package model

import "slices"

// Epoch is one agreed membership of a region.
type Epoch struct {
	Region  string
	Number  uint64
	Members []Member
	// Panel grants the leases of this epoch.
	Panel []MemberRef
	// PreviousPanel granted the leases of the epoch before. Its daemons may not
	// be members any more, so their peer addresses are here, by index.
	PreviousPanel     []MemberRef
	PreviousAddresses []string
	// Servers are the backend servers that have an owner in this epoch, by
	// name. The order of owners uses the failure domain given here and not the
	// bundle's, so that two daemons with different bundles agree on it.
	Servers []ServerHome
}

// ServerHome says in which failure domain a backend server is.
type ServerHome struct {
	Server        ServerName
	FailureDomain FailureDomain
}

// Member is a daemon that may own backend servers.
type Member struct {
	MemberRef
	FailureDomain FailureDomain
	// PeerAddress and CallerAddress are host:port with IP numbers.
	PeerAddress   string
	CallerAddress string
	Leaving       bool
}

// Member returns the member on the VM.
func (e *Epoch) Member(vm VM) (Member, bool) {
	if e == nil {
		return Member{}, false
	}
	i := slices.IndexFunc(e.Members, func(m Member) bool { return m.VM == vm })
	if i < 0 {
		return Member{}, false
	}
	return e.Members[i], true
}

// VMState is what the platform's VM list says of a VM.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMEntry is one line of the platform's VM list.
type VMEntry struct {
	VM    VM
	State VMState
}

// LeaseResult is a panel member's answer to a heartbeat.
type LeaseResult uint8

// Lease results.
const (
	LeaseUnknown LeaseResult = iota
	LeaseGranted
	// LeaseStaleVersion: the sender must fetch a newer bundle or controls first.
	LeaseStaleVersion
	// LeaseFenced: the incarnation never gets a lease again in this epoch.
	LeaseFenced
	// LeaseWrongEpoch: the sender's epoch is not the panel member's.
	LeaseWrongEpoch
	// LeaseNotPanel: the receiver's incarnation is not of the panel.
	LeaseNotPanel
)

// Serving lists the index versions of one shard that a server has.
type Serving struct {
	Layout   LayoutName
	Shard    ShardName
	Versions []uint64
}

// ServerReport is what the owner of a backend server knows of it. Of two
// reports of one owner incarnation the higher Sequence is newer.
type ServerReport struct {
	Server   ServerName
	Owner    MemberRef
	Sequence uint64
	Usable   bool
	// Limit is the number of sub-requests the owner runs at once now.
	Limit int
	// Load is the number of sub-requests running or queued at the owner.
	Load   int
	Serves []Serving
}

// MemberReport is what a daemon says of itself.
type MemberReport struct {
	Member
	Sequence uint64
	// Serving means that it holds a lease and takes work from callers.
	Serving bool
}
