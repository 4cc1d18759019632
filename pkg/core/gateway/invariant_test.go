package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// stateMachine applies random events to a reducer and checks the effects of each.
type stateMachine struct {
	s   *State
	now model.Time
	// version is that of the configuration in use.
	version   uint64
	lastQuery QueryID
	queries   map[QueryID]*requestRecord
	open      map[CallID]SendCall
	begun     map[CallID]bool
	outcomes  map[CallID]Outcome
	queryOf   map[CallID]QueryID
	servers   map[string]Server
	evacuated map[string]bool
	// firstCalls and extraCalls count the attempts at each service: the first of each
	// part of a request, and those beyond it.
	firstCalls, extraCalls map[string]int
}

// requestRecord is what has happened to a request.
type requestRecord struct {
	route *Route
	// countedCalls is the number of attempts at each service, without those that ended
	// unsent.
	countedCalls map[string]int
	mayHaveRun   bool
	// begunCalls counts the open attempts of which bytes may have been sent,
	// unsentCalls the other open attempts.
	begunCalls, unsentCalls int
	answer                  Effect
	abandoned               bool
}

var invariantRoutes = func() map[string]*Route {
	unsafe := plainRoute("/u/", "s0")
	unsafe.Idempotent = false
	split := plainRoute("/t/", "")
	split.Targets = []Target{{"s0", 1}, {"s1", 2}}
	split.MaxAttempts = 3
	return map[string]*Route{
		"/r/": plainRoute("/r/", "s0"), "/u/": unsafe, "/t/": split,
		"/a/": shardedRoute("/a/", 0.7, "s0", "s1", "s2"),
	}
}()

func newStateMachine() *stateMachine {
	return &stateMachine{
		s: New(Options{
			Self:     DaemonEntry{Name: "d1", Incarnation: 1, PeerAddress: "d1:70", CallerAddress: "d1:80", FailureDomain: "a"},
			RegionOf: map[string]string{"a": "north", "b": "north"}, RetryRatio: 0.2, RetrySlack: 20, MaxSilence: time.Second, Seed: 7,
		}),
		now: 1, queries: map[QueryID]*requestRecord{}, open: map[CallID]SendCall{}, begun: map[CallID]bool{}, outcomes: map[CallID]Outcome{},
		queryOf: map[CallID]QueryID{}, servers: map[string]Server{}, evacuated: map[string]bool{},
		firstCalls: map[string]int{}, extraCalls: map[string]int{},
	}
}

func (m *stateMachine) step(t *rapid.T, e Event) {
	for _, effect := range m.s.Step(m.now, e) {
		m.checkEffect(t, effect)
	}
}

func (m *stateMachine) checkEffect(t *rapid.T, effect Effect) {
	switch e := effect.(type) {
	case SendCall:
		m.checkSend(t, e)
	case ForwardAnswer:
		m.answer(t, e.Query, e)
		if m.queryOf[e.Call] != e.Query {
			t.Fatalf("request %d gets the answer of a call of request %d", e.Query, m.queryOf[e.Call])
		}
	case MergeAnswer:
		m.checkMerge(t, e)
	case Refuse:
		m.answer(t, e.Query, e)
		q := m.queries[e.Query]
		if e.Reason.NotRun() && (q.mayHaveRun || q.begunCalls > 0) {
			t.Fatalf("request %d is refused as %v and may have run", e.Query, e.Reason)
		}
	}
}

func (m *stateMachine) checkSend(t *rapid.T, e SendCall) {
	q := m.queries[e.Query]
	srv, ok := m.servers[e.Server]
	switch {
	case q.answer != nil || q.abandoned:
		t.Fatalf("request %d has ended and is sent to %s", e.Query, e.Server)
	case !ok || srv.Draining || m.evacuated[srv.FailureDomain]:
		t.Fatalf("sent to %s, which must get no work", e.Server)
	case e.Deadline <= m.now:
		t.Fatalf("sent to %s with %v left", e.Server, e.Deadline.Sub(m.now))
	case !q.route.Idempotent && (q.mayHaveRun || q.begunCalls+q.unsentCalls > 0):
		t.Fatalf("request %d is not idempotent and is sent again", e.Query)
	}
	if q.countedCalls[srv.Service] == 0 {
		m.firstCalls[srv.Service]++
	} else {
		m.extraCalls[srv.Service]++
	}
	q.countedCalls[srv.Service]++
	q.unsentCalls++
	if q.countedCalls[srv.Service] > q.route.MaxAttempts {
		t.Fatalf("request %d: %d attempts at service %s, allowed %d", e.Query, q.countedCalls[srv.Service], srv.Service, q.route.MaxAttempts)
	}
	if got, limit := float64(m.extraCalls[srv.Service]), 0.2*float64(m.firstCalls[srv.Service])+20; got > limit {
		t.Fatalf("service %s: %v attempts beyond %d first ones", srv.Service, got, m.firstCalls[srv.Service])
	}
	m.open[e.Call] = e
	m.queryOf[e.Call] = e.Query
}

