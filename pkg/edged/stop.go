package edged

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/oklog/run"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
)

// addSignals adds the actor that starts the graceful shutdown on SIGTERM and
// SIGINT. It also reloads the settings on SIGHUP and when their file has changed.
func (d *daemon) addSignals(ctx context.Context, g *run.Group) {
	signals := make(chan os.Signal, 4)
	done := make(chan struct{})
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	g.Add(func() error {
		defer signal.Stop(signals)
		ticker := time.NewTicker(settingsCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case s := <-signals:
				if s == syscall.SIGHUP {
					d.reloadSettings()
					continue
				}
				d.stop(done)
				return errStopped
			case <-ticker.C:
				if d.settingsChanged() {
					d.reloadSettings()
				}
			case <-ctx.Done():
				d.stop(done)
				return errStopped
			case <-done:
				return nil
			}
		}
	}, func(error) { close(done) })
}

// stop shuts the daemon down gracefully. The daemon reports itself as not ready at
// once, but goes on serving until callers no longer use its address: they keep it
// for several times its time to live. Then it closes idle connections and ends when
// all requests are answered, or at the latest at the end of Settings.StopTimeout.
func (d *daemon) stop(done <-chan struct{}) {
	started := time.Now()
	untilEnd := d.settings.StopTimeout - stopMargin
	d.runtime.Post(gateway.StopRequested{EndsIn: untilEnd})
	deadline := started.Add(untilEnd)
	serveTime := min(addressReuseFactor*d.settings.AddressTTL+lingerTime, d.settings.StopTimeout/2)
	if !sleepUnlessDone(serveTime, done) {
		return
	}
	// Connections are closed one by one, because http.Server.Shutdown takes a
	// connection for idle, and closes it, if a request has arrived on it but was not
	// read yet. The listener stays open until no caller connects any more. It is
	// closed before the last check for open requests, so that none is accepted and
	// then cut off.
	if !d.awaitIdle(deadline.Add(-openRequestsReserve), lingerTime, done) {
		return
	}
	d.callerListenerClosed.Store(true)
	d.callerListener.Close()
	if !d.awaitIdle(deadline, 3*stopPollInterval, done) {
		return
	}
	// Requests that are still open get their final answer now, and those that arrive from
	// now on are refused.
	d.runtime.Post(gateway.StopEnding{})
	d.awaitIdle(deadline.Add(finalAnswersTimeout), stopPollInterval, done)
}

// awaitIdle waits until no connection and no request has been open for idleTime, at
// the latest until the deadline. Idle connections are closed meanwhile. It returns
// false if done is closed first.
func (d *daemon) awaitIdle(deadline time.Time, idleTime time.Duration, done <-chan struct{}) bool {
	idleSince := time.Now()
	for time.Now().Before(deadline) && time.Since(idleSince) < idleTime {
		d.callerConns.Drain()
		if d.callerConns.Open() > 0 || d.runtime.OpenQueries() > 0 {
			idleSince = time.Now()
		}
		if !sleepUnlessDone(stopPollInterval, done) {
			return false
		}
	}
	return true
}

// sleepUnlessDone waits for d. It returns false if done is closed first.
func sleepUnlessDone(d time.Duration, done <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-done:
		return false
	}
}
