package gateway

import (
	"testing"
	"time"
)

// findLog returns the last log entry of a kind.
func (h *harness) findLog(kind LogKind) Log {
	h.t.Helper()
	for i := len(h.logs) - 1; i >= 0; i-- {
		if h.logs[i].Kind == kind {
			return h.logs[i]
		}
	}
	h.t.Fatalf("no log entry of kind %d", kind)
	return Log{}
}

// Guards against refusals by an outdated configuration whose log lines do not show where that
// came from, and when.
func TestRefusalNamesOriginOfConfig(t *testing.T) {
	h := newHarness(t)
	h.step(ConfigSeen{Config: &Config{Version: 5}, Source: ViewSource{Call: "view", Daemon: "d2"}})
	h.listLeafs(1, "s")
	h.advance(2 * time.Second)
	h.request("/unknown/x", time.Second)
	report := h.findLog(LogQueryRefused).Query
	if report.ConfigVersion != 5 || report.ConfigOrigin == nil {
		t.Fatalf("refused by version %d, origin %v", report.ConfigVersion, report.ConfigOrigin)
	}
	if o := *report.ConfigOrigin; o.Source != (ViewSource{Call: "view", Daemon: "d2"}) || o.Age != 2*time.Second {
		t.Errorf("origin %+v, want the view of d2, 2 s old", o)
	}
}

// Guards against versions of which a log does not say when a daemon heard of them and which
// call brought them.
func TestLogsNameWayOfConfig(t *testing.T) {
	h := newHarness(t)
	h.step(ConfigSeen{Config: &Config{Version: 5}, Source: ViewSource{Call: "list"}})
	told := DaemonEntry{Name: "d2", Incarnation: 1, Counter: 1, PeerAddress: "10.0.0.2:70", ConfigVersion: 8, Age: 300 * time.Millisecond}
	h.step(GossipReceived{Daemons: []DaemonEntry{told}})
	told.Counter++
	h.step(GossipReceived{Daemons: []DaemonEntry{told}})
	if n := h.countLogs(LogConfigHeard); n != 1 {
		t.Errorf("%d lines about hearing of version 8, want 1", n)
	}
	if l := h.findLog(LogConfigHeard); l.Subject != "d2" || l.Number != 8 || l.Duration != told.Age {
		t.Errorf("heard %+v", l)
	}
	h.advance(700 * time.Millisecond)
	h.step(ConfigSeen{Config: &Config{Version: 8}, Source: ViewSource{Call: "view", Daemon: "d2"}})
	if l := h.findLog(LogConfigApplied); l.Subject != "d2" || l.Detail != "view" || l.Number != 8 || l.Duration != 700*time.Millisecond {
		t.Errorf("applied %+v", l)
	}
	h.step(ConfigSeen{Config: &Config{Version: 6}, Source: ViewSource{Call: "list that may be old"}})
	if l := h.findLog(LogConfigIgnored); l.Detail != "list that may be old" || l.Number != 6 {
		t.Errorf("ignored %+v", l)
	}
}
