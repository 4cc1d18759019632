package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/pistachiousher/pistachiousher/pkg/api"
	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/peer/peerpb"
	"github.com/pistachiousher/pistachiousher/pkg/peer/peerpb/peerpbconnect"
)

// Execute is a request to run sub-requests. Their deadlines are not set; Left
// is the time left when the message arrived.
type Execute struct {
	Stream event.Stream
	Header model.Header
	Subs   []model.SubRequest
	Left   time.Duration
}

// Forward is a request that another daemon forwarded. Its deadline is not set;
// Left is the time left when the message arrived.
type Forward struct {
	Header  model.Header
	Request model.Request
	Left    time.Duration
}

// ErrBusy means that this daemon cannot accept the message, which had no effect.
var ErrBusy = errors.New("peer: daemon is busy")

// Handler handles the messages of other daemons. An error means that the message
// had no effect, unless stated otherwise.
type Handler interface {
	// Execute calls send for each result and returns when all are sent or ctx
	// has ended. After an error, some of the sub-requests may have run if a
	// result was sent.
	Execute(ctx context.Context, in Execute, send func(*model.SubResult) error) error
	Cancel(ctx context.Context, in event.CancelArrived) error
	Heartbeat(ctx context.Context, in event.HeartbeatArrived) (effect.ReplyHeartbeat, error)
	Exchange(ctx context.Context, in event.ExchangeArrived) (effect.ReplyExchange, error)
	Handover(ctx context.Context, in event.HandoverArrived) (effect.ReplyHandover, error)
	FetchDocument(ctx context.Context, in event.DocumentRequested) (effect.ReplyDocument, error)
	// Forward returns an answer or a refusal. After an error the request may
	// have run.
	Forward(ctx context.Context, in Forward) (*model.Answer, *model.Refusal, error)
	// Header returns the header of outgoing messages.
	Header() model.Header
}

// maxMessageBytes bounds a message, so that a broken peer cannot exhaust the
// daemon's memory.
const maxMessageBytes = 32 << 20

// compressMinBytes is the size of the smallest control message that is
// compressed.
const compressMinBytes = 1 << 10

// NewHandler returns the HTTP handler of the peer service.
func NewHandler(h Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerpbconnect.NewPeerServiceHandler(&server{h: h},
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithConditionalHandlerOptions(compressionOptions)))
	return mux
}

// compressionOptions turns compression off for the responses of Execute and
// Forward and limits it to larger ones for the other calls: gzip took a third of
// a daemon's processor time when it compressed each sub-result.
func compressionOptions(spec connect.Spec) []connect.HandlerOption {
	switch spec.Procedure {
	case peerpbconnect.PeerServiceExecuteProcedure, peerpbconnect.PeerServiceForwardProcedure:
		return []connect.HandlerOption{connect.WithCompressMinBytes(maxMessageBytes)}
	}
	return []connect.HandlerOption{connect.WithCompressMinBytes(compressMinBytes)}
}

// server adapts a Handler to the generated service.
type server struct{ h Handler }

// toConnectError returns a Handler's error with its connect error code.
func toConnectError(err error) error {
	switch {
	case errors.Is(err, ErrBusy):
		return connect.NewError(connect.CodeUnavailable, err)
	case errors.Is(err, context.DeadlineExceeded):
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	case errors.Is(err, context.Canceled):
		return connect.NewError(connect.CodeCanceled, err)
	}
	return connect.NewError(connect.CodeInternal, err)
}

func (s *server) Execute(ctx context.Context, req *connect.Request[peerpb.ExecuteRequest], stream *connect.ServerStream[peerpb.ExecuteResponse]) error {
	in := fromExecute(req.Msg)
	if len(in.Subs) == 0 {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("peer: no sub-requests"))
	}
	send := func(r *model.SubResult) error { return stream.Send(toResult(s.h.Header(), r)) }
	if err := s.h.Execute(ctx, in, send); err != nil {
		return toConnectError(err)
	}
	return nil
}

