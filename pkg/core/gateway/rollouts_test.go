package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/rollout"
)

func versionedLeafs(versions ...string) []Server {
	var out []Server
	for i, v := range versions {
		for j, domain := range []string{"a", "b", "c"} {
			out = append(out, Server{ID: v + "-" + domain, Service: "s0", Address: "10.1.0.1:80", FailureDomain: domain, Slots: 2, Version: v, StartedMS: int64(10*i + j + 1)})
		}
	}
	return out
}

func orderOf(target string, revision uint64) RolloutOrder {
	return RolloutOrder{Service: "s0", Target: target, Duration: 12 * time.Second, Created: revision, Revision: revision}
}

// newRolloutHarness returns a daemon that has run for a while and watches the store, with
// leafs of the versions.
func newRolloutHarness(t *testing.T, versions ...string) *harness {
	h := newHarnessWith(t, Options{Rollout: &RolloutLimits{Share: 0.1, Slack: 50, OrderWithin: 5 * time.Second}, IsSeed: true})
	h.configure(1, nil, plainRoute("/r/", "s0"))
	h.step(ServersListed{Servers: versionedLeafs(versions...)})
	h.advance(time.Minute)
	return h
}

// sentTo sends requests at 50 a second and returns the number of attempts by version.
func (h *harness) sentTo(requests int, outcome func(SendCall) Outcome) map[string]int {
	out := map[string]int{}
	for range requests {
		h.advance(20 * time.Millisecond)
		q := h.request("/r/x", time.Second)
		for calls := h.calls(q); len(calls) > 0; calls = h.calls(q) {
			version, _, _ := strings.Cut(calls[0].Server, "-")
			out[version]++
			h.finishCall(calls[0], outcome(calls[0]))
		}
	}
	return out
}

func succeed(SendCall) Outcome { return OutcomeSucceeded }

// Guards against a deployment without roll-outs whose requests depend on the versions of its
// leafs, or that writes to the store.
func TestWithoutSettingsVersionsDoNotMatter(t *testing.T) {
	h := newHarness(t)
	h.configure(1, nil, plainRoute("/r/", "s0"))
	h.step(ServersListed{Servers: versionedLeafs("v1", "v2")})
	h.step(RolloutsListed{Orders: []RolloutOrder{orderOf("v2", 5)}})
	got := h.sentTo(300, succeed)
	if got["v1"] < 100 || got["v2"] < 100 {
		t.Errorf("attempts by version %v, want about as many of each", got)
	}
	if len(h.s.Rollouts()) > 0 || !h.s.ownSections().empty() {
		t.Error("a daemon without roll-outs keeps orders")
	}
}

// Guards against requests at leafs of a version that nothing allows, and against leafs that
// replace others without an order and are never used.
func TestLeafsOfUnknownVersionsAreHeld(t *testing.T) {
	h := newRolloutHarness(t, "v1")
	for _, srv := range versionedLeafs("v0", "v2")[3:] {
		h.step(ServerChanged{Server: srv})
	}
	if got := h.sentTo(240, succeed); got["v2"] > 0 {
		t.Errorf("attempts by version %v within the hold", got)
	}
	h.advance(time.Second)
	if got := h.sentTo(100, succeed); got["v2"] < 20 {
		t.Errorf("attempts by version %v after the hold", got)
	}
}

// Guards against an outage while leafs are held back: the last leaf of the former version goes.
func TestHeldLeafsServeIfNoOthersAreLeft(t *testing.T) {
	h := newRolloutHarness(t, "v1")
	h.step(ServerChanged{Server: versionedLeafs("v0", "v2")[3]})
	for _, srv := range versionedLeafs("v1") {
		srv.Draining = true
		h.step(ServerChanged{Server: srv})
	}
	if got := h.sentTo(5, succeed); got["v2"] != 5 {
		t.Errorf("attempts by version %v, want 5 at v2", got)
	}
}

// Guards against a version that gets more requests than the bound because second attempts,
// probes or requests of other routes are not counted, and against one that is not sampled.
func TestExposureCountsAllAttempts(t *testing.T) {
	h := newRolloutHarness(t, "v1", "v2")
	h.step(RolloutsListed{Orders: []RolloutOrder{orderOf("v2", 5)}})
	flaky := 0
	got := h.sentTo(350, func(c SendCall) Outcome {
		// Failures of both versions alike cause retries and are no evidence.
		if flaky++; flaky%4 == 0 {
			return OutcomeNotExecuted
		}
		return OutcomeSucceeded
	})
	if bound := 0.1*350 + 50; got["v2"] < 20 || float64(got["v2"]) > bound {
		t.Errorf("attempts by version %v, want 20 to %.0f at v2", got, bound)
	}
	if s := h.s.Status(); s.ExposedAttempts != uint64(got["v2"]) || s.RunningRollouts != 1 {
		t.Errorf("%+v, want %d exposed attempts", s, got["v2"])
	}
}

