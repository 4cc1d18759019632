package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/netpeek"
)

// CallerConns tracks the connections of callers. It closes connections that are idle
// beyond a limit, and all idle ones when the daemon stops. A request that arrives on a
// connection while it is being closed is not passed to the handler, since its caller
// could get no answer.
type CallerConns struct {
	maxConns int

	mu        sync.Mutex
	idleLimit time.Duration
	draining  bool
	conns     map[net.Conn]*callerConn
}

// callerConn is the state of one connection, guarded by CallerConns.mu.
type callerConn struct {
	conn   net.Conn
	timer  *time.Timer
	idle   bool
	closed bool
}

// NewCallerConns returns a tracker without an idle limit. It closes new connections
// beyond maxConns at once, so that their callers go to another daemon; a caller whose
// connection waits to be accepted cannot tell why it gets no answer.
func NewCallerConns(maxConns int) *CallerConns {
	return &CallerConns{maxConns: maxConns, conns: map[net.Conn]*callerConn{}}
}

// SetIdleLimit sets the limit for connections that become idle from now on; 0 means no
// limit.
func (t *CallerConns) SetIdleLimit(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idleLimit = d
}

type callerConnKey struct{}

// ConnContext is the ConnContext hook of http.Server; it starts tracking a connection.
func (t *CallerConns) ConnContext(ctx context.Context, c net.Conn) context.Context {
	t.mu.Lock()
	defer t.mu.Unlock()
	cc := &callerConn{conn: c}
	if len(t.conns) >= t.maxConns {
		cc.closed = true
		c.Close()
	}
	t.conns[c] = cc
	return context.WithValue(ctx, callerConnKey{}, cc)
}

// ConnState is the ConnState hook of http.Server; it records whether a connection is in
// use, idle or closed.
func (t *CallerConns) ConnState(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cc, ok := t.conns[c]
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		cc.idle = true
		t.startIdleTimer(cc)
	case http.StateActive:
		cc.idle = false
		if cc.timer != nil {
			cc.timer.Stop()
		}
	case http.StateClosed, http.StateHijacked:
		if cc.timer != nil {
			cc.timer.Stop()
		}
		delete(t.conns, c)
	}
}

// startIdleTimer starts the idle limit of a connection. The caller holds the lock.
func (t *CallerConns) startIdleTimer(cc *callerConn) {
	switch {
	case t.idleLimit <= 0:
	case cc.timer != nil:
		cc.timer.Reset(t.idleLimit)
	default:
		cc.timer = time.AfterFunc(t.idleLimit, func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.closeIfIdle(cc)
		})
	}
}

// closeIfIdle closes a connection if it is idle and has no unread input. The caller
// holds the lock.
func (t *CallerConns) closeIfIdle(cc *callerConn) {
	if !cc.idle || cc.closed {
		return
	}
	// A connection that cannot be inspected is closed like one without input.
	if status, err := netpeek.Peek(cc.conn); err == nil && status == netpeek.HasInput {
		return
	}
	cc.closed = true
	cc.conn.Close()
}

// Drain closes the idle connections and makes all others close after their next answer.
func (t *CallerConns) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
	for _, cc := range t.conns {
		t.closeIfIdle(cc)
	}
}

// Open returns the number of connections that are not closed yet.
func (t *CallerConns) Open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// Handler passes requests to next, except those whose connection was closed before they
// were read.
func (t *CallerConns) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		cc, _ := r.Context().Value(callerConnKey{}).(*callerConn)
		t.mu.Lock()
		closed := cc != nil && cc.closed
		draining := t.draining
		t.mu.Unlock()
		if closed {
			panic(http.ErrAbortHandler)
		}
		if draining {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
