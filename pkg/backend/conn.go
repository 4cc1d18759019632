package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"os"
	"sync"
	"time"
)

// lingerLimit is how long to wait for the server to close a connection whose
// request was given up. A server that is frozen or unreachable for longer is
// known to be silent by then, and its slots stay occupied until it is heard from
// again.
const lingerLimit = 10 * time.Second

// errRequestGivenUp is returned by writes on a connection whose request was
// given up.
var errRequestGivenUp = errors.New("backend: write on a connection whose request was given up")

// errReplay cancels a request that the transport moved to a second connection
// after bytes had been sent on the first.
var errReplay = errors.New("backend: transport tried to send a request twice")

// countedConn counts the bytes written to the socket, so that "no byte was
// written" does not depend on the transport's buffers. If it is closed before
// the response to a request is complete, it waits for the server to close its
// side, which shows that the server has noticed.
type countedConn struct {
	*net.TCPConn
	mu      sync.Mutex
	written int64
	closing bool
	// pending is the request whose response is not complete; nil if there is
	// none.
	pending *requestTrace
	// ended receives one value when a connection whose request was given up is
	// closed: whether the server closed its side.
	ended chan bool
	// readMu is held during reads.
	readMu sync.Mutex
}

func newCountedConn(c *net.TCPConn) *countedConn {
	return &countedConn{TCPConn: c, ended: make(chan bool, 1)}
}

// Write implements net.Conn. All bytes of p are counted before the write, since
// a failed write may have sent some of them.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return 0, errRequestGivenUp
	}
	c.written += int64(len(p))
	return c.TCPConn.Write(p)
}

// ReadFrom implements io.ReaderFrom in such a way that all bytes pass through
// Write and are counted.
func (c *countedConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.mu.Lock()
	closing := c.closing
	c.mu.Unlock()
	if closing {
		return 0, net.ErrClosed
	}
	return c.TCPConn.Read(p)
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	// Unblocks a Write that holds the mutex. A closed connection has no deadline
	// to set, and none is needed.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.mu.Lock()
	closing, inUse := c.closing, c.pending != nil
	c.closing = true
	c.mu.Unlock()
	switch {
	case closing:
		return nil
	case !inUse:
		return c.TCPConn.Close()
	}
	go c.linger()
	return nil
}

// linger closes the write side of the connection, which tells the server that
// the request was given up, and waits up to lingerLimit for the server to close
// its side.
func (c *countedConn) linger() {
	// An error means that the connection has already ended, which the read below
	// detects.
	_ = c.CloseWrite()
	// Interrupts a Read by the transport, which holds readMu.
	_ = c.SetReadDeadline(time.Unix(1, 0))
	c.readMu.Lock()
	defer c.readMu.Unlock()
	_ = c.SetReadDeadline(time.Now().Add(lingerLimit))
	_, err := io.Copy(io.Discard, c.TCPConn)
	_ = c.TCPConn.Close()
	c.ended <- !errors.Is(err, os.ErrDeadlineExceeded)
}

// bytesWritten returns the number of bytes written so far.
func (c *countedConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// setPending records that a request is being sent on the connection.
func (c *countedConn) setPending(t *requestTrace) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = t
}

// responseComplete records that the response to a request is complete. The
// connection may already be in use by another request, which stays pending.
func (c *countedConn) responseComplete(t *requestTrace) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == t {
		c.pending = nil
	}
}

// stopWrites makes all later writes fail and returns the number of bytes written
// before.
func (c *countedConn) stopWrites() int64 {
	// An error does not matter: the connection is not used again.
	_ = c.Close()
	return c.bytesWritten()
}

// requestTrace tracks one request over the connections that the transport
// assigns to it.
type requestTrace struct {
	cancel     context.CancelCauseFunc
	mu         sync.Mutex
	conn       *countedConn
	startBytes int64
	sent       bool
	// ended is that of the connection on which bytes were sent, once the request
	// was given up.
	ended <-chan bool
}

// withTrace returns a context that makes the transport report a request's
// connections to the returned requestTrace.
func withTrace(ctx context.Context) (context.Context, *requestTrace) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &requestTrace{cancel: cancel}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn}), t
}

// gotConn records the connection that the request was assigned to. A second one
// is accepted only if nothing was written on the first.
func (t *requestTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeCurrent()
	conn, ok := info.Conn.(*countedConn)
	if !ok || t.sent {
		t.sent = true
		t.cancel(errReplay)
		info.Conn.Close()
		return
	}
	t.conn = conn
	t.startBytes = conn.bytesWritten()
	conn.setPending(t)
}

// closeCurrent closes the current connection and records whether bytes of the
// request were written on it.
func (t *requestTrace) closeCurrent() {
	if t.conn == nil {
		return
	}
	if t.conn.stopWrites() > t.startBytes {
		t.sent = true
		t.ended = t.conn.ended
	}
	t.conn = nil
}

// abandon prevents further writes of a failed request and reports whether any
// byte of it was written. If so, ended later receives whether the server has
// closed the connection.
func (t *requestTrace) abandon() (sent bool, ended <-chan bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeCurrent()
	return t.sent, t.ended
}

// responseComplete records that the response to the request is complete.
func (t *requestTrace) responseComplete() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		t.conn.responseComplete(t)
	}
}

// release cancels the request's context to free its resources.
func (t *requestTrace) release() { t.cancel(nil) }
