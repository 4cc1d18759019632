package backend

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/answers/answerstest"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// endlessReplies are what a faulty server sends: a head, and what it repeats until the
// connection is closed.
var endlessReplies = map[string]struct{ head, repeated string }{
	"status line":        {"HTTP/1.1 200 ", "x"},
	"header line":        {"HTTP/1.1 200 OK\r\nLong: ", "x"},
	"header fields":      {"HTTP/1.1 200 OK\r\n", "Field: value\r\n"},
	"informational":      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"until closed":       {"HTTP/1.1 200 OK\r\n\r\n", "x"},
	"refusal":            {"HTTP/1.1 503 Service Unavailable\r\n\r\n", "x"},
	"chunks":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"},
	"chunk extension":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"trailers":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Field: value\r\n"},
	"length of gigabyte": {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n", "x"},
}

// Guards against a daemon that runs out of memory because servers send bytes without end, in
// a head or in a body, which it keeps until the request's deadline.
func TestEndlessReplies(t *testing.T) {
	const (
		servers, calls = 10, 6
		timeout        = 5 * time.Second
		// maxAddedBytes is what control may take of a daemon's memory. The servers of the
		// test run in the same process.
		maxAddedBytes = 128 << 20
	)
	for name, reply := range endlessReplies {
		t.Run(name, func(t *testing.T) {
			c := New()
			defer c.Close()
			grown := answerstest.WatchMemory()
			var wg sync.WaitGroup
			for i := range servers {
				address := answerstest.ServeEndlessly(t, reply.head, reply.repeated)
				sub := testSub
				sub.Server = model.ServerName(fmt.Sprint("server", i))
				for range calls {
					wg.Go(func() {
						r := c.Search(context.Background(), address, entryDaemon, &sub, time.Now().Add(timeout))
						if r.Result.Outcome == model.OutcomeOK {
							t.Error("an endless reply was taken for an answer")
						}
					})
				}
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), timeout)
					defer cancel()
					if _, err := c.Status(ctx, sub.Server, address); err == nil {
						t.Error("an endless reply was taken for a status")
					}
				})
			}
			start := time.Now()
			wg.Wait()
			added := grown()
			t.Logf("%d MB in %v", added>>20, time.Since(start))
			if added > maxAddedBytes {
				t.Errorf("memory in use grew by %d MB, want at most %d", added>>20, maxAddedBytes>>20)
			}
		})
	}
}
