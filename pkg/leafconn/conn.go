package leafconn

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// readBuffer is small because hundreds of connections are kept and most answers
// fit.
const readBuffer = 1 << 10

// conn is one connection to a leaf.
type conn struct {
	net.Conn
	server    string
	reader    *bufio.Reader
	idleUntil time.Time
}

func newConn(raw net.Conn, server string) *conn {
	return &conn{Conn: raw, server: server, reader: bufio.NewReaderSize(raw, readBuffer)}
}

// quiet reports whether the connection is open and nothing was received on it
// while it was idle. Bytes that came without a request belong to none.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
