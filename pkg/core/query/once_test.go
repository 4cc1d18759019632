package query

import (
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Guards against starting a non-idempotent id a second time when it is repeated
// while it runs or afterwards.
func TestRepeatNeverStartsTwice(t *testing.T) {
	h := newHarness(t, 2)
	id := h.requestID(1)
	first := h.query(id, nonIdempotent)
	subs := h.takeSubs()
	waiting := h.query(id, nonIdempotent)
	h.query(id, nil)
	short := h.query(id, func(e *event.QueryArrived) {
		e.Request.Idempotent = false
		e.Request.Deadline = h.meta.Now.Add(10 * ms)
	})
	h.advance(20 * ms)
	h.wantRefusal(short, model.MayHaveRun)
	h.state.QueryAbandoned(h.meta, event.QueryAbandoned{Token: first}, &h.out)
	for _, x := range subs {
		h.deliver(x.result(model.OutcomeOK))
	}
	if _, ok := h.replies[first]; ok {
		t.Error("reply to an abandoned token")
	}
	h.checkFreed()
	h.view.refuseReason = "no lease"
	later := h.query(id, nonIdempotent)
	if !h.wantAnswer(waiting).Complete || h.wantAnswer(later) != h.wantAnswer(waiting) {
		t.Error("repeats got different outcomes")
	}
	if n := len(h.takeSubs()); n != 0 {
		t.Errorf("repeats started %d sub-requests", n)
	}
}

// Guards against running an id again after its outcome was forgotten, even if
// the wall clock is set back.
func TestExpiredRangeIsRefused(t *testing.T) {
	h := newHarness(t, 1)
	id := h.requestID(1)
	h.query(id, nonIdempotent)
	h.deliver(h.takeSubs()[0].result(model.OutcomeOK))
	h.advance(idRangeLifetime + maxClockSkew)
	h.wantRefusal(h.query(id, nonIdempotent), model.MayHaveRun)
	if len(h.state.once.entries) != 0 {
		t.Error("expired entry is still in the table")
	}
	h.meta.Wall -= time.Hour.Milliseconds()
	h.wantRefusal(h.query(id, nonIdempotent), model.MayHaveRun)
	if n := len(h.takeSubs()); n != 0 {
		t.Errorf("expired id started %d sub-requests", n)
	}
}

// Guards against refusing to repeat a request that did not run, and against
// storing the outcome of a refused admission.
func TestNotRunMayBeRepeated(t *testing.T) {
	h := newHarness(t, 1)
	id := h.requestID(1)
	h.view.refuseReason = "no lease"
	h.wantRefusal(h.query(id, nonIdempotent), model.NotRun)
	h.view.refuseReason = ""
	tok := h.query(id, nonIdempotent)
	for range 2 {
		h.deliver(h.takeSubs()[0].result(model.OutcomeDrained))
	}
	h.wantRefusal(tok, model.NotRun)
	tok = h.query(id, nonIdempotent)
	h.deliver(h.takeSubs()[0].result(model.OutcomeOK))
	if !h.wantAnswer(tok).Complete || h.state.once.byArrival.Len() != 1 {
		t.Error("repeat did not run")
	}
}

// Guards against starting an id here that names another daemon or incarnation.
func TestForeignIDs(t *testing.T) {
	h := newHarness(t, 1)
	gone := model.MemberRef{VM: "vm1", Incarnation: 0xb}
	older := model.MemberRef{VM: "vm0", Incarnation: 0x9}
	for _, ref := range []model.MemberRef{gone, older, {VM: "vm9", Incarnation: 1}} {
		h.wantRefusal(h.query(requestIDPrefix(ref, h.meta.Wall, 1)+".1", nonIdempotent), model.MayHaveRun)
	}
	peer := requestIDPrefix(model.MemberRef{VM: "vm1", Incarnation: 0xa}, h.meta.Wall, 1) + ".1"
	h.wantRefusal(h.query(peer, func(e *event.QueryArrived) {
		e.Request.Idempotent = false
		e.Forwarded = true
	}), model.MayHaveRun)
	for _, id := range []string{"", "x", "vm0.a.1.1", "vm0.z.1-1.1", "vm0.a.1-1.x", "vm0.a.1-1", ".a.1-1.1"} {
		h.wantRefusal(h.query(id, nonIdempotent), model.Invalid)
	}

	tok := h.query(peer, nonIdempotent)
	fwd, ok := h.out.Effects[len(h.out.Effects)-1].(effect.ForwardQuery)
	if !ok || fwd.Peer != "vm1" || fwd.Address != "vm1:1" || fwd.Request.ID != model.RequestID(peer) {
		t.Fatalf("not forwarded: %+v", h.out.Effects)
	}
	h.answerForward(event.ForwardAnswered{Token: tok, Answer: &model.Answer{Complete: true}})
	h.wantAnswer(tok)
	tok = h.query(peer, nonIdempotent)
	h.answerForward(event.ForwardAnswered{Token: tok, NotSent: true, Err: "refused"})
	h.wantRefusal(tok, model.MayHaveRun)
	tok = h.query(peer, nonIdempotent)
	h.advance(time.Second)
	h.wantRefusal(tok, model.MayHaveRun)
	h.answerForward(event.ForwardAnswered{Token: tok, Answer: &model.Answer{Complete: true}})
	if n := len(h.takeSubs()); n != 0 {
		t.Errorf("started %d sub-requests of foreign ids", n)
	}
	h.checkFreed()
}

func (h *harness) answerForward(e event.ForwardAnswered) {
	h.t.Helper()
	h.apply(func() { h.state.ForwardAnswered(h.meta, e, &h.out) })
}

// Guards against stored answers that grow without bound, and against running a
// repeat again after its answer was dropped.
func TestStoredAnswersAreBounded(t *testing.T) {
	h := newHarness(t, 1)
	const size = maxStoredAnswerBytes/4 + 1
	for i := range 5 {
		h.query(h.requestID(i), nonIdempotent)
		res := h.takeSubs()[0].result(model.OutcomeOK)
		res.Result.Items[0].Doc = make([]byte, size)
		h.deliver(res)
	}
	if h.state.once.answerBytes > maxStoredAnswerBytes {
		t.Errorf("%d bytes stored", h.state.once.answerBytes)
	}
	h.wantRefusal(h.query(h.requestID(0), nonIdempotent), model.MayHaveRun)
	h.wantAnswer(h.query(h.requestID(4), nonIdempotent))
}
