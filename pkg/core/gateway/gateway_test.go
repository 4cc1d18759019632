package gateway

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"
)

// Guards against a request that goes to the wrong service: the longest matching prefix
// of the host wins, and the query string and the port are ignored.
func TestRouteMatchUsesLongestPrefix(t *testing.T) {
	c := &Config{Routes: []*Route{plainRoute("/a/", "1"), plainRoute("/a/b/", "2"), {Name: "x", Host: "Other", PathPrefix: "/"}}}
	c.index()
	for _, x := range []struct{ host, path, want string }{
		{"h", "/a/b/c", "/a/b/"}, {"H:8080", "/a/bc", "/a/"}, {"h", "/a", ""}, {"h", "/x?y=/a/", ""},
		{"other", "/anything", "x"}, {"none", "/a/", ""}, {"h", "/a/?/a/b/", "/a/"},
	} {
		got := ""
		if r := c.Match(x.host, x.path); r != nil {
			got = r.Name
		}
		if got != x.want {
			t.Errorf("%s%s: route %q, want %q", x.host, x.path, got, x.want)
		}
	}
}

// Guards against a traffic split whose shares drift from the weights.
func TestTrafficSplitKeepsWeights(t *testing.T) {
	h := newHarness(t)
	r := plainRoute("/s/", "")
	r.Targets = []Target{{"x", 3}, {"y", 1}}
	h.configure(1, nil, r)
	h.listLeafs(2, "x", "y")
	count := map[string]int{}
	for range 40 {
		q := h.request("/s/", time.Second)
		c := h.calls(q)[0]
		count[c.Server[:1]]++
		h.finishCall(c, OutcomeSucceeded)
	}
	if count["x"] != 30 || count["y"] != 10 {
		t.Errorf("shares %v, want 30 and 10", count)
	}
}

// Guards against an older configuration that replaces a newer one, and against requests
// that are served before any configuration is known.
func TestConfigNeverReverts(t *testing.T) {
	h := newHarness(t)
	if q := h.request("/r/", time.Second); h.answers[q].(Refuse).Reason != RefusalNoConfig {
		t.Errorf("final answer without a configuration: %+v", h.answers[q])
	}
	h.listLeafs(1, "old", "new")
	h.configure(5, nil, plainRoute("/r/", "new"))
	h.configure(4, nil, plainRoute("/r/", "old"))
	h.configure(5, nil, plainRoute("/r/", "old"))
	q := h.request("/r/", time.Second)
	if c := h.calls(q); len(c) != 1 || c[0].Server != "new-0" {
		t.Errorf("attempts %+v, want one at new-0", c)
	}
	if h.s.Version() != 5 || h.countLogs(LogConfigIgnored) != 1 {
		t.Errorf("version %d and %d ignored configurations, want 5 and 1", h.s.Version(), h.countLogs(LogConfigIgnored))
	}
}

// Guards against a request that is not idempotent and runs twice, and against a refusal
// that promises "not run" for a request that may have run.
func TestNonIdempotentRequestRunsOnce(t *testing.T) {
	r := plainRoute("/u/", "x")
	r.Idempotent, r.MaxAttempts = false, 3
	for _, x := range []struct {
		first Outcome
		calls int
		want  Refusal
	}{
		{OutcomeNotSent, 2, RefusalOverload}, {OutcomeNotExecuted, 2, RefusalOverload},
		{OutcomeWrongServer, 2, RefusalOverload}, {OutcomeLost, 1, RefusalFailed},
	} {
		h := newHarness(t)
		h.configure(1, nil, r)
		h.listLeafs(2, "x")
		q := h.request("/u/", time.Second)
		h.advance(300 * time.Millisecond)
		h.finishCall(h.calls(q)[0], x.first)
		for len(h.calls(q)) > 0 {
			h.finishCall(h.calls(q)[0], OutcomeNotExecuted)
		}
		if len(h.sent) < x.calls || (x.calls == 1 && len(h.sent) > 1) {
			t.Errorf("%v: %d attempts, want %d", x.first, len(h.sent), x.calls)
		}
		got, ok := h.answers[q].(Refuse)
		if !ok || got.Reason != x.want {
			t.Errorf("%v: final answer %+v, want %v", x.first, h.answers[q], x.want)
		}
	}
}

// Guards against a daemon that replaces a leaf's failure by an answer of its own.
func TestLeafFailureIsForwarded(t *testing.T) {
	h := newHarness(t)
	r := plainRoute("/u/", "x")
	r.Idempotent = false
	h.configure(1, nil, r)
	h.listLeafs(2, "x")
	q := h.request("/u/", time.Second)
	c := h.calls(q)[0]
	h.finishCall(c, OutcomeFailed)
	if got := h.answers[q]; got != (ForwardAnswer{Query: q, Call: c.Call}) {
		t.Errorf("final answer %+v, want the leaf's", got)
	}
}

