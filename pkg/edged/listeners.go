package edged

import (
	"fmt"
	"net"
	"net/http"

	"github.com/oklog/run"
)

type listeners struct {
	caller, ready, directory, view, admin net.Listener
	peer                                  *net.UDPConn
}

func listen(s *Settings) (*listeners, error) {
	l := &listeners{}
	peer := s.peerAddress(s.ip())
	for _, x := range []struct {
		at   *net.Listener
		addr string
	}{{&l.caller, s.Listen.Caller}, {&l.ready, s.Listen.Ready}, {&l.directory, s.Listen.Directory}, {&l.view, peer}, {&l.admin, s.Listen.Admin}} {
		if x.addr == "" {
			continue
		}
		ln, err := net.Listen("tcp", x.addr)
		if err != nil {
			return nil, fmt.Errorf("edged: listen: %w", err)
		}
		*x.at = ln
	}
	addr, err := net.ResolveUDPAddr("udp4", peer)
	if err != nil {
		return nil, fmt.Errorf("edged: listen: %w", err)
	}
	l.peer, err = net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, fmt.Errorf("edged: listen: %w", err)
	}
	return l, nil
}

func (d *daemon) addServers(g *run.Group, p Platform, l *listeners) {
	d.addCallers(g, l.caller)
	addServer(g, "ready", &http.Server{Handler: p.ReadyHandler(d.runtime), ReadHeaderTimeout: headerTimeout}, l.ready)
	directory := p.DirectoryHandler(d.runtime, d.settings.AddressTTL)
	addServer(g, "directory", &http.Server{Handler: directory, ReadHeaderTimeout: headerTimeout}, l.directory)
	if l.admin != nil {
		addServer(g, "admin", &http.Server{Handler: d.adminHandler(), ReadHeaderTimeout: headerTimeout}, l.admin)
	}
	addServer(g, "view", &http.Server{Handler: d.peers.Handler(), ReadHeaderTimeout: headerTimeout}, l.view)
}

func addServer(g *run.Group, name string, s *http.Server, ln net.Listener) {
	g.Add(func() error {
		return fmt.Errorf("edged: %s listener: %w", name, s.Serve(ln))
	}, func(error) { s.Close() })
}

// addCallers adds the callers' listener. A stopping daemon closes it before the
// last requests are answered, which does not end the group.
func (d *daemon) addCallers(g *run.Group, ln net.Listener) {
	d.callerListener = ln
	interrupted := make(chan struct{})
	g.Add(func() error {
		err := d.callers.Serve(ln)
		if d.listenerClosed.Load() {
			<-interrupted
		}
		return fmt.Errorf("edged: caller listener: %w", err)
	}, func(error) {
		close(interrupted)
		d.callers.Close()
	})
}
