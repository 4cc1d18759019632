package leafconn

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Errors of an exchange whose request was sent, at least in part: the request
// may have run.
var (
	ErrSend          = errors.New("leafconn: sending the request failed")
	ErrReceive       = errors.New("leafconn: the answer is incomplete")
	ErrForeignAnswer = errors.New("leafconn: the answer belongs to another request")
)

const (
	// maxForeignAnswers is the number of answers to other requests that are skipped
	// while waiting for the answer to this one.
	maxForeignAnswers = 2
	// answerGrace is how long after a leaf's deadline its answer may still arrive.
	answerGrace = 500 * time.Millisecond
)

// Match tells whether an answer belongs to a request.
type Match uint8

// Matches of an answer.
const (
	// MatchForeign is an answer that names another request.
	MatchForeign Match = iota
	// MatchNoID is an answer that names no request. It is accepted only if no answer
	// on its connection has named its request, since the leaf then names none.
	MatchNoID
	// MatchOwn is an answer that names the request.
	MatchOwn
)

// Exchange is one request to a leaf and its answer.
type Exchange struct {
	// Server names the leaf, Address is its ip:port.
	Server  string
	Address string
	Request *http.Request
	// WriteRequest, if set, writes the request instead of Request.Write. Request then tells
	// only the method.
	WriteRequest func(*bytes.Buffer) error
	// Match tells whether an answer belongs to this request.
	Match func(*http.Response) Match
	// ReduceBody, if set, reads the body of the answer, of which it may return a part,
	// instead of keeping it whole. It returns an error for a body that it does not read
	// to its end.
	ReduceBody func(body io.Reader) ([]byte, error)
	// NeedsNewConnection rules out idle connections: on one of them a second answer to
	// an earlier attempt of the same request may arrive, which names the same request.
	NeedsNewConnection bool
	// LeafDeadline is when the leaf has to be done; its answer is waited for up to
	// answerGrace longer.
	LeafDeadline time.Time
	// MaxIdle is the number of idle connections that may be kept to the leaf.
	MaxIdle int
	// BeforeSend, if set, is called before the first byte is sent and may change the
	// request's header. If it returns false, nothing is sent and the connection is
	// kept.
	BeforeSend func() bool

	mu   sync.Mutex
	conn *conn
	// dial cancels the running dial, if any.
	dial      context.CancelFunc
	cancelled bool
}

// Answer is a leaf's complete answer. Its memory is returned with Pool.Release.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// held is the number of bytes of the pool's budget that are reserved for it.
	held int64
}

// Cancel ends the exchange by closing its connection, upon which the leaf drops the
// request.
func (x *Exchange) Cancel() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelled = true
	if x.dial != nil {
		x.dial()
	}
	if x.conn != nil {
		x.conn.Close()
	}
}

// attach makes c the connection that Cancel closes. It fails if Cancel came first.
func (x *Exchange) attach(c *conn) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = c
	if x.cancelled {
		return ErrCancelled
	}
	return nil
}

// detach makes Cancel leave the connection alone. It fails if Cancel came first.
func (x *Exchange) detach() error { return x.attach(nil) }

// Do runs the exchange once. Errors: ErrConnect if nothing was sent, ErrCancelled if
// BeforeSend returned false or Cancel came before the complete answer, and those of a
// request that may have run.
func (p *Pool) Do(x *Exchange) (*Answer, error) {
	c, err := p.connect(x)
	if err != nil {
		return nil, err
	}
	if err := x.attach(c); err != nil {
		c.Close()
		return nil, err
	}
	answer, keepFor, err := p.roundTrip(x, c)
	if cancelled := x.detach(); cancelled != nil {
		c.Close()
		if answer != nil {
			return answer, nil
		}
		return nil, cancelled
	}
	if keepFor <= 0 {
		c.Close()
		return answer, err
	}
	p.putIdle(c, keepFor, x.MaxIdle)
	return answer, err
}

// connect returns an idle connection or opens a new one.
func (p *Pool) connect(x *Exchange) (*conn, error) {
	if !x.NeedsNewConnection {
		if c := p.takeIdle(x.Server); c != nil {
			return c, nil
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), x.LeafDeadline)
	defer cancel()
	x.mu.Lock()
	x.dial = cancel
	cancelled := x.cancelled
	x.mu.Unlock()
	if cancelled {
		return nil, ErrCancelled
	}
	c, err := p.dial(ctx, x.Server, x.Address)
	x.mu.Lock()
	x.dial = nil
	cancelled = x.cancelled
	x.mu.Unlock()
	if cancelled && err != nil {
		return nil, ErrCancelled
	}
	return c, err
}

