package runtime

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/backend"
	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/objectapi"
)

// fakeCore records each event and returns the effects that react gives for it.
type fakeCore struct {
	mu     sync.Mutex
	events []event.Event
	react  func(event.Event) []effect.Effect
	wake   func() model.Time
}

func (c *fakeCore) Step(e event.Event) []effect.Effect {
	c.mu.Lock()
	c.events = append(c.events, e)
	c.mu.Unlock()
	if _, ok := e.Body.(event.StopRequested); ok {
		return []effect.Effect{effect.Exit{Reason: "test"}}
	}
	if c.react == nil {
		return nil
	}
	return c.react(e)
}

func (c *fakeCore) NextWake() model.Time {
	if c.wake == nil {
		return model.Never
	}
	return c.wake()
}

func (c *fakeCore) Header() model.Header { return model.Header{BundleVersion: 5, Epoch: 6} }

// receivedEvents returns the recorded event bodies of type B.
func receivedEvents[B event.Body](c *fakeCore) []B {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []B
	for _, e := range c.events {
		if b, ok := e.Body.(B); ok {
			out = append(out, b)
		}
	}
	return out
}

// fakePeers answers every call and records its kind.
type fakePeers struct {
	mu      sync.Mutex
	calls   []string
	execute func(context.Context, effect.OpenExecute, func(model.Header, model.SubResult)) error
	err     error
}

func (p *fakePeers) recordCall(kind string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, kind)
}

func (p *fakePeers) Execute(ctx context.Context, e effect.OpenExecute, h model.Header, _ time.Duration, receive func(model.Header, model.SubResult)) error {
	p.recordCall("execute")
	if p.execute == nil {
		return p.err
	}
	return p.execute(ctx, e, receive)
}

func (p *fakePeers) Cancel(context.Context, effect.SendCancel, model.Header) error {
	p.recordCall("cancel")
	return p.err
}

func (p *fakePeers) Heartbeat(_ context.Context, e effect.SendHeartbeat) (event.HeartbeatAnswered, error) {
	p.recordCall("heartbeat")
	return event.HeartbeatAnswered{ForEpoch: e.ForEpoch, Result: model.LeaseGranted}, p.err
}

func (p *fakePeers) Exchange(context.Context, effect.SendExchange) (event.ExchangeAnswered, error) {
	p.recordCall("exchange")
	return event.ExchangeAnswered{}, p.err
}

func (p *fakePeers) Handover(context.Context, effect.SendHandover) (bool, error) {
	p.recordCall("handover")
	return true, p.err
}

func (p *fakePeers) FetchDocument(context.Context, effect.FetchDocument, model.Header) (uint64, []byte, error) {
	p.recordCall("fetch")
	return 4, []byte("raw"), p.err
}

func (p *fakePeers) Forward(_ context.Context, e effect.ForwardQuery, _ model.Header, _ time.Duration) (*model.Answer, *model.Refusal, error) {
	p.recordCall("forward")
	return &model.Answer{RequestID: e.Request.ID}, nil, p.err
}

// fakeBackends answers sub-requests with search and reports warm-up requests on
// warmed.
type fakeBackends struct {
	search func(context.Context, *model.SubRequest) backend.Reply
	warmed chan int
}

func (b *fakeBackends) Search(ctx context.Context, _ string, _ model.MemberRef, sub *model.SubRequest, _ time.Time) backend.Reply {
	r := b.search(ctx, sub)
	r.Result.Attempt = sub.Attempt
	return r
}

func (b *fakeBackends) Status(_ context.Context, server model.ServerName, _ string) (backend.Status, error) {
	return backend.Status{Server: "other", Load: 1}, nil
}

func (b *fakeBackends) Warm(_ model.ServerName, _ string, count int) { b.warmed <- count }

// fakePlatform stores objects in memory.
type fakePlatform struct {
	mu      sync.Mutex
	objects map[string]objectapi.Object
	puts    int
	// loseReplies makes writes take effect but return ErrUnknownOutcome.
	loseReplies bool
}

func (p *fakePlatform) Get(_ context.Context, key string) (objectapi.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.objects[key]
	if !ok {
		return o, objectapi.ErrNotFound
	}
	return o, nil
}

func (p *fakePlatform) Put(_ context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.puts++
	if have := p.objects[key].Version; have != ifVersion {
		return 0, &objectapi.ConflictError{Key: key, Version: have}
	}
	p.objects[key] = objectapi.Object{Key: key, Version: ifVersion + 1, Value: value}
	if p.loseReplies {
		return 0, objectapi.ErrUnknownOutcome
	}
	return ifVersion + 1, nil
}

func (p *fakePlatform) ReadBack(_ context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	o, err := p.Get(context.Background(), key)
	if err != nil || o.Version <= ifVersion || string(o.Value) != string(value) {
		return 0, objectapi.ErrUnknownOutcome
	}
	return o.Version, nil
}

func (p *fakePlatform) Watch(ctx context.Context, key string, after uint64, _ time.Duration) (objectapi.Object, bool, error) {
	for {
		o, err := p.Get(ctx, key)
		if err != nil || o.Version != after {
			return o, err == nil, err
		}
		select {
		case <-ctx.Done():
			return o, false, objectapi.ErrUnavailable
		case <-time.After(time.Millisecond):
		}
	}
}

func (p *fakePlatform) VMs(context.Context) ([]model.VMEntry, error) {
	return []model.VMEntry{{VM: "vm1", State: model.VMLive}}, nil
}

// fixture is a Loop with a fake core, fake peers, fake backend servers and a
// fake platform.
type fixture struct {
	*Loop
	core     *fakeCore
	peers    *fakePeers
	backends *fakeBackends
	platform *fakePlatform
}

// newFixture returns a loop that has not started.
func newFixture(t *testing.T, queue int) *fixture {
	t.Helper()
	f := &fixture{
		core:     &fakeCore{},
		peers:    &fakePeers{},
		backends: &fakeBackends{warmed: make(chan int, 1)},
		platform: &fakePlatform{objects: map[string]objectapi.Object{}},
	}
	f.Loop = New(Config{
		Core:     f.core,
		Peers:    f.peers,
		Backends: f.backends,
		Platform: f.platform,
		Region:   "r1",
		Queue:    queue,
		Decode: func(k event.DocumentKind, raw []byte) (event.Document, error) {
			return event.Document{Kind: k, Version: uint64(len(raw))}, nil
		},
	})
	return f
}

// run starts the loop and stops it at the end of the test.
func (f *fixture) run(t *testing.T) {
	t.Helper()
	done := make(chan error, 1)
	go func() {
		_, err := f.Run(context.Background())
		done <- err
	}()
	t.Cleanup(func() {
		f.Stop("end of test")
		select {
		case err := <-done:
			if err != nil {
				t.Errorf("loop ended with %v", err)
			}
		case <-time.After(5 * time.Second):
			t.Error("loop did not end in 5 s")
		}
	})
}

// emitOnStart makes the core emit effects when it handles event.Started.
func (f *fixture) emitOnStart(effects ...effect.Effect) {
	f.core.react = func(e event.Event) []effect.Effect {
		if _, ok := e.Body.(event.Started); ok {
			return effects
		}
		return nil
	}
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(3 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("did not happen within 3 s: %s", what)
		}
	}
}
