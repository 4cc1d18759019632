// Package slots runs sub-requests on the daemon that owns the backend servers.
// It queues them per server, sends no more at once than the server has slots
// for, raises the limit of a cold server step by step and sends no new work to
// a drained server.
package slots

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// PollInterval is the time between two reads of a server's status.
	PollInterval = time.Second
	// refreshInterval is the time between two reads of the state of the other
	// reducers (ownership, leases, controls).
	refreshInterval = time.Second
	// pollTimeout is how long a status read without an answer blocks the next
	// one.
	pollTimeout = 5 * time.Second
	// defaultReleaseDelay is how long the slot of a canceled, timed-out or
	// failed call stays taken, so that the server has time to notice the
	// closed connection. One-way latencies are up to 1.5 ms; on a busy machine
	// a server took more than 5 ms to notice, and the next request found all
	// its slots taken.
	defaultReleaseDelay = 20 * time.Millisecond
	// limitMaxAge is how long a limit that the ramp has reached stays valid
	// without answers from the server.
	limitMaxAge = 30 * time.Second
)

// defaultQueueLimit bounds a server's queue if the policy sets no limit.
const defaultQueueLimit = 100

// View is the state of the other reducers that this package reads.
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

// Config configures a State.
type Config struct {
	View View
	// ReleaseDelay is how long the slot of a canceled, timed-out or failed
	// call stays taken; 0 means defaultReleaseDelay.
	ReleaseDelay time.Duration
}

// State holds the queues, running calls and limits of the servers.
type State struct {
	view         View
	releaseDelay time.Duration
	// bundle is the bundle that the servers were last updated from.
	bundle *model.Bundle
	// servers holds every server that this daemon owns or has received work
	// for; sorted holds the same servers ordered by name.
	servers map[model.ServerName]*server
	sorted  []*server
	tasks   map[attemptKey]*task
	streams map[event.Stream]*stream
	// deadlines holds the queued tasks, earliest deadline first.
	deadlines deadlineHeap
	// releasing holds the timers of slots that are not free yet, earliest
	// first.
	releasing []slotTimer
	// pausedServers holds the servers that get no new work for a while after
	// failures.
	pausedServers []*server
	// pollAt is when the next status read is due. refreshAt is when the state
	// of the other reducers is read again: controls expire by the wall clock
	// and leases end without an event.
	pollAt    model.Time
	refreshAt model.Time
	// sequence numbers the reports; it never restarts within an incarnation.
	sequence uint64
}

// attemptKey identifies an attempt across all entry daemons.
type attemptKey struct {
	from    model.MemberRef
	attempt model.AttemptID
}

// stream is an Execute stream with attempts that have no result yet; open is
// their number.
type stream struct {
	id    event.Stream
	tasks []*task
	open  int
	// abandoned means that nobody reads the results any more.
	abandoned bool
}

// slotTimer says when a releasing slot becomes free. If held is set, it says
// instead when a server with held slots is next checked for a response.
type slotTimer struct {
	at     model.Time
	server *server
	held   bool
}

// New returns a state without servers; Refresh adds them.
func New(c *Config) *State {
	releaseDelay := c.ReleaseDelay
	if releaseDelay == 0 {
		releaseDelay = defaultReleaseDelay
	}
	return &State{
		view:         c.View,
		releaseDelay: releaseDelay,
		servers:      make(map[model.ServerName]*server),
		tasks:        make(map[attemptKey]*task),
		streams:      make(map[event.Stream]*stream),
		pollAt:       model.Never,

		refreshAt: model.Never,
	}
}

// NextWake returns the time of the next Tick.
func (s *State) NextWake() model.Time {
	wake := min(s.pollAt, s.refreshAt)
	if t := s.deadlines.first(); t != nil {
		wake = min(wake, t.sub.Deadline)
	}
	if len(s.releasing) > 0 {
		wake = min(wake, s.releasing[0].at)
	}
	for _, v := range s.pausedServers {
		wake = min(wake, v.pausedUntil)
	}
	return wake
}

// Reports returns the reports on the servers that this daemon owns, ordered by
// name.
func (s *State) Reports() []model.ServerReport {
	reports := make([]model.ServerReport, 0, len(s.sorted))
	for _, v := range s.sorted {
		if v.owned {
			reports = append(reports, v.report)
		}
	}
	return reports
}

// InFlight returns how many of the server's slots are taken by work of this
// daemon, including calls that were canceled but may still run.
func (s *State) InFlight(name model.ServerName) int {
	v, ok := s.servers[name]
	if !ok {
		return 0
	}
	return v.slotsInUse()
}

// Running returns the number of queued or running sub-requests.
func (s *State) Running() int { return len(s.tasks) }
