package api

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Errors of the client. A refusal by the daemon is a *RefusalError.
var (
	// ErrUnreachable means that the request was not sent.
	ErrUnreachable = errors.New("api: daemon not reached")
	// ErrUnknownOutcome means that the request was sent and may have run, but
	// no valid response came.
	ErrUnknownOutcome = errors.New("api: outcome is unknown")
	// ErrMismatch means that the answer belongs to another request.
	ErrMismatch = errors.New("api: answer does not match the request")
)

// maxResponseBytes bounds a response body in bytes.
const maxResponseBytes = 64 << 20

// RefusalError is a daemon's refusal.
type RefusalError struct{ Refusal Refusal }

// Error implements error.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("api: refused as %s: %s", e.Refusal.Kind, e.Refusal.Reason)
}

// Versions are the configuration versions that a response states.
type Versions struct {
	Bundle uint64
	Epoch  uint64
}

// Client calls daemons as a caller does. It never sends a query twice.
type Client struct {
	// HTTP must not follow redirects or add retries; nil uses a default.
	HTTP *http.Client
}

var defaultHTTP = &http.Client{
	Transport:     &http.Transport{MaxIdleConnsPerHost: 64},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

func (c *Client) http() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return defaultHTTP
}

// Lookup asks the daemon at address (host:port) which daemons the caller
// should use.
func (c *Client) Lookup(ctx context.Context, address string, service model.ServiceName, caller model.CallerName) (*Lookup, error) {
	query := url.Values{"service": {string(service)}, "caller": {string(caller)}}
	body, status, _, err := c.sendOnce(ctx, http.MethodGet, "http://"+address+"/v1/lookup?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, refusalError(status, body)
	}
	l := new(Lookup)
	if err := json.Unmarshal(body, l); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return l, nil
}

// Query sends a request to the daemon at address (host:port) and checks that
// the answer is whole and belongs to the request. Errors: *RefusalError,
// ErrUnreachable, ErrUnknownOutcome, ErrTruncated, ErrMismatch.
func (c *Client) Query(ctx context.Context, address string, service model.ServiceName, q QueryRequest) (*Answer, Versions, error) {
	in, err := json.Marshal(q)
	if err != nil {
		return nil, Versions{}, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	target := "http://" + address + "/v1/services/" + url.PathEscape(string(service)) + "/query"
	body, status, versions, err := c.sendOnce(ctx, http.MethodPost, target, in)
	if err != nil {
		return nil, versions, err
	}
	if status != http.StatusOK {
		return nil, versions, refusalError(status, body)
	}
	a, err := DecodeAnswer(body)
	if err != nil {
		return nil, versions, err
	}
	if a.RequestID != q.RequestID || a.Service != service {
		return nil, versions, fmt.Errorf("%w: sent request %s, got the answer to %s", ErrMismatch, q.RequestID, a.RequestID)
	}
	return a, versions, nil
}

// sendOnce sends a request once. A failure before a connection was available is
// ErrUnreachable, a later one ErrUnknownOutcome.
func (c *Client) sendOnce(ctx context.Context, method, target string, body []byte) ([]byte, int, Versions, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, target, nil)
	if err != nil {
		return nil, 0, Versions{}, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if body != nil {
		// Set here and not by NewRequest, which would add GetBody and so allow
		// the transport to send the request twice.
		req.Body = io.NopCloser(bytes.NewReader(body))
		req.ContentLength = int64(len(body))
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http().Do(req)
	if err != nil && !connected.Load() {
		return nil, 0, Versions{}, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if err != nil {
		return nil, 0, Versions{}, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, 0, Versions{}, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return out, resp.StatusCode, versionsOf(resp.Header), nil
}

func versionsOf(h http.Header) Versions {
	// An absent header leaves 0, which no bundle or epoch has.
	bundle, _ := strconv.ParseUint(h.Get(HeaderBundleVersion), 10, 64)
	epoch, _ := strconv.ParseUint(h.Get(HeaderEpoch), 10, 64)
	return Versions{Bundle: bundle, Epoch: epoch}
}

func refusalError(status int, body []byte) error {
	var r Refusal
	if err := json.Unmarshal(body, &r); err != nil || r.Kind == "" {
		return fmt.Errorf("%w: got status %d with a body that is not a refusal", ErrUnknownOutcome, status)
	}
	return &RefusalError{Refusal: r}
}
