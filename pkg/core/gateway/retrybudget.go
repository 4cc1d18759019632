package gateway

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/window"
)

const (
	// retryRatioShare is the share of RetryRatio that is used; the rest covers requests
	// that are counted in a different window.
	retryRatioShare = 0.9
	// retrySlackShare is the share of RetrySlack that all daemons together hold as
	// tokens.
	retrySlackShare = 0.75
	// windowSlackShare replaces retrySlackShare where retries are counted over the window:
	// nothing but shares that differ between daemons has to be allowed for.
	windowSlackShare = 0.9
	// initialRetryTokens bounds the tokens of a service that is new to this daemon: a
	// daemon that has restarted may have spent others in the same window.
	initialRetryTokens = 2.0
)

// retryBudget bounds the attempts at a service beyond the first of each request.
//
// With tokens, a service has a number of them at first and gains more by requests only.
// Counted over the window, what was spent is available again when the window has passed:
// slow or failing leafs that last longer than the first tokens no longer leave requests
// without a second attempt.
type retryBudget struct {
	tokens float64
	// requests and spent are counted even where tokens decide, since a service may change
	// over while the daemon runs.
	requests, spent window.Counter
}

func (s *State) newRetryBudget() retryBudget {
	return retryBudget{
		tokens:   min(initialRetryTokens, s.maxRetryTokens()),
		requests: window.New(s.opt.RetryWindow), spent: window.New(s.opt.RetryWindow),
	}
}

// maxRetryTokens is this daemon's share of the retry slack.
func (s *State) maxRetryTokens() float64 {
	return max(1, s.opt.RetrySlack*retrySlackShare*s.quotaShare())
}

// countsRetriesByWindow reports whether the retries of a service are counted over the
// window: if leafs of the service report how long work takes on their VM, which they share
// with others. Any of them may turn slow at any time, for longer than the first tokens last.
func (s *State) countsRetriesByWindow(svc *service) bool {
	return s.opt.RetryWindow > 0 && svc.reportsSlowdown
}

// retryTokens is the number of attempts beyond the first of each request that may be sent to
// a service now.
func (s *State) retryTokens(svc *service) float64 {
	b := &svc.retries
	if !s.countsRetriesByWindow(svc) {
		return b.tokens
	}
	slack := max(1, s.opt.RetrySlack*windowSlackShare*s.quotaShare())
	// An earlier process of this daemon may have spent its share in the same window.
	if running := time.Duration(s.now); running < s.opt.RetryWindow {
		slack *= float64(running) / float64(s.opt.RetryWindow)
	}
	return slack + s.opt.RetryRatio*retryRatioShare*b.requests.AtLeast(s.now) - b.spent.AtMost(s.now)
}

// depositRetryTokens adds the tokens that the first attempt of a part earns.
func (s *State) depositRetryTokens(svc *service) {
	b := &svc.retries
	b.tokens = min(b.tokens+s.opt.RetryRatio*retryRatioShare, s.maxRetryTokens())
	if s.opt.RetryWindow > 0 {
		b.requests.Add(s.now, 1)
	}
}

// withdrawRetryToken takes a token for an attempt beyond the first. It reports false if
// there is none.
func (s *State) withdrawRetryToken(svc *service) bool {
	if s.retryTokens(svc) < 1 {
		return false
	}
	b := &svc.retries
	b.tokens--
	if s.opt.RetryWindow > 0 {
		b.spent.Add(s.now, 1)
	}
	return true
}

// noteSlowdownReport records that leafs of a service report how long work takes on their VM.
func (svc *service) noteSlowdownReport(load Load) {
	svc.reportsSlowdown = svc.reportsSlowdown || load.Slowdown > 0
}
