package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"reflect"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

var (
	ref        = model.MemberRef{VM: "vm1", Incarnation: 1<<63 + 5}
	ourHeader  = model.Header{From: ref, BundleVersion: 1, ControlsVersion: 2, Epoch: 3}
	peerHeader = model.Header{From: model.MemberRef{VM: "vm2", Incarnation: 9}, BundleVersion: 4, ControlsVersion: 5, Epoch: 6}
	snapshot   = model.Snapshot{Layout: "l", IndexVersion: 7}
	member     = model.Member{MemberRef: ref, FailureDomain: "vukovar", PeerAddress: "p:1", CallerAddress: "c:1", Leaving: true}
	servers    = []model.ServerReport{{Server: "leaf", Owner: ref, Sequence: 3, Usable: true, Limit: 2, Load: 1, Serves: []model.Serving{{Layout: "l", Shard: "s", Versions: []uint64{7, 8}}}}}
	members    = []model.MemberReport{{Member: member, Sequence: 4, Serving: true}}
	closed     = []event.ClosedEpoch{{Number: 2, Age: 3 * time.Millisecond, Fenced: []model.MemberRef{ref}}}
	result     = model.SubResult{
		Attempt: 11, Shard: "s", Server: "leaf", Snapshot: snapshot, Outcome: model.OutcomeVersionGone,
		Items: []model.Item{{ID: "a", Score: 0.1, Doc: []byte(`{"x": 1}`)}}, Count: 2, Versions: []uint64{8},
		ServiceTime: time.Millisecond, QueueTime: 2 * time.Millisecond, RetryAfter: 3 * time.Millisecond,
	}
)

// fakeHandler records the last message and answers with fixed values.
type fakeHandler struct {
	received any
	left     time.Duration
	// block, if not nil, makes Execute wait after its results until the stream
	// is closed and then receives the error of its context.
	block chan error
}

func (h *fakeHandler) Execute(ctx context.Context, in Execute, send func(*model.SubResult) error) error {
	h.received = in.Subs
	h.left = in.Left
	for range in.Subs {
		if err := send(&result); err != nil {
			return err
		}
	}
	if h.block != nil {
		<-ctx.Done()
		h.block <- ctx.Err()
	}
	return nil
}

func (h *fakeHandler) Cancel(_ context.Context, in event.CancelArrived) error {
	h.received = in
	return nil
}

func (h *fakeHandler) Heartbeat(_ context.Context, in event.HeartbeatArrived) (effect.ReplyHeartbeat, error) {
	h.received = in
	return effect.ReplyHeartbeat{Header: peerHeader, Result: model.LeaseFenced, Fenced: []model.MemberRef{ref}, Closed: closed, Uptime: time.Second}, nil
}

func (h *fakeHandler) Exchange(_ context.Context, in event.ExchangeArrived) (effect.ReplyExchange, error) {
	h.received = in
	return effect.ReplyExchange{Header: peerHeader, Servers: servers, Members: members}, nil
}

func (h *fakeHandler) Handover(_ context.Context, in event.HandoverArrived) (effect.ReplyHandover, error) {
	h.received = in
	return effect.ReplyHandover{Accepted: true}, nil
}

func (h *fakeHandler) FetchDocument(_ context.Context, in event.DocumentRequested) (effect.ReplyDocument, error) {
	h.received = in
	return effect.ReplyDocument{Version: 4, Raw: []byte("raw")}, nil
}

func (h *fakeHandler) Forward(_ context.Context, in Forward) (*model.Answer, *model.Refusal, error) {
	h.received = in.Request
	if in.Request.ID == "refuse" {
		return nil, &model.Refusal{RequestID: "refuse", Kind: model.MayHaveRun, Reason: "r", RetryAfter: time.Second}, nil
	}
	return &model.Answer{RequestID: in.Request.ID, Service: "s", Snapshot: snapshot, Asked: 1, Answered: 1, Complete: true, Items: result.Items}, nil, nil
}

func (h *fakeHandler) Header() model.Header { return peerHeader }

func startServer(t *testing.T, h Handler) (*Client, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(h)
	go s.Serve(ln)
	c := NewClient(nil)
	t.Cleanup(func() {
		c.Close()
		s.Close()
	})
	return c, ln.Addr().String()
}

func checkEqual(t *testing.T, what string, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s:\n got %+v\nwant %+v", what, got, want)
	}
}

