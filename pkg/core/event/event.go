// Package event defines the inputs of the core reducer. Bodies are plain data
// that encoding/gob can write, so that a stream of events can be recorded and
// replayed.
package event

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Meta is the part of an event that stands for the outside world: no reducer
// reads a clock or draws random numbers itself.
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

// Token names a pending reply that the runtime holds for the core.
type Token uint64

// StreamID numbers the Execute streams that one daemon incarnation opened.
type StreamID uint64

// Stream names an Execute stream at the owner.
type Stream struct {
	From model.MemberRef
	ID   StreamID
}

// DocumentKind names a versioned document.
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

// Document is a decoded and verified document. The field of its Kind is set.
// Version is that of the document itself; for the epoch it is the number.
type Document struct {
	Kind     DocumentKind
	Version  uint64
	Bundle   *model.Bundle
	Controls *model.Controls
	Epoch    *model.Epoch
	// Raw is the encoded form that is handed to peers.
	Raw []byte
}

// Event bodies from callers.
type (
	// QueryArrived is a request of a caller at this daemon. Forwarded is set
	// when another daemon passed it on; it is not forwarded again.
	QueryArrived struct {
		Token     Token
		Request   model.Request
		Forwarded bool
	}
	// QueryAbandoned means that the caller's connection is gone.
	QueryAbandoned struct{ Token Token }
	// LookupArrived asks for the addresses a caller should use.
	LookupArrived struct {
		Token   Token
		Service model.ServiceName
		Caller  model.CallerName
	}
	// ForwardAnswered ends an effect.ForwardQuery. Exactly one of Answer and
	// Refusal is set unless Err is.
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
	// CancelArrived stops attempts of an entry daemon.
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
	// ExecuteEnded means that an Execute stream that this daemon opened is
	// over. NotSent means that the peer cannot have received the request.
	ExecuteEnded struct {
		Stream  StreamID
		Peer    model.VM
		NotSent bool
		Err     string
	}
)

// Event bodies from backend servers.
type (
	// BackendAnswered ends an effect.CallBackend.
	BackendAnswered struct {
		From   model.MemberRef
		Result model.SubResult
		// Cold is the server's own word that its caches are cold.
		Cold bool
		// Draining means that the server refused the request, which reached it,
		// because it drains. The outcome is then OutcomeShed.
		Draining bool
		// Load is the number of requests that the server says it runs.
		Load int
		// SlotHeld means that the server may still work on the request;
		// BackendReleased follows.
		SlotHeld bool
	}
	// BackendReleased ends the wait for the slot of a call that was cut off.
	BackendReleased struct {
		Server model.ServerName
		// Ended means that the server has ended the call's connection, and so does
		// not work on it any more; otherwise it is not known.
		Ended bool
	}
	// BackendStatus ends an effect.PollBackend. Such reports lag.
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
		Resign bool
	}
	// HeartbeatAnswered is a panel member's answer to effect.SendHeartbeat.
	HeartbeatAnswered struct {
		// SentAt is when this daemon started to send the heartbeat.
		SentAt model.Time
		// ForEpoch is the epoch in whose name the heartbeat was sent.
		ForEpoch uint64
		Header   model.Header
		Result   model.LeaseResult
		Fenced   []model.MemberRef
		Closed   []ClosedEpoch
		Uptime   time.Duration
	}
	// HeartbeatFailed means that no answer came.
	HeartbeatFailed struct {
		To  model.VM
		Err string
	}
	// ExchangeArrived brings reports of a peer and wants ours.
	ExchangeArrived struct {
		Token   Token
		Header  model.Header
		Servers []model.ServerReport
		Members []model.MemberReport
		Full    bool
	}
	// ExchangeAnswered brings a peer's reports in answer to ours.
	ExchangeAnswered struct {
		Header  model.Header
		Servers []model.ServerReport
		Members []model.MemberReport
	}
	// HandoverArrived passes ownership of servers to this daemon.
	HandoverArrived struct {
		Token   Token
		Header  model.Header
		Servers []model.ServerName
	}
	// HandoverAnswered ends an effect.SendHandover.
	HandoverAnswered struct {
		To       model.VM
		Servers  []model.ServerName
		Accepted bool
		Err      string
	}
)

// ClosedEpoch is a panel member's word that it grants and fences nothing more
// in an epoch.
type ClosedEpoch struct {
	Number uint64
	// Age is the time since it closed the epoch.
	Age    time.Duration
	Fenced []model.MemberRef
}

// Event bodies of documents and the platform.
type (
	// DocumentRequested is a peer's wish for a document.
	DocumentRequested struct {
		Token  Token
		Header model.Header
		Kind   DocumentKind
	}
	// DocumentArrived is a document from a peer or the platform that passed
	// its checks.
	DocumentArrived struct {
		// Address is that of the peer; empty when the platform sent it.
		Address  string
		Document Document
		// ObjectVersion is the platform object's version, 0 from a peer.
		ObjectVersion uint64
	}
	// DocumentFailed means that a document could not be had or failed its
	// checks. NotFound is set when the platform has no such object.
	DocumentFailed struct {
		Kind DocumentKind
		// Address is that of the peer; empty for the platform.
		Address  string
		NotFound bool
		Err      string
	}
	// VMListRead is the platform's VM list, which lags.
	VMListRead struct {
		VMs []model.VMEntry
		Err string
	}
	// EpochWritten ends an effect.WriteEpoch. Conflict is set when the object
	// has another version; Err when the outcome is unknown or nothing was
	// written.
	EpochWritten struct {
		Number        uint64
		ObjectVersion uint64
		Conflict      bool
		Err           string
	}
	// DocumentConfirmed ends an effect.ConfirmDocument.
	DocumentConfirmed struct {
		Kind          DocumentKind
		ObjectVersion uint64
		Conflict      bool
		Err           string
	}
)

// Event bodies of the process.
type (
	// Started is the first event.
	Started struct{}
	// Tick is posted at the time that State.NextWake returned.
	Tick struct{}
	// StopRequested starts the graceful stop.
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
