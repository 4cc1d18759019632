// Package netpeek tells whether a TCP connection has unread input or was closed by the
// peer, without reading from it.
package netpeek

import (
	"errors"
	"fmt"
	"net"
	"syscall"
)

// ErrPeek means that the connection cannot be inspected or has failed.
var ErrPeek = errors.New("netpeek: cannot inspect the connection")

// Status is the state of a connection's input.
type Status uint8

// States of a connection's input.
const (
	// NoInput means that the connection is open and no bytes wait to be read.
	NoInput Status = iota
	// HasInput means that bytes wait to be read.
	HasInput
	// PeerClosed means that the peer has closed its side and all input was read.
	PeerClosed
)

// Peek returns the state of a connection's input. It does not block, and another
// goroutine may be reading. Errors wrap ErrPeek.
func Peek(c net.Conn) (Status, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return NoInput, fmt.Errorf("%w: %T has no file descriptor", ErrPeek, c)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return NoInput, fmt.Errorf("%w: %w", ErrPeek, err)
	}
	var n int
	var recvErr error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, recvErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return NoInput, fmt.Errorf("%w: %w", ErrPeek, err)
	case recvErr == syscall.EAGAIN:
		return NoInput, nil
	case recvErr != nil:
		return NoInput, fmt.Errorf("%w: %w", ErrPeek, recvErr)
	case n > 0:
		return HasInput, nil
	}
	return PeerClosed, nil
}