// Guards against more attempts than MaxAttempts, and against a shard that is asked
// twice at the same leaf while another is free.
func TestHedgeUsesOtherLeafOnce(t *testing.T) {
	h := newHarness(t)
	h.configure(1, nil, shardedRoute("/all/", 0.5, "x", "y"))
	h.listLeafs(2, "x", "y")
	q := h.request("/all/", time.Second)
	first := h.calls(q)
	h.finishCall(first[1], OutcomeSucceeded)
	h.advance(100 * time.Millisecond)
	all := h.calls(q)
	if len(all) != 2 || all[0].Server == all[1].Server {
		t.Fatalf("open attempts after the hedge delay: %+v", all)
	}
	h.advance(50 * time.Millisecond)
	if len(h.sent) != 3 {
		t.Errorf("%d attempts in all, want 3", len(h.sent))
	}
	h.finishCall(all[1], OutcomeSucceeded)
	got, ok := h.answers[q].(MergeAnswer)
	if !ok || got.Missing != 0 || len(got.Calls) != 2 {
		t.Errorf("final answer %+v, want one of both shards", h.answers[q])
	}
}

// Guards against a query that waits for a shard past the latency target although enough
// shards have answered, and against an answer with too few of them.
func TestPartialAnswerAtLatencyTarget(t *testing.T) {
	shards := numberedNames("s", 10)
	for _, x := range []struct {
		silent  int
		partial bool
	}{{1, true}, {2, false}} {
		h := newHarness(t)
		h.configure(1, nil, shardedRoute("/all/", 0.89, shards...))
		h.listLeafs(1, shards...)
		q := h.request("/all/", time.Second)
		for _, c := range h.calls(q)[x.silent:] {
			h.finishCall(c, OutcomeSucceeded)
		}
		h.advance(195 * time.Millisecond)
		got, ok := h.answers[q].(MergeAnswer)
		if ok != x.partial || (ok && got.Missing != x.silent) {
			t.Errorf("%d silent shards: answer %+v at the latency target", x.silent, h.answers[q])
		}
		if !ok {
			h.finishCall(h.calls(q)[0], OutcomeSucceeded)
			if got, ok := h.answers[q].(MergeAnswer); !ok || got.Missing != 1 {
				t.Errorf("answer %+v when enough shards have answered", h.answers[q])
			}
		}
	}
}

// Guards against a final answer after the route's timeout or the caller's deadline.
func TestFinalAnswerByDeadline(t *testing.T) {
	for _, wait := range []time.Duration{300 * time.Millisecond, 5 * time.Second} {
		h := newHarness(t)
		h.configure(1, nil, plainRoute("/r/", "x"))
		h.listLeafs(2, "x")
		q := h.request("/r/", wait)
		h.advance(min(wait, 2*time.Second))
		if got, ok := h.answers[q].(Refuse); !ok || got.Reason != RefusalDeadline {
			t.Errorf("wait %v: final answer %+v, want a refusal at the deadline", wait, h.answers[q])
		}
	}
}

// Guards against a request that is refused as not run and sent afterwards, and against
// a refusal of a request that was never sent but is said to have possibly run.
func TestNothingSentAfterNotRunRefusal(t *testing.T) {
	h := newHarness(t)
	r := plainRoute("/u/", "x")
	r.Idempotent = false
	h.configure(1, nil, r)
	h.listLeafs(2, "x")
	h.holdCalls = true
	q := h.request("/u/", 300*time.Millisecond)
	h.advance(300 * time.Millisecond)
	got, ok := h.answers[q].(Refuse)
	if !ok || !got.Reason.NotRun() {
		t.Errorf("final answer %+v, want a refusal as not run", h.answers[q])
	}
	if h.s.BeginCall(h.now, h.sent[0].Call) > 0 {
		t.Error("the attempt may be sent after the refusal")
	}
}

