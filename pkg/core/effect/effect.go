// Package effect defines the outputs of the core reducer. An effect describes as
// data something that the runtime has to do.
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

// Log appends an effect that writes a log event.
func (l *List) Log(id logevent.ID, fields ...logevent.Field) {
	l.Effects = append(l.Effects, Log{ID: id, Fields: fields})
}

// LookupAddress is one daemon in the answer to a lookup.
type LookupAddress struct {
	VM              model.VM
	FailureDomain   model.FailureDomain
	Address         string
	RequestIDPrefix string
}

// Effects towards callers.
type (
	// ReplyQuery replies to an event.QueryArrived. Exactly one of Answer and Refusal
	// is set.
	ReplyQuery struct {
		Token   event.Token
		Answer  *model.Answer
		Refusal *model.Refusal
	}
	// ReplyLookup replies to an event.LookupArrived. If Refusal is set, there are no
	// addresses.
	ReplyLookup struct {
		Token         event.Token
		Addresses     []LookupAddress
		MaxAge        time.Duration
		BundleVersion uint64
		Epoch         uint64
		Refusal       *model.Refusal
	}
)

// Effects that send to peers on the query path.
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
	// CloseExecute closes a stream that OpenExecute opened. The owner then cancels
	// the attempts of the stream that have not ended.
	CloseExecute struct{ Stream event.StreamID }
	// SendCancel cancels attempts at an owner.
	SendCancel struct {
		Peer     model.VM
		Address  string
		Attempts []model.AttemptID
	}
	// SendSubResult sends a result on an Execute stream that a peer opened. With
	// Last the stream ends after the result.
	SendSubResult struct {
		Stream event.Stream
		Result model.SubResult
		Last   bool
	}
	// ForwardQuery forwards a request to the daemon that its id names. It results in
	// event.ForwardAnswered.
	ForwardQuery struct {
		Token   event.Token
		Peer    model.VM
		Address string
		Request model.Request
	}
)

// Effects that concern backend servers.
type (
	// CallBackend runs a sub-request at its server. It results in
	// event.BackendAnswered, also after a cancel or timeout. From and the attempt id
	// together are unique. Deadline is the time by which the server must have
	// stopped working on the sub-request.
	CallBackend struct {
		From     model.MemberRef
		Sub      model.SubRequest
		Address  string
		Deadline model.Time
	}
	// CancelBackend cancels the CallBackend with the same From and attempt id.
	CancelBackend struct {
		From    model.MemberRef
		Attempt model.AttemptID
	}
	// WarmConnections keeps Count connections to the server open. With Count 0
	// they are closed once they are idle.
	WarmConnections struct {
		Server  model.ServerName
		Address string
		Count   int
	}
	// PollBackend reads the server's status. It results in event.BackendStatus.
	PollBackend struct {
		Server  model.ServerName
		Address string
	}
)

// Effects of membership.
type (
	// SendHeartbeat asks a panel member for a lease. It results in
	// event.HeartbeatAnswered or event.HeartbeatFailed.
	SendHeartbeat struct {
		Peer     model.VM
		Address  string
		ForEpoch uint64
		Header   model.Header
		Member   model.Member
		// Resign asks the panel member never to grant this incarnation a lease of
		// the epoch again.
		Resign bool
		// Timeout bounds the call.
		Timeout time.Duration
	}
	// ReplyHeartbeat replies to an event.HeartbeatArrived.
	ReplyHeartbeat struct {
		Token  event.Token
		Header model.Header
		Result model.LeaseResult
		Fenced []model.MemberRef
		Closed []event.ClosedEpoch
		Uptime time.Duration
	}
	// SendExchange sends reports to a peer and asks for the peer's. It results in
	// event.ExchangeAnswered, or in no event if it fails.
	SendExchange struct {
		Peer    model.VM
		Address string
		Header  model.Header
		Servers []model.ServerReport
		Members []model.MemberReport
		// Full means that the message carries all reports, not only those that
		// changed lately, and asks the peer to do the same.
		Full bool
	}
	// ReplyExchange replies to an event.ExchangeArrived.
	ReplyExchange struct {
		Token   event.Token
		Header  model.Header
		Servers []model.ServerReport
		Members []model.MemberReport
	}
	// SendHandover hands the ownership of servers over to a peer. It results in
	// event.HandoverAnswered.
	SendHandover struct {
		Peer    model.VM
		Address string
		Header  model.Header
		Servers []model.ServerName
	}
	// ReplyHandover replies to an event.HandoverArrived.
	ReplyHandover struct {
		Token    event.Token
		Header   model.Header
		Accepted bool
	}
)

// Effects of documents and the platform.
type (
	// ReplyDocument replies to an event.DocumentRequested. Version 0 means that this
	// daemon has no such document.
	ReplyDocument struct {
		Token   event.Token
		Header  model.Header
		Version uint64
		Raw     []byte
	}
	// FetchDocument reads a document from a peer. It results in
	// event.DocumentArrived or event.DocumentFailed.
	FetchDocument struct {
		Kind    event.DocumentKind
		Address string
	}
	// ReadDocument reads a document from the platform once. It results in
	// event.DocumentArrived or event.DocumentFailed.
	ReadDocument struct{ Kind event.DocumentKind }
	// WatchDocument starts a watch on the platform object, or ends it if Stop is
	// set. Each change results in event.DocumentArrived. The runtime backs off on
	// errors.
	WatchDocument struct {
		Kind event.DocumentKind
		Stop bool
	}
	// ReadVMList reads the platform's VM list. It results in event.VMListRead.
	ReadVMList struct{}
	// WriteEpoch writes the region's epoch object if the object still has
	// ObjectVersion; 0 means that it does not exist. It results in
	// event.EpochWritten.
	WriteEpoch struct {
		Epoch         *model.Epoch
		ObjectVersion uint64
	}
	// ConfirmDocument rewrites the platform object with unchanged contents if the
	// object still has ObjectVersion, which proves that the copy read was current.
	// It results in event.DocumentConfirmed.
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
	// Exit ends the process. It is the last effect of the graceful stop.
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
