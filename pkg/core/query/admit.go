package query

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// defaultTopK and maxTopK bound the items of an answer.
	defaultTopK = 10
	maxTopK     = 1000
	// maxQueryBytes bounds the query text, which is sent to every shard.
	maxQueryBytes = 64 << 10
	// maxIDBytes bounds a request id, which the at-most-once table keeps.
	maxIDBytes = 256
	// defaultMaxInFlight applies to a policy without a limit of its own.
	defaultMaxInFlight = 1024
	// sharedFraction of MaxInFlight is open to callers above their share. The
	// rest stays free for those within theirs.
	sharedFraction = 0.75
	// minRetryAfter is the shortest retry_after; as much again is random, so
	// that refused callers do not come back at once.
	minRetryAfter = 100 * time.Millisecond
	// replyReserve is kept of the time for the results' way back and the merge,
	// if the time left is at least ten times as long.
	replyReserve = time.Millisecond
)

// QueryArrived admits a request, or refuses it, or answers a repeat.
func (s *State) QueryArrived(m event.Meta, e event.QueryArrived, out *effect.List) {
	c := s.begin(m, out)
	req := &e.Request
	if reason := malformed(req); reason != "" {
		s.refuse(c, e.Token, req.ID, model.Invalid, reason, 0)
		return
	}
	// A repeat that claims to be idempotent must not run again either.
	if entry := s.once.entries[req.ID]; entry != nil {
		s.repeat(c, &e, entry)
		return
	}
	issued := int64(0)
	if !req.Idempotent {
		var ok bool
		if issued, ok = s.mayStart(c, &e); !ok {
			return
		}
	}
	svc, refusal := s.admit(c, req)
	if refusal != nil {
		s.refuse(c, e.Token, req.ID, refusal.Kind, refusal.Reason, refusal.RetryAfter)
		return
	}
	s.start(c, e.Token, req, svc, issued)
}

// malformed returns what is wrong with a request regardless of the bundle.
func malformed(req *model.Request) string {
	switch {
	case req.ID == "" || len(req.ID) > maxIDBytes:
		return fmt.Sprintf("request_id must have 1 to %d bytes", maxIDBytes)
	case req.Class >= model.NumClasses:
		return fmt.Sprintf("unknown class %d", req.Class)
	case req.TopK < 0 || req.TopK > maxTopK:
		return fmt.Sprintf("top_k must be 0 (default %d) to %d", defaultTopK, maxTopK)
	case len(req.Query) > maxQueryBytes:
		return fmt.Sprintf("query is longer than %d bytes", maxQueryBytes)
	}
	return ""
}

// admit decides whether a request may run now and sets its defaults.
func (s *State) admit(c *step, req *model.Request) (*model.Service, *model.Refusal) {
	b := s.view.Bundle()
	if b == nil {
		return nil, notRun(c, "no bundle is in effect yet")
	}
	svc, ok := b.Service(req.Service)
	if !ok {
		return nil, invalid(fmt.Sprintf("unknown service %q", req.Service))
	}
	caller, ok := svc.Caller(req.Caller)
	if !ok {
		return nil, invalid(fmt.Sprintf("unknown caller %q of service %q", req.Caller, req.Service))
	}
	if ok, reason := s.view.Admits(c.Meta); !ok {
		return nil, notRun(c, reason)
	}
	if req.Deadline <= c.Now {
		return nil, notRun(c, "the deadline has passed")
	}
	if reason := s.overLimit(svc, caller); reason != "" {
		return nil, notRun(c, reason)
	}
	if req.TopK == 0 {
		req.TopK = defaultTopK
	}
	if svc.Policy.MaxDeadline > 0 {
		req.Deadline = min(req.Deadline, c.Now.Add(svc.Policy.MaxDeadline))
	}
	left := req.Deadline.Sub(c.Now)
	if svc.Policy.Mode == model.TailFirst && svc.Policy.Target > 0 {
		left = min(left, svc.Policy.Target)
	}
	if s.service(svc.Name).throttles[req.Class].refuses(c.Now, left, c.Rand) {
		return nil, notRun(c, "the service is overloaded")
	}
	return svc, nil
}

