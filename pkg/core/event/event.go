// Package event defines the inputs of the core reducer. Event bodies are plain
// data that encoding/gob can encode, so that a stream of events can be recorded
// and replayed.
package event

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Meta holds the clocks and a random number at the time of an event. Reducers take
// them from here, because they read no clock and draw no random numbers.
type Meta struct {
	Now model.Time
	// Wall is the Unix time in milliseconds.
	Wall int64
	Rand uint64
}

// Event is one input of the core reducer.
type Event struct {
	Meta
	Body Body
}

// Body is one of the event types of this package.
type Body interface{ isEvent() }

// Token identifies a reply that the runtime expects from the core.
type Token uint64

// StreamID numbers the Execute streams that one daemon incarnation opened.
type StreamID uint64

// Stream identifies an Execute stream at the owner that received it.
type Stream struct {
	From model.MemberRef
	ID   StreamID
}

// DocumentKind is the kind of a versioned document.
type DocumentKind uint8

// Kinds of documents.
const (
	DocumentBundle DocumentKind = iota + 1
	DocumentControls
	DocumentEpoch
)

// String returns the name used in logs.
func (k DocumentKind) String() string {
	switch k {
	case DocumentBundle:
		return "bundle"
	case DocumentControls:
		return "controls"
	case DocumentEpoch:
		return "epoch"
	}
	return "unknown"
}

// Document is a decoded and verified document. Of Bundle, Controls and Epoch the
// one of its Kind is set.
type Document struct {
	Kind DocumentKind
	// Version is the version that the document itself states, for an epoch its
	// number.
	Version  uint64
	Bundle   *model.Bundle
	Controls *model.Controls
	Epoch    *model.Epoch
	// Raw is the encoded form, in which peers get the document.
	Raw []byte
}

// Event bodies from callers.
type (
	// QueryArrived is a request of a caller to this daemon. Forwarded is set if
	// another daemon forwarded it; it is then not forwarded again.
	QueryArrived struct {
		Token     Token
		Request   model.Request
		Forwarded bool
	}
	// QueryAbandoned means that the caller's connection has closed before the reply.
	QueryAbandoned struct{ Token Token }
	// LookupArrived asks for the addresses to which a caller should send requests.
	LookupArrived struct {
		Token   Token
		Service model.ServiceName
		Caller  model.CallerName
	}
	// ForwardAnswered is the outcome of an effect.ForwardQuery. Exactly one of
	// Answer, Refusal and Err is set.
	ForwardAnswered struct {
		Token   Token
		Answer  *model.Answer
		Refusal *model.Refusal
		// NotSent means that the peer cannot have seen the request.
		NotSent bool
		Err     string
	}
)

// Event bodies from peers on the query path.
type (
	// ExecuteArrived asks this daemon to run sub-requests as an owner.
	// Deadlines are already on this daemon's clock.
	ExecuteArrived struct {
		Stream Stream
		Header model.Header
		Subs   []model.SubRequest
	}
	// CancelArrived asks this daemon, as an owner, to cancel attempts of an entry
	// daemon.
	CancelArrived struct {
		From     model.MemberRef
		Attempts []model.AttemptID
	}
	// ExecuteGone means that the entry daemon closed its Execute stream.
	ExecuteGone struct{ Stream Stream }
	// SubResultArrived is a result on an Execute stream that this daemon opened.
	SubResultArrived struct {
		Stream StreamID
		Header model.Header
		Result model.SubResult
	}
	// ExecuteEnded means that an Execute stream that this daemon opened has ended.
	// NotSent means that the peer cannot have received the request.
	ExecuteEnded struct {
		Stream  StreamID
		Peer    model.VM
		NotSent bool
		Err     string
	}
)

// Event bodies from backend servers.
type (
	// BackendAnswered is the outcome of an effect.CallBackend.
	BackendAnswered struct {
		From   model.MemberRef
		Result model.SubResult
		// Cold means that the server says that its caches are cold.
		Cold bool
		// Draining means that the server received the request and refused it because
		// it drains. The outcome is then OutcomeShed.
		Draining bool
		// Load is the number of requests that the server says it runs.
		Load int
		// SlotHeld means that the server may still work on the request;
		// BackendReleased follows.
		SlotHeld bool
	}
	// BackendReleased follows a BackendAnswered with SlotHeld and ends the wait for
	// the slot of a call that was cut off.
	BackendReleased struct {
		Server model.ServerName
		// Ended means that the server has closed the call's connection, so it no
		// longer works on the call. If unset, the server may still work on it.
		Ended bool
	}
	// BackendStatus is the outcome of an effect.PollBackend. The status may be out
	// of date when it arrives.
	BackendStatus struct {
		Server   model.ServerName
		Draining bool
		Cold     bool
		Load     int
		Serves   []model.Serving
		Err      string
	}
)

