package backend

import (
	"context"
	"slices"
)

// wait queues the caller until it gets a slot. It reports false when the
// request was canceled or its deadline passed before. The caller holds mu,
// which is free while it waits.
func (s *Server) wait(ctx context.Context) bool {
	turn := make(chan struct{})
	s.waiting = append(s.waiting, turn)
	s.counts.Queued++
	s.counts.MaxQueued = max(s.counts.MaxQueued, len(s.waiting))
	s.mu.Unlock()
	select {
	case <-turn:
	case <-ctx.Done():
	}
	s.mu.Lock()
	if ctx.Err() == nil {
		return true
	}
	if i := slices.Index(s.waiting, turn); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		return false
	}
	// The slot came too late and goes to the next one.
	s.running--
	s.grant()
	return false
}

// grant gives free slots to waiting requests, the oldest first. The caller
// holds mu.
func (s *Server) grant() {
	for len(s.waiting) > 0 && s.running < s.cfg.Slots {
		s.running++
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
	}
}
