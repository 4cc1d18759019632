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

// lingerLimit is how long the end of a connection is waited for whose request
// was given up. A server that is frozen or cut off for longer is known to be
// silent by then, and its slots wait for a sign of life.
const lingerLimit = 10 * time.Second

// errSealed fails writes on a connection whose request was given up.
var errSealed = errors.New("backend: request was given up")

// errReplay fails a request that the transport moved to a second connection
// after bytes had left on the first.
var errReplay = errors.New("backend: transport tried to send a request twice")

// countedConn counts the bytes written, so that "no byte was written" is a
// fact about the socket and not about the transport's buffers. If it is closed
// while a request has no answer, it waits for the server to close its side,
// which shows that the server has noticed.
type countedConn struct {
	*net.TCPConn
	mu      sync.Mutex
	written int64
	closing bool
	// user is the request whose answer is outstanding; nil if there is none.
	user *sendTrace
	// ended gets one value when the connection has ended after a request was
	// given up: whether the server ended it.
	ended chan bool
	// reading is held by reads.
	reading sync.Mutex
}

func newCountedConn(c *net.TCPConn) *countedConn {
	return &countedConn{TCPConn: c, ended: make(chan bool, 1)}
}

// Write implements net.Conn. Bytes count from the moment of the attempt, since
// a failed write may have sent some of them.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return 0, errSealed
	}
	c.written += int64(len(p))
	return c.TCPConn.Write(p)
}

// ReadFrom implements io.ReaderFrom, so that all bytes pass Write.
func (c *countedConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
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
	closing, inUse := c.closing, c.user != nil
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

// linger closes the connection for writing, by which servers notice that the
// request was given up, and waits until the server closes its side.
func (c *countedConn) linger() {
	// An error here means that the connection has ended already, as the read tells.
	_ = c.CloseWrite()
	// Ends a Read of the transport.
	_ = c.SetReadDeadline(time.Unix(1, 0))
	c.reading.Lock()
	defer c.reading.Unlock()
	_ = c.SetReadDeadline(time.Now().Add(lingerLimit))
	_, err := io.Copy(io.Discard, c.TCPConn)
	_ = c.TCPConn.Close()
	c.ended <- !errors.Is(err, os.ErrDeadlineExceeded)
}

// count returns the bytes written up to now.
func (c *countedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// use notes that a request is sent on the connection.
func (c *countedConn) use(t *sendTrace) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.user = t
}

// answered notes that a request has its whole answer. The connection may have
// been given to another one meanwhile.
func (c *countedConn) answered(t *sendTrace) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.user == t {
		c.user = nil
	}
}

// seal fails all later writes and returns the bytes written before.
func (c *countedConn) seal() int64 {
	// Errors change nothing: the connection is not used again.
	_ = c.Close()
	return c.count()
}

// sendTrace follows one request over the connections it is given.
type sendTrace struct {
	cancel context.CancelCauseFunc
	mu     sync.Mutex
	conn   *countedConn
	start  int64
	sent   bool
	// ended tells of the end of the connection on which bytes left, once the
	// request was given up.
	ended <-chan bool
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
	conn.use(t)
}

// closeFirst seals the current connection and notes whether bytes left on it.
func (t *sendTrace) closeFirst() {
	if t.conn == nil {
		return
	}
	if t.conn.seal() > t.start {
		t.sent = true
		t.ended = t.conn.ended
	}
	t.conn = nil
}

// abandon makes sure that nothing more of a failed request is written and
// reports whether any byte of it was. If so, ended tells later whether the
// server has ended the connection.
func (t *sendTrace) abandon() (sent bool, ended <-chan bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeFirst()
	return t.sent, t.ended
}

// answered notes that the request has its whole answer.
func (t *sendTrace) answered() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		t.conn.answered(t)
	}
}

// release ends the trace.
func (t *sendTrace) release() { t.cancel(nil) }
