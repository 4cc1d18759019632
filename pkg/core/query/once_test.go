package query

import (
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Guards against a second start of a non-idempotent id by repeats that arrive
// while it runs and afterwards.
func TestRepeatNeverStartsTwice(t *testing.T) {
	h := newHarness(t, 2)
	id := h.id(1)
	first := h.query(id, once)
	subs := h.subs()
	waiting := h.query(id, once)
	h.query(id, nil)
	short := h.query(id, func(e *event.QueryArrived) {
		e.Request.Idempotent = false
		e.Request.Deadline = h.meta.Now.Add(10 * ms)
	})
	h.advance(20 * ms)
	h.refusal(short, model.MayHaveRun)
	h.s.QueryAbandoned(h.meta, event.QueryAbandoned{Token: first}, &h.out)
	for _, x := range subs {
		h.post(x.result(model.OutcomeOK))
	}
	if _, ok := h.replies[first]; ok {
		t.Error("reply to an abandoned token")
	}
	h.freed()
	h.v.refuse = "no lease"
	later := h.query(id, once)
	if !h.answer(waiting).Complete || h.answer(later) != h.answer(waiting) {
		t.Error("repeats got different outcomes")
	}
	if n := len(h.subs()); n != 0 {
		t.Errorf("repeats started %d sub-requests", n)
	}
}

// Guards against running an id again once its outcome is forgotten, also when
// the wall clock is set back.
func TestExpiredRangeIsRefused(t *testing.T) {
	h := newHarness(t, 1)
	id := h.id(1)
	h.query(id, once)
	h.post(h.subs()[0].result(model.OutcomeOK))
	h.advance(rangeLife + clockSkew)
	h.refusal(h.query(id, once), model.MayHaveRun)
	if len(h.s.once.entries) != 0 {
		t.Error("expired entry is still in the table")
	}
	h.meta.Wall -= time.Hour.Milliseconds()
	h.refusal(h.query(id, once), model.MayHaveRun)
	if n := len(h.subs()); n != 0 {
		t.Errorf("started %d sub-requests", n)
	}
}

// Guards against a request that did not run being barred from a repeat, and
// against storing the outcome of a refused admission.
func TestNotRunMayBeRepeated(t *testing.T) {
	h := newHarness(t, 1)
	id := h.id(1)
	h.v.refuse = "no lease"
	h.refusal(h.query(id, once), model.NotRun)
	h.v.refuse = ""
	tok := h.query(id, once)
	for range 2 {
		h.post(h.subs()[0].result(model.OutcomeDrained))
	}
	h.refusal(tok, model.NotRun)
	tok = h.query(id, once)
	h.post(h.subs()[0].result(model.OutcomeOK))
	if !h.answer(tok).Complete || h.s.once.order.Len() != 1 {
		t.Error("repeat did not run")
	}
}

// Guards against starting an id of another daemon or incarnation here.
func TestForeignIDs(t *testing.T) {
	h := newHarness(t, 1)
	gone := model.MemberRef{VM: "vm1", Incarnation: 0xb}
	older := model.MemberRef{VM: "vm0", Incarnation: 0x9}
	for _, ref := range []model.MemberRef{gone, older, {VM: "vm9", Incarnation: 1}} {
		h.refusal(h.query(requestIDPrefix(ref, h.meta.Wall, 1)+".1", once), model.MayHaveRun)
	}
	peer := requestIDPrefix(model.MemberRef{VM: "vm1", Incarnation: 0xa}, h.meta.Wall, 1) + ".1"
	h.refusal(h.query(peer, func(e *event.QueryArrived) {
		e.Request.Idempotent = false
		e.Forwarded = true
	}), model.MayHaveRun)
	for _, id := range []string{"", "x", "vm0.a.1.1", "vm0.z.1-1.1", "vm0.a.1-1.x", "vm0.a.1-1", ".a.1-1.1"} {
		h.refusal(h.query(id, once), model.Invalid)
	}

	tok := h.query(peer, once)
	fwd, ok := h.out.Effects[len(h.out.Effects)-1].(effect.ForwardQuery)
	if !ok || fwd.Peer != "vm1" || fwd.Address != "vm1:1" || fwd.Request.ID != model.RequestID(peer) {
		t.Fatalf("not forwarded: %+v", h.out.Effects)
	}
	h.forwarded(event.ForwardAnswered{Token: tok, Answer: &model.Answer{Complete: true}})
	h.answer(tok)
	tok = h.query(peer, once)
	h.forwarded(event.ForwardAnswered{Token: tok, NotSent: true, Err: "refused"})
	h.refusal(tok, model.MayHaveRun)
	tok = h.query(peer, once)
	h.advance(time.Second)
	h.refusal(tok, model.MayHaveRun)
	h.forwarded(event.ForwardAnswered{Token: tok, Answer: &model.Answer{Complete: true}})
	if n := len(h.subs()); n != 0 {
		t.Errorf("started %d sub-requests of foreign ids", n)
	}
	h.freed()
}

func (h *harness) forwarded(e event.ForwardAnswered) {
	h.t.Helper()
	h.do(func() { h.s.ForwardAnswered(h.meta, e, &h.out) })
}

// Guards against stored answers growing without bound, and against a repeat
// running again after its answer was dropped.
func TestStoredAnswersAreBounded(t *testing.T) {
	h := newHarness(t, 1)
	const size = onceBytesLimit/4 + 1
	for i := range 5 {
		h.query(h.id(i), once)
		res := h.subs()[0].result(model.OutcomeOK)
		res.Result.Items[0].Doc = make([]byte, size)
		h.post(res)
	}
	if h.s.once.bytes > onceBytesLimit {
		t.Errorf("%d bytes stored", h.s.once.bytes)
	}
	h.refusal(h.query(h.id(0), once), model.MayHaveRun)
	h.answer(h.query(h.id(4), once))
}
