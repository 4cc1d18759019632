package backend

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

// Guards against queued requests that run while all slots are taken, are not
// counted, or keep a slot when their deadline passes in the queue.
func TestQueuedRequestsKeepSlotLimit(t *testing.T) {
	s, url := start(t, Config{Slots: 1, Queue: 2, ServiceTime: 500 * time.Millisecond})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() { _, _, _ = search(t.Context(), url, http.DefaultClient, 1, 750) })
	}
	wg.Wait()
	checkSearch(t, url, 1, 5000, 200)
	c := s.Counts()
	if c.MaxRunning != 1 || c.Violations != 3 || c.Queued != 2 || c.MaxQueued != 2 || c.Expired != 2 {
		t.Fatalf("counts %+v", c)
	}
}
