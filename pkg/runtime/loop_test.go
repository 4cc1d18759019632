package runtime

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/backend"
	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/objectapi"
	"github.com/pistachiousher/pistachiousher/pkg/peer"
)

var farDeadline = model.Time(time.Hour)

// Guards against callers waiting on a full event queue: new work must be
// refused immediately as not run, and control events must still be queued.
func TestFullQueueRefusesCallers(t *testing.T) {
	f := newFixture(t, 8)
	for range f.callerQueueLimit {
		if !f.tryPost(event.QueryArrived{}) {
			t.Fatal("caller work refused below the limit")
		}
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	answer, refusal := f.Query(ctx, model.Request{ID: "i"}, time.Second)
	if answer != nil || refusal == nil || refusal.Kind != model.NotRun || refusal.RetryAfter <= 0 {
		t.Fatalf("answer %v, refusal %+v; want not_run", answer, refusal)
	}
	if took := time.Since(start); took > 500*time.Millisecond {
		t.Errorf("the refusal took %v", took)
	}
	if l := f.Lookup(ctx, "s", "c"); l == nil || l.Refusal == nil {
		t.Error("lookup was not refused")
	}
	if len(f.pending.waiting) != 0 {
		t.Errorf("%d replies are still awaited", len(f.pending.waiting))
	}
	posted := make(chan bool)
	go func() { posted <- f.post(event.StopRequested{}) }()
	select {
	case <-posted:
	case <-time.After(time.Second):
		t.Error("a control event was not queued within 1 s")
	}
}

// Guards against a reply that reaches the wrong request, and against requests
// that keep running because the core is not told that their caller left.
func TestReplyReachesItsRequest(t *testing.T) {
	f := newFixture(t, 0)
	f.core.react = func(e event.Event) []effect.Effect {
		switch b := e.Body.(type) {
		case event.QueryArrived:
			if b.Request.ID == "ignored" {
				return nil
			}
			return []effect.Effect{effect.ReplyQuery{Token: b.Token, Answer: &model.Answer{RequestID: b.Request.ID}}}
		case event.HeartbeatArrived:
			return []effect.Effect{effect.ReplyHeartbeat{Token: b.Token, Result: model.LeaseGranted}}
		}
		return nil
	}
	f.run(t)
	for _, id := range []model.RequestID{"a", "b", "c"} {
		if a, _ := f.Query(context.Background(), model.Request{ID: id}, time.Second); a == nil || a.RequestID != id {
			t.Errorf("request %s got %+v", id, a)
		}
	}
	if r, err := f.Heartbeat(context.Background(), event.HeartbeatArrived{}); err != nil || r.Result != model.LeaseGranted {
		t.Errorf("heartbeat: %+v, %v", r, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	if a, r := f.Query(ctx, model.Request{ID: "ignored"}, time.Second); a != nil || r != nil {
		t.Errorf("abandoned request got %v %v", a, r)
	}
	waitFor(t, "QueryAbandoned", func() bool { return len(receivedEvents[event.QueryAbandoned](f.core)) == 1 })
}

// Guards against effects that are dropped or sent to the wrong system: each
// must produce the event that the core waits for.
func TestEffectsEndInTheirEvents(t *testing.T) {
	f := newFixture(t, 0)
	f.backends.search = func(context.Context, *model.SubRequest) backend.Reply {
		return backend.Reply{Result: model.SubResult{Outcome: model.OutcomeOK}, Cold: true, Load: 3}
	}
	epoch := &model.Epoch{Region: "r1", Number: 1}
	f.emitOnStart(
		effect.SendHeartbeat{Peer: "vm2", ForEpoch: 9, Timeout: time.Second},
		effect.SendExchange{}, effect.SendHandover{Peer: "vm2"}, effect.SendCancel{},
		effect.FetchDocument{Kind: event.DocumentBundle, Address: "a:1"},
		effect.ForwardQuery{Token: 8, Request: model.Request{ID: "fw", Deadline: farDeadline}},
		effect.OpenExecute{Stream: 5, Subs: []model.SubRequest{{Deadline: farDeadline}}},
		effect.CallBackend{Sub: model.SubRequest{Attempt: 7}, Deadline: farDeadline},
		effect.PollBackend{Server: "leaf1"}, effect.WarmConnections{Count: 3},
		effect.ReadVMList{}, effect.ReadDocument{Kind: event.DocumentControls},
		effect.WriteEpoch{Epoch: epoch}, effect.WatchDocument{Kind: event.DocumentEpoch},
	)
	f.run(t)
	if n := <-f.backends.warmed; n != 3 {
		t.Errorf("asked to keep %d connections warm, want 3", n)
	}
	waitFor(t, "epoch written and watched", func() bool {
		return len(receivedEvents[event.EpochWritten](f.core)) == 1 && len(receivedEvents[event.VMListRead](f.core)) == 1 && len(receivedEvents[event.DocumentArrived](f.core)) == 2
	})
	waitFor(t, "answers of peers and servers", func() bool {
		return len(receivedEvents[event.HeartbeatAnswered](f.core)) == 1 && len(receivedEvents[event.ExchangeAnswered](f.core)) == 1 &&
			len(receivedEvents[event.HandoverAnswered](f.core)) == 1 && len(receivedEvents[event.ForwardAnswered](f.core)) == 1 &&
			len(receivedEvents[event.ExecuteEnded](f.core)) == 1 && len(receivedEvents[event.BackendAnswered](f.core)) == 1 &&
			len(receivedEvents[event.BackendStatus](f.core)) == 1
	})
	if b := receivedEvents[event.BackendAnswered](f.core)[0]; b.Result.Attempt != 7 || !b.Cold || b.Load != 3 {
		t.Errorf("backend answer %+v", b)
	}
	if s := receivedEvents[event.BackendStatus](f.core)[0]; s.Server != "leaf1" || s.Err == "" {
		t.Errorf("status of another server was accepted: %+v", s)
	}
	for _, d := range receivedEvents[event.DocumentArrived](f.core) {
		switch d.Document.Kind {
		case event.DocumentBundle:
			if d.Address != "a:1" || string(d.Document.Raw) != "raw" {
				t.Errorf("bundle %+v", d)
			}
		case event.DocumentEpoch:
			if d.ObjectVersion != 1 || d.Document.Epoch.Number != 1 {
				t.Errorf("epoch %+v", d)
			}
		}
	}
	waitFor(t, "missing controls", func() bool {
		for _, d := range receivedEvents[event.DocumentFailed](f.core) {
			if d.Kind == event.DocumentControls && d.NotFound {
				return true
			}
		}
		return false
	})
}

// Guards against cancels that do not reach the running attempt, and against an
// attempt that runs twice because a peer repeated its id.
func TestCancelBackendAndDuplicate(t *testing.T) {
	f := newFixture(t, 0)
	started := make(chan struct{}, 2)
	f.backends.search = func(ctx context.Context, _ *model.SubRequest) backend.Reply {
		started <- struct{}{}
		<-ctx.Done()
		return backend.Reply{Result: model.SubResult{Outcome: model.OutcomeCanceled}}
	}
	call := effect.CallBackend{From: model.MemberRef{VM: "vm2"}, Sub: model.SubRequest{Attempt: 1}, Deadline: farDeadline}
	f.core.react = func(e event.Event) []effect.Effect {
		switch e.Body.(type) {
		case event.Started:
			return []effect.Effect{call, call}
		case event.CancelArrived:
			return []effect.Effect{effect.CancelBackend{From: call.From, Attempt: 1}}
		}
		return nil
	}
	f.run(t)
	<-started
	if n := len(receivedEvents[event.BackendAnswered](f.core)); n != 0 {
		t.Fatalf("%d answers before the cancel", n)
	}
	f.Cancel(context.Background(), event.CancelArrived{})
	waitFor(t, "answer after the cancel", func() bool { return len(receivedEvents[event.BackendAnswered](f.core)) == 1 })
	time.Sleep(20 * time.Millisecond)
	if len(started) != 0 {
		t.Error("the repeated attempt was run")
	}
}

// Guards against results lost between an owner's reducer and its peer, against
// streams opened twice, and against work that continues for a peer that left.
func TestExecuteStreamAtOwner(t *testing.T) {
	f := newFixture(t, 0)
	key := event.Stream{From: model.MemberRef{VM: "vm2", Incarnation: 3}, ID: 4}
	f.core.react = func(e event.Event) []effect.Effect {
		b, ok := e.Body.(event.ExecuteArrived)
		if !ok || len(b.Subs) == 1 {
			return nil
		}
		if left := b.Subs[0].Deadline.Sub(e.Now); left <= 0 || left > time.Second {
			t.Errorf("time left %v, want more than 0 and at most 1 s", left)
		}
		return []effect.Effect{
			effect.SendSubResult{Stream: b.Stream, Result: model.SubResult{Attempt: 1}},
			effect.SendSubResult{Stream: b.Stream, Result: model.SubResult{Attempt: 2}, Last: true},
		}
	}
	f.run(t)
	in := peer.Execute{Stream: key, Subs: make([]model.SubRequest, 2), Left: time.Second}
	var got []model.AttemptID
	err := f.Execute(context.Background(), in, func(r *model.SubResult) error {
		if len(got) == 0 {
			if err := f.Execute(context.Background(), in, nil); !errors.Is(err, peer.ErrBusy) {
				t.Errorf("second stream with the same number: %v, want ErrBusy", err)
			}
		}
		got = append(got, r.Attempt)
		return nil
	})
	if err != nil || len(got) != 2 || got[0] != 1 || got[1] != 2 {
		t.Errorf("results %v, %v", got, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	in.Subs = in.Subs[:1]
	if err := f.Execute(ctx, in, nil); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("stream without results: %v, want DeadlineExceeded", err)
	}
	waitFor(t, "ExecuteGone", func() bool { return len(receivedEvents[event.ExecuteGone](f.core)) == 1 })
}

// Guards against repeating a write whose reply was lost: the object must be read
// back instead.
func TestLostEpochWriteIsReadBack(t *testing.T) {
	f := newFixture(t, 0)
	f.platform.loseReplies = true
	f.platform.objects[ControlsKey] = objectapi.Object{Version: 8}
	f.emitOnStart(effect.WriteEpoch{Epoch: &model.Epoch{Region: "r1", Number: 1}}, effect.ConfirmDocument{Kind: event.DocumentControls, ObjectVersion: 7})
	f.run(t)
	waitFor(t, "both results", func() bool {
		return len(receivedEvents[event.EpochWritten](f.core)) == 1 && len(receivedEvents[event.DocumentConfirmed](f.core)) == 1
	})
	if w := receivedEvents[event.EpochWritten](f.core)[0]; w.Err != "" || w.Conflict || w.ObjectVersion != 1 {
		t.Errorf("epoch: %+v", w)
	}
	if c := receivedEvents[event.DocumentConfirmed](f.core)[0]; !c.Conflict || c.ObjectVersion != 8 || c.Err != "" {
		t.Errorf("confirm: %+v", c)
	}
	if f.platform.puts != 2 {
		t.Errorf("%d writes, want 2", f.platform.puts)
	}
}

// Guards against event times that go backwards and against ticks that never
// fire.
func TestTicksFireAndTimeNeverGoesBack(t *testing.T) {
	f := newFixture(t, 0)
	var ticks int
	f.core.react = func(e event.Event) []effect.Effect {
		if _, ok := e.Body.(event.Tick); ok {
			ticks++
		}
		return nil
	}
	f.core.wake = func() model.Time {
		if ticks >= 3 {
			return model.Never
		}
		return model.Time(ticks+1) * model.Time(5*time.Millisecond)
	}
	f.run(t)
	waitFor(t, "three ticks", func() bool { return len(receivedEvents[event.Tick](f.core)) == 3 })
	f.core.mu.Lock()
	defer f.core.mu.Unlock()
	for i := 1; i < len(f.core.events); i++ {
		if f.core.events[i].Now < f.core.events[i-1].Now {
			t.Errorf("event %d is earlier than the one before", i)
		}
	}
}

// Guards against a graceful shutdown that loses results: those that the reducer
// delivered before the loop ended must still be sent.
func TestStopSendsBufferedResults(t *testing.T) {
	const subs = 50
	f := newFixture(t, 0)
	f.core.react = func(e event.Event) []effect.Effect {
		b, ok := e.Body.(event.ExecuteArrived)
		if !ok {
			return nil
		}
		var out []effect.Effect
		for i := range b.Subs {
			out = append(out, effect.SendSubResult{Stream: b.Stream, Last: i == len(b.Subs)-1})
		}
		return append(out, effect.Exit{Reason: "test"})
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(context.Background())
	}()
	sent := 0
	err := f.Execute(context.Background(), peer.Execute{Subs: make([]model.SubRequest, subs), Left: time.Second}, func(*model.SubResult) error {
		<-done
		sent++
		return nil
	})
	if err != nil || sent != subs {
		t.Errorf("sent %d of %d results, %v", sent, subs, err)
	}
}

// BenchmarkQuery measures the loop's overhead per request: two channel
// operations, reading the clock and delivering the reply by token.
func BenchmarkQuery(b *testing.B) {
	core := &benchCore{}
	l := New(Config{Core: core})
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(context.Background())
	}()
	b.ReportAllocs()
	for b.Loop() {
		if a, _ := l.Query(context.Background(), model.Request{}, time.Second); a == nil {
			b.Fatal("no answer")
		}
	}
	l.Stop("end")
	<-done
}

// benchCore answers each query at once and records no events.
type benchCore struct{ out []effect.Effect }

func (c *benchCore) Step(e event.Event) []effect.Effect {
	c.out = c.out[:0]
	switch b := e.Body.(type) {
	case event.QueryArrived:
		c.out = append(c.out, effect.ReplyQuery{Token: b.Token, Answer: &model.Answer{}})
	case event.StopRequested:
		c.out = append(c.out, effect.Exit{})
	}
	return c.out
}

func (c *benchCore) NextWake() model.Time { return model.Never }

func (c *benchCore) Header() model.Header { return model.Header{} }
