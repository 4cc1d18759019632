// Package effect defines the outputs of the core reducer: what the runtime
// has to do, as data.
package effect

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Effect is one of the effect types of this package.
type Effect interface{ isEffect() }

// List collects the effects of one step in order.
type List struct{ Effects []Effect }

// Add appends an effect.
func (l *List) Add(e Effect) { l.Effects = append(l.Effects, e) }

// Log appends a log line.
func (l *List) Log(id logevent.ID, fields ...logevent.Field) {
	l.Effects = append(l.Effects, Log{ID: id, Fields: fields})
}

// LookupAddress is one entry of a lookup answer.
type LookupAddress struct {
	VM              model.VM
	FailureDomain   model.FailureDomain
	Address         string
	RequestIDPrefix string
}

// Effects towards callers.
type (
	// ReplyQuery ends a QueryArrived; exactly one field of the two is set.
	ReplyQuery struct {
		Token   event.Token
		Answer  *model.Answer
		Refusal *model.Refusal
	}
	// ReplyLookup ends a LookupArrived. With Refusal set there are no addresses.
	ReplyLookup struct {
		Token         event.Token
		Addresses     []LookupAddress
		MaxAge        time.Duration
		BundleVersion uint64
		Epoch         uint64
		Refusal       *model.Refusal
	}
)

// Effects towards peers on the query path.
type (
	// OpenExecute sends sub-requests of one request to the owner of their
	// servers. The runtime adds the header and sends the time left until the
	// deadline.
	OpenExecute struct {
		Stream  event.StreamID
		Peer    model.VM
		Address string
		Subs    []model.SubRequest
	}
	// CloseExecute closes a stream that OpenExecute opened; its unfinished
	// attempts are canceled at the owner.
	CloseExecute struct{ Stream event.StreamID }
	// SendCancel cancels attempts at an owner.
	SendCancel struct {
		Peer     model.VM
		Address  string
		Attempts []model.AttemptID
	}
	// SendSubResult sends a result on a peer's Execute stream; Last closes it.
	SendSubResult struct {
		Stream event.Stream
		Result model.SubResult
		Last   bool
	}
	// ForwardQuery passes a request to the daemon that its id names and ends
	// in event.ForwardAnswered.
	ForwardQuery struct {
		Token   event.Token
		Peer    model.VM
		Address string
		Request model.Request
	}
)

// Effects towards backend servers.
type (
	// CallBackend runs a sub-request at its server and ends in
	// event.BackendAnswered, also after a cancel or timeout. From and the
	// attempt id together are unique. Deadline is the time by which the
	// server must have stopped working on it.
	CallBackend struct {
		From     model.MemberRef
		Sub      model.SubRequest
		Address  string
		Deadline model.Time
	}
	// CancelBackend cancels a CallBackend.
	CancelBackend struct {
		From    model.MemberRef
		Attempt model.AttemptID
	}
	// WarmConnections keeps Count connections to the server open; 0 closes
	// them when idle.
	WarmConnections struct {
		Server  model.ServerName
		Address string
		Count   int
	}
	// PollBackend reads the server's status and ends in event.BackendStatus.
	PollBackend struct {
		Server  model.ServerName
		Address string
	}
)

// Effects of membership.
type (
	// SendHeartbeat ends in event.HeartbeatAnswered or HeartbeatFailed.
	SendHeartbeat struct {
		Peer     model.VM
		Address  string
		ForEpoch uint64
		Header   model.Header
		Member   model.Member
		Resign   bool
		// Timeout bounds the call.
		Timeout time.Duration
	}
	// ReplyHeartbeat ends an event.HeartbeatArrived.
	ReplyHeartbeat struct {
		Token  event.Token
		Header model.Header
		Result model.LeaseResult
		Fenced []model.MemberRef
		Closed []event.ClosedEpoch
		Uptime time.Duration
	}
	// SendExchange ends in event.ExchangeAnswered; a failure has no event.
	SendExchange struct {
		Peer    model.VM
		Address string
		Header  model.Header
		Servers []model.ServerReport
		Members []model.MemberReport
		Full    bool
	}
	// ReplyExchange ends an event.ExchangeArrived.
	ReplyExchange struct {
		Token   event.Token
		Header  model.Header
		Servers []model.ServerReport
		Members []model.MemberReport
	}
	// SendHandover ends in event.HandoverAnswered.
	SendHandover struct {
		Peer    model.VM
		Address string
		Header  model.Header
		Servers []model.ServerName
	}
	// ReplyHandover ends an event.HandoverArrived.
	ReplyHandover struct {
		Token    event.Token
		Header   model.Header
		Accepted bool
	}
)

// Effects of documents and the platform.
type (
	// ReplyDocument ends an event.DocumentRequested; Version 0 means none.
	ReplyDocument struct {
		Token   event.Token
		Header  model.Header
		Version uint64
		Raw     []byte
	}
	// FetchDocument reads a document from a peer and ends in
	// event.DocumentArrived or DocumentFailed.
	FetchDocument struct {
		Kind    event.DocumentKind
		Address string
	}
	// ReadDocument reads a document from the platform once.
	ReadDocument struct{ Kind event.DocumentKind }
	// WatchDocument keeps a watch on the platform object until Stop. Each
	// change gives event.DocumentArrived; the runtime backs off on errors.
	WatchDocument struct {
		Kind event.DocumentKind
		Stop bool
	}
	// ReadVMList ends in event.VMListRead.
	ReadVMList struct{}
	// WriteEpoch writes the region's epoch object if it still has
	// ObjectVersion (0: does not exist) and ends in event.EpochWritten.
	WriteEpoch struct {
		Epoch         *model.Epoch
		ObjectVersion uint64
	}
	// ConfirmDocument rewrites the platform object with unchanged contents if
	// it still has ObjectVersion, which proves that the copy read was current.
	// It ends in event.DocumentConfirmed.
	ConfirmDocument struct {
		Kind          event.DocumentKind
		Raw           []byte
		ObjectVersion uint64
	}
)

// Effects of the process.
type (
	// Log writes a numbered log event.
	Log struct {
		ID     logevent.ID
		Fields []logevent.Field
	}
	// Exit ends the process: everything in flight has ended.
	Exit struct{ Reason string }
)

func (ReplyQuery) isEffect()      {}
func (ReplyLookup) isEffect()     {}
func (OpenExecute) isEffect()     {}
func (CloseExecute) isEffect()    {}
func (SendCancel) isEffect()      {}
func (SendSubResult) isEffect()   {}
func (ForwardQuery) isEffect()    {}
func (CallBackend) isEffect()     {}
func (CancelBackend) isEffect()   {}
func (WarmConnections) isEffect() {}
func (PollBackend) isEffect()     {}
func (SendHeartbeat) isEffect()   {}
func (ReplyHeartbeat) isEffect()  {}
func (SendExchange) isEffect()    {}
func (ReplyExchange) isEffect()   {}
func (SendHandover) isEffect()    {}
func (ReplyHandover) isEffect()   {}
func (ReplyDocument) isEffect()   {}
func (FetchDocument) isEffect()   {}
func (ReadDocument) isEffect()    {}
func (WatchDocument) isEffect()   {}
func (ReadVMList) isEffect()      {}
func (WriteEpoch) isEffect()      {}
func (ConfirmDocument) isEffect() {}
func (Log) isEffect()             {}
func (Exit) isEffect()            {}
