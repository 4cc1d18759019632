// Package operator is the operators' part of the control plane: it changes
// bundles and controls on the platform by conditional updates and asks daemons
// whether a change is in force.
//
// After a lost reply it reads the object back and compares before it says what
// happened. It never repeats a write whose outcome is unknown.
package operator

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
	"strings"
	"sync/atomic"
	"time"
)

const (
	// callTimeout bounds one call to the platform, which answers within
	// milliseconds when it is up.
	callTimeout = 5 * time.Second
	// maxReply bounds a reply in bytes; a list holds many values.
	maxReply = 64 << 20
)

// Object is one versioned value of the platform, base64 in JSON.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Client calls the platform's object API.
type Client struct {
	addresses []string
	http      *http.Client
}

// NewClient returns a client of the platform at the addresses (ip:port), which
// are tried in order.
func NewClient(addresses []string) *Client {
	transport := &http.Transport{DisableKeepAlives: true}
	return &Client{addresses: addresses, http: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// Get reads an object.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var o Object
	status, body, err := c.call(ctx, http.MethodGet, objectPath(key), nil)
	if err != nil {
		return o, err
	}
	if status == http.StatusNotFound {
		return o, fmt.Errorf("%w: %s", ErrNotFound, key)
	}
	return o, decodeReply(key, status, body, &o)
}

// List returns the objects whose keys start with prefix. The platform may
// leave out their values.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	var list struct {
		Objects []Object `json:"objects"`
	}
	path := "/v1/objects?" + url.Values{"prefix": {prefix}}.Encode()
	status, body, err := c.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	err = decodeReply(prefix, status, body, &list)
	return list.Objects, err
}

// put writes an object if it still has ifVersion; 0 means that it must not
// exist. It returns the new version.
func (c *Client) put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	in, err := json.Marshal(struct {
		Value []byte `json:"value"`
	}{value})
	if err != nil {
		return 0, fmt.Errorf("operator: encode %s: %w", key, err)
	}
	path := fmt.Sprintf("%s?if_version=%d", objectPath(key), ifVersion)
	status, body, err := c.call(ctx, http.MethodPut, path, in)
	if err != nil {
		return 0, err
	}
	var reply struct {
		Version uint64 `json:"version"`
	}
	switch {
	case status == http.StatusConflict:
		return 0, &ErrChanged{Key: key}
	case status == http.StatusRequestEntityTooLarge:
		return 0, ErrTooLarge
	case status >= http.StatusInternalServerError:
		return 0, fmt.Errorf("%w: status %d", ErrUnknownOutcome, status)
	}
	if err := decodeReply(key, status, body, &reply); err != nil && status == http.StatusOK {
		return 0, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	} else if err != nil {
		return 0, err
	}
	return reply.Version, nil
}

// objectPath keeps the slashes of a key, which are part of the path.
func objectPath(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return "/v1/objects/" + strings.Join(parts, "/")
}

func decodeReply(key string, status int, body []byte, v any) error {
	if status != http.StatusOK {
		return fmt.Errorf("%w: %s: status %d", ErrInvalidReply, key, status)
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrInvalidReply, key, err)
	}
	return nil
}

// call sends to the first address that takes the call. It goes on to the next
// only after an ErrUnavailable, which had no effect.
func (c *Client) call(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	errs := []error{ErrUnavailable}
	for _, address := range c.addresses {
		status, reply, err := c.callAt(ctx, method, "http://"+address+path, body)
		if !errors.Is(err, ErrUnavailable) {
			return status, reply, err
		}
		errs = append(errs, err)
	}
	return 0, nil, errors.Join(errs...)
}

func (c *Client) callAt(ctx context.Context, method, target string, body []byte) (int, []byte, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, target, nil)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if body != nil {
		// Set here and not by NewRequest, which would add GetBody and so allow
		// the transport to send the write twice.
		req.Body = io.NopCloser(bytes.NewReader(body))
		req.ContentLength = int64(len(body))
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, lost(method, connected.Load(), err)
	}
	defer resp.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	switch {
	case err != nil:
		return 0, nil, lost(method, true, err)
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusTooManyRequests:
		return 0, nil, fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
	}
	return resp.StatusCode, reply, nil
}

// lost translates a transport error: a write that may have left is unknown.
func lost(method string, connected bool, err error) error {
	if connected && method == http.MethodPut {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}
