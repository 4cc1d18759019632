package edge

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// IdleLimit closes callers' connections that are idle for longer than the
// configuration allows. Unlike http.Server.IdleTimeout the limit may change.
type IdleLimit struct {
	mu     sync.Mutex
	limit  time.Duration
	timers map[net.Conn]*time.Timer
}

// NewIdleLimit returns a limit that is not set yet.
func NewIdleLimit() *IdleLimit { return &IdleLimit{timers: map[net.Conn]*time.Timer{}} }

// Set changes the limit for connections that become idle from now on; 0 is no
// limit.
func (l *IdleLimit) Set(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = d
}

// ConnState is the hook of http.Server.
func (l *IdleLimit) ConnState(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, known := l.timers[c]
	switch state {
	case http.StateIdle:
		switch {
		case l.limit <= 0:
		case known:
			t.Reset(l.limit)
		default:
			l.timers[c] = time.AfterFunc(l.limit, func() { c.Close() })
		}
	case http.StateActive:
		if known {
			t.Stop()
		}
	case http.StateClosed, http.StateHijacked:
		if known {
			t.Stop()
			delete(l.timers, c)
		}
	}
}
