// Package peer carries the messages between daemons over connect-go and
// unencrypted HTTP/2, and translates them to the types of pkg/model,
// pkg/core/event and pkg/core/effect. Deadlines are sent as the time left, since
// the clocks of two daemons cannot be compared.
package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/pistachiousher/pistachiousher/pkg/api"
	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/peer/peerpb"
	"github.com/pistachiousher/pistachiousher/pkg/peer/peerpb/peerpbconnect"
)

// Errors of the client.
var (
	// ErrNotSent means that the peer cannot have received the message.
	ErrNotSent = errors.New("peer: message not sent")
	// ErrFailed means that the peer may have acted on the message.
	ErrFailed = errors.New("peer: call failed")
)

// Client calls other daemons over one shared HTTP/2 transport. It is safe for
// concurrent use.
type Client struct {
	transport *http.Transport
	http      noReplayClient
	mu        sync.Mutex
	services  map[string]peerpbconnect.PeerServiceClient
}

// maxCachedServices bounds the cached clients, since VMs are replaced over the
// life of a process.
const maxCachedServices = 4096

// NewClient returns a client that reports its bytes to traffic, which may be
// nil.
func NewClient(traffic Traffic) *Client {
	t := newTransport(traffic)
	return &Client{
		transport: t,
		http:      noReplayClient{&http.Client{Transport: t}},
		services:  make(map[string]peerpbconnect.PeerServiceClient),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

func (c *Client) service(address string) peerpbconnect.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.services[address]; ok {
		return s
	}
	if len(c.services) >= maxCachedServices {
		clear(c.services)
	}
	s := peerpbconnect.NewPeerServiceClient(c.http, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
	c.services[address] = s
	return s
}

// withConnTrace returns a context for one call and a flag that is set once the
// call has a connection.
func withConnTrace(ctx context.Context) (context.Context, *atomic.Bool) {
	connected := new(atomic.Bool)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), connected
}

// callError wraps the error of a call in ErrNotSent if the call never had a
// connection, else in ErrFailed. That includes the answer of a busy peer, which
// did not act on the message.
func callError(connected *atomic.Bool, err error) error {
	if !connected.Load() {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("%w: %w", ErrFailed, err)
}

// Execute sends the sub-requests of one request with the time left and calls
// receive for each result until the stream ends.
func (c *Client) Execute(ctx context.Context, e effect.OpenExecute, h model.Header, left time.Duration, receive func(model.Header, model.SubResult)) error {
	if len(e.Subs) == 0 {
		return fmt.Errorf("%w: no sub-requests", ErrNotSent)
	}
	ctx, connected := withConnTrace(ctx)
	req := connect.NewRequest(toExecute(h, e.Stream, e.Subs, left))
	stream, err := c.service(e.Address).Execute(ctx, req)
	if err != nil {
		return callError(connected, err)
	}
	defer stream.Close()
	for stream.Receive() {
		receive(fromHeader(stream.Msg().GetHeader()), fromResult(stream.Msg()))
	}
	if err := stream.Err(); err != nil {
		return callError(connected, err)
	}
	return nil
}

// Cancel cancels attempts at an owner.
func (c *Client) Cancel(ctx context.Context, e effect.SendCancel, h model.Header) error {
	ctx, connected := withConnTrace(ctx)
	in := &peerpb.CancelRequest{Header: toHeader(h), Attempts: make([]uint64, len(e.Attempts))}
	for i, a := range e.Attempts {
		in.Attempts[i] = uint64(a)
	}
	if _, err := c.service(e.Address).Cancel(ctx, connect.NewRequest(in)); err != nil {
		return callError(connected, err)
	}
	return nil
}

// Heartbeat asks a panel member for a lease. It leaves SentAt of the result for
// the caller to set.
func (c *Client) Heartbeat(ctx context.Context, e effect.SendHeartbeat) (event.HeartbeatAnswered, error) {
	ctx, connected := withConnTrace(ctx)
	in := &peerpb.HeartbeatRequest{Header: toHeader(e.Header), Resign: e.Resign}
	setMember(in, e.Member)
	resp, err := c.service(e.Address).Heartbeat(ctx, connect.NewRequest(in))
	if err != nil {
		return event.HeartbeatAnswered{}, callError(connected, err)
	}
	return event.HeartbeatAnswered{
		ForEpoch: e.ForEpoch,
		Header:   fromHeader(resp.Msg.GetHeader()),
		Result:   model.LeaseResult(resp.Msg.GetResult()),
		Fenced:   fromMemberRefs(resp.Msg.GetFenced()),
		Closed:   fromClosedEpochs(resp.Msg.GetClosed()),
		Uptime:   fromMicros(resp.Msg.GetUptimeUs()),
	}, nil
}

// Exchange sends this daemon's reports and returns the peer's.
func (c *Client) Exchange(ctx context.Context, e effect.SendExchange) (event.ExchangeAnswered, error) {
	ctx, connected := withConnTrace(ctx)
	resp, err := c.service(e.Address).Exchange(ctx, connect.NewRequest(&peerpb.ExchangeRequest{
		Header:  toHeader(e.Header),
		Servers: toServerReports(e.Servers),
		Members: toMemberReports(e.Members),
		Full:    e.Full,
	}))
	if err != nil {
		return event.ExchangeAnswered{}, callError(connected, err)
	}
	return event.ExchangeAnswered{
		Header:  fromHeader(resp.Msg.GetHeader()),
		Servers: fromServerReports(resp.Msg.GetServers()),
		Members: fromMemberReports(resp.Msg.GetMembers()),
	}, nil
}

// Handover offers the ownership of servers to a peer and reports whether the
// peer accepted it.
func (c *Client) Handover(ctx context.Context, e effect.SendHandover) (bool, error) {
	ctx, connected := withConnTrace(ctx)
	in := &peerpb.HandoverRequest{Header: toHeader(e.Header), Servers: toServerNames(e.Servers)}
	resp, err := c.service(e.Address).Handover(ctx, connect.NewRequest(in))
	if err != nil {
		return false, callError(connected, err)
	}
	return resp.Msg.GetAccepted(), nil
}

// FetchDocument returns a peer's copy of a document. Version 0 means that the
// peer has none.
func (c *Client) FetchDocument(ctx context.Context, e effect.FetchDocument, h model.Header) (version uint64, raw []byte, err error) {
	ctx, connected := withConnTrace(ctx)
	in := &peerpb.FetchDocumentRequest{Header: toHeader(h), Kind: uint32(e.Kind)}
	resp, err := c.service(e.Address).FetchDocument(ctx, connect.NewRequest(in))
	if err != nil {
		return 0, nil, callError(connected, err)
	}
	return resp.Msg.GetVersion(), resp.Msg.GetData(), nil
}

// Forward forwards a request to a peer with the time left and returns its answer
// or refusal.
func (c *Client) Forward(ctx context.Context, e effect.ForwardQuery, h model.Header, left time.Duration) (*model.Answer, *model.Refusal, error) {
	ctx, connected := withConnTrace(ctx)
	resp, err := c.service(e.Address).Forward(ctx, connect.NewRequest(toForward(h, &e.Request, left)))
	if err != nil {
		return nil, nil, callError(connected, err)
	}
	return fromForwardResponse(resp.Msg)
}

func fromForwardResponse(in *peerpb.ForwardResponse) (*model.Answer, *model.Refusal, error) {
	if len(in.GetAnswer()) > 0 {
		a, err := api.DecodeAnswer(in.GetAnswer())
		if err != nil {
			return nil, nil, fmt.Errorf("%w: %w", ErrFailed, err)
		}
		return a.Model(), nil, nil
	}
	r := new(api.Refusal)
	if err := json.Unmarshal(in.GetRefusal(), r); err != nil {
		return nil, nil, fmt.Errorf("%w: neither answer nor refusal: %w", ErrFailed, err)
	}
	return nil, r.Model(), nil
}
