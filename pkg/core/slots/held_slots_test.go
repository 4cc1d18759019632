package slots

import (
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Guards against a slot that is lost after a canceled call, and against one
// that is reused before the server has noticed the cancel. A frozen server
// does not notice it.
func TestCanceledCallFreesSlotAfterDelay(t *testing.T) {
	h := newHarness(t, testBundle(model.RoutingOwned, 10, model.BackendServer{Slots: 1}))
	first := h.execute(1, model.SubRequest{})
	waiting := h.execute(1, model.SubRequest{})
	next := h.execute(1, model.SubRequest{})
	cancel := event.CancelArrived{From: entry, Attempts: []model.AttemptID{first, waiting}}
	h.step(func(m event.Meta, out *effect.List) { h.state.CancelArrived(m, cancel, out) })
	if got := h.outcome(waiting); !got.NotSent() {
		t.Errorf("canceled while waiting: %v", got)
	}
	if len(h.calls) != 1 {
		t.Fatal("a slot was reused before the call had ended")
	}
	h.answer(0, model.OutcomeCanceled, false)
	if len(h.calls) != 0 || h.state.InFlight("b1") != 1 {
		t.Fatal("the slot was free before the server could notice the cancel")
	}
	h.advance(10 * defaultReleaseDelay)
	if len(h.calls) != 0 || h.polls == 0 {
		t.Fatalf("%d calls to a server that has not responded since the cancel, %d status reads", len(h.calls), h.polls)
	}
	h.reportStatus(event.BackendStatus{})
	h.advance(defaultReleaseDelay)
	if len(h.calls) != 1 || h.calls[0].sub.Attempt != next {
		t.Fatal("the slot of the canceled call is not free after the server responded")
	}
}

// Guards against a slot that is reused after a fixed time while a server that
// is short of processor time has not noticed the cancel yet, and against a
// slot that stays taken after the server has ended the call.
func TestHeldSlotIsFreeWhenServerEndsCall(t *testing.T) {
	h := newHarness(t, testBundle(model.RoutingOwned, 10, model.BackendServer{Slots: 1}))
	h.execute(1, model.SubRequest{})
	next := h.execute(1, model.SubRequest{Deadline: h.now.Add(10 * time.Second)})
	h.cutOff(0, model.OutcomeCanceled)
	h.reportStatus(event.BackendStatus{})
	h.advance(500 * time.Millisecond)
	h.reportStatus(event.BackendStatus{})
	if len(h.calls) != 0 || h.state.InFlight("b1") != 1 {
		t.Fatal("the slot was reused before the server ended the call")
	}
	h.slotReleased("b1", true)
	if len(h.calls) != 1 || h.calls[0].sub.Attempt != next {
		t.Fatal("the slot stays taken after the server ended the call")
	}
	h.slotReleased("b1", true)
	if len(h.calls) != 1 || h.state.InFlight("b1") != 1 {
		t.Fatal("a second release freed the slot of a running call")
	}
}

// Guards against a frozen server that stays in use because all its slots are
// held, so that no further call could show that it does not respond.
func TestSilentServerWithHeldSlotsIsUnusable(t *testing.T) {
	h := newHarness(t, testBundle(model.RoutingOwned, 10, model.BackendServer{Slots: 1}))
	h.execute(1, model.SubRequest{})
	h.advance(time.Millisecond)
	h.cutOff(0, model.OutcomeCanceled)
	h.advance(2 * silenceLimit)
	if h.state.Reports()[0].Usable {
		t.Error("a server that does not respond is reported as usable")
	}
}

// Guards against a slot of a frozen server that is reused merely because the
// wait for the server to close the connection has ended.
func TestFrozenServerKeepsSlotTaken(t *testing.T) {
	h := newHarness(t, testBundle(model.RoutingOwned, 10, model.BackendServer{Slots: 1}))
	h.execute(1, model.SubRequest{})
	h.execute(1, model.SubRequest{Deadline: h.now.Add(10 * time.Second)})
	h.advance(time.Millisecond)
	h.cutOff(0, model.OutcomeTimeout)
	h.slotReleased("b1", false)
	h.advance(10 * defaultReleaseDelay)
	if len(h.calls) != 0 {
		t.Fatal("a call was sent to a server that has not responded since the timeout")
	}
	h.reportStatus(event.BackendStatus{})
	h.advance(defaultReleaseDelay)
	if len(h.calls) != 1 {
		t.Fatal("the slot stays taken after the server responded")
	}
}
