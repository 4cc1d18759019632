package inbound

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/httpframe"
)

// maxLeadingLineEnds is the number of CR and LF that are skipped before a head. RFC 9112
// asks for at least one empty line; net/http skips two, after a POST.
const maxLeadingLineEnds = 4

// Conn is an accepted connection. Its reader, net/http, gets no byte of a head before the
// whole head has arrived and its memory was reserved.
type Conn struct {
	net.Conn
	listener *Listener

	// The fields up to the mutex belong to the goroutine that reads; net/http has one at a
	// time.

	// buffer holds bytes that were received and not passed on. The first scanned of them
	// were read by head, and the first ready of them may be passed on.
	buffer         []byte
	pooled         *[initialBuffer]byte
	scanned, ready int
	head           httpframe.HeadScanner
	lineEnds       int
	inBody         bool
	body           httpframe.Body
	chunks         httpframe.ChunkScanner
	// ownDeadline means that the read deadline is that of the head.
	ownDeadline bool
	// refused ends the connection after a refusal.
	refused bool

	mu sync.Mutex
	// requestBytes and bufferBytes are reserved for the request and for buffer.
	requestBytes, bufferBytes int64
	// open means that a request was passed on and is not answered; unread, that memory is
	// reserved for what the kernel receives behind it.
	open, unread, closed bool
	deadline             time.Time
	// lastUsed is when the connection was accepted or its last request was answered.
	lastUsed time.Time
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	switch {
	case c.refused:
		return 0, io.EOF
	case len(p) == 0:
		return 0, nil
	case c.ready > 0:
		n := copy(p, c.buffer[:c.ready])
		c.ready -= n
		c.consume(n)
		return n, nil
	case c.inBody:
		return c.readBody(p)
	case c.isOpen():
		return c.readBehind(p)
	}
	return c.readHead(p)
}

// readHead collects a head. One that arrives in a single piece is not copied.
func (c *Conn) readHead(p []byte) (int, error) {
	if len(c.buffer) == 0 {
		n, err := c.Conn.Read(p)
		data := p[:c.skipLineEnds(p[:n])]
		end, done := c.head.Scan(data)
		if done && end <= c.listener.config.MaxHeadBytes() {
			return c.passInPlace(data, end)
		}
		if err != nil {
			return 0, c.readFailed(err)
		}
		if !c.keep(data) {
			return 0, c.refuse(HeadMemory, p)
		}
		c.scanned = len(data)
		if done {
			return 0, c.refuse(HeadTooLarge, p)
		}
	}
	for {
		end, done := c.scanBuffer()
		if end > c.listener.config.MaxHeadBytes() {
			return 0, c.refuse(HeadTooLarge, p)
		}
		if done {
			if !c.begin(c.buffer[:end]) {
				return 0, c.refuse(HeadMemory, p)
			}
			c.ready, c.scanned = end, 0
			return c.Read(p)
		}
		if c.lineEnds > maxLeadingLineEnds {
			return 0, c.refuse(EmptyLines, p)
		}
		if !c.grow() {
			return 0, c.refuse(HeadMemory, p)
		}
		c.limitHeadTime()
		n, err := c.Conn.Read(c.buffer[len(c.buffer):cap(c.buffer)])
		c.buffer = c.buffer[:len(c.buffer)+n]
		if n == 0 && err != nil {
			return 0, c.readFailed(err)
		}
	}
}

// passInPlace passes on the head in data, which has end bytes, with what belongs to the
// body behind it.
func (c *Conn) passInPlace(data []byte, end int) (int, error) {
	if !c.begin(data[:end]) {
		return 0, c.refuse(HeadMemory, data)
	}
	if end < len(data) && c.inBody {
		end += c.bodyPart(data[end:])
	}
	if !c.keep(data[end:]) {
		return 0, c.refuse(Pipelined, data)
	}
	return end, nil
}

// scanBuffer reads on in the buffered head. end is the length of the head if it is
// complete, and otherwise of what has arrived.
func (c *Conn) scanBuffer() (end int, done bool) {
	if c.scanned == 0 {
		c.buffer = c.buffer[:c.skipLineEnds(c.buffer)]
	}
	end, done = c.head.Scan(c.buffer[c.scanned:])
	if done {
		return c.scanned + end, true
	}
	c.scanned = len(c.buffer)
	return c.scanned, false
}

// skipLineEnds removes CR and LF before a head and returns the number of bytes left.
func (c *Conn) skipLineEnds(p []byte) int {
	if len(p) == 0 || c.head.Started() || p[0] != '\r' && p[0] != '\n' {
		return len(p)
	}
	n := 1
	for n < len(p) && (p[n] == '\r' || p[n] == '\n') {
		n++
	}
	c.lineEnds += n
	return copy(p, p[n:])
}

