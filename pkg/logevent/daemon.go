package logevent

import "github.com/apex/log"

// Log events 1500 to 1599, of the component daemon.
const (
	DaemonStarted       ID = 1500
	DaemonStopRequested ID = 1501
	DaemonStopped       ID = 1502
	DaemonServerFailed  ID = 1503
)

var daemonEvents = []Def{
	{DaemonStarted, "daemon_started", log.InfoLevel, "The daemon listens on its addresses."},
	{DaemonStopRequested, "daemon_stop_requested", log.InfoLevel, "A signal or the end of the daemon's context started the graceful shutdown."},
	{DaemonStopped, "daemon_stopped", log.InfoLevel, "The daemon ended."},
	{DaemonServerFailed, "daemon_server_failed", log.ErrorLevel, "A listener of the daemon failed."},
}
