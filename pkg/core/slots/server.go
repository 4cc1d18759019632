package slots

import (
	"math"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// unusableFailures is the number of consecutive failures after which a
	// server is reported as unusable.
	unusableFailures = 3
	// A server with unusableFailures or more consecutive failures gets no
	// calls for minPause, doubled with each further failure up to maxPause. A
	// server that fails at once would otherwise attract hundreds of requests
	// per second.
	minPause = 20 * time.Millisecond
	maxPause = 500 * time.Millisecond
	// minDrainHold is how long a server that refused work as draining gets no
	// new work, even if its lagging status says that it is not draining. The
	// time doubles, up to maxDrainHold, each time the server refuses work
	// again without a successful answer in between.
	minDrainHold = 5 * time.Second
	maxDrainHold = time.Minute
)

// server is what this daemon knows of one backend server. It is kept after the
// ownership ends, because calls may still run and the limit that the ramp has
// reached stays useful.
type server struct {
	name    model.ServerName
	def     *model.BackendServer
	service *model.Service
	owned   bool
	// removed means that the bundle no longer has the server; def is then its
	// last definition.
	removed bool
	queue   queue
	// running is the number of calls without an answer. The other two count
	// slots of calls that were cut off and that the server may not have
	// noticed yet: releasing slots become free after a delay, held ones wait
	// for BackendReleased.
	running   int
	releasing int
	held      int
	// heldTimerSet means that State.releasing has a timer for the held slots.
	heldTimerSet bool

	ramp     ramp
	adaptive adaptive
	latency  latency
	// cold is what the server's last answer to a call said, statusCold what
	// its last status said.
	cold       bool
	statusCold bool
	// lastAnswer is the time of the last answer to a call, if hasAnswered.
	lastAnswer  model.Time
	hasAnswered bool
	// lastContact is the time of the last answer to a call or a status read.
	// silentSince is when the first call after it was cut off; 0 if none was.
	lastContact model.Time
	silentSince model.Time

	drain    drainState
	failures int // consecutive
	// pausedUntil is the end of the pause after failures; 0 if the server is
	// not paused.
	pausedUntil model.Time

	poll    poll
	report  model.ServerReport
	serves  []model.Serving
	gone    []goneVersion
	refused refusalCounts
	shed    int
}

// drainState says whether a server gets no new work.
type drainState struct {
	// byOperator means that an operator's take-out or drain applies, byServer
	// that the server itself said that it drains.
	byOperator bool
	byServer   bool
	// holdUntil is the time until which a status cannot end the drain;
	// holdTime is the length of the last such hold.
	holdUntil model.Time
	holdTime  time.Duration
}

func (d *drainState) active() bool { return d.byOperator || d.byServer }

// serverRefused starts or extends the drain after the server refused work as
// draining. It reports whether the server was not known to drain.
func (d *drainState) serverRefused(now model.Time) bool {
	isNew := !d.byServer
	if isNew {
		d.holdTime = min(max(2*d.holdTime, minDrainHold), maxDrainHold)
	}
	d.byServer = true
	d.holdUntil = now.Add(d.holdTime)
	return isNew
}

// poll is the state of a server's status reads.
type poll struct {
	pending bool
	sentAt  model.Time
	next    model.Time
}

// goneVersion is an index version that the server said it no longer has. A
// lagging status that still lists it is ignored until the time until.
type goneVersion struct {
	layout  model.LayoutName
	shard   model.ShardName
	version uint64
	until   model.Time
}

// refusalCounts counts refused tasks by outcome since the last log line.
type refusalCounts [model.OutcomeUnreachable + 1]int

// slotsInUse returns the number of slots that this daemon's work takes.
func (v *server) slotsInUse() int { return v.running + v.releasing + v.held }

// limit returns how many sub-requests this daemon may run at once on the
// server.
func (v *server) limit(daemons int) int {
	switch v.routing() {
	case model.RoutingDirect:
		return math.MaxInt
	case model.RoutingShare:
		return max(1, v.def.Slots/max(1, daemons))
	case model.RoutingAdaptive:
		return min(v.adaptive.value(), max(1, v.def.Slots))
	}
	return min(v.ramp.limit, max(1, v.def.Slots))
}

func (v *server) routing() model.Routing {
	if v.service == nil {
		return model.RoutingOwned
	}
	return v.service.Policy.Routing
}

// needsOwner reports whether only the owner may send to the server.
func (v *server) needsOwner() bool {
	switch v.routing() {
	case model.RoutingDirect, model.RoutingShare, model.RoutingAdaptive:
		return false
	}
	return true
}

// canStart reports whether another call may start now.
func (v *server) canStart(limit int) bool { return v.pausedUntil == 0 && v.slotsInUse() < limit }

func (v *server) queueLimit() int {
	if v.service == nil || v.service.Policy.QueueLimit <= 0 {
		return defaultQueueLimit
	}
	return v.service.Policy.QueueLimit
}

// share returns the caller's configured share, 0 if it has none.
func (v *server) share(caller model.CallerName) float64 {
	if v.service == nil {
		return 0
	}
	c, ok := v.service.Caller(caller)
	if !ok {
		return 0
	}
	return c.Share
}

// usable reports whether entry daemons should choose the server.
func (v *server) usable() bool { return v.owned && !v.drain.active() && v.failures < unusableFailures }

// missesDeadline reports whether work with ahead other tasks in front of it
// would miss the deadline. For an idle server only the deadline itself counts:
// its estimated service time may be out of date, and only running work
// corrects it.
func (v *server) missesDeadline(now, deadline model.Time, ahead int, limit int, idle bool) bool {
	if now >= deadline {
		return true
	}
	if idle {
		return false
	}
	serviceTime := v.latency.serviceTime()
	return now.Add(serviceTime+waitTime(serviceTime, ahead, limit)) > deadline
}

// waitTime estimates how long work waits for the tasks ahead of it.
func waitTime(serviceTime time.Duration, ahead, limit int) time.Duration {
	return time.Duration(float64(serviceTime) * float64(ahead) / float64(max(1, limit)))
}