// begin reserves the memory of a complete head and prepares for its body.
func (c *Conn) begin(head []byte) bool {
	if !c.reserveRequest(parsedCost(len(head), c.head.Lines)) {
		return false
	}
	c.body = httpframe.RequestBody(head)
	c.inBody = c.body.Chunked || c.body.Length > 0
	c.chunks, c.head, c.lineEnds = httpframe.ChunkScanner{}, httpframe.HeadScanner{}, 0
	if c.ownDeadline {
		c.ownDeadline = false
		c.mu.Lock()
		deadline := c.deadline
		c.mu.Unlock()
		// An error is that of a closed connection, which the next read returns.
		_ = c.Conn.SetReadDeadline(deadline)
	}
	return true
}

// readBody reads the body that the head announced.
func (c *Conn) readBody(p []byte) (int, error) {
	if len(c.buffer) > 0 {
		n := c.bodyPart(c.buffer[:min(len(p), len(c.buffer))])
		copy(p, c.buffer[:n])
		c.consume(n)
		return n, nil
	}
	if !c.body.Chunked {
		p = p[:min(int64(len(p)), c.body.Length)]
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return 0, err
	}
	end := c.bodyPart(p[:n])
	if !c.keep(p[end:n]) {
		return 0, c.refuse(Pipelined, p)
	}
	return end, err
}

// bodyPart returns how many of the received bytes belong to the body.
func (c *Conn) bodyPart(data []byte) int {
	if c.body.Chunked {
		n, done := c.chunks.Scan(data)
		c.inBody = !done
		return n
	}
	n := min(int64(len(data)), c.body.Length)
	c.body.Length -= n
	c.inBody = c.body.Length > 0
	return int(n)
}

// readBehind reads one byte while a request is not answered. net/http asks for it to
// notice that the client has disconnected.
func (c *Conn) readBehind(p []byte) (int, error) {
	for {
		var n int
		var err error
		if len(c.buffer) > 0 {
			n = copy(p[:1], c.buffer)
			c.consume(n)
		} else if n, err = c.Conn.Read(p[:1]); n == 0 {
			return 0, err
		}
		// The kernel goes on receiving what nobody reads.
		if !c.reserveUnread() {
			return 0, c.refuse(Pipelined, p)
		}
		if n = c.skipLineEnds(p[:1]); n > 0 {
			c.head.Scan(p[:1])
			return 1, nil
		}
		if c.lineEnds > maxLeadingLineEnds {
			return 0, c.refuse(EmptyLines, p)
		}
	}
}

// keep buffers bytes that cannot be passed on yet.
func (c *Conn) keep(data []byte) bool {
	if len(data) == 0 {
		return true
	}
	if len(data) > initialBuffer {
		if !c.reserveBuffer(int64(len(data))) {
			return false
		}
		c.buffer = append([]byte(nil), data...)
		return true
	}
	if !c.reserveBuffer(initialBuffer) {
		return false
	}
	c.pooled = bufferPool.Get().(*[initialBuffer]byte)
	c.buffer = c.pooled[:copy(c.pooled[:], data)]
	return true
}

// grow makes room for more of a head.
func (c *Conn) grow() bool {
	if len(c.buffer) < cap(c.buffer) {
		return true
	}
	if len(c.buffer) == 0 {
		if !c.reserveBuffer(initialBuffer) {
			return false
		}
		c.pooled = bufferPool.Get().(*[initialBuffer]byte)
		c.buffer = c.pooled[:0]
		return true
	}
	// One byte beyond the limit shows that a head is too large.
	size := max(min(2*len(c.buffer), c.listener.config.MaxHeadBytes()+1), len(c.buffer)+1)
	if !c.reserveBuffer(int64(size)) {
		return false
	}
	c.buffer = append(make([]byte, 0, size), c.buffer...)
	c.freePooled()
	return true
}

// consume removes bytes from the start of the buffer, and the buffer if it is empty.
func (c *Conn) consume(n int) {
	c.buffer = c.buffer[n:]
	if len(c.buffer) == 0 {
		c.buffer = nil
		c.freePooled()
		c.reserveBuffer(0)
	}
}

func (c *Conn) freePooled() {
	if c.pooled != nil {
		bufferPool.Put(c.pooled)
		c.pooled = nil
	}
}

// limitHeadTime sets the deadline of a head that has begun to arrive. net/http sets its
// own when the head is complete, except for the first one on a connection.
func (c *Conn) limitHeadTime() {
	if c.ownDeadline {
		return
	}
	c.ownDeadline = true
	deadline := time.Now().Add(c.listener.config.HeadTimeout)
	c.mu.Lock()
	if !c.deadline.IsZero() && c.deadline.Before(deadline) {
		deadline = c.deadline
	}
	c.mu.Unlock()
	// An error is that of a closed connection, which the next read returns.
	_ = c.Conn.SetReadDeadline(deadline)
}

// readFailed reports a head that did not arrive in time.
func (c *Conn) readFailed(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) && (len(c.buffer) > 0 || c.lineEnds > 0) {
		c.listener.config.OnRefusal(c.RemoteAddr(), HeadTimeout)
		c.refused = true
	}
	return err
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	return c.Conn.SetDeadline(t)
}

// CloseWrite shuts down the writing side, if the connection can do that.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, fmt.Errorf("inbound: %T has no file descriptor", c.Conn)
}
