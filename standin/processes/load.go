package processes

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/api"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	queryDeadline = 2 * time.Second
	// callerGrace is how long a caller waits past the deadline for an answer, which
	// never comes from a suspended daemon.
	callerGrace = 500 * time.Millisecond
	// DefaultRate is the number of queries per second. Orders are sent at half
	// this rate.
	DefaultRate = 40
	// sessions is the number of api.Sessions, each of which caches its own lookups.
	// A single session would send all requests to one daemon until its cached
	// lookup expires.
	sessions  = 8
	topK      = 10
	queryText = "leather spine folio"
)

// Request is a request that the load sent, with its outcome.
type Request struct {
	ID         model.RequestID
	Service    model.ServiceName
	Idempotent bool
	// Sent and Ended are taken at the caller.
	Sent, Ended time.Time
	Answer      *api.Answer
	Err         error
}

// Refused returns the kind of the daemon's refusal, or "" if it did not refuse.
func (r *Request) Refused() model.RefusalKind {
	var refusal *api.RefusalError
	if errors.As(r.Err, &refusal) {
		return refusal.Refusal.Kind
	}
	return ""
}

// Complete reports whether the answer covers all shards.
func (r *Request) Complete() bool { return r.Answer != nil && r.Answer.Complete }

// Load sends queries and orders at a constant rate that does not depend on the
// answers. The sessions take turns.
type Load struct {
	sessions []*api.Session
	turn     atomic.Uint64
	cancel   context.CancelFunc
	sending  sync.WaitGroup
	// connectErrors counts requests, not lookups, that failed without an HTTP
	// response.
	connectErrors atomic.Int64

	mu       sync.Mutex
	requests []*Request
}

// StartLoad starts sending requests to the daemons: per second, rate queries that
// touch all shards, and half as many orders.
func (t *Tier) StartLoad(rate int) *Load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{cancel: cancel}
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	client := &api.Client{HTTP: &http.Client{Transport: &countingTransport{base: transport, load: l}}}
	for range sessions {
		l.sessions = append(l.sessions, api.NewSession(client, t.Callers()))
	}
	l.sending.Go(func() { l.sendAtInterval(ctx, ServiceArchive, true, time.Second/time.Duration(rate)) })
	l.sending.Go(func() { l.sendAtInterval(ctx, ServiceOrders, false, 2*time.Second/time.Duration(rate)) })
	return l
}

// countingTransport counts the requests to /query that got no HTTP response.
type countingTransport struct {
	base http.RoundTripper
	load *Load
}

// RoundTrip implements http.RoundTripper.
func (c *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := c.base.RoundTrip(r)
	if err != nil && strings.HasSuffix(r.URL.Path, "/query") {
		c.load.connectErrors.Add(1)
	}
	return resp, err
}

func (l *Load) sendAtInterval(ctx context.Context, service model.ServiceName, idempotent bool, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.sending.Go(func() { l.sendRequest(service, idempotent) })
		}
	}
}

func (l *Load) sendRequest(service model.ServiceName, idempotent bool) {
	ctx, cancel := context.WithTimeout(context.Background(), queryDeadline+callerGrace)
	defer cancel()
	r := &Request{Service: service, Idempotent: idempotent, Sent: time.Now()}
	session := l.sessions[l.turn.Add(1)%sessions]
	r.Answer, r.ID, r.Err = session.Query(ctx, service, api.QueryRequest{
		Caller: Caller, Idempotent: idempotent, DeadlineMS: queryDeadline.Milliseconds(), Query: queryText, TopK: topK,
	})
	r.Ended = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
}

// Stop sends no further requests and waits until all sent ones have ended.
func (l *Load) Stop() {
	l.cancel()
	l.sending.Wait()
}

// Requests returns the requests that have ended.
func (l *Load) Requests() []*Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*Request(nil), l.requests...)
}

// Between returns the requests of a service that were sent in [from, to).
func (l *Load) Between(service model.ServiceName, from, to time.Time) []*Request {
	var matching []*Request
	for _, r := range l.Requests() {
		if r.Service == service && !r.Sent.Before(from) && r.Sent.Before(to) {
			matching = append(matching, r)
		}
	}
	return matching
}

// ConnectErrors returns how many queries and orders, not lookups, got no HTTP
// response from a daemon.
func (l *Load) ConnectErrors() int64 { return l.connectErrors.Load() }
