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
	// defaultTopK is the number of items in an answer if the request gives
	// none, maxTopK the largest that it may ask for.
	defaultTopK = 10
	maxTopK     = 1000
	// maxQueryBytes bounds the query text, which is sent to every shard.
	maxQueryBytes = 64 << 10
	// maxIDBytes bounds a request id, which the at-most-once table stores.
	maxIDBytes = 256
	// defaultMaxInFlight applies to a policy that sets no limit.
	defaultMaxInFlight = 1024
	// sharedFraction of MaxInFlight is available to callers above their share.
	// The rest is reserved for callers within theirs.
	sharedFraction = 0.75
	// minRetryAfter is the shortest retry_after. A random delay of up to the
	// same length is added, so that refused callers do not all return at once.
	minRetryAfter = 100 * time.Millisecond
	// replyReserve is the time between the sub-requests' deadline and the
	// answer, in which results return and are merged. It is reserved only if
	// the query has at least ten times as much time.
	replyReserve = time.Millisecond
)

// QueryArrived admits a request, refuses it, or answers it as a repeat.
func (s *State) QueryArrived(m event.Meta, e event.QueryArrived, out *effect.List) {
	c := s.beginEvent(m, out)
	req := &e.Request
	if reason := invalidReason(req); reason != "" {
		s.refuse(c, e.Token, req.ID, model.Invalid, reason, 0)
		return
	}
	// A repeat must not run again even if it claims to be idempotent.
	if entry := s.once.entries[req.ID]; entry != nil {
		s.answerRepeat(c, &e, entry)
		return
	}
	issued := int64(0)
	if !req.Idempotent {
		var ok bool
		if issued, ok = s.admitNonIdempotent(c, &e); !ok {
			return
		}
	}
	svc, refusal := s.admit(c, req)
	if refusal != nil {
		s.refuse(c, e.Token, req.ID, refusal.Kind, refusal.Reason, refusal.RetryAfter)
		return
	}
	s.startRun(c, e.Token, req, svc, issued)
}

// invalidReason returns what is wrong with a request regardless of the bundle,
// or an empty string.
func invalidReason(req *model.Request) string {
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

// admit decides whether a request may run now. It sets the default of top_k and
// caps the deadline.
func (s *State) admit(c *eventContext, req *model.Request) (*model.Service, *model.Refusal) {
	b := s.view.Bundle()
	if b == nil {
		return nil, notRunRefusal(c, "no bundle is in effect yet")
	}
	svc, ok := b.Service(req.Service)
	if !ok {
		return nil, invalidRefusal(fmt.Sprintf("unknown service %q", req.Service))
	}
	caller, ok := svc.Caller(req.Caller)
	if !ok {
		return nil, invalidRefusal(fmt.Sprintf("unknown caller %q of service %q", req.Caller, req.Service))
	}
	if ok, reason := s.view.Admits(c.Meta); !ok {
		return nil, notRunRefusal(c, reason)
	}
	if req.Deadline <= c.Now {
		return nil, notRunRefusal(c, "the deadline has passed")
	}
	if reason := s.limitReason(svc, caller); reason != "" {
		return nil, notRunRefusal(c, reason)
	}
	if req.TopK == 0 {
		req.TopK = defaultTopK
	}
	if svc.Policy.MaxDeadline > 0 {
		req.Deadline = min(req.Deadline, c.Now.Add(svc.Policy.MaxDeadline))
	}
	timeLeft := req.Deadline.Sub(c.Now)
	if svc.Policy.Mode == model.TailFirst && svc.Policy.Target > 0 {
		timeLeft = min(timeLeft, svc.Policy.Target)
	}
	if s.service(svc.Name).throttles[req.Class].refuses(c.Now, timeLeft, c.Rand) {
		return nil, notRunRefusal(c, "the service is overloaded")
	}
	return svc, nil
}

// limitReason returns which limit leaves no room for one more request, or an
// empty string.
func (s *State) limitReason(svc *model.Service, caller *model.Caller) string {
	limit := svc.Policy.MaxInFlight
	if limit <= 0 {
		limit = defaultMaxInFlight
	}
	sv := s.service(svc.Name)
	if sv.running >= limit {
		return "the service's limit of running requests is reached"
	}
	guaranteed := int(math.Ceil(caller.Share * float64(limit)))
	if sv.runningByCaller[caller.Name] < guaranteed {
		return ""
	}
	if shared := int(math.Ceil(sharedFraction * float64(limit))); sv.running >= shared {
		return "the caller is over its share under load"
	}
	return ""
}

func notRunRefusal(c *eventContext, reason string) *model.Refusal {
	return &model.Refusal{Kind: model.NotRun, Reason: reason, RetryAfter: randomRetryAfter(c)}
}

func invalidRefusal(reason string) *model.Refusal {
	return &model.Refusal{Kind: model.Invalid, Reason: reason}
}

func randomRetryAfter(c *eventContext) time.Duration {
	return minRetryAfter + time.Duration(c.Rand%uint64(minRetryAfter))
}

// refuse replies to a query with a refusal.
func (s *State) refuse(c *eventContext, token event.Token, id model.RequestID, kind model.RefusalKind, reason string, retryAfter time.Duration) {
	s.counts.Refused++
	c.out.Log(logevent.QueryRefused,
		logevent.Str("request", id),
		logevent.Str("kind", kind),
		logevent.Str("reason", reason))
	refusal := &model.Refusal{RequestID: id, Kind: kind, Reason: reason, RetryAfter: retryAfter}
	c.out.Add(effect.ReplyQuery{Token: token, Refusal: refusal})
}

// startRun chooses a snapshot and sends the first attempts. issued is the issue
// time of a non-idempotent request's id.
func (s *State) startRun(c *eventContext, token event.Token, req *model.Request, svc *model.Service, issued int64) {
	b := s.view.Bundle()
	choice, known := s.chooseSnapshot(c, &snapshotRequest{bundle: b, service: svc, key: req.Key})
	if choice.layout == nil || choice.asked == 0 {
		s.refuse(c, token, req.ID, model.Invalid, "no shard of the service holds the key", 0)
		return
	}
	if !known {
		s.refuse(c, token, req.ID, model.NotRun, "no server of the service is known yet", randomRetryAfter(c))
		return
	}
	r := &run{
		token:     token,
		req:       *req,
		idHash:    xxhash.Sum64String(string(req.ID)),
		bundle:    b,
		policy:    &svc.Policy,
		service:   s.service(svc.Name),
		arrivedAt: c.Now,

		minQueueTime: math.MaxInt64,
	}
	r.setDeadlines(c.Now)
	r.timer = timer{index: -1, run: r}
	s.counts.Admitted++
	s.running++
	s.runs[token] = r
	r.service.addRunning(req.Caller)
	if !req.Idempotent {
		r.entry = s.once.addEntry(r, issued, c.Now)
	}
	c.out.Log(logevent.QueryAdmitted,
		logevent.Str("request", req.ID),
		logevent.Str("service", svc.Name),
		logevent.Str("caller", req.Caller))
	s.fanOut(c, r, choice)
	s.sendPlanned(c, r)
	if r.openShards == 0 {
		s.finishRun(c, r)
		return
	}
	s.timers.set(&r.timer, r.wakeAt())
}

// setDeadlines determines when the run ends. Only an idempotent query of a
// tail_first service is answered at the target, before its deadline. For a
// non-idempotent query, an early end would turn outcomes into unknown ones.
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
