// Package edge runs the reducer of package gateway as a daemon: it serves callers,
// sends attempts to leafs, follows the store and exchanges gossip and views with the
// other daemons. All decisions are the reducer's.
package edge

import (
	"sync"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/leafconn"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Runtime feeds events to the reducer and carries out its effects.
type Runtime struct {
	protocol Protocol
	pool     *leafconn.Pool
	budget   *leafconn.Budget
	log      func(gateway.Log)
	observer Observer
	peers    PeerLink
	store    StoreLink
	start    time.Time

	mu            sync.Mutex
	core          *gateway.State
	pending       map[gateway.QueryID]*pendingRequest
	calls         map[gateway.CallID]*leafconn.Exchange
	lastQuery     gateway.QueryID
	limits        gateway.Limits
	timer         *time.Timer
	scheduledWake model.Time
	onLimits      func(gateway.Limits)
	onPanic       func(where string, err error)
	lag           func() time.Duration
	onRefusal     func(client, reason string)
	onInvalid     func(service, server string, err error)
}

// PeerLink sends messages to other daemons. Its methods must not block.
type PeerLink interface {
	Gossip(to []string, entries []gateway.DaemonEntry, sections gateway.Sections)
	// FetchView fetches and adopts a daemon's view and then posts gateway.ViewFetched.
	FetchView(e gateway.FetchView)
}

// Observer records metrics. Its methods must not block.
type Observer interface {
	// Call is called at the end of each attempt at a leaf of the service.
	Call(service string, outcome gateway.Outcome, took time.Duration)
}

// StoreLink controls how the daemon follows the store and registers in it. Its methods
// must not block.
type StoreLink interface {
	// SetWatching makes this daemon watch the store, or leave that to other daemons.
	SetWatching(on bool)
	// Refresh queries the store again for changes that the watches should have
	// delivered.
	Refresh()
	// ReadStore reads all kinds from the store now and posts gateway.StoreRead.
	ReadStore()
	// RegisterAgain writes this daemon's entry again.
	RegisterAgain()
	// RemoveDaemon deletes the entry of a daemon.
	RemoveDaemon(name string)
	// WriteVerdict writes the verdict on an order and then posts gateway.VerdictWritten.
	WriteVerdict(e gateway.WriteVerdict)
}

// Config holds the parameters of a Runtime.
type Config struct {
	Core *gateway.State
	// Protocol is nil only if no requests are served.
	Protocol Protocol
	Pool     *leafconn.Pool
	// Budget bounds the memory for bodies, those that Pool holds included.
	Budget   *leafconn.Budget
	Log      func(gateway.Log)
	Observer Observer
	// Lag returns the longest time for which bytes that are read now may have waited in
	// this daemon; nil if that is not measured.
	Lag func() time.Duration
	// OnPanic is called for each event, effect and answer whose handling panicked; it
	// must not block.
	OnPanic func(where string, err error)
	// OnLimits is called with the limits of each configuration; it must not block.
	OnLimits func(gateway.Limits)
	// OnRefusal, if set, is called with the address of each client whose request is outside
	// the limits, and why; it must not block.
	OnRefusal func(client, reason string)
	// OnInvalidAnswer, if set, is called when a leaf sent bytes that are no answer; it must
	// not block.
	OnInvalidAnswer func(service, server string, err error)
}

// New returns a Runtime; Link must be called before the first event.
func New(c Config) *Runtime {
	if c.Lag == nil {
		c.Lag = func() time.Duration { return 0 }
	}
	if c.OnRefusal == nil {
		c.OnRefusal = func(string, string) {}
	}
	if c.OnInvalidAnswer == nil {
		c.OnInvalidAnswer = func(string, string, error) {}
	}
	r := &Runtime{
		lag: c.Lag, protocol: c.Protocol, pool: c.Pool, budget: c.Budget, log: c.Log, observer: c.Observer,
		start: time.Now(), core: c.Core, onLimits: c.OnLimits, onPanic: c.OnPanic,
		pending:       map[gateway.QueryID]*pendingRequest{},
		calls:         map[gateway.CallID]*leafconn.Exchange{},
		scheduledWake: model.Never, onRefusal: c.OnRefusal, onInvalid: c.OnInvalidAnswer,
	}
	r.timer = time.AfterFunc(time.Hour, func() { r.Post(gateway.Tick{}) })
	return r
}

// Link connects the runtime with the other daemons and the store, which post events to
// it.
func (r *Runtime) Link(peers PeerLink, store StoreLink) { r.peers, r.store = peers, store }

// Post applies an event and carries out its effects, none of which blocks.
func (r *Runtime) Post(e gateway.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.postLocked(e)
}

// now returns the reducer's time, which starts at 0 with the runtime.
func (r *Runtime) now() model.Time { return model.Time(time.Since(r.start)) }

// postLocked is Post for callers that hold the lock.
func (r *Runtime) postLocked(e gateway.Event) {
	now := r.now()
	r.applyEvent(e)
	if wake := r.core.NextWake(); wake != r.scheduledWake || wake <= now {
		r.scheduledWake = wake
		r.timer.Reset(max(0, wake.Sub(r.now())))
	}
}

func (r *Runtime) carryOut(effect gateway.Effect) {
	switch e := effect.(type) {
	case gateway.SendCall:
		r.sendCall(e)
	case gateway.CancelCall:
		if x, ok := r.calls[e.Call]; ok {
			x.Cancel()
		}
	case gateway.ForwardAnswer:
		r.sendReply(e.Query, func(p *pendingRequest) reply { return reply{forward: p.answers[e.Call]} })
	case gateway.MergeAnswer:
		r.sendReply(e.Query, func(p *pendingRequest) reply { return p.mergeAnswers(e) })
	case gateway.Refuse:
		r.sendReply(e.Query, func(*pendingRequest) reply { return reply{refuse: &e} })
	case gateway.Gossip:
		r.peers.Gossip(e.To, e.Daemons, e.Sections)
	case gateway.FetchView:
		r.peers.FetchView(e)
	case gateway.WatchStore:
		r.store.SetWatching(e.On)
	case gateway.RefreshView:
		r.store.Refresh()
	case gateway.ReadStore:
		r.store.ReadStore()
	case gateway.ApplyLimits:
		r.limits = e.Limits
		r.onLimits(e.Limits)
	case gateway.CloseIdle:
		r.pool.CloseIdle(e.Server)
	case gateway.RegisterDaemon:
		r.store.RegisterAgain()
	case gateway.RemoveDaemon:
		r.store.RemoveDaemon(e.Name)
	case gateway.WriteVerdict:
		r.store.WriteVerdict(e)
	case gateway.Log:
		r.log(e)
	}
}

// NotReady returns what keeps the daemon from accepting requests; nothing if it does.
func (r *Runtime) NotReady() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.NotReady()
}

// Directory returns the addresses of daemons that callers may use for a host.
func (r *Runtime) Directory(host, region string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Without a step, the reducer's time is that of the last event, which is long ago if the
	// process was paused.
	r.postLocked(gateway.Tick{})
	return r.core.Directory(host, region)
}

// OpenQueries returns the number of requests without a final answer.
func (r *Runtime) OpenQueries() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.OpenQueries()
}

// WatchTurn returns this daemon's turn among those that watch the store.
func (r *Runtime) WatchTurn() gateway.WatchTurn {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.WatchTurn()
}
