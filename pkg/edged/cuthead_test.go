package edged_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/platform/standin"
)

// Guards against an answer whose leaf stopped in the middle of its head and that a caller
// gets as a success with an empty or short body.
func TestAnswerCutInItsHead(t *testing.T) {
	s := newSite(t)
	one, two := s.leaf("i-1", "one", standin.Behavior{}), s.leaf("i-2", "two", standin.Behavior{})
	s.configure(route("/one/", "one"), nonIdempotentRoute("/unsafe/", "one"), shardedRoute("/all/", 3, 0.5, "one", "two"))
	d := s.daemon(1)
	eventually(t, startTimeout, "ready", d.ready)
	const ok = "HTTP/1.1 200 OK\r\n"
	// lines are those of the leaf i-1 and the request q.
	var lines string
	one.Set(standin.Behavior{Bytes: func(l string) string { lines = l; return "" }})
	d.call("GET", "/unsafe/x", "q", time.Second, "")
	for name, head := range map[string]func(lines string) string{
		"length":          func(lines string) string { return ok + lines + "Content-Length: 16\r\n\r\n" },
		"chunks":          func(lines string) string { return ok + lines + "Transfer-Encoding: chunked\r\n\r\n" },
		"no length":       func(lines string) string { return ok + lines + "Connection: close\r\n\r\n" },
		"no length, late": func(lines string) string { return ok + "Connection: close\r\n" + lines + "\r\n" },
		"HTTP/1.0":        func(lines string) string { return "HTTP/1.0 200 OK\r\n" + lines + "\r\n" },
		"line feeds":      func(lines string) string { return strings.ReplaceAll(ok+lines+"\r\n", "\r\n", "\n") },
		"no body":         func(lines string) string { return "HTTP/1.1 204 No Content\r\n" + lines + "\r\n" },
		"informational": func(lines string) string {
			return "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n" + ok + lines + "\r\n"
		},
	} {
		var sent atomic.Int64
		cut, length := 0, len(head(lines))
		for ; cut < length; cut++ {
			cutHead := func(lines string) string {
				sent.Add(1)
				whole := head(lines)
				return whole[:min(cut, len(whole)-1)]
			}
			one.Set(standin.Behavior{Bytes: cutHead})
			two.Set(standin.Behavior{Bytes: cutHead})
			for _, path := range []string{"/one/x", "/unsafe/x", "/all/x"} {
				a := d.call("GET", path, "q", time.Second, "")
				if a.Err != nil || a.Status < http.StatusInternalServerError {
					t.Errorf("%s, cut after %d bytes, %s: status %d, body %q, error %v", name, cut, path, a.Status, a.Body, a.Err)
				}
			}
		}
		if int(sent.Load()) < 3*length {
			t.Errorf("%s: %d cut answers for 3 requests at each of %d cuts", name, sent.Load(), length)
		}
	}
}
