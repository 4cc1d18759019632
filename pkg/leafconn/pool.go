// Package leafconn sends requests to leafs over connections that it keeps. One
// connection carries one request at a time and no request is ever sent twice: unlike
// http.Transport, a Pool does not retry, and it closes a connection on which anything
// unexpected was read.
package leafconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// connectTimeout bounds the wait for a new connection; between failure domains it
	// takes a few milliseconds.
	connectTimeout = 400 * time.Millisecond
	// defaultIdleTime is how long a connection may be idle if the leaf does not state
	// it.
	defaultIdleTime = 8 * time.Second
	// idleMargin is subtracted from the idle time that a leaf states, since the leaf
	// closes the connection by its own clock.
	idleMargin = 700 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged.
	unackedTimeout = 3 * time.Second
)

var (
	// ErrConnect means that nothing was sent: no connection could be opened, or sending
	// failed before the first byte.
	ErrConnect = errors.New("leafconn: the request was not sent")
	// ErrCancelled means that the exchange was cancelled, or that BeforeSend returned
	// false.
	ErrCancelled = errors.New("leafconn: cancelled")
)

// Pool holds the idle connections to all leafs. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	onOpen func()
	budget *Budget

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

// NewPool returns an empty pool. onOpen, if not nil, is called for each new connection.
// budget bounds the bodies of answers that are kept whole.
func NewPool(onOpen func(), budget *Budget) *Pool {
	p := &Pool{idle: map[string][]*conn{}, onOpen: onOpen, budget: budget}
	p.dialer = net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3},
		ControlContext:  setUserTimeout,
	}
	return p
}

func setUserTimeout(_ context.Context, _, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, sockoptTCPUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, sockErr)
}

// sockoptTCPUserTimeout is TCP_USER_TIMEOUT, which package syscall lacks.
const sockoptTCPUserTimeout = 18

// takeIdle returns an idle connection to a leaf that can be used, or nil, and closes
// those that cannot.
func (p *Pool) takeIdle(server string) *conn {
	now := time.Now()
	for {
		c := p.popIdle(server)
		if c == nil {
			return nil
		}
		if now.Before(c.idleUntil) && c.isReusable() {
			return c
		}
		c.Close()
	}
}

// popIdle removes the idle connection to a leaf that was used last; nil if there is
// none.
func (p *Pool) popIdle(server string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[server]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[server] = list[:len(list)-1]
	return c
}

// putIdle keeps a connection that may be idle for a time, or closes it if maxIdle are
// kept already.
func (p *Pool) putIdle(c *conn, idle time.Duration, maxIdle int) {
	c.idleUntil = time.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.server]) >= maxIdle {
		c.Close()
		return
	}
	p.idle[c.server] = append(p.idle[c.server], c)
}

// CloseIdle closes the idle connections to a leaf.
func (p *Pool) CloseIdle(server string) {
	p.mu.Lock()
	list := p.idle[server]
	delete(p.idle, server)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// Close closes all idle connections; those in use are closed after their answer.
func (p *Pool) Close() {
	p.mu.Lock()
	lists := p.idle
	p.idle = map[string][]*conn{}
	p.closed = true
	p.mu.Unlock()
	for _, list := range lists {
		for _, c := range list {
			c.Close()
		}
	}
}

func (p *Pool) dial(ctx context.Context, server, address string) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrConnect, err)
	}
	if p.onOpen != nil {
		p.onOpen()
	}
	return newConn(raw, server), nil
}
