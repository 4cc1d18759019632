package edge

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/edge/gossippb"
)

// encodeGossip encodes entries of daemons and the sender's sections as one datagram.
func encodeGossip(entries []gateway.DaemonEntry, sections gateway.Sections) ([]byte, error) {
	message := &gossippb.Gossip{Daemons: make([]*gossippb.Daemon, len(entries)), Sections: encodeSections(sections)}
	for i, e := range entries {
		message.Daemons[i] = &gossippb.Daemon{
			Name: e.Name, Incarnation: e.Incarnation, Counter: e.Counter,
			CallerAddress: e.CallerAddress, PeerAddress: e.PeerAddress, FailureDomain: e.FailureDomain,
			State: encodeState(e.State), ConfigVersion: e.ConfigVersion, StoreDown: e.StoreDown,
			ViewRevision: max(e.View.Servers, e.View.Evacuations), ServersRevision: e.View.Servers, EvacuationsRevision: e.View.Evacuations, StoreEra: e.View.Era, RolloutsRevision: e.View.Rollouts,
			WatchesStore: e.Watching, AgeMs: uint32(min(max(0, e.Age.Milliseconds()), math.MaxUint32)), ReadAgeSteps: encodeReadAge(e),
			Cores: e.Cores, CallsPerSecond: uint32(min(max(0, e.CallsPerSecond), math.MaxUint32)),
		}
	}
	data, err := proto.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("edge: encode gossip: %w", err)
	}
	return data, nil
}

// readAgeStep is the unit of the age of a reading, which then takes one byte in most entries.
const readAgeStep = 25 * time.Millisecond

// encodeReadAge rounds up, so that no reading seems younger than it is.
func encodeReadAge(e gateway.DaemonEntry) *uint32 {
	if !e.HasRead {
		return nil
	}
	steps := uint32(min(max(0, (e.ReadAge+readAgeStep-1)/readAgeStep), math.MaxUint32))
	return &steps
}

// decodeGossip decodes a datagram and validates its entries.
func decodeGossip(data []byte) (gateway.GossipReceived, error) {
	var message gossippb.Gossip
	if err := proto.Unmarshal(data, &message); err != nil {
		return gateway.GossipReceived{}, fmt.Errorf("edge: decode gossip: %w", err)
	}
	entries := make([]gateway.DaemonEntry, len(message.GetDaemons()))
	for i, d := range message.GetDaemons() {
		entries[i] = gateway.DaemonEntry{
			Name: d.GetName(), Incarnation: d.GetIncarnation(), Counter: d.GetCounter(),
			CallerAddress: d.GetCallerAddress(), PeerAddress: d.GetPeerAddress(), FailureDomain: d.GetFailureDomain(),
			State: decodeState(d.GetState()), ConfigVersion: d.GetConfigVersion(), View: decodeRevisions(d), StoreDown: d.GetStoreDown(),
			HasRead: d.ReadAgeSteps != nil, ReadAge: time.Duration(d.GetReadAgeSteps()) * readAgeStep,
			Watching: d.GetWatchesStore(), Age: time.Duration(d.GetAgeMs()) * time.Millisecond,
			Cores: d.GetCores(), CallsPerSecond: int(d.GetCallsPerSecond()),
		}
		if err := validateEntry(entries[i]); err != nil {
			return gateway.GossipReceived{}, err
		}
	}
	return gateway.GossipReceived{Daemons: entries, Sections: decodeSections(message.GetSections())}, nil
}

// ErrGossip means that a message contains an entry that no daemon can have.
var ErrGossip = errors.New("edge: invalid gossip")

const (
	// maxNameBytes bounds the names of daemons and failure domains in bytes.
	maxNameBytes = 128
	// maxExactNumber bounds versions and revisions: JSON numbers are exact up to there.
	maxExactNumber = 1 << 53
	// maxDaemonCores bounds the processor time of a daemon, in cores.
	maxDaemonCores = 1024
)

// validateEntry rejects values that would spread to all daemons and keep them asking
// for changes that do not exist.
func validateEntry(e gateway.DaemonEntry) error {
	switch {
	case e.Name == "" || len(e.Name) > maxNameBytes || len(e.FailureDomain) > maxNameBytes:
		return fmt.Errorf("%w: name empty, or name or failure domain too long: %.40q, %.40q", ErrGossip, e.Name, e.FailureDomain)
	case max(e.ConfigVersion, e.View.Servers, e.View.Evacuations, e.View.Rollouts, e.View.Era) > maxExactNumber:
		return fmt.Errorf("%w: %s: config version %d, a revision of %+v or its era too large", ErrGossip, e.Name, e.ConfigVersion, e.View)
	case !(e.Cores >= 0 && e.Cores <= maxDaemonCores):
		return fmt.Errorf("%w: %s: %v cores out of range", ErrGossip, e.Name, e.Cores)
	}
	for _, address := range []string{e.CallerAddress, e.PeerAddress} {
		if address == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fmt.Errorf("%w: %s: %w", ErrGossip, e.Name, err)
		}
	}
	return nil
}

// decodeRevisions returns the revisions of a daemon's view. A daemon of an earlier
// version tells only the greater of them, which then counts as both.
func decodeRevisions(d *gossippb.Daemon) gateway.ViewRevisions {
	if d.GetServersRevision() == 0 && d.GetEvacuationsRevision() == 0 {
		return gateway.ViewRevisions{Era: d.GetStoreEra(), Servers: d.GetViewRevision(), Evacuations: d.GetViewRevision(), Rollouts: d.GetRolloutsRevision()}
	}
	return gateway.ViewRevisions{Era: d.GetStoreEra(), Servers: d.GetServersRevision(), Evacuations: d.GetEvacuationsRevision(), Rollouts: d.GetRolloutsRevision()}
}

func encodeState(s gateway.DaemonState) gossippb.State {
	switch s {
	case gateway.DaemonReady:
		return gossippb.State_STATE_READY
	case gateway.DaemonLeaving:
		return gossippb.State_STATE_LEAVING
	}
	return gossippb.State_STATE_STARTING
}

// decodeState maps a state that this version does not know to DaemonLeaving, in which a
// daemon takes no requests.
func decodeState(s gossippb.State) gateway.DaemonState {
	switch s {
	case gossippb.State_STATE_READY:
		return gateway.DaemonReady
	case gossippb.State_STATE_STARTING:
		return gateway.DaemonStarting
	}
	return gateway.DaemonLeaving
}
