package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// harness drives a reducer and records its effects.
type harness struct {
	t    *testing.T
	s    *State
	now  model.Time
	sent []SendCall
	// unfinished holds the attempts that have not ended.
	unfinished map[CallID]SendCall
	answers    map[QueryID]Effect
	// answeredAt holds the times of the final answers.
	answeredAt   map[QueryID]model.Time
	logs         []Log
	otherEffects []Effect
	lastQuery    QueryID
	// holdCalls leaves attempts unsent until the test calls BeginCall.
	holdCalls bool
	// storeFails is set by a failed StoreReached. Until then the store answers each reading.
	storeFails bool
}

func newHarness(t *testing.T) *harness {
	return newHarnessWith(t, Options{})
}

func newHarnessWith(t *testing.T, o Options) *harness {
	t.Helper()
	if o.Self.Name == "" {
		o.Self = DaemonEntry{Name: "d1", Incarnation: 1, CallerAddress: "10.0.0.1:80", PeerAddress: "10.0.0.1:70", FailureDomain: "a"}
	}
	if o.RegionOf == nil {
		o.RegionOf = map[string]string{"a": "north", "b": "north", "c": "south"}
	}
	if o.RetryRatio == 0 {
		o.RetryRatio, o.RetrySlack = 0.2, 40
	}
	o.MaxSilence = time.Second
	o.Seed = 1
	return &harness{t: t, s: New(o), now: 1, unfinished: map[CallID]SendCall{}, answers: map[QueryID]Effect{}, answeredAt: map[QueryID]model.Time{}}
}

// step applies an event and records its effects.
func (h *harness) step(e Event) {
	h.t.Helper()
	if reached, ok := e.(StoreReached); ok {
		h.storeFails = !reached.OK
	}
	reads := false
	for _, effect := range h.s.Step(h.now, e) {
		switch e := effect.(type) {
		case SendCall:
			h.sent = append(h.sent, e)
			h.unfinished[e.Call] = e
			if !h.holdCalls && h.s.BeginCall(h.now, e.Call) <= 0 {
				h.t.Fatalf("attempt %d may not be sent", e.Call)
			}
		case ForwardAnswer:
			h.recordAnswer(e.Query, e)
		case MergeAnswer:
			h.recordAnswer(e.Query, e)
		case Refuse:
			h.recordAnswer(e.Query, e)
		case Log:
			h.logs = append(h.logs, e)
		case WatchStore:
			h.otherEffects, reads = append(h.otherEffects, e), reads || e.On
		case ReadStore:
			h.otherEffects, reads = append(h.otherEffects, e), true
		default:
			h.otherEffects = append(h.otherEffects, e)
		}
	}
	if reads && !h.storeFails {
		h.step(StoreRead{})
	}
}

func (h *harness) recordAnswer(id QueryID, e Effect) {
	h.t.Helper()
	if old, ok := h.answers[id]; ok {
		h.t.Fatalf("request %d was answered twice: %+v and %+v", id, old, e)
	}
	h.answers[id] = e
	h.answeredAt[id] = h.now
}

// advance lets time pass, with all ticks that the reducer asks for.
func (h *harness) advance(d time.Duration) {
	h.t.Helper()
	end := h.now.Add(d)
	for h.s.NextWake() < end {
		h.now = max(h.now, h.s.NextWake())
		h.step(Tick{})
		if h.s.NextWake() <= h.now {
			h.now++
		}
	}
	h.now = end
	h.step(Tick{})
}

func (h *harness) configure(version uint64, services map[string]ServiceConfig, routes ...*Route) {
	h.t.Helper()
	h.step(ConfigSeen{Config: &Config{Version: version, Routes: routes, Services: services}, Source: ViewSource{Call: "test"}})
}

// listLeafs announces count leafs of each service, alternately in failure domains a and
// b.
func (h *harness) listLeafs(count int, services ...string) {
	h.t.Helper()
	var all []Server
	for _, service := range services {
		for i := range count {
			all = append(all, Server{
				ID: fmt.Sprintf("%s-%d", service, i), Service: service, Address: "10.1.0.1:80",
				FailureDomain: []string{"a", "b"}[i%2], Slots: 4,
			})
		}
	}
	h.step(ServersListed{Servers: all})
}

func (h *harness) request(path string, wait time.Duration) QueryID {
	h.t.Helper()
	h.lastQuery++
	h.step(RequestArrived{At: h.now, Query: h.lastQuery, RequestID: fmt.Sprintf("q%d", h.lastQuery), Host: "h", Path: path, CallerTimeout: wait})
	return h.lastQuery
}

// calls returns the open attempts of a request in the order of their start.
func (h *harness) calls(q QueryID) []SendCall {
	var out []SendCall
	for _, c := range h.sent {
		if _, ok := h.unfinished[c.Call]; ok && c.Query == q {
			out = append(out, c)
		}
	}
	return out
}

func (h *harness) finishCall(c SendCall, o Outcome) {
	h.t.Helper()
	delete(h.unfinished, c.Call)
	h.step(CallDone{Call: c.Call, Outcome: o})
}

func (h *harness) countLogs(kind LogKind) int {
	n := 0
	for _, l := range h.logs {
		if l.Kind == kind {
			n++
		}
	}
	return n
}

func plainRoute(prefix, service string) *Route {
	return &Route{
		Name: prefix, Host: "h", PathPrefix: prefix, Idempotent: true, Timeout: 2 * time.Second,
		LatencyTarget: 200 * time.Millisecond, MaxAttempts: 2, Targets: []Target{{service, 1}},
	}
}

func shardedRoute(prefix string, ratio float64, services ...string) *Route {
	r := plainRoute(prefix, "")
	r.Targets, r.Shards, r.TopK, r.MinShardRatio = nil, services, 5, ratio
	return r
}

func numberedNames(prefix string, n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("%s%d", prefix, i))
	}
	return out
}

func contains(list []string, x string) bool { return slices.Contains(list, x) }

func (h *harness) wasCancelled(id CallID) bool {
	for _, e := range h.otherEffects {
		if c, ok := e.(CancelCall); ok && c.Call == id {
			return true
		}
	}
	return false
}
