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

// call is one exchange with the platform.
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

// send makes the call once. A failure before the request can have reached the
// platform is ErrUnavailable. Later failures are ErrUnknownOutcome for a write
// and ErrUnavailable for a read.
func (c *Client) send(ctx context.Context, in call) (reply, error) {
	if err := c.admit(ctx); err != nil {
		return reply{}, err
	}
	c.calls.Add(1)
	out, err := c.roundTrip(ctx, in)
	if err == nil {
		err = refused(in, out)
	}
	c.note(ctx, in.operation, err)
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
		req.Body = &onceBody{data: in.body}
		req.ContentLength = int64(len(in.body))
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return reply{}, lost(in, connected.Load(), err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return reply{}, lost(in, true, err)
	}
	return reply{status: resp.StatusCode, body: body}, nil
}

// lost translates a transport error.
func lost(in call, connected bool, err error) error {
	if connected && in.method == http.MethodPut {
		return fmt.Errorf("%w: %s %s: %w", ErrUnknownOutcome, in.method, in.path, err)
	}
	return fmt.Errorf("%w: %s %s: %w", ErrUnavailable, in.method, in.path, err)
}

// refused translates the statuses that every call can get.
func refused(in call, out reply) error {
	switch {
	case out.status == http.StatusTooManyRequests, out.status == http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", ErrUnavailable, out.status)
	case out.status == http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case out.status >= http.StatusInternalServerError:
		return lost(in, true, fmt.Errorf("status %d", out.status))
	}
	return nil
}

// note updates the shared pause and the counters. A call that the caller gave
// up says nothing about the platform.
func (c *Client) note(ctx context.Context, operation string, err error) {
	switch {
	case err == nil, errors.Is(err, ErrTooLarge):
		c.pause.worked()
		c.onCall(operation, "ok")
	case errors.Is(ctx.Err(), context.Canceled):
		c.onCall(operation, "canceled")
	default:
		c.pause.failed(time.Now())
		c.current.Add(1)
		c.onCall(operation, "failed")
	}
}

// onceBody is a request body that net/http cannot rewind, so that no write is
// repeated by the transport.
type onceBody struct{ data []byte }

// Read implements io.Reader.
func (b *onceBody) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *onceBody) Close() error { return nil }

// decode reads a JSON reply; failures are ErrUnknownOutcome for a write.
func decode(in call, out reply, into any) error {
	err := json.Unmarshal(out.body, into)
	if err == nil {
		return nil
	}
	if in.method == http.MethodPut {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return fmt.Errorf("%w: %w", ErrInvalidReply, err)
}

// unexpected is the error for a status outside the protocol.
func unexpected(in call, out reply) error {
	return fmt.Errorf("%w: %s %s: status %d", ErrInvalidReply, in.method, in.path, out.status)
}
