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
	// callerPatience is how long after the deadline a caller gives up, as with
	// a daemon that is stopped.
	callerPatience = 500 * time.Millisecond
	// DefaultRate is the rate of queries and half of that of orders, per second.
	DefaultRate = 40
	// sessions is the number of callers, each of which keeps lookups of its own: a
	// single one would send all requests to one daemon for as long as a lookup is
	// kept.
	sessions  = 8
	topK      = 10
	queryText = "leather spine folio"
)

// Request is a request of the load and how it ended.
type Request struct {
	ID         model.RequestID
	Service    model.ServiceName
	Idempotent bool
	// Sent and Ended are the caller's times.
	Sent, Ended time.Time
	Answer      *api.Answer
	Err         error
}

// Refused returns the kind of the daemon's refusal, or an empty one.
func (r *Request) Refused() model.RefusalKind {
	var refusal *api.RefusalError
	if errors.As(r.Err, &refusal) {
		return refusal.Refusal.Kind
	}
	return ""
}

// Complete reports whether the answer covers all shards.
func (r *Request) Complete() bool { return r.Answer != nil && r.Answer.Complete }

// Load sends queries and orders at a steady rate, whatever the answers, as
// well-behaved callers that take turns.
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

// StartLoad starts a load over the daemons: rate queries of all shards and half
// as many orders a second.
func (t *Tier) StartLoad(rate int) *Load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Load{cancel: cancel}
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	client := &api.Client{HTTP: &http.Client{Transport: &counted{base: transport, load: l}}}
	for range sessions {
		l.sessions = append(l.sessions, api.NewSession(client, t.Callers()))
	}
	l.sending.Go(func() { l.send(ctx, ServiceArchive, true, time.Second/time.Duration(rate)) })
	l.sending.Go(func() { l.send(ctx, ServiceOrders, false, 2*time.Second/time.Duration(rate)) })
	return l
}

// counted counts the requests to /query that got no response.
type counted struct {
	base http.RoundTripper
	load *Load
}

// RoundTrip implements http.RoundTripper.
func (c *counted) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := c.base.RoundTrip(r)
	if err != nil && strings.HasSuffix(r.URL.Path, "/query") {
		c.load.connectErrors.Add(1)
	}
	return resp, err
}

func (l *Load) send(ctx context.Context, service model.ServiceName, idempotent bool, every time.Duration) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.sending.Go(func() { l.one(service, idempotent) })
		}
	}
}

func (l *Load) one(service model.ServiceName, idempotent bool) {
	ctx, cancel := context.WithTimeout(context.Background(), queryDeadline+callerPatience)
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

// Stop ends the load and waits for the last answers.
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
	var some []*Request
	for _, r := range l.Requests() {
		if r.Service == service && !r.Sent.Before(from) && r.Sent.Before(to) {
			some = append(some, r)
		}
	}
	return some
}

// ConnectErrors returns how many requests got no response from a daemon.
func (l *Load) ConnectErrors() int64 { return l.connectErrors.Load() }