// overLimit returns which limit leaves no room for one more request.
func (s *State) overLimit(svc *model.Service, caller *model.Caller) string {
	limit := svc.Policy.MaxInFlight
	if limit <= 0 {
		limit = defaultMaxInFlight
	}
	sv := s.service(svc.Name)
	if sv.running >= limit {
		return "the service's limit of running requests is reached"
	}
	guaranteed := int(math.Ceil(caller.Share * float64(limit)))
	if sv.callers[caller.Name] < guaranteed {
		return ""
	}
	if shared := int(math.Ceil(sharedFraction * float64(limit))); sv.running >= shared {
		return "the caller is over its share under load"
	}
	return ""
}

func notRun(c *step, reason string) *model.Refusal {
	return &model.Refusal{Kind: model.NotRun, Reason: reason, RetryAfter: retryDelay(c)}
}

func invalid(reason string) *model.Refusal {
	return &model.Refusal{Kind: model.Invalid, Reason: reason}
}

func retryDelay(c *step) time.Duration {
	return minRetryAfter + time.Duration(c.Rand%uint64(minRetryAfter))
}

// refuse replies with a refusal.
func (s *State) refuse(c *step, t event.Token, id model.RequestID, kind model.RefusalKind, reason string, after time.Duration) {
	s.counts.Refused++
	c.out.Log(logevent.QueryRefused,
		logevent.Str("request", id),
		logevent.Str("kind", kind),
		logevent.Str("reason", reason))
	refusal := &model.Refusal{RequestID: id, Kind: kind, Reason: reason, RetryAfter: after}
	c.out.Add(effect.ReplyQuery{Token: t, Refusal: refusal})
}

// start pins a snapshot and sends the first attempts. issued is the issue time
// of a non-idempotent request's id.
func (s *State) start(c *step, token event.Token, req *model.Request, svc *model.Service, issued int64) {
	b := s.view.Bundle()
	pin, known := s.choosePin(c, &pinRequest{bundle: b, service: svc, key: req.Key})
	if pin.layout == nil || pin.asked == 0 {
		s.refuse(c, token, req.ID, model.Invalid, "no shard of the service holds the key", 0)
		return
	}
	if !known {
		s.refuse(c, token, req.ID, model.NotRun, "no server of the service is known yet", retryDelay(c))
		return
	}
	r := &run{
		token:   token,
		req:     *req,
		hash:    xxhash.Sum64String(string(req.ID)),
		bundle:  b,
		policy:  &svc.Policy,
		service: s.service(svc.Name),
		arrived: c.Now,

		leastQueue: math.MaxInt64,
	}
	r.setDeadlines(c.Now)
	r.timer = timer{index: -1, run: r}
	s.counts.Admitted++
	s.running++
	s.runs[token] = r
	r.service.enter(req.Caller)
	if !req.Idempotent {
		r.entry = s.once.add(r, issued, c.Now)
	}
	c.out.Log(logevent.QueryAdmitted,
		logevent.Str("request", req.ID),
		logevent.Str("service", svc.Name),
		logevent.Str("caller", req.Caller))
	s.fanOut(c, r, pin)
	s.flush(c, r)
	if r.open == 0 {
		s.finish(c, r)
		return
	}
	s.timers.set(&r.timer, r.wakeAt())
}

// setDeadlines derives when the run ends. Only an idempotent query of a
// tail_first service ends before its deadline; for others an early end would
// turn outcomes into unknown ones.
func (r *run) setDeadlines(now model.Time) {
	r.answerAt = r.req.Deadline
	if r.policy.Mode == model.TailFirst && r.policy.Target > 0 && r.req.Idempotent {
		r.answerAt = min(r.answerAt, now.Add(r.policy.Target))
	}
	r.subDeadline = r.answerAt
	if r.answerAt.Sub(now) >= 10*replyReserve {
		r.subDeadline = r.answerAt.Add(-replyReserve)
	}
}
