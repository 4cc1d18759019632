package backend

import (
	"context"
	"slices"
)

// waitForSlot queues a request until it gets a slot. It returns false if the
// request was canceled or its deadline passed first. The caller holds mu, which is
// released during the wait.
func (s *Server) waitForSlot(ctx context.Context) bool {
	granted := make(chan struct{})
	s.queue = append(s.queue, granted)
	s.counts.Queued++
	s.counts.MaxQueued = max(s.counts.MaxQueued, len(s.queue))
	s.mu.Unlock()
	select {
	case <-granted:
	case <-ctx.Done():
	}
	s.mu.Lock()
	if ctx.Err() == nil {
		return true
	}
	if i := slices.Index(s.queue, granted); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		return false
	}
	// The slot was granted after the request had ended; the next request gets it.
	s.running--
	s.grantSlots()
	return false
}

// grantSlots gives free slots to queued requests, the oldest first. The caller
// holds mu.
func (s *Server) grantSlots() {
	for len(s.queue) > 0 && s.running < s.cfg.Slots {
		s.running++
		close(s.queue[0])
		s.queue = s.queue[1:]
	}
}
