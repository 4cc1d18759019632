// Package slots is the owner side of a query: it queues sub-requests per
// backend server, starts them within the server's slots, raises the limit of a
// cold server step by step and stops new work to a drained one.
package slots

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Timing of the owner side.
const (
	// PollInterval is the time between two reads of a server's status.
	PollInterval = time.Second
	// refreshInterval is the time between two looks at what other reducers own.
	refreshInterval = time.Second
	// pollTimeout ends the wait for a status that never came.
	pollTimeout = 5 * time.Second
	// defaultSettle keeps the slot of a canceled or broken call taken until the
	// server has noticed that its connection is closed. One-way latencies are up
	// to 1.5 ms; on a busy machine a server took more than 5 ms to notice, and
	// the next request found all its slots taken.
	defaultSettle = 20 * time.Millisecond
	// knowledgeAge is how long a limit found by the ramp stays valid without
	// answers from the server.
	knowledgeAge = 30 * time.Second
)

// defaultQueueLimit bounds a server's queue when the policy does not.
const defaultQueueLimit = 100

// View is what slots reads from the other reducers.
type View interface {
	Self() model.MemberRef
	// Bundle is nil until the first bundle is known.
	Bundle() *model.Bundle
	Controls() *model.Controls
	// MayAct reports whether this daemon owns the server and holds a lease.
	MayAct(now model.Time, s model.ServerName) bool
	LeaseUntil(now model.Time) model.Time
	// Daemons is the number of daemons that take work from callers.
	Daemons() int
	// Report is the newest report on the server, by any owner.
	Report(model.ServerName) (model.ServerReport, bool)
}

// Config sets up a State.
type Config struct {
	View View
	// Settle is how long the slot of a canceled or broken call stays taken;
	// 0 takes the default.
	Settle time.Duration
}

// State is the owner side's state.
type State struct {
	view   View
	settle time.Duration
	// bundle is the one that servers were last built from.
	bundle *model.Bundle
	// servers holds every server that this daemon owns or has sent to; sorted
	// lists the same by name.
	servers map[model.ServerName]*server
	sorted  []*server
	tasks   map[attemptKey]*task
	streams map[event.Stream]*stream
	// expiring holds the queued tasks by deadline.
	expiring deadlineHeap
	// settling holds slots that are not free yet, earliest first.
	settling []settlingSlot
	// paused holds the servers that get no work for a while after failures.
	paused []*server
	// pollAt is when the next status read is due and refreshAt when the facts
	// of other reducers are looked at again: controls end by the wall clock and
	// leases run out without an event.
	pollAt    model.Time
	refreshAt model.Time
	// sequence numbers reports; it never restarts within an incarnation.
	sequence uint64
}

// attemptKey names an attempt among those of all entry daemons.
type attemptKey struct {
	from    model.MemberRef
	attempt model.AttemptID
}

// stream is an Execute stream with open attempts.
type stream struct {
	id    event.Stream
	tasks []*task
	open  int
	// gone means that nobody reads results any more.
	gone bool
}

// settlingSlot is a slot that is free at a time, or, if held, the next look for
// a sign of life of a server with held slots.
type settlingSlot struct {
	at     model.Time
	server *server
	held   bool
}

// New returns a state without servers; Refresh fills it.
func New(c *Config) *State {
	settle := c.Settle
	if settle == 0 {
		settle = defaultSettle
	}
	return &State{
		view:    c.View,
		settle:  settle,
		servers: make(map[model.ServerName]*server),
		tasks:   make(map[attemptKey]*task),
		streams: make(map[event.Stream]*stream),
		pollAt:  model.Never,

		refreshAt: model.Never,
	}
}

// NextWake returns the time of the next Tick.
func (s *State) NextWake() model.Time {
	wake := min(s.pollAt, s.refreshAt)
	if t := s.expiring.first(); t != nil {
		wake = min(wake, t.sub.Deadline)
	}
	if len(s.settling) > 0 {
		wake = min(wake, s.settling[0].at)
	}
	for _, v := range s.paused {
		wake = min(wake, v.pausedUntil)
	}
	return wake
}

// Reports returns what this daemon knows of the servers that it owns, by name.
func (s *State) Reports() []model.ServerReport {
	reports := make([]model.ServerReport, 0, len(s.sorted))
	for _, v := range s.sorted {
		if v.owned {
			reports = append(reports, v.report)
		}
	}
	return reports
}

// InFlight returns the number of the server's slots that this daemon's work
// takes, including calls that were canceled but may still run.
func (s *State) InFlight(name model.ServerName) int {
	v, ok := s.servers[name]
	if !ok {
		return 0
	}
	return v.taken()
}

// Running returns the number of sub-requests queued or running here.
func (s *State) Running() int { return len(s.tasks) }
