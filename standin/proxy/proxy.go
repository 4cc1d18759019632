// Package proxy is a TCP link on loopback whose connections can be delayed,
// reset, or silenced in one or both directions, for tests of processes.
package proxy

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// chunk is the number of bytes that are passed on at a time.
	chunk = 16 << 10
	// dialTimeout bounds the connection to the target.
	dialTimeout = time.Second
)

// Faults are the faults of a link; the zero value passes everything on.
type Faults struct {
	// Delay is added to each chunk in each direction.
	Delay time.Duration
	// DropRequests and DropAnswers swallow what goes to the target and what comes
	// from it. A connection that lost bytes stays silent for good.
	DropRequests bool
	DropAnswers  bool
}

// Link listens on loopback and passes connections on to a target. It is safe for
// concurrent use.
type Link struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	faults Faults
	open   map[*pair]bool
	closed bool
}

// pair is one connection and its counterpart at the target.
type pair struct {
	client, target *net.TCPConn
	// silent directions lost bytes: to the target, and from it.
	silentRequests, silentAnswers bool
}

// Start returns a link to a target, host:port.
func Start(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	l := &Link{listener: listener, target: target, open: map[*pair]bool{}}
	go l.accept()
	return l, nil
}

// Address returns the link's ip:port.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Set changes the faults of all connections.
func (l *Link) Set(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Reset resets all open connections on both sides.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.open {
		for _, c := range []*net.TCPConn{p.client, p.target} {
			// Errors mean that the connection has ended already.
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	}
}

// Close ends the link and its connections.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.listener.Close()
	l.Reset()
}

func (l *Link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(c.(*net.TCPConn))
	}
}

func (l *Link) serve(client *net.TCPConn) {
	defer client.Close()
	c, err := net.DialTimeout("tcp", l.target, dialTimeout)
	if err != nil {
		return
	}
	defer c.Close()
	p := &pair{client: client, target: c.(*net.TCPConn)}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.open[p] = true
	l.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { l.pass(p.client, p.target, &p.silentRequests, func(f Faults) bool { return f.DropRequests }) })
	directions.Go(func() { l.pass(p.target, p.client, &p.silentAnswers, func(f Faults) bool { return f.DropAnswers }) })
	directions.Wait()
	l.mu.Lock()
	delete(l.open, p)
	l.mu.Unlock()
}

// pass copies one direction until its source ends. The end is passed on like
// bytes, so that a silent connection does not end either.
func (l *Link) pass(from, to *net.TCPConn, silent *bool, drops func(Faults) bool) {
	buffer := make([]byte, chunk)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		f := l.faults
		l.mu.Unlock()
		*silent = *silent || drops(f)
		time.Sleep(f.Delay)
		if !*silent && n > 0 {
			if _, failure := to.Write(buffer[:n]); failure != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			if !*silent {
				// The other side has ended already if this fails.
				_ = to.CloseWrite()
			}
			return
		}
	}
}
