// Package netpeek tells what waits on a TCP connection without reading it.
package netpeek

import (
	"errors"
	"fmt"
	"net"
	"syscall"
)

// ErrPeek means that the connection cannot be looked at or has failed.
var ErrPeek = errors.New("netpeek: cannot look at the connection")

// Waiting is what waits on a connection.
type Waiting uint8

// What may wait on a connection.
const (
	// Nothing means that the connection is open and has no input.
	Nothing Waiting = iota
	// Input means that bytes wait to be read.
	Input
	// End means that the peer has closed its side.
	End
)

// Peek tells what waits on a connection. It does not wait itself, and another
// goroutine may be reading. Errors wrap ErrPeek.
func Peek(c net.Conn) (Waiting, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Nothing, fmt.Errorf("%w: %T has no descriptor", ErrPeek, c)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Nothing, fmt.Errorf("%w: %w", ErrPeek, err)
	}
	var n int
	var failure error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, failure = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return Nothing, fmt.Errorf("%w: %w", ErrPeek, err)
	case failure == syscall.EAGAIN:
		return Nothing, nil
	case failure != nil:
		return Nothing, fmt.Errorf("%w: %w", ErrPeek, failure)
	case n > 0:
		return Input, nil
	}
	return End, nil
}
