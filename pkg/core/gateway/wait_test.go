package gateway

import (
	"testing"
	"time"
)

// lastReport returns the report of the last request that ended.
func (h *harness) lastReport() *QueryReport {
	h.t.Helper()
	for i := len(h.logs) - 1; i >= 0; i-- {
		if h.logs[i].Query != nil {
			return h.logs[i].Query
		}
	}
	h.t.Fatal("no request has ended")
	return nil
}

// oneLeafQuery starts a request over one shard with one leaf of four slots.
func oneLeafQuery(h *harness) SendCall {
	h.t.Helper()
	r := shardedRoute("/a/", 1, "x")
	r.MaxAttempts = 1
	h.configure(1, nil, r)
	h.listLeafs(1, "x")
	return h.calls(h.request("/a/", 2*time.Second))[0]
}

// Guards against log lines that blame the wrong part of the path for a late or missing
// answer: operators would look for the fault in the wrong place.
func TestWaitCauses(t *testing.T) {
	late := 300 * time.Millisecond
	for want, play := range map[WaitCause]func(h *harness){
		WaitSlowLeaf: func(h *harness) {
			c := oneLeafQuery(h)
			h.advance(late)
			h.finishCall(c, OutcomeSucceeded)
		},
		WaitLeafQueue: func(h *harness) {
			first := oneLeafQuery(h)
			h.s.servers["x-0"].othersLoad, h.s.servers["x-0"].othersLoadAt = 8, h.now
			q := h.request("/a/", 2*time.Second)
			h.finishCall(first, OutcomeSucceeded)
			h.advance(late)
			h.finishCall(h.calls(q)[0], OutcomeSucceeded)
		},
		WaitConnection: func(h *harness) {
			h.holdCalls = true
			c := oneLeafQuery(h)
			h.advance(late)
			h.s.BeginCall(h.now, c.Call)
			h.finishCall(c, OutcomeSucceeded)
		},
		WaitConnectionShare: func(h *harness) {
			h.configure(1, map[string]ServiceConfig{"x": {MaxConnections: 1}}, shardedRoute("/a/", 1, "x"))
			h.listLeafs(1, "x")
			first := h.request("/a/", 2*time.Second)
			second := h.request("/a/", 2*time.Second)
			h.advance(late)
			h.finishCall(h.calls(first)[0], OutcomeSucceeded)
			h.finishCall(h.calls(second)[0], OutcomeSucceeded)
		},
		WaitColdLeaf: func(h *harness) {
			h.configure(1, map[string]ServiceConfig{"x": {WarmUpPerSecond: 0.1}}, shardedRoute("/a/", 1, "x"))
			h.step(ServersListed{Servers: []Server{{ID: "x-0", Service: "x", Address: "10.1.0.1:80", Slots: 4, WarmUpLeft: time.Minute}}})
			h.request("/a/", late)
			h.advance(late)
		},
		WaitFailedAttempt: func(h *harness) {
			c := oneLeafQuery(h)
			h.advance(late)
			h.finishCall(c, OutcomeLost)
		},
		WaitRetryBudget: func(h *harness) {
			h.configure(1, nil, shardedRoute("/a/", 1, "x"))
			h.listLeafs(2, "x")
			h.s.service("x").retries.tokens = 0
			q := h.request("/a/", 2*time.Second)
			h.s.service("x").retries.tokens = 0
			h.advance(late)
			h.finishCall(h.calls(q)[0], OutcomeSucceeded)
		},
		WaitDaemonLag: func(h *harness) {
			h.configure(1, nil, shardedRoute("/a/", 1, "x"))
			h.listLeafs(1, "x")
			arrived := h.now
			h.advance(late)
			h.step(RequestArrived{At: arrived, MaxUnread: 10 * time.Millisecond, Query: 9, Host: "h", Path: "/a/", CallerTimeout: 2 * time.Second})
			h.advance(time.Millisecond)
			h.finishCall(h.sent[0], OutcomeSucceeded)
		},
		WaitCause(RefusalNoConfig.String()): func(h *harness) { h.request("/a/", time.Second) },
		WaitCause(RefusalNoServer.String()): func(h *harness) {
			h.configure(1, nil, shardedRoute("/a/", 1, "x"))
			h.step(ServersListed{})
			h.request("/a/", time.Second)
		},
	} {
		t.Run(string(want), func(t *testing.T) {
			h := newHarness(t)
			play(h)
			w := h.lastReport().Wait
			if w == nil || w.Cause != want {
				t.Fatalf("waited for %+v, want %s", w, want)
			}
		})
	}
}

// Guards against a report of what was waited for that does not cover the whole time of
// a request, and against one for a request that was answered in time.
func TestWaitReportCoversTheRequest(t *testing.T) {
	h := newHarness(t)
	c := oneLeafQuery(h)
	h.advance(50 * time.Millisecond)
	h.finishCall(c, OutcomeSucceeded)
	if w := h.lastReport().Wait; w != nil {
		t.Errorf("%+v for an answer in time, want nil", w)
	}
	q := h.request("/a/", 2*time.Second)
	h.advance(250 * time.Millisecond)
	h.finishCall(h.calls(q)[0], OutcomeSucceeded)
	r := h.lastReport()
	w := r.Wait
	if sum := w.Queued + w.Earlier + w.Connect + w.AtLeaf; sum != r.Elapsed {
		t.Errorf("waits of %v in a request of %v", sum, r.Elapsed)
	}
	if w.Server != "x-0" || w.Service != "x" || w.Slots != 4 || w.Connections <= 0 || w.QuotaShare <= 0 || w.Expected <= 0 {
		t.Errorf("incomplete: %+v", w)
	}
}
