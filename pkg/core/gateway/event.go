package gateway

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/tenant"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Event is one input of the reducer.
type Event interface{ event() }

// QueryID identifies a request of a caller within a daemon.
type QueryID uint64

// CallID identifies an attempt at a leaf within a daemon.
type CallID uint64

// RequestArrived is a caller's request whose header and body have been read.
type RequestArrived struct {
	// At is when the header had been read; reading the body may have taken time since.
	At model.Time
	// MaxUnread is the longest time for which the request may have waited in the daemon
	// before its header was read.
	MaxUnread time.Duration
	Query     QueryID
	RequestID string
	Host      string
	Path      string
	// CallerTimeout is the caller's timeout, counted from when the request reached the daemon; 0
	// if the caller did not state one.
	CallerTimeout time.Duration
	// Credential is the hash of the key that the request carries.
	Credential tenant.Credential
}

// CallerGone means that the caller closed its connection.
type CallerGone struct{ Query QueryID }

// Outcome says how an attempt ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	// OutcomeNotSent means that no byte of the request was sent.
	OutcomeNotSent Outcome = iota
	// OutcomeNotExecuted means that the leaf says that it did not run the request.
	OutcomeNotExecuted
	// OutcomeWrongServer means that a different leaf has the address now; the request
	// was not run.
	OutcomeWrongServer
	// OutcomeSucceeded is a complete answer with a 2xx status and the leaf's stamp
	// header.
	OutcomeSucceeded
	// OutcomeFailed is a complete answer with another status.
	OutcomeFailed
	// OutcomeLost means that the request was sent and no valid answer arrived.
	OutcomeLost
	// OutcomeCancelled means that the attempt was cancelled by this daemon.
	OutcomeCancelled
	// OutcomeTooLarge means that the leaf sent more than an answer may contain, or more
	// than this daemon can hold; the request may have run.
	OutcomeTooLarge
)

// String returns the outcome as log lines show it.
func (o Outcome) String() string {
	return [...]string{"not_sent", "not_executed", "wrong_server", "succeeded", "failed", "lost", "cancelled", "too_large"}[o]
}

// CallDone reports the end of an attempt.
type CallDone struct {
	Call    CallID
	Outcome Outcome
	// Load is the load that the leaf reported with its answer; valid if HasLoad.
	Load    Load
	HasLoad bool
	// WarmUpLeft is how long the leaf says that it stays cold; 0 if it did not say.
	WarmUpLeft time.Duration
}

// Load is a leaf's report of its load.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes on the leaf's VM now relative to its usual time: 1 is
	// as usual, 2 twice as long; 0 if the leaf does not report it.
	Slowdown float64
}

// ConfigSeen is a version of the configuration that was read from a source.
type ConfigSeen struct {
	Config *Config
	Source ViewSource
}

// ViewSource says where a daemon has read something of the store, for the log.
type ViewSource struct {
	// Call is the call that brought it, to the store or to another daemon.
	Call string
	// Daemon is the name of the daemon that was called; empty for the store.
	Daemon string
}

// Registered means that this daemon's entry is in the store. First means that it was not
// there before.
type Registered struct{ First bool }

// GossipReceived is a gossip message of another daemon, whose entry is the first.
type GossipReceived struct {
	Daemons []DaemonEntry
	// Sections are those of the sender.
	Sections Sections
	// Waited is the longest time for which the message may have waited to be read.
	Waited time.Duration
}

// ConfigUnusable says why no configuration came from the store: it has none, or one that
// cannot be used.
type ConfigUnusable struct{ Cause string }

// StoreReached says whether the latest call to the store succeeded.
type StoreReached struct {
	OK bool
	// Objects are those that the call was about.
	Objects StoreObjects
	// Cause is the error of a failed call.
	Cause string
}

// SettingsChanged carries the settings that may change while a daemon runs.
type SettingsChanged struct {
	RetryRatio, RetrySlack float64
	MaxSilence             time.Duration
	// ApplyWithin is that of Options; 0 leaves it as it is.
	ApplyWithin time.Duration
	Seeds       []string
}

// Tick is sent at the time that NextWake returned.
type Tick struct{}

// StopRequested starts the graceful shutdown. EndsIn is the time until
// StopEnding; 0 if it is not known.
type StopRequested struct{ EndsIn time.Duration }

// StopEnding ends the graceful shutdown: each open request gets its final answer now, and
// requests that arrive later are refused.
type StopEnding struct{}

func (RequestArrived) event()    {}
func (CallerGone) event()        {}
func (CallDone) event()          {}
func (ConfigSeen) event()        {}
func (ConfigUnusable) event()    {}
func (ServersListed) event()     {}
func (ServerChanged) event()     {}
func (ServerRemoved) event()     {}
func (EvacuationsListed) event() {}
func (StoreEraSeen) event()      {}
func (ViewAdvanced) event()      {}
func (ViewFetched) event()       {}
func (DaemonsListed) event()     {}
func (Registered) event()        {}
func (GossipReceived) event()    {}
func (StoreReached) event()      {}
func (SettingsChanged) event()   {}
func (Tick) event()              {}
func (StopRequested) event()     {}
func (StopEnding) event()        {}

// Effect is one output of the reducer.
type Effect interface{ effect() }