func (m *stateMachine) checkMerge(t *rapid.T, e MergeAnswer) {
	m.answer(t, e.Query, e)
	q := m.queries[e.Query]
	if len(e.Calls)+e.Missing != len(q.route.Shards) || float64(len(e.Calls)) < q.route.MinShardRatio*float64(len(q.route.Shards)) {
		t.Fatalf("merged answer with %d parts, %d missing", len(e.Calls), e.Missing)
	}
	for i, c := range e.Calls {
		if m.queryOf[c] != e.Query || m.outcomes[c] != OutcomeSucceeded || slices.Contains(e.Calls[:i], c) {
			t.Fatalf("call %d in the answer of request %d is not a succeeded call of that request, or is there twice", c, e.Query)
		}
	}
}

func (m *stateMachine) answer(t *rapid.T, id QueryID, e Effect) {
	q := m.queries[id]
	if q.answer != nil || q.abandoned {
		t.Fatalf("request %d gets a second answer %+v after %+v", id, e, q.answer)
	}
	q.answer = e
}

func (m *stateMachine) configure(t *rapid.T) {
	m.version += uint64(rapid.IntRange(1, 3).Draw(t, "step"))
	c := &Config{Version: m.version, Services: map[string]ServiceConfig{}}
	for _, r := range invariantRoutes {
		c.Routes = append(c.Routes, r)
	}
	for _, name := range numberedNames("s", 3) {
		c.Services[name] = ServiceConfig{MaxConnections: rapid.IntRange(0, 6).Draw(t, "connections"), WarmUp: time.Second, WarmUpPerSecond: float64(rapid.IntRange(0, 5).Draw(t, "warm"))}
	}
	m.step(t, ConfigSeen{Config: c})
}

func (m *stateMachine) changeServer(t *rapid.T) {
	i := rapid.IntRange(0, 8).Draw(t, "leaf")
	srv := Server{
		ID: fmt.Sprintf("i%d", i), Service: numberedNames("s", 3)[i%3], Address: "10.1.0.1:80", FailureDomain: []string{"a", "b"}[i%2], Slots: 2,
		Draining: rapid.IntRange(0, 4).Draw(t, "draining") == 0,
	}
	if rapid.Bool().Draw(t, "cold") {
		srv.WarmUpLeft = time.Second
	}
	m.servers[srv.ID] = srv
	m.step(t, ServerChanged{Server: srv})
}

func (m *stateMachine) sendRequest(t *rapid.T) {
	path := rapid.SampledFrom([]string{"/r/", "/u/", "/t/", "/a/", "/none/"}).Draw(t, "path")
	m.lastQuery++
	m.queries[m.lastQuery] = &requestRecord{route: invariantRoutes[path], countedCalls: map[string]int{}}
	m.step(t, RequestArrived{Query: m.lastQuery, Host: "h", Path: path, CallerTimeout: time.Duration(rapid.IntRange(20, 900).Draw(t, "wait")) * time.Millisecond})
}

