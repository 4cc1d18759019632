package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"time"

	"github.com/oklog/run"

	"github.com/pistachiousher/pistachiousher/pkg/api"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/peer"
)

const (
	// shutdownTimeout bounds how long the servers wait for open requests after
	// the reducer has exited. The reducer exits only when its work is done, so
	// only the last responses remain to be written.
	shutdownTimeout = 2 * time.Second
	// readTimeout bounds the reading of a caller's request and of the header of
	// an admin request.
	readTimeout = 10 * time.Second
	// idleTimeout is longer than callers keep idle connections open, so that
	// the callers close them and not the daemon.
	idleTimeout = 3 * time.Minute
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 16 << 10
)

// errExited is returned by the event loop's actor after the reducer's
// effect.Exit, which makes the group stop the other actors.
var errExited = errors.New("daemon: exited")

// addLogWriter adds the log writer. It must be added last: the group interrupts
// its actors in the order in which they were added, so the log writer still
// writes the last lines of the others.
func (d *daemon) addLogWriter(g *run.Group) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return d.log.Run(ctx) }, func(error) {
		d.log.Write(logevent.DaemonStopped, nil)
		cancel()
	})
}

// addEventLoop adds the event loop; the daemon stops when it returns.
func (d *daemon) addEventLoop(g *run.Group) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		reason, err := d.loop.Run(ctx)
		if err != nil {
			return err
		}
		return fmt.Errorf("%w: %s", errExited, reason)
	}, func(error) { cancel() })
}

// addServers adds the listeners.
func (d *daemon) addServers(g *run.Group, l *listeners) {
	callers := &http.Server{
		Handler:           api.NewHandler(d.loop),
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	admin := &http.Server{Handler: d.adminHandler(), ReadHeaderTimeout: readTimeout}
	d.addServer(g, "caller", callers, l.caller)
	d.addServer(g, "peer", peer.NewServer(d.loop), l.peer)
	d.addServer(g, "admin", admin, l.admin)
}

func (d *daemon) addServer(g *run.Group, name string, s *http.Server, ln net.Listener) {
	g.Add(func() error {
		err := s.Serve(ln)
		if !errors.Is(err, http.ErrServerClosed) {
			d.log.Write(logevent.DaemonServerFailed, []logevent.Field{logevent.Str("listener", name), logevent.Str("error", err.Error())})
		}
		return fmt.Errorf("%s listener: %w", name, err)
	}, func(error) { shutdown(s) })
}

// shutdown waits up to shutdownTimeout for open requests and then closes their
// connections.
func shutdown(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		s.Close()
	}
}

// addSignals adds the actor that turns signals and the end of ctx into a
// graceful shutdown. A second signal stops the daemon at once.
func (d *daemon) addSignals(ctx context.Context, g *run.Group) {
	signals := make(chan os.Signal, 2)
	done := make(chan struct{})
	signal.Notify(signals, stopSignals...)
	g.Add(func() error {
		defer signal.Stop(signals)
		return d.awaitStop(ctx, signals, done)
	}, func(error) { close(done) })
}

func (d *daemon) awaitStop(ctx context.Context, signals <-chan os.Signal, done <-chan struct{}) error {
	select {
	case s := <-signals:
		d.requestStop("signal " + s.String())
	case <-ctx.Done():
		d.requestStop("context ended")
	case <-d.options.Abort:
		return ErrAborted
	case <-done:
		return nil
	}
	select {
	case <-signals:
		return ErrAborted
	case <-d.options.Abort:
		return ErrAborted
	case <-done:
		return nil
	}
}

func (d *daemon) requestStop(reason string) {
	d.log.Write(logevent.DaemonStopRequested, []logevent.Field{logevent.Str("reason", reason)})
	d.loop.Stop(reason)
}
