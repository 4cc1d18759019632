package edged

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/oklog/run"

	"github.com/pistachiousher/pistachiousher/pkg/inbound"
)

// listeners are the open sockets of a daemon; admin is nil without an admin address.
type listeners struct {
	caller, ready, directory, view, admin net.Listener
	peer                                  *net.UDPConn
}

// listenRetryInterval is the pause between two attempts at an address that is in use.
const listenRetryInterval = 50 * time.Millisecond

// listen opens the listeners of all configured addresses. One that another process holds is
// tried again for Settings.StopTimeout, in which a daemon that ran here before ends; onInUse
// is called for it once.
func listen(s *Settings, onInUse func(error)) (*listeners, error) {
	l := &listeners{}
	until := time.Now().Add(s.StopTimeout)
	peer := s.peerAddress(s.ownIP())
	for _, x := range []struct {
		listener *net.Listener
		addr     string
	}{{&l.caller, s.Listen.Caller}, {&l.ready, s.Listen.Ready}, {&l.directory, s.Listen.Directory}, {&l.view, peer}, {&l.admin, s.Listen.Admin}} {
		if x.addr == "" {
			continue
		}
		err := retryInUse(until, onInUse, func() (err error) {
			*x.listener, err = inbound.Listen(x.addr, s.receiveBuffer(), max(minSendBuffer, s.receiveBuffer()))
			return err
		})
		if err != nil {
			return nil, fmt.Errorf("edged: listen: %w", err)
		}
	}
	addr, err := net.ResolveUDPAddr("udp4", peer)
	if err != nil {
		return nil, fmt.Errorf("edged: listen: %w", err)
	}
	err = retryInUse(until, onInUse, func() (err error) {
		l.peer, err = net.ListenUDP("udp4", addr)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("edged: listen: %w", err)
	}
	return l, nil
}

// retryInUse repeats open until it works, fails for another reason than an address in use, or
// the time is over.
func retryInUse(until time.Time, onInUse func(error), open func() error) error {
	err := open()
	if errors.Is(err, syscall.EADDRINUSE) {
		onInUse(err)
	}
	for errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(until) {
		time.Sleep(listenRetryInterval)
		err = open()
	}
	return err
}

func (d *daemon) addServers(g *run.Group, p Platform, l *listeners) {
	d.addCallerServer(g, l.caller)
	d.addServer(g, "ready", p.ReadyHandler(d.runtime), l.ready, maxReadyConns)
	directory := p.DirectoryHandler(d.runtime, d.settings.AddressTTL)
	d.addServer(g, "directory", directory, l.directory, d.settings.maxDirectoryConns())
	if l.admin != nil {
		d.addServer(g, "admin", d.adminHandler(), l.admin, maxAdminConns)
	}
	d.addServer(g, "view", d.peerHandler(), l.view, maxViewConns)
}

// Limits of all listeners except the one for callers.
const (
	// Numbers of open connections; beyond them the one that was idle for longest is closed.
	maxReadyConns = 32
	maxAdminConns = 16
	maxViewConns  = 256
	// maxRequestPartBytes bounds the header of a request, and also its body.
	maxRequestPartBytes = 16 << 10
	// readWriteTimeout bounds the time for reading a request, and the time for
	// writing its answer.
	readWriteTimeout = 10 * time.Second
	// idleTimeout is how long a connection may stay idle before it is closed.
	idleTimeout = 5 * time.Minute
)

// addServer adds a server for requests that need no body.
func (d *daemon) addServer(g *run.Group, name string, h http.Handler, ln net.Listener, maxConns int) {
	s := &http.Server{
		Handler: http.MaxBytesHandler(h, maxRequestPartBytes), ReadTimeout: readWriteTimeout, WriteTimeout: readWriteTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxRequestPartBytes, ErrorLog: d.listenerLogger(name), ConnState: inbound.ConnState,
	}
	bounded := d.boundHeads(name, ln, maxConns, func() int { return maxRequestPartBytes + headSlack })
	g.Add(func() error {
		return fmt.Errorf("edged: %s listener: %w", name, s.Serve(bounded))
	}, func(error) { s.Close() })
}

// addCallerServer adds the server for callers. During shutdown its listener is
// closed before the last requests are answered; that must not end the group.
func (d *daemon) addCallerServer(g *run.Group, ln net.Listener) {
	d.callerListener = ln
	interrupted := make(chan struct{})
	g.Add(func() error {
		err := d.callerServer.Serve(d.boundHeads("caller", ln, 0, d.maxCallerHead))
		if d.callerListenerClosed.Load() {
			<-interrupted
		}
		return fmt.Errorf("edged: caller listener: %w", err)
	}, func(error) {
		close(interrupted)
		d.callerServer.Close()
	})
}
