package objectapi

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/answers/answerstest"
)

// Guards against a reply whose head never ends and that a client keeps until the call's
// deadline or the bound of net/http, 10 MB.
func TestEndlessReplyHead(t *testing.T) {
	const maxAllocated = 1 << 20
	address := answerstest.ServeEndlessly(t, "HTTP/1.1 200 OK\r\nLong: ", "x")
	c := New(Options{URLs: []string{"http://" + address}, Rate: 100, Burst: 100})
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if _, err := c.Get(ctx, "bundles/active"); err == nil {
		t.Error("an endless head was taken for a reply")
	}
	runtime.ReadMemStats(&after)
	if n := after.TotalAlloc - before.TotalAlloc; n > maxAllocated {
		t.Errorf("allocated %d bytes, want at most %d", n, maxAllocated)
	}
}
