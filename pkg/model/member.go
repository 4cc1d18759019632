package model

import "slices"

// Epoch is one version of a region's membership, on which all its daemons agree.
type Epoch struct {
	Region  string
	Number  uint64
	Members []Member
	// Panel grants the leases of this epoch.
	Panel []MemberRef
	// PreviousPanel granted the leases of the previous epoch. Its daemons may no
	// longer be members, so PreviousAddresses lists their peer addresses in the
	// same order.
	PreviousPanel     []MemberRef
	PreviousAddresses []string
	// Servers are the backend servers that have an owner in this epoch, sorted by
	// name. The order of a server's owners depends on the failure domain given here
	// and not on the bundle's, so that two daemons with different bundles agree on
	// it.
	Servers []ServerHome
}

// ServerHome names the failure domain in which a backend server is.
type ServerHome struct {
	Server        ServerName
	FailureDomain FailureDomain
}

// Member is a daemon that may own backend servers.
type Member struct {
	MemberRef
	FailureDomain FailureDomain
	// PeerAddress and CallerAddress are host:port, where the host is an IP address.
	PeerAddress   string
	CallerAddress string
	Leaving       bool
}

// Member returns the member on the VM, if there is one. A nil epoch has none.
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

// VMState is the state of a VM in the platform's VM list.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMEntry is one entry of the platform's VM list.
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
	// LeaseStaleVersion: the sender must first fetch a newer bundle or newer
	// controls.
	LeaseStaleVersion
	// LeaseFenced: the panel member never grants this incarnation a lease of this
	// epoch again.
	LeaseFenced
	// LeaseWrongEpoch: the sender and the panel member are in different epochs.
	LeaseWrongEpoch
	// LeaseNotPanel: the receiver's incarnation is not on the panel.
	LeaseNotPanel
)

// Serving lists the index versions of one shard that a backend server has.
type Serving struct {
	Layout   LayoutName
	Shard    ShardName
	Versions []uint64
}

// ServerReport is the state of a backend server as its owner sees it. Of two
// reports of the same owner incarnation, the one with the higher Sequence is newer.
type ServerReport struct {
	Server   ServerName
	Owner    MemberRef
	Sequence uint64
	Usable   bool
	// Limit is the number of sub-requests that the owner currently runs at once at
	// the server.
	Limit int
	// Load is the number of sub-requests for the server that the owner runs or
	// queues.
	Load   int
	Serves []Serving
}

// MemberReport is the state of a daemon as it reports it itself.
type MemberReport struct {
	Member
	Sequence uint64
	// Serving means that the daemon holds a lease and accepts work from callers.
	Serving bool
}
