package edge

import (
	"compress/gzip"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/answers/answerstest"
	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
)

// Guards against an endless view of another daemon, plain or compressed, that fills the
// memory, and against a limit that refuses a complete view.
func TestEndlessViews(t *testing.T) {
	const (
		most  = 8 * maxViewBytes
		bound = fetchTimeout + time.Second
	)
	endless := func(w io.Writer) { answerstest.WriteEndlessly(w, `{"kinds":{"servers":{"objects":{"`, "x") }
	for name, serve := range map[string]http.HandlerFunc{
		"plain": func(w http.ResponseWriter, _ *http.Request) { endless(w) },
		"compressed": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Encoding", "gzip")
			endless(gzip.NewWriter(w))
		},
		"not compressed": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Encoding", "gzip")
			_, _ = io.WriteString(w, "{}")
		},
	} {
		server := httptest.NewServer(serve)
		p := NewPeers(nil, func(gateway.Event) {}, newRecordingFollower(newFakeStore()).Follower, noLag, func(string, error) {})
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		start := time.Now()
		_, err := p.requestView(strings.TrimPrefix(server.URL, "http://"), nil, false, false)
		runtime.ReadMemStats(&after)
		if err == nil {
			t.Errorf("%s: accepted as a view", name)
		}
		if took := time.Since(start); took > bound {
			t.Errorf("%s: took %v", name, took)
		}
		if n := after.TotalAlloc - before.TotalAlloc; n > most {
			t.Errorf("%s: allocated %d bytes", name, n)
		}
		server.CloseClientConnections()
		server.Close()
	}
	f := newRecordingFollower(newFakeStore())
	f.SetWatching(true)
	startFollowing(t, f)
	f.awaitLeafs(t, time.Second, "[a]")
	p := NewPeers(nil, func(gateway.Event) {}, f.Follower, noLag, func(string, error) {})
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	view, err := p.requestView(strings.TrimPrefix(server.URL, "http://"), nil, false, false)
	if err != nil || len(view.Kinds[KindServers].Objects) != 1 {
		t.Errorf("view %+v, error %v", view, err)
	}
	if sent, got := p.Traffic().ViewsSent.Load(), p.Traffic().ViewsReceived.Load(); sent == 0 || sent != got {
		t.Errorf("%d bytes of views sent, %d received", sent, got)
	}
}
