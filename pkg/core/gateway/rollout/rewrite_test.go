package rollout

import (
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Guards against a verdict that the store has lost with a copy and nobody writes again, and
// against an older copy that reverts it.
func TestVerdictIsWrittenAgainAfterACopy(t *testing.T) {
	s := New(Limits{Share: 0.1, Slack: 50, Hold: 5 * time.Second, PeerLifetime: time.Second})
	order := Order{Service: "x", Target: "v2", Duration: 12 * time.Second, Created: 7, Revision: 7, Era: 1}
	now := model.Time(time.Minute)
	s.SetOrder(now, &order, 1)
	decided := order
	decided.Revision, decided.Verdict = 9, RolledBack
	if got := s.SetOrder(now, &decided, 1); got != Decided {
		t.Fatalf("change %v, want Decided", got)
	}
	if s.Decide(now, Situation{}).Write {
		t.Error("a verdict that the store has is written again")
	}
	copied := order
	copied.Era, copied.Revision = 2, 8
	s.SetOrder(now, &copied, 1)
	if _, acting, _ := s.Order(); acting != RolledBack || s.Use("v2") != Unused {
		t.Errorf("after the copy: acting on %v, use of the version %v", acting, s.Use("v2"))
	}
	if !s.Attention() {
		t.Error("the lost verdict is forgotten")
	}
	got := s.Decide(now.Add(time.Second), Situation{})
	if !got.Write || got.Acting != RolledBack || got.Era != 2 || got.Revision != 8 {
		t.Errorf("write after the copy: %+v", got)
	}
	// The operator writes the order again before the daemon's write arrives.
	s.VerdictWritten(now.Add(time.Second), got.Order, RolledBack, Conflict)
	copied.Revision = 10
	s.SetOrder(now.Add(time.Second), &copied, 1)
	got = s.Decide(now.Add(4*time.Second), Situation{})
	if !got.Write || got.Revision != 10 {
		t.Errorf("write after a conflict: %+v", got)
	}
	s.VerdictWritten(now.Add(4*time.Second), got.Order, RolledBack, Written)
	if s.Attention() || s.Decide(now.Add(6*time.Second), Situation{}).Write {
		t.Error("the verdict is written twice")
	}
}