func (m *stateMachine) finishCall(t *rapid.T) {
	if len(m.open) == 0 {
		t.Skip("no call is open")
	}
	id := m.drawOpenCall(t)
	if !m.begun[id] && rapid.Bool().Draw(t, "begins") {
		m.beginCall(t, id)
	}
	outcomes := []Outcome{OutcomeNotSent, OutcomeCancelled}
	if m.begun[id] {
		outcomes = []Outcome{
			OutcomeSucceeded, OutcomeSucceeded, OutcomeSucceeded, OutcomeNotExecuted, OutcomeWrongServer, OutcomeFailed, OutcomeLost, OutcomeCancelled,
		}
	}
	o := rapid.SampledFrom(outcomes).Draw(t, "outcome")
	c := m.open[id]
	delete(m.open, id)
	m.outcomes[id] = o
	q := m.queries[c.Query]
	if m.begun[id] {
		q.begunCalls--
	} else {
		q.unsentCalls--
	}
	switch o {
	case OutcomeNotSent:
		q.countedCalls[m.servers[c.Server].Service]--
		m.extraCalls[m.servers[c.Server].Service]--
	case OutcomeCancelled:
		q.mayHaveRun = q.mayHaveRun || m.begun[id]
	case OutcomeSucceeded, OutcomeFailed, OutcomeLost:
		q.mayHaveRun = true
	case OutcomeWrongServer:
		srv := m.servers[c.Server]
		srv.Draining = true
		m.servers[c.Server] = srv
	}
	m.step(t, CallDone{Call: id, Outcome: o})
}

// drawOpenCall picks one of the open attempts.
func (m *stateMachine) drawOpenCall(t *rapid.T) CallID {
	ids := make([]CallID, 0, len(m.open))
	for id := range m.open {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "call")
}

// beginCall sends an attempt if the reducer allows it.
func (m *stateMachine) beginCall(t *rapid.T, id CallID) {
	q := m.queries[m.queryOf[id]]
	left := m.s.BeginCall(m.now, id)
	if left <= 0 {
		return
	}
	if q.answer != nil || q.abandoned || m.now.Add(left) > m.open[id].Deadline {
		t.Fatalf("request %d is sent with %v left: final answer %v, abandoned %v", m.queryOf[id], left, q.answer, q.abandoned)
	}
	if refused, ok := q.answer.(Refuse); ok && refused.Reason.NotRun() {
		t.Fatalf("request %d was refused as %v and is sent", m.queryOf[id], refused.Reason)
	}
	m.begun[id] = true
	q.unsentCalls--
	q.begunCalls++
}

func (m *stateMachine) beginAnyCall(t *rapid.T) {
	if len(m.open) == 0 {
		t.Skip("no call is open")
	}
	if id := m.drawOpenCall(t); !m.begun[id] {
		m.beginCall(t, id)
	}
}

func (m *stateMachine) callerGone(t *rapid.T) {
	if m.lastQuery == 0 {
		t.Skip("no request yet")
	}
	id := QueryID(rapid.IntRange(1, int(m.lastQuery)).Draw(t, "request"))
	if m.queries[id].answer == nil {
		m.queries[id].abandoned = true
	}
	m.step(t, CallerGone{Query: id})
}

func (m *stateMachine) evacuate(t *rapid.T) {
	m.evacuated = map[string]bool{}
	e := EvacuationsListed{}
	for _, d := range []string{"a", "b"} {
		if rapid.IntRange(0, 3).Draw(t, "evacuated") == 0 {
			m.evacuated[d] = true
			e.FailureDomains = append(e.FailureDomains, d)
		}
	}
	m.step(t, e)
}

func (m *stateMachine) advance(t *rapid.T) {
	end := m.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
	for m.s.NextWake() < end {
		m.now = max(m.now+1, m.s.NextWake())
		m.step(t, Tick{})
	}
	m.now = max(m.now, end)
	m.step(t, Tick{})
}

// Guards against any order of events in which a request is answered twice or never,
// runs too often, is refused as not run although it may have run, or is sent to a leaf
// that must not get it.
func TestInvariantsHoldForRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine()
		m.configure(t)
		for range 4 {
			m.changeServer(t)
		}
		t.Repeat(map[string]func(*rapid.T){
			"request": m.sendRequest, "request2": m.sendRequest, "callDone": m.finishCall, "callDone2": m.finishCall, "callDone3": m.finishCall,
			"begin": m.beginAnyCall, "begin2": m.beginAnyCall, "pass": m.advance, "server": m.changeServer, "configure": m.configure, "evacuate": m.evacuate, "callerGone": m.callerGone,
		})
		// All requests must be answered by their deadline.
		m.now = m.now.Add(2 * time.Second)
		m.step(t, Tick{})
		if n := m.s.OpenQueries(); n != 0 {
			t.Fatalf("%d requests are still open after their deadline", n)
		}
		for id, q := range m.queries {
			if q.answer == nil && !q.abandoned {
				t.Fatalf("request %d got no answer", id)
			}
		}
	})
}
