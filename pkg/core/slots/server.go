package slots

import (
	"math"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// unusableFailures in a row make a server unusable in reports.
	unusableFailures = 3
	// Pauses after unusableFailures or more failures in a row, doubling from
	// minPause to maxPause. A server that fails at once would otherwise draw
	// hundreds of requests a second to itself.
	minPause = 20 * time.Millisecond
	maxPause = 500 * time.Millisecond
	// drainHold is how long a server that refused work as draining gets none,
	// whatever its lagging status says. It doubles up to maxDrainHold when the
	// status turns out to have been wrong.
	drainHold    = 5 * time.Second
	maxDrainHold = time.Minute
)

// server is what this daemon knows of one backend server. It outlives the
// ownership, since work may still run and the ramp is worth keeping.
type server struct {
	name    model.ServerName
	def     *model.BackendServer
	service *model.Service
	owned   bool
	// removed means that the bundle no longer has the server; def is the last
	// definition then.
	removed bool
	queue   queue
	// running are calls without an answer. The others are slots of stopped calls
	// that the server may not have noticed yet: settling ones are free after a
	// time, held ones when the server has ended the call.
	running  int
	settling int
	held     int
	// watched means that a look for a sign of life is due because of held slots.
	watched bool

	ramp     ramp
	adaptive adaptive
	latency  latency
	// cold is what the server said of itself in its last answer.
	cold       bool
	statusCold bool
	// lastAnswer is the time of the last answer to a call; known is whether
	// there was one.
	lastAnswer model.Time
	known      bool
	// lastSign is the time of the last answer to a call or a status read, and
	// silentSince when a call was cut off first after it, 0 if none was.
	lastSign    model.Time
	silentSince model.Time

	gate     gate
	failures int
	// pausedUntil is 0 unless the server is paused after failures.
	pausedUntil model.Time

	poll    poll
	report  model.ServerReport
	serves  []model.Serving
	gone    []goneVersion
	refused refusalCounts
	shed    int
}

// gate decides whether a server gets new work.
type gate struct {
	// byOperator is a take-out or drain, byServer the server's own word.
	byOperator bool
	byServer   bool
	// held is the time until which the status cannot reopen the gate, and hold
	// the length of the last such time.
	held model.Time
	hold time.Duration
}

func (g *gate) closed() bool { return g.byOperator || g.byServer }

// refusedWork closes the gate after the server refused work as draining. It
// reports whether that is news.
func (g *gate) refusedWork(now model.Time) bool {
	news := !g.byServer
	if news {
		g.hold = min(max(2*g.hold, drainHold), maxDrainHold)
	}
	g.byServer = true
	g.held = now.Add(g.hold)
	return news
}

// poll is the state of the status reads of a server.
type poll struct {
	pending bool
	sentAt  model.Time
	next    model.Time
}

// goneVersion is an index version that the server said it no longer has,
// against a lagging status that still lists it.
type goneVersion struct {
	layout  model.LayoutName
	shard   model.ShardName
	version uint64
	until   model.Time
}

// refusalCounts counts refusals by outcome since the last log line.
type refusalCounts [model.OutcomeUnreachable + 1]int

// taken returns the slots that this daemon's work takes.
func (v *server) taken() int { return v.running + v.settling + v.held }

// limit returns how many sub-requests this daemon may run at once.
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

// free reports whether another call may start now.
func (v *server) free(limit int) bool { return v.pausedUntil == 0 && v.taken() < limit }

func (v *server) queueLimit() int {
	if v.service == nil || v.service.Policy.QueueLimit <= 0 {
		return defaultQueueLimit
	}
	return v.service.Policy.QueueLimit
}

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
func (v *server) usable() bool { return v.owned && !v.gate.closed() && v.failures < unusableFailures }

// tooLate reports whether work that waits for the given number of others
// would miss the deadline. For an idle server only the deadline itself counts:
// its estimate could be out of date, and only running work corrects it.
func (v *server) tooLate(now, deadline model.Time, ahead int, limit int, idle bool) bool {
	if now >= deadline {
		return true
	}
	if idle {
		return false
	}
	service := v.latency.service()
	return now.Add(service+waitTime(service, ahead, limit)) > deadline
}

// waitTime estimates how long work waits for the given number of others.
func waitTime(service time.Duration, ahead, limit int) time.Duration {
	return time.Duration(float64(service) * float64(ahead) / float64(max(1, limit)))
}