// roundTrip sends the request and reads the answer. keepFor is how long the connection
// may be idle afterwards. It is 0 if the connection must be closed, as after all errors
// except the refusal of BeforeSend, when nothing was sent.
func (p *Pool) roundTrip(x *Exchange, c *conn) (a *Answer, keepFor time.Duration, err error) {
	deadline := x.LeafDeadline.Add(answerGrace)
	if err := c.SetDeadline(deadline); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrConnect, err)
	}
	if x.BeforeSend != nil && !x.BeforeSend() {
		return nil, min(defaultIdleTime, time.Until(deadline)), ErrCancelled
	}
	// A connection that was idle was checked when it was taken.
	if c.fresh && !c.isReusable() {
		return nil, 0, fmt.Errorf("%w: bytes arrived before the request, or the connection ended", ErrConnect)
	}
	c.fresh = false
	c.checked.SetMethod(x.Request.Method == http.MethodHead)
	if err := sendRequest(x, c); err != nil {
		return nil, 0, err
	}
	for skipped := 0; ; skipped++ {
		resp, err := receiveHead(x.Request, c)
		if err != nil {
			return nil, 0, err
		}
		match := x.Match(resp)
		switch {
		case match == MatchNoID && !c.echoesIDs:
			match = MatchOwn
		case match == MatchOwn:
			c.echoesIDs = true
		}
		a, err := p.readBody(resp, x, match)
		if err != nil {
			return nil, 0, err
		}
		if match != MatchOwn {
			p.Release(a)
			if skipped < maxForeignAnswers && !resp.Close {
				continue
			}
			return nil, 0, ErrForeignAnswer
		}
		if resp.Close || skipped > 0 || c.buffered() > 0 {
			keepFor = 0
		} else {
			// At most the time left for this exchange: the longer a connection is idle,
			// the likelier the leaf has dropped it without notice.
			keepFor = min(idleTime(resp.Header), time.Until(deadline))
		}
		return a, keepFor, nil
	}
}

// Release returns the memory of an answer to the budget; its body must not be used
// afterwards.
func (p *Pool) Release(a *Answer) {
	p.budget.Return(a.held)
	a.held = 0
}

var requestBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// sendRequest writes the request with one Write, so that a small one needs few system
// calls.
func sendRequest(x *Exchange, c *conn) error {
	b := requestBuffers.Get().(*bytes.Buffer)
	defer requestBuffers.Put(b)
	b.Reset()
	write := x.WriteRequest
	if write == nil {
		write = func(b *bytes.Buffer) error { return x.Request.Write(b) }
	}
	if err := write(b); err != nil {
		return fmt.Errorf("%w: %w", ErrConnect, err)
	}
	if n, err := c.Write(b.Bytes()); err != nil {
		if n == 0 {
			return fmt.Errorf("%w: %w", ErrConnect, err)
		}
		return fmt.Errorf("%w: %w", ErrSend, err)
	}
	return nil
}

// receiveHead reads the head of the answer and skips informational answers before it.
func receiveHead(r *http.Request, c *conn) (*http.Response, error) {
	c.limiter.remaining = maxHeadBytes
	for informational := 0; ; informational++ {
		resp, err := http.ReadResponse(c.reader, r)
		switch {
		case err != nil && c.limiter.remaining <= 0, informational > maxInformationalAnswers:
			return nil, fmt.Errorf("%w: head too long, or too many informational answers before it", ErrTooLarge)
		case err != nil:
			return nil, fmt.Errorf("%w: %w", ErrReceive, err)
		case resp.StatusCode < http.StatusOK:
			continue
		}
		// Bodies have limits of their own.
		c.limiter.remaining = math.MaxInt64
		return resp, nil
	}
}

// readBody reads the body of an answer to its end. It does not close the body, which
// would read what is left of it: after an error the connection is closed instead.
func (p *Pool) readBody(resp *http.Response, x *Exchange, m Match) (*Answer, error) {
	a := &Answer{Status: resp.StatusCode, Header: resp.Header}
	var err error
	if x.ReduceBody != nil && m == MatchOwn {
		a.Body, err = x.ReduceBody(resp.Body)
	} else {
		a.Body, a.held, err = p.budget.ReadWhole(resp)
	}
	if err != nil {
		return nil, err
	}
	return a, nil
}

// idleTime returns how long a connection may be idle after an answer. A leaf states its
// own limit in whole seconds in the Keep-Alive header.
func idleTime(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return 0
		}
		return time.Duration(seconds)*time.Second - idleMargin
	}
	return defaultIdleTime
}