// Event bodies of membership.
type (
	// HeartbeatArrived asks this daemon, as a panel member, for a lease.
	HeartbeatArrived struct {
		Token  Token
		Header model.Header
		Member model.Member
		// Resign asks it instead never to grant the sender's incarnation a lease of
		// the epoch again.
		Resign bool
	}
	// HeartbeatAnswered is a panel member's answer to effect.SendHeartbeat.
	HeartbeatAnswered struct {
		// SentAt is when this daemon started to send the heartbeat.
		SentAt model.Time
		// ForEpoch is the epoch for which the heartbeat asked for a lease.
		ForEpoch uint64
		Header   model.Header
		Result   model.LeaseResult
		// Fenced lists the incarnations to which the panel member grants no lease of
		// its epoch any more.
		Fenced []model.MemberRef
		Closed []ClosedEpoch
		// Uptime is the time since the panel member's incarnation started.
		Uptime time.Duration
	}
	// HeartbeatFailed means that an effect.SendHeartbeat got no answer.
	HeartbeatFailed struct {
		To  model.VM
		Err string
	}
	// ExchangeArrived carries reports of a peer and asks for this daemon's.
	ExchangeArrived struct {
		Token   Token
		Header  model.Header
		Servers []model.ServerReport
		Members []model.MemberReport
		// Full means that the peer sent all its reports, not only those that changed
		// lately, and asks for the same.
		Full bool
	}
	// ExchangeAnswered carries a peer's reports in answer to an effect.SendExchange.
	ExchangeAnswered struct {
		Header  model.Header
		Servers []model.ServerReport
		Members []model.MemberReport
	}
	// HandoverArrived hands the ownership of servers over to this daemon.
	HandoverArrived struct {
		Token   Token
		Header  model.Header
		Servers []model.ServerName
	}
	// HandoverAnswered is the outcome of an effect.SendHandover.
	HandoverAnswered struct {
		To       model.VM
		Servers  []model.ServerName
		Accepted bool
		Err      string
	}
)

// ClosedEpoch is a panel member's promise that it grants no more leases and fences
// no more incarnations in an epoch.
type ClosedEpoch struct {
	Number uint64
	// Age is the time since the panel member closed the epoch.
	Age time.Duration
	// Fenced lists the incarnations that it had fenced in the epoch.
	Fenced []model.MemberRef
}

// Event bodies of documents and the platform.
type (
	// DocumentRequested is a peer's request for a document.
	DocumentRequested struct {
		Token  Token
		Header model.Header
		Kind   DocumentKind
	}
	// DocumentArrived is a document from a peer or the platform that was decoded and
	// verified.
	DocumentArrived struct {
		// Address is the peer's address, empty for a document from the platform.
		Address  string
		Document Document
		// ObjectVersion is the version of the platform object, 0 for a document from
		// a peer.
		ObjectVersion uint64
	}
	// DocumentFailed means that a document could not be read, decoded or verified.
	// NotFound is set if the platform or the peer has no such document.
	DocumentFailed struct {
		Kind DocumentKind
		// Address is the peer's address, empty for the platform.
		Address  string
		NotFound bool
		Err      string
	}
	// VMListRead is the outcome of an effect.ReadVMList. The list may be out of
	// date.
	VMListRead struct {
		VMs []model.VMEntry
		Err string
	}
	// EpochWritten is the outcome of an effect.WriteEpoch. Conflict is set if the
	// object has another version, Err if nothing was written or it is not known
	// whether the epoch was written.
	EpochWritten struct {
		Number        uint64
		ObjectVersion uint64
		Conflict      bool
		Err           string
	}
	// DocumentConfirmed is the outcome of an effect.ConfirmDocument. Conflict is set
	// if the object has another version.
	DocumentConfirmed struct {
		Kind          DocumentKind
		ObjectVersion uint64
		Conflict      bool
		Err           string
	}
)

// Event bodies of the process.
type (
	// Started is the first event of a process.
	Started struct{}
	// Tick is posted when the time returned by core.State.NextWake has come.
	Tick struct{}
	// StopRequested asks the daemon to stop gracefully.
	StopRequested struct{ Reason string }
)

func (QueryArrived) isEvent()      {}
func (QueryAbandoned) isEvent()    {}
func (LookupArrived) isEvent()     {}
func (ForwardAnswered) isEvent()   {}
func (ExecuteArrived) isEvent()    {}
func (CancelArrived) isEvent()     {}
func (ExecuteGone) isEvent()       {}
func (SubResultArrived) isEvent()  {}
func (ExecuteEnded) isEvent()      {}
func (BackendAnswered) isEvent()   {}
func (BackendReleased) isEvent()   {}
func (BackendStatus) isEvent()     {}
func (HeartbeatArrived) isEvent()  {}
func (HeartbeatAnswered) isEvent() {}
func (HeartbeatFailed) isEvent()   {}
func (ExchangeArrived) isEvent()   {}
func (ExchangeAnswered) isEvent()  {}
func (HandoverArrived) isEvent()   {}
func (HandoverAnswered) isEvent()  {}
func (DocumentRequested) isEvent() {}
func (DocumentArrived) isEvent()   {}
func (DocumentFailed) isEvent()    {}
func (VMListRead) isEvent()        {}
func (EpochWritten) isEvent()      {}
func (DocumentConfirmed) isEvent() {}
func (Started) isEvent()           {}
func (Tick) isEvent()              {}
func (StopRequested) isEvent()     {}