// SendCall sends a request to a leaf.
type SendCall struct {
	Call    CallID
	Query   QueryID
	Service string
	Server  string
	Address string
	// Deadline is when the leaf has to be done. The leaf is told how much time is left
	// when the request is sent, see BeginCall.
	Deadline model.Time
	// MaxIdle bounds the number of idle connections that are kept to the leaf.
	MaxIdle int
	// TopK is how many of the answer's greatest records are needed; 0 means the whole
	// answer.
	TopK int
	// NewConnection means that the request was sent to this leaf before. It needs a new
	// connection, on which an answer to the earlier attempt cannot arrive.
	NewConnection bool
}

// CancelCall cancels an attempt and closes its connection. CallDone follows.
type CancelCall struct{ Call CallID }

// ForwardAnswer answers a request with the unchanged answer of a leaf.
type ForwardAnswer struct {
	Query QueryID
	Call  CallID
}

// MergeAnswer answers a request with the TopK greatest records of the answers of
// several shards.
type MergeAnswer struct {
	Query   QueryID
	Calls   []CallID
	Missing int
	TopK    int
}

// Refuse answers a request without an answer of a leaf.
type Refuse struct {
	Query  QueryID
	Reason Refusal
	// RetryAfter is the time after which the caller may retry; 0 if no time is known. It is
	// set only if Reason.NotRun.
	RetryAfter time.Duration
}

// Gossip sends entries of daemons and this daemon's sections to other daemons.
type Gossip struct {
	To       []string
	Daemons  []DaemonEntry
	Sections Sections
}

// FetchView reads the configuration and the leafs from another daemon. ViewFetched
// follows.
type FetchView struct {
	// Daemon is the name of the daemon, From its ip:port.
	Daemon, From string
	// View has the revisions that the daemon has told of.
	View ViewRevisions
	// Capacities asks for what the daemon has learned about leafs.
	Capacities bool
	// Retained asks for what the daemon retains from earlier eras of the store.
	Retained bool
}

// WatchStore makes this daemon start or stop watching the store.
type WatchStore struct{ On bool }

// RefreshView reads from the store again what its watches should have delivered.
type RefreshView struct{}

// ApplyLimits puts the limits of a new configuration into effect.
type ApplyLimits struct{ Limits Limits }

// CloseIdle closes the idle connections to a leaf.
type CloseIdle struct{ Server string }

// RegisterDaemon writes this daemon's entry to the store again after another daemon has
// deleted it.
type RegisterDaemon struct{}

// RemoveDaemon deletes from the store the entry of a daemon that is gone.
type RemoveDaemon struct{ Name string }

// Log writes a log line about a decision.
type Log struct {
	Kind LogKind
	// Query is set if the line is about a request.
	Query *QueryReport
	// Subject is the leaf, daemon or failure domain that the line is about.
	Subject string
	Detail  string
	Number  int64
	// Duration is how long the store was unreachable, a daemon was silent, or a leaf is
	// expected to stay cold.
	Duration time.Duration
}

func (SendCall) effect()       {}
func (CancelCall) effect()     {}
func (ForwardAnswer) effect()  {}
func (MergeAnswer) effect()    {}
func (Refuse) effect()         {}
func (Gossip) effect()         {}
func (FetchView) effect()      {}
func (WatchStore) effect()     {}
func (RefreshView) effect()    {}
func (ApplyLimits) effect()    {}
func (CloseIdle) effect()      {}
func (RegisterDaemon) effect() {}
func (RemoveDaemon) effect()   {}
func (Log) effect()            {}

// LogKind says what a log line is about.
type LogKind uint8

// Kinds of log lines.
const (
	LogQueryAnswered LogKind = iota
	LogQueryPartial
	LogQueryRefused
	LogQueryAbandoned
	LogConfigHeard
	LogConfigApplied
	LogConfigIgnored
	LogServerAdded
	LogServerRemoved
	LogServerDraining
	LogServerCold
	LogServerSuspected
	LogReportsIgnored
	LogReportsTrusted
	LogCapacityStart
	LogAdmissionLimited
	LogAdmissionEnded
	LogDomainEvacuated
	LogDomainReturned
	LogDaemonSeen
	LogDaemonSilent
	LogWatchersChanged
	LogViewUnproven
	LogReady
	LogNotReady
	LogStoreLost
	LogStoreRegained
	LogStopStarted
	LogTenantsChanged
	LogKeysRevoked
	LogStoreCopied
	LogEvacuationHeld
	LogQuotaExceeded
	LogQuotaHolding
	LogRolloutStarted
	LogRolloutWithdrawn
	LogRolloutActing
	LogRolloutVerdict
	LogRolloutWriteFailed
)

// ConfigOrigin says how a daemon learned of a version of the configuration.
type ConfigOrigin struct {
	Source ViewSource
	// Age is the time since the daemon applied the version.
	Age time.Duration
	// ProofAge is for how long the daemon has not known that the store has no later version.
	ProofAge time.Duration
}

// QueryReport summarises how a request was handled.
type QueryReport struct {
	RequestID string
	Route     string
	// Tenant is the name of the tenant whose key the request has; empty if there is none.
	Tenant  string
	Outcome string
	Elapsed time.Duration
	// Late means that the answer missed the route's latency target.
	Late          bool
	ConfigVersion uint64
	// ConfigOrigin is set for a request that was refused, if there is a configuration.
	ConfigOrigin   *ConfigOrigin
	ViewAge        time.Duration
	Shards         int
	Missing        int
	MissingReasons string
	Calls          int
	Hedges         int
	Retries        int
	// BudgetDenied counts retries and hedges that the retry budget did not allow.
	BudgetDenied int
	Servers      string
	// Wait is set unless the request was answered completely and in time.
	Wait *WaitReport
}
