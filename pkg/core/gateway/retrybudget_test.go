package gateway

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

func windowBudgetState() (*State, *service) {
	s := New(Options{Self: DaemonEntry{Name: "d1"}, RetryRatio: 0.2, RetrySlack: 40, RetryWindow: 10 * time.Second})
	svc := s.service("x")
	svc.reportsSlowdown = true
	return s, svc
}

// Guards against more attempts beyond the first, in any window, than this daemon's share of the
// slack and the ratio of its requests allow.
func TestRetriesByWindowKeepTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, svc := windowBudgetState()
		var requests, spent []model.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			s.now = s.now.Add(time.Duration(rapid.Int64Range(0, int64(400*time.Millisecond)).Draw(t, "pause")))
			for range rapid.IntRange(0, 4).Draw(t, "requests") {
				s.depositRetryTokens(svc)
				requests = append(requests, s.now)
			}
			for range rapid.IntRange(0, 20).Draw(t, "retries") {
				if s.withdrawRetryToken(svc) {
					spent = append(spent, s.now)
				}
			}
			inWindow := func(all []model.Time) float64 {
				n := 0.0
				for _, at := range all {
					if s.now.Sub(at) < s.opt.RetryWindow {
						n++
					}
				}
				return n
			}
			// Spending is checked when it happens: requests may leave the window before
			// the attempts for which they have earned the tokens.
			if len(spent) == 0 || spent[len(spent)-1] != s.now {
				continue
			}
			if n, limit := inWindow(spent), s.opt.RetrySlack+s.opt.RetryRatio*inWindow(requests); n > limit {
				t.Fatalf("%v attempts beyond the first in a window with %v requests, %v allowed", n, inWindow(requests), limit)
			}
		}
	})
}

// Guards against slow leafs that leave requests without a second attempt for longer than the
// window, as with tokens that only requests bring back.
func TestRetriesByWindowComeBack(t *testing.T) {
	s, svc := windowBudgetState()
	spend := func() int {
		n := 0
		for s.withdrawRetryToken(svc) {
			n++
		}
		return n
	}
	s.now = model.Time(5 * time.Second)
	if got := spend(); got != 18 {
		t.Errorf("%d attempts in the first half of the window, want half of the slack's share, 18: an earlier process may have spent the rest", got)
	}
	s.now = model.Time(20 * time.Second)
	if got := spend(); got != 36 {
		t.Errorf("%d attempts after the window, want the share of the slack, 36", got)
	}
	s.now = model.Time(29 * time.Second)
	if got := spend(); got != 0 {
		t.Errorf("%d attempts before the window has passed", got)
	}
	s.now = model.Time(31 * time.Second)
	if got := spend(); got != 36 {
		t.Errorf("%d attempts after another window, want 36", got)
	}
}

// Guards against services whose leafs report no slowdown that are served otherwise than
// before, and against those whose leafs do that are not.
func TestRetriesByWindowWhereAskedFor(t *testing.T) {
	s, svc := windowBudgetState()
	svc.reportsSlowdown = false
	s.now = model.Time(20 * time.Second)
	if got := s.retryTokens(svc); got != initialRetryTokens {
		t.Errorf("%v tokens before a report, want %v", got, initialRetryTokens)
	}
	svc.noteSlowdownReport(Load{Slots: 2})
	if s.countsRetriesByWindow(svc) {
		t.Error("a report of three figures changes the accounting")
	}
	svc.noteSlowdownReport(Load{Slots: 2, Slowdown: 1})
	if got := s.retryTokens(svc); got != 36 {
		t.Errorf("%v tokens once a leaf reports a slowdown, want 36", got)
	}
}
