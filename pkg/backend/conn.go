package backend

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

// errSealed fails writes on a connection whose request was given up.
var errSealed = errors.New("backend: request was given up")

// errReplay fails a request that the transport moved to a second connection
// after bytes had left on the first.
var errReplay = errors.New("backend: transport tried to send a request twice")

// countedConn counts the bytes written, so that "no byte was written" is a
// fact about the socket and not about the transport's buffers.
type countedConn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write implements net.Conn. Bytes count from the moment of the attempt, since
// a failed write may have sent some of them.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, errSealed
	}
	c.written += int64(len(p))
	return c.Conn.Write(p)
}

// count returns the bytes written up to now.
func (c *countedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal fails all later writes and returns the bytes written before.
func (c *countedConn) seal() int64 {
	// Unblocks a Write that holds the mutex.
	c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// sendTrace follows one request over the connections it is given.
type sendTrace struct {
	cancel context.CancelCauseFunc
	mu     sync.Mutex
	conn   *countedConn
	start  int64
	sent   bool
}

// withTrace returns a context in which a request is followed by a sendTrace.
func withTrace(ctx context.Context) (context.Context, *sendTrace) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &sendTrace{cancel: cancel}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn}), t
}

// gotConn notes the connection. A second one is accepted only while nothing was
// written on the first.
func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeFirst()
	conn, ok := info.Conn.(*countedConn)
	if !ok || t.sent {
		t.sent = true
		t.cancel(errReplay)
		info.Conn.Close()
		return
	}
	t.conn = conn
	t.start = conn.count()
}

// closeFirst seals the current connection and notes whether bytes left on it.
func (t *sendTrace) closeFirst() {
	if t.conn == nil {
		return
	}
	if t.conn.seal() > t.start {
		t.sent = true
	}
	t.conn = nil
}

// abandon makes sure that nothing more of a failed request is written and
// reports whether any byte of it was.
func (t *sendTrace) abandon() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeFirst()
	return t.sent
}

// release ends the trace of a request that got a response.
func (t *sendTrace) release() { t.cancel(nil) }
