package leafconn

import (
	"bufio"
	"net"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/answers"
	"github.com/pistachiousher/pistachiousher/pkg/netpeek"
)

// readBufferBytes is small because hundreds of connections are kept and most answers
// fit.
const readBufferBytes = 1 << 10

// conn is one connection to a leaf.
type conn struct {
	net.Conn
	server  string
	limiter limitedReader
	// checked reads through limiter, and reader through checked.
	checked   *answers.Reader
	reader    *bufio.Reader
	fresh     bool
	idleUntil time.Time
	// echoesIDs means that an answer on this connection named its request.
	echoesIDs bool
}

func newConn(raw net.Conn, server string) *conn {
	c := &conn{Conn: raw, server: server, limiter: limitedReader{raw: raw}, fresh: true}
	c.checked = answers.NewReader(&c.limiter)
	c.reader = bufio.NewReaderSize(c.checked, readBufferBytes)
	return c
}

// buffered returns the number of bytes that were received and not read.
func (c *conn) buffered() int { return c.reader.Buffered() + c.checked.Buffered() }

// isReusable reports whether the connection is open and nothing was received on it
// while it was idle. Bytes received without a request belong to no request.
func (c *conn) isReusable() bool {
	if c.buffered() > 0 {
		return false
	}
	status, err := netpeek.Peek(c.Conn)
	return err == nil && status == netpeek.NoInput
}
