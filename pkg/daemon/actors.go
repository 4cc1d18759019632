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
	// shutdownTimeout bounds the time in which servers end open requests after
	// the reducer has ended. The reducer ends only when its work is done, so
	// only the writing of last responses is left.
	shutdownTimeout = 2 * time.Second
	// readTimeout bounds the reading of a caller's request.
	readTimeout = 10 * time.Second
	// idleTimeout is longer than callers keep idle connections, so that they
	// and not the daemon close them.
	idleTimeout = 3 * time.Minute
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 16 << 10
)

// errExited ends the group after the reducer's effect.Exit.
var errExited = errors.New("daemon: exited")

// addLog adds the log writer. The group interrupts its actors in the order in
// which they were added, so the log writer is added last and writes the last
// lines of the others.
func (d *daemon) addLog(g *run.Group) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return d.log.Run(ctx) }, func(error) {
		d.log.Write(logevent.DaemonStopped, nil)
		cancel()
	})
}

// addLoop adds the event loop, whose end ends the daemon.
func (d *daemon) addLoop(g *run.Group) {
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

// shutdown ends open requests in time or closes their connections.
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
		d.stop("signal " + s.String())
	case <-ctx.Done():
		d.stop("context ended")
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

func (d *daemon) stop(reason string) {
	d.log.Write(logevent.DaemonStopRequested, []logevent.Field{logevent.Str("reason", reason)})
	d.loop.Stop(reason)
}
