package backend

import (
	"net"
	"sync"
	"time"
)

// Listener wraps l with the server's connection limit and connect cost.
func (s *Server) Listener(l net.Listener) net.Listener { return &listener{Listener: l, server: s} }

type listener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection within the limit and closes those beyond it.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.server.openConn() {
			return &conn{Conn: c, server: l.server}, nil
		}
		// An error is ignored: the refused connection is not used any more.
		_ = c.Close()
	}
}

func (s *Server) openConn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openConns >= s.cfg.Connections {
		s.counts.ConnectionsRefused++
		return false
	}
	s.openConns++
	s.counts.Connections++
	return true
}

func (s *Server) closeConn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openConns--
}

// conn delays its first read by the connect cost.
type conn struct {
	net.Conn
	server      *Server
	connectOnce sync.Once
	closeOnce   sync.Once
}

func (c *conn) Read(b []byte) (int, error) {
	c.connectOnce.Do(func() { time.Sleep(c.server.cfg.ConnectCost) })
	return c.Conn.Read(b)
}

func (c *conn) Close() error {
	c.closeOnce.Do(c.server.closeConn)
	return c.Conn.Close()
}