// Guards against hedges and retries beyond the ratio of requests and the slack that all
// daemons divide among themselves.
func TestRetryBudgetSharedByDaemons(t *testing.T) {
	const daemons, requests = 4, 300
	var entries []DaemonEntry
	for _, name := range numberedNames("e", daemons-1) {
		entries = append(entries, DaemonEntry{Name: name, PeerAddress: "10.0.0.2:70"})
	}
	h := newHarnessWith(t, Options{RetryRatio: 0.2, RetrySlack: 40})
	h.configure(1, nil, plainRoute("/r/", "x"))
	h.listLeafs(4, "x")
	h.step(DaemonsListed{Daemons: entries})
	for range requests {
		q := h.request("/r/", time.Second)
		for len(h.calls(q)) > 0 {
			h.finishCall(h.calls(q)[0], OutcomeFailed)
		}
		h.advance(time.Millisecond)
	}
	extra := len(h.sent) - requests
	if limit := int(0.2*requests + 40.0/daemons); extra > limit {
		t.Errorf("%d attempts beyond the first, this daemon may send %d", extra, limit)
	}
	if extra < int(0.15*requests) {
		t.Errorf("only %d attempts beyond the first", extra)
	}
}

// Guards against work that continues after its caller has disconnected.
func TestCallsCancelledWhenCallerLeaves(t *testing.T) {
	h := newHarness(t)
	h.configure(1, nil, shardedRoute("/all/", 0.5, "x", "y"))
	h.listLeafs(2, "x", "y")
	q := h.request("/all/", time.Second)
	h.step(CallerGone{Query: q})
	cancelled := 0
	for _, e := range h.otherEffects {
		if _, ok := e.(CancelCall); ok {
			cancelled++
		}
	}
	if cancelled != 2 {
		t.Errorf("%d of 2 attempts were cancelled", cancelled)
	}
	if h.s.OpenQueries() != 0 || h.answers[q] != nil {
		t.Errorf("%d open requests and final answer %v after the caller has left", h.s.OpenQueries(), h.answers[q])
	}
}

// Guards against attempts that continue at a loaded leaf although their answers are not
// needed, and against connections that are closed too early where that gains nothing.
func TestLosingCallsAreCancelled(t *testing.T) {
	for _, loaded := range []bool{false, true} {
		h := newHarness(t)
		h.configure(1, nil, plainRoute("/r/", "x"))
		h.listLeafs(2, "x")
		q := h.request("/r/", time.Second)
		if loaded {
			for range 12 {
				h.request("/r/", time.Second)
			}
		}
		h.advance(80 * time.Millisecond)
		attempts := h.calls(q)
		if len(attempts) != 2 {
			t.Fatalf("%d open attempts after the hedge delay, want 2", len(attempts))
		}
		h.otherEffects = nil
		h.finishCall(attempts[1], OutcomeSucceeded)
		if got := h.wasCancelled(attempts[0].Call); got != loaded {
			t.Errorf("loaded %v: the losing attempt is cancelled at once: %v", loaded, got)
		}
		h.advance(300 * time.Millisecond)
		if !h.wasCancelled(attempts[0].Call) {
			t.Errorf("loaded %v: the losing attempt is not cancelled after 300 ms", loaded)
		}
	}
}

// Guards against effects that depend on the iteration order of a map: a recorded stream
// of events can be replayed only if the same events give the same effects.
func TestSameEventsGiveSameEffects(t *testing.T) {
	run := func() string {
		h := newHarness(t)
		var out strings.Builder
		post := func(e Event) {
			for _, effect := range h.s.Step(h.now, e) {
				if send, ok := effect.(SendCall); ok {
					h.s.BeginCall(h.now, send.Call)
				}
				text, err := json.Marshal(effect)
				if err != nil {
					t.Fatal(err)
				}
				fmt.Fprintf(&out, "%T %s\n", effect, text)
			}
			h.now += 1000
		}
		services := numberedNames("s", 6)
		post(ConfigSeen{Config: &Config{Version: 1, Routes: []*Route{shardedRoute("/a/", 0.3, services...)}, Services: map[string]ServiceConfig{}}})
		var all []Server
		for i := range 30 {
			all = append(all, Server{ID: fmt.Sprint("i", i), Service: services[i%6], Slots: 2, FailureDomain: []string{"a", "b", "c"}[i%3]})
		}
		post(ServersListed{Servers: all})
		for i := range 20 {
			post(GossipReceived{Daemons: []DaemonEntry{peerEntry(fmt.Sprint("d", i%5), uint64(i), DaemonReady)}})
			post(RequestArrived{Query: QueryID(i), Host: "h", Path: "/a/", CallerTimeout: time.Second})
			post(CallDone{Call: CallID(3 * i), Outcome: Outcome(i % 6)})
		}
		post(EvacuationsListed{FailureDomains: []string{"a", "b"}})
		post(EvacuationsListed{})
		post(ServersListed{AfterOutage: true})
		h.now = h.now.Add(3 * time.Second)
		post(Tick{})
		return out.String()
	}
	first := run()
	for range 5 {
		if again := run(); again != first {
			t.Fatalf("effects differ:\n%s\n%s", first, again)
		}
	}
}