// Guards against fields that are lost or mixed up in the conversion to and from
// messages.
func TestMessagesRoundTrip(t *testing.T) {
	h := new(fakeHandler)
	c, address := startServer(t, h)
	ctx := context.Background()

	answered, err := c.Heartbeat(ctx, effect.SendHeartbeat{Address: address, ForEpoch: 3, Header: ourHeader, Member: member, Resign: true})
	checkEqual(t, "heartbeat", h.received, event.HeartbeatArrived{Header: ourHeader, Member: member, Resign: true})
	checkEqual(t, "heartbeat answer", answered, event.HeartbeatAnswered{ForEpoch: 3, Header: peerHeader, Result: model.LeaseFenced, Fenced: []model.MemberRef{ref}, Closed: closed, Uptime: time.Second})
	checkEqual(t, "error", err, nil)

	exchanged, err := c.Exchange(ctx, effect.SendExchange{Address: address, Header: ourHeader, Servers: servers, Members: members, Full: true})
	checkEqual(t, "exchange", h.received, event.ExchangeArrived{Header: ourHeader, Servers: servers, Members: members, Full: true})
	checkEqual(t, "exchange answer", exchanged, event.ExchangeAnswered{Header: peerHeader, Servers: servers, Members: members})
	checkEqual(t, "error", err, nil)

	accepted, err := c.Handover(ctx, effect.SendHandover{Address: address, Header: ourHeader, Servers: []model.ServerName{"leaf"}})
	checkEqual(t, "handover", h.received, event.HandoverArrived{Header: ourHeader, Servers: []model.ServerName{"leaf"}})
	checkEqual(t, "handover answer", accepted, true)
	checkEqual(t, "error", err, nil)

	version, raw, err := c.FetchDocument(ctx, effect.FetchDocument{Kind: event.DocumentControls, Address: address}, ourHeader)
	checkEqual(t, "fetch", h.received, event.DocumentRequested{Header: ourHeader, Kind: event.DocumentControls})
	checkEqual(t, "document", string(raw), "raw")
	checkEqual(t, "version", version, uint64(4))
	checkEqual(t, "error", err, nil)

	err = c.Cancel(ctx, effect.SendCancel{Address: address, Attempts: []model.AttemptID{1, 2}}, ourHeader)
	checkEqual(t, "cancel", h.received, event.CancelArrived{From: ref, Attempts: []model.AttemptID{1, 2}})
	checkEqual(t, "error", err, nil)
}

// Guards against fields lost on the query path, where a wrong snapshot or
// outcome would change an answer.
func TestQueryMessagesRoundTrip(t *testing.T) {
	h := new(fakeHandler)
	c, address := startServer(t, h)
	sub := model.SubRequest{
		Attempt: 11, RequestID: "i", Service: "s", Caller: "c", Class: model.Bulk, Idempotent: true,
		Query: "q", Key: "k", TopK: 5, Snapshot: snapshot, Shard: "s", Server: "leaf",
	}
	other := sub
	other.Attempt, other.Shard, other.Server = 12, "s2", "leaf2"
	subs := []model.SubRequest{sub, other}
	var results []model.SubResult
	err := c.Execute(context.Background(), effect.OpenExecute{Stream: 8, Address: address, Subs: subs}, ourHeader, 250*time.Millisecond, func(header model.Header, r model.SubResult) {
		checkEqual(t, "header", header, peerHeader)
		results = append(results, r)
	})
	checkEqual(t, "error", err, nil)
	checkEqual(t, "sub-requests", h.received, subs)
	checkEqual(t, "time left", h.left, 250*time.Millisecond)
	checkEqual(t, "results", results, []model.SubResult{result, result})

	request := model.Request{ID: "i", Service: "s", Caller: "c", Class: model.Urgent, Query: "q", Key: "k", TopK: 3}
	answer, _, err := c.Forward(context.Background(), effect.ForwardQuery{Address: address, Request: request}, ourHeader, time.Second)
	checkEqual(t, "error", err, nil)
	checkEqual(t, "request", h.received, request)
	checkEqual(t, "items", answer.Items, result.Items)
	request.ID = "refuse"
	_, refusal, err := c.Forward(context.Background(), effect.ForwardQuery{Address: address, Request: request}, ourHeader, time.Second)
	checkEqual(t, "error", err, nil)
	checkEqual(t, "refusal", refusal, &model.Refusal{RequestID: "refuse", Kind: model.MayHaveRun, Reason: "r", RetryAfter: time.Second})
}

// Guards against an owner that keeps working for an entry daemon that closed
// its stream.
func TestClosedStreamReachesOwner(t *testing.T) {
	h := &fakeHandler{block: make(chan error, 1)}
	c, address := startServer(t, h)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	err := c.Execute(ctx, effect.OpenExecute{Address: address, Subs: make([]model.SubRequest, 1)}, ourHeader, time.Minute, func(model.Header, model.SubResult) { cancel() })
	if !errors.Is(err, ErrFailed) {
		t.Errorf("canceled call: %v, want ErrFailed", err)
	}
	select {
	case <-h.block:
	case <-time.After(2 * time.Second):
		t.Error("the owner's context was not canceled within 2 s")
	}
}

// Guards against errors that misstate whether the peer may have received a
// message, and against net/http sending a message twice.
func TestNotSentAndNoReplay(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	open := effect.OpenExecute{Address: ln.Addr().String(), Subs: make([]model.SubRequest, 1)}
	ln.Close()
	c := NewClient(nil)
	defer c.Close()
	if err := c.Execute(ctx, open, ourHeader, time.Second, nil); !errors.Is(err, ErrNotSent) {
		t.Errorf("refused connection: %v, want ErrNotSent", err)
	}

	var requests atomic.Int64
	ln, err = net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Protocols: unencryptedHTTP2(), Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		requests.Add(1)
		panic(http.ErrAbortHandler)
	})}
	go s.Serve(ln)
	defer s.Close()
	open.Address = ln.Addr().String()
	if err := c.Execute(ctx, open, ourHeader, time.Second, nil); !errors.Is(err, ErrFailed) || errors.Is(err, ErrNotSent) {
		t.Errorf("aborted stream: %v, want ErrFailed", err)
	}
	if n := requests.Load(); n != 1 {
		t.Errorf("the peer saw %d requests, want 1", n)
	}
}