// Guards against requests at the target version from daemons that may not know the verdict:
// one that has just started and one that has lost contact.
func TestNoExposureWithoutKnowledge(t *testing.T) {
	young := newHarnessWith(t, Options{Rollout: &RolloutLimits{Share: 0.1, Slack: 50, OrderWithin: 5 * time.Second}, IsSeed: true})
	young.configure(1, nil, plainRoute("/r/", "s0"))
	young.step(ServersListed{Servers: versionedLeafs("v1", "v2")})
	young.step(RolloutsListed{Orders: []RolloutOrder{orderOf("v2", 5)}})
	if got := young.sentTo(240, succeed); got["v2"] > 0 {
		t.Errorf("just started: attempts by version %v", got)
	}
	alone := newRolloutHarness(t, "v1", "v2")
	alone.step(RolloutsListed{Orders: []RolloutOrder{orderOf("v2", 5)}})
	alone.step(StoreReached{Cause: "cut"})
	if got := alone.sentTo(240, succeed); got["v2"] > 0 {
		t.Errorf("without contact: attempts by version %v", got)
	}
}

// Guards against a restart that spends the slack of its predecessor again.
func TestRestartedDaemonHasNoSlack(t *testing.T) {
	h := newHarnessWith(t, Options{Rollout: &RolloutLimits{Share: 0.1, Slack: 50, OrderWithin: 5 * time.Second}, IsSeed: true})
	h.configure(1, nil, plainRoute("/r/", "s0"))
	h.step(ServersListed{Servers: versionedLeafs("v1", "v2")})
	h.step(RolloutsListed{Orders: []RolloutOrder{orderOf("v2", 5)}})
	h.advance(5 * time.Second)
	if got := h.sentTo(120, succeed); got["v2"] > 12 {
		t.Errorf("attempts by version %v, want at most a tenth at v2", got)
	}
}

// Guards against a verdict that the choice of leafs, hedges and retries do not obey, and
// against one that an older copy of the object reverts.
func TestVerdictsAreObeyed(t *testing.T) {
	for _, c := range []struct {
		verdict rollout.Verdict
		want    string
	}{{rollout.Completed, "v2"}, {rollout.RolledBack, "v1"}} {
		h := newRolloutHarness(t, "v1", "v2")
		o := orderOf("v2", 5)
		h.step(RolloutsListed{Orders: []RolloutOrder{o}})
		decided := o
		decided.Verdict, decided.Revision = c.verdict, 6
		h.step(RolloutsListed{Orders: []RolloutOrder{decided}})
		h.step(RolloutsListed{Orders: []RolloutOrder{o}})
		flaky := 0
		got := h.sentTo(200, func(SendCall) Outcome {
			if flaky++; flaky%3 == 0 {
				return OutcomeNotExecuted
			}
			return OutcomeSucceeded
		})
		if len(got) != 1 || got[c.want] == 0 {
			t.Errorf("%v: attempts by version %v, want all at %s", c.verdict, got, c.want)
		}
	}
}

// Guards against a bad version that goes on getting requests until the store has the verdict,
// and against a verdict that is not written.
func TestBadVersionIsStoppedAtOnce(t *testing.T) {
	h := newRolloutHarness(t, "v1", "v2")
	h.step(RolloutsListed{Orders: []RolloutOrder{orderOf("v2", 5)}})
	fail := func(c SendCall) Outcome {
		if strings.HasPrefix(c.Server, "v2") {
			return OutcomeFailed
		}
		return OutcomeSucceeded
	}
	h.sentTo(250, fail)
	if got := h.sentTo(100, fail); got["v2"] > 0 {
		t.Errorf("attempts by version %v after 5 s of failures", got)
	}
	var write *WriteVerdict
	for _, e := range h.otherEffects {
		if w, ok := e.(WriteVerdict); ok && write == nil {
			write = &w
		}
	}
	if write == nil || write.Verdict != rollout.RolledBack || write.Target != "v2" || write.Revision != 5 {
		t.Fatalf("written: %+v", write)
	}
	h.step(VerdictWritten{Write: *write, Outcome: rollout.Failed, Cause: "no reply"})
	if h.countLogs(LogRolloutWriteFailed) != 1 {
		t.Error("a failed write is not logged")
	}
	h.otherEffects = nil
	h.advance(time.Second)
	again := false
	for _, e := range h.otherEffects {
		if w, ok := e.(WriteVerdict); ok {
			again = w.ReadBack && w.Verdict == rollout.RolledBack
		}
	}
	if !again {
		t.Error("a write without a reply is not repeated after the object was read")
	}
}

// Guards against samples at leafs of the target version that drain or are evacuated.
func TestSamplesSkipLeavingLeafs(t *testing.T) {
	h := newRolloutHarness(t, "v1", "v2")
	h.step(RolloutsListed{Orders: []RolloutOrder{orderOf("v2", 5)}})
	drained := versionedLeafs("v1", "v2")[3]
	drained.Draining = true
	h.step(ServerChanged{Server: drained})
	h.step(EvacuationsListed{FailureDomains: []string{"b"}})
	got := map[string]int{}
	h.sentTo(200, func(c SendCall) Outcome {
		got[c.Server]++
		return OutcomeSucceeded
	})
	if got["v2-a"]+got["v2-b"] > 0 || got["v2-c"] == 0 {
		t.Errorf("attempts by leaf %v, want those of v2 at v2-c only", got)
	}
}

// Guards against malformed orders that the command line does not show.
func TestInvalidOrdersAreShown(t *testing.T) {
	h := newRolloutHarness(t, "v1")
	h.step(RolloutsListed{Orders: []RolloutOrder{orderOf("v2", 5)}, Invalid: map[string]string{"s9": "no version"}})
	got := h.s.Rollouts()
	if len(got) != 2 || got[0].Target != "v2" || got[1].Invalid != "no version" {
		t.Errorf("%+v", got)
	}
}
