package objectapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// call is one request to the platform.
type call struct {
	operation string
	method    string
	// path with query, relative to the base URL.
	path string
	body []byte
}

// reply is a complete response.
type reply struct {
	status int
	body   []byte
}

// send makes the call once. If it fails before the request can have reached the
// platform, the error is ErrUnavailable. Later failures are ErrUnknownOutcome
// for a write and ErrUnavailable for a read.
func (c *Client) send(ctx context.Context, in call) (reply, error) {
	if err := c.admit(ctx); err != nil {
		return reply{}, err
	}
	c.calls.Add(1)
	out, err := c.roundTrip(ctx, in)
	if err == nil {
		err = statusError(in, out)
	}
	c.recordResult(ctx, in.operation, err)
	return out, err
}

func (c *Client) roundTrip(ctx context.Context, in call) (reply, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), in.method, c.url()+in.path, nil)
	if err != nil {
		return reply{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if in.body != nil {
		req.Body = &singleUseBody{data: in.body}
		req.ContentLength = int64(len(in.body))
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return reply{}, transportError(in, connected.Load(), err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return reply{}, transportError(in, true, err)
	}
	return reply{status: resp.StatusCode, body: body}, nil
}

// transportError classifies an error of the transport, given whether a connection
// was available for the request.
func transportError(in call, connected bool, err error) error {
	if connected && in.method == http.MethodPut {
		return fmt.Errorf("%w: %s %s: %w", ErrUnknownOutcome, in.method, in.path, err)
	}
	return fmt.Errorf("%w: %s %s: %w", ErrUnavailable, in.method, in.path, err)
}

// statusError returns the error for the statuses that every call can get.
func statusError(in call, out reply) error {
	switch {
	case out.status == http.StatusTooManyRequests, out.status == http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", ErrUnavailable, out.status)
	case out.status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case out.status >= http.StatusInternalServerError:
		return transportError(in, true, fmt.Errorf("status %d", out.status))
	}
	return nil
}

// recordResult updates the shared pause, the URL in use and the counters. A call
// that its caller cancelled says nothing about the platform.
func (c *Client) recordResult(ctx context.Context, operation string, err error) {
	switch {
	case err == nil, errors.Is(err, ErrTooLarge):
		c.backoff.recordSuccess()
		c.onCall(operation, "ok")
	case errors.Is(ctx.Err(), context.Canceled):
		c.onCall(operation, "canceled")
	default:
		c.backoff.recordFailure(time.Now())
		c.urlIndex.Add(1)
		c.onCall(operation, "failed")
	}
}

// singleUseBody is a request body that net/http cannot rewind, so that the
// transport repeats no write.
type singleUseBody struct{ data []byte }

// Read implements io.Reader.
func (b *singleUseBody) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *singleUseBody) Close() error { return nil }

// decodeReply decodes a JSON reply. A failure is ErrUnknownOutcome for a write and
// ErrInvalidReply for a read.
func decodeReply(in call, out reply, into any) error {
	err := json.Unmarshal(out.body, into)
	if err == nil {
		return nil
	}
	if in.method == http.MethodPut {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return fmt.Errorf("%w: %w", ErrInvalidReply, err)
}

// unexpectedStatus is the error for a status outside the protocol.
func unexpectedStatus(in call, out reply) error {
	return fmt.Errorf("%w: %s %s: status %d", ErrInvalidReply, in.method, in.path, out.status)
}
