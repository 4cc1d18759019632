// Package objectapi is the client of the platform's object API and VM list.
// All calls of a daemon go through one Client, with one budget and one backoff
// after failures. The client never repeats a write: what to do after
// ErrUnknownOutcome is the caller's decision.
package objectapi

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// MaxValueBytes is the platform's limit on an object's value in bytes.
	MaxValueBytes = 1 << 20
	// maxReplyBytes bounds a reply in bytes; a list holds many values.
	maxReplyBytes = 64 << 20
	// maxReplyHeaderBytes bounds the head of a reply in bytes.
	maxReplyHeaderBytes = 16 << 10
	// maxWaitingCalls bounds the calls that wait for the budget or a pause, so that
	// work does not pile up during a long outage.
	maxWaitingCalls = 64
	// dialTimeout bounds the connection setup.
	dialTimeout = time.Second
)

// Options configure a Client.
type Options struct {
	// URLs are the base URLs of the platform, without a path; at least one.
	// After a call that fails the client uses the next URL.
	URLs []string
	// Rate is the budget in calls per second, and Burst the calls that may be
	// made at once.
	Rate  float64
	Burst int
	// OnCall, if set, is called with the operation and result of each call made.
	OnCall func(operation, result string)
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	urls     []string
	urlIndex atomic.Uint64
	http     *http.Client
	limiter  *rate.Limiter
	backoff  backoff
	onCall   func(operation, result string)
	calls    atomic.Uint64
	waiting  atomic.Int64
}

// New returns a client with one budget for all its calls.
func New(o Options) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	onCall := o.OnCall
	if onCall == nil {
		onCall = func(string, string) {}
	}
	urls := make([]string, len(o.URLs))
	for i, u := range o.URLs {
		urls[i] = strings.TrimSuffix(u, "/")
	}
	return &Client{
		urls: urls,
		http: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, MaxResponseHeaderBytes: maxReplyHeaderBytes,
		}},
		limiter: rate.NewLimiter(rate.Limit(o.Rate), o.Burst),
		onCall:  onCall,
	}
}

// url returns the base URL in use.
func (c *Client) url() string { return c.urls[c.urlIndex.Load()%uint64(len(c.urls))] }

// Calls returns the number of calls sent to the platform; a watch counts as
// one per poll.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// admit waits until the pause has ended and the budget allows a call. It fails
// at once if maxWaitingCalls calls wait already.
func (c *Client) admit(ctx context.Context) error {
	defer c.waiting.Add(-1)
	if c.waiting.Add(1) > maxWaitingCalls {
		return fmt.Errorf("%w: %d calls are already waiting for the budget or a pause", ErrUnavailable, maxWaitingCalls)
	}
	if err := c.backoff.wait(ctx); err != nil {
		return fmt.Errorf("%w: backing off: %w", ErrUnavailable, err)
	}
	if err := c.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("%w: call budget used up: %w", ErrUnavailable, err)
	}
	return nil
}
