package inbound

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Reason says why a client was refused.
type Reason string

// Reasons of refusals.
const (
	// HeadTooLarge is a head over the limit; it is answered with 431.
	HeadTooLarge Reason = "head_too_large"
	// HeadMemory is a head that does not fit into the budget; it is answered with 503.
	HeadMemory Reason = "head_memory"
	// HeadTimeout is a head that did not arrive in time; the connection is closed.
	HeadTimeout Reason = "head_timeout"
	// EmptyLines are too many empty lines before a head; they are answered with 400.
	EmptyLines Reason = "empty_lines"
	// Connections is a connection beyond the limit while all others have open requests; it is
	// closed.
	Connections Reason = "connections"
	// IdleConnection is the connection that was idle for longest when there were too many;
	// it is closed.
	IdleConnection Reason = "idle_connection"
	// Pipelined are bytes behind a request that is not answered, for which the budget has
	// no room; the connection is closed.
	Pipelined Reason = "pipelined"
)

// Config holds the parameters of a listener.
type Config struct {
	Budget *Budget
	// MaxHeadBytes returns the limit of a head in bytes, line ends included.
	MaxHeadBytes func() int
	// HeadTimeout bounds the time from the first byte of a head to its end.
	HeadTimeout time.Duration
	// UnreadBytes is what the kernel holds for a connection that is not read.
	UnreadBytes int64
	// MaxConns bounds the open connections; 0 means no bound. Beyond it, the one that has had
	// no request for longest is closed, so that idle ones cannot keep out others.
	MaxConns int
	// OnRefusal is called for each refusal; it must not block.
	OnRefusal func(client net.Addr, reason Reason)
}

// Listener accepts connections whose heads are bounded.
type Listener struct {
	net.Listener
	config Config

	mu sync.Mutex
	// conns are the open connections, if their number is bounded.
	conns map[*Conn]bool
}

// Wrap returns a listener that bounds the heads on the connections of ln. ConnState must
// be the server's hook, or be called by it.
func Wrap(ln net.Listener, c Config) *Listener {
	return &Listener{Listener: ln, config: c, conns: map[*Conn]bool{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw, listener: l, lastUsed: time.Now()}
		if l.admit(c) {
			return c, nil
		}
		l.config.OnRefusal(raw.RemoteAddr(), Connections)
		raw.Close()
	}
}

// admit makes room for a connection. It returns false if there is none.
func (l *Listener) admit(c *Conn) bool {
	if l.config.MaxConns <= 0 {
		return true
	}
	l.mu.Lock()
	var oldest *Conn
	if len(l.conns) >= l.config.MaxConns {
		if oldest = l.longestIdle(); oldest == nil {
			l.mu.Unlock()
			return false
		}
		delete(l.conns, oldest)
	}
	l.conns[c] = true
	l.mu.Unlock()
	if oldest != nil {
		l.config.OnRefusal(oldest.RemoteAddr(), IdleConnection)
		oldest.Close()
	}
	return true
}

// longestIdle returns the connection that has had no request for longest, nil if all have
// open ones. The caller holds the lock.
func (l *Listener) longestIdle() *Conn {
	var oldest *Conn
	var since time.Time
	for c := range l.conns {
		if t, idle := c.idleSince(); idle && (oldest == nil || t.Before(since)) {
			oldest, since = c, t
		}
	}
	return oldest
}

// forget removes a connection that is closed.
func (l *Listener) forget(c *Conn) {
	if l.config.MaxConns <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// ConnState is a ConnState hook of http.Server. It releases the memory of a request that
// has been answered.
func ConnState(c net.Conn, state http.ConnState) {
	if conn, ok := c.(*Conn); ok && state == http.StateIdle {
		conn.requestDone()
	}
}

// Listen opens a TCP listener whose connections have buffers of the given sizes in bytes.
// The kernel takes up to twice as much for each.
func Listen(address string, receiveBuffer, sendBuffer int) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var sockErr error
		if err := raw.Control(func(fd uintptr) {
			// Set before listening, so that accepted connections inherit it.
			sockErr = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer),
			)
		}); err != nil {
			return err
		}
		return sockErr
	}}
	return lc.Listen(context.Background(), "tcp", address)
}

// bufferPool holds the buffers in which heads of several pieces are collected.
var bufferPool = sync.Pool{New: func() any { return new([initialBuffer]byte) }}

// initialBuffer is the size in bytes at which such a buffer starts.
const initialBuffer = 4 << 10