func (s *server) Cancel(ctx context.Context, req *connect.Request[peerpb.CancelRequest]) (*connect.Response[peerpb.CancelResponse], error) {
	in := event.CancelArrived{From: fromHeader(req.Msg.GetHeader()).From}
	for _, a := range req.Msg.GetAttempts() {
		in.Attempts = append(in.Attempts, model.AttemptID(a))
	}
	if err := s.h.Cancel(ctx, in); err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&peerpb.CancelResponse{Header: toHeader(s.h.Header())}), nil
}

func (s *server) Heartbeat(ctx context.Context, req *connect.Request[peerpb.HeartbeatRequest]) (*connect.Response[peerpb.HeartbeatResponse], error) {
	out, err := s.h.Heartbeat(ctx, event.HeartbeatArrived{
		Header: fromHeader(req.Msg.GetHeader()),
		Member: fromMember(req.Msg),
		Resign: req.Msg.GetResign(),
	})
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&peerpb.HeartbeatResponse{
		Header:   toHeader(out.Header),
		Result:   uint32(out.Result),
		Fenced:   toMemberRefs(out.Fenced),
		Closed:   toClosedEpochs(out.Closed),
		UptimeUs: out.Uptime.Microseconds(),
	}), nil
}

func (s *server) Exchange(ctx context.Context, req *connect.Request[peerpb.ExchangeRequest]) (*connect.Response[peerpb.ExchangeResponse], error) {
	out, err := s.h.Exchange(ctx, event.ExchangeArrived{
		Header:  fromHeader(req.Msg.GetHeader()),
		Servers: fromServerReports(req.Msg.GetServers()),
		Members: fromMemberReports(req.Msg.GetMembers()),
		Full:    req.Msg.GetFull(),
	})
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&peerpb.ExchangeResponse{
		Header:  toHeader(out.Header),
		Servers: toServerReports(out.Servers),
		Members: toMemberReports(out.Members),
	}), nil
}

func (s *server) FetchDocument(ctx context.Context, req *connect.Request[peerpb.FetchDocumentRequest]) (*connect.Response[peerpb.FetchDocumentResponse], error) {
	kind := req.Msg.GetKind()
	if kind < uint32(event.DocumentBundle) || kind > uint32(event.DocumentEpoch) {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("peer: unknown document kind %d", kind))
	}
	out, err := s.h.FetchDocument(ctx, event.DocumentRequested{
		Header: fromHeader(req.Msg.GetHeader()),
		Kind:   event.DocumentKind(kind),
	})
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&peerpb.FetchDocumentResponse{
		Header:  toHeader(out.Header),
		Version: out.Version,
		Data:    out.Raw,
	}), nil
}

func (s *server) Forward(ctx context.Context, req *connect.Request[peerpb.ForwardRequest]) (*connect.Response[peerpb.ForwardResponse], error) {
	answer, refusal, err := s.h.Forward(ctx, fromForward(req.Msg))
	if err != nil {
		return nil, toConnectError(err)
	}
	header := s.h.Header()
	out := &peerpb.ForwardResponse{Header: toHeader(header)}
	if answer != nil {
		out.Answer, err = api.EncodeAnswer(answer, header.Epoch)
	} else if refusal != nil {
		out.Refusal, err = json.Marshal(api.NewRefusal(refusal))
	}
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(out), nil
}

func (s *server) Handover(ctx context.Context, req *connect.Request[peerpb.HandoverRequest]) (*connect.Response[peerpb.HandoverResponse], error) {
	out, err := s.h.Handover(ctx, event.HandoverArrived{
		Header:  fromHeader(req.Msg.GetHeader()),
		Servers: fromServerNames(req.Msg.GetServers()),
	})
	if err != nil {
		return nil, toConnectError(err)
	}
	return connect.NewResponse(&peerpb.HandoverResponse{Header: toHeader(out.Header), Accepted: out.Accepted}), nil
}
