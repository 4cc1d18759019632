package edged_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/answers/answerstest"
	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/platform/standin"
)

// endlessLeaf starts a leaf that answers each request with head and then with
// repeated, again and again until the connection is closed.
func (s *site) endlessLeaf(id, service, head, repeated string) {
	s.t.Helper()
	address := answerstest.ServeEndlessly(s.t, head, repeated)
	s.store.PutServer(gateway.Server{ID: id, Service: service, Address: address, FailureDomain: "a", Slots: 2})
}

// Guards against a daemon that runs out of memory because leafs send endless
// answers: in each shard one leaf sends an endless head or body, and one answers.
func TestEndlessLeafAnswers(t *testing.T) {
	const (
		shards = 60
		// maxAddedBytes bounds the additional memory of the whole test: daemon, leafs
		// and callers together.
		maxAddedBytes = 60 << 20
	)
	s := newSite(t)
	var names []string
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 1<<10, strings.Repeat("x", 1<<10))
	for i := range shards {
		name := fmt.Sprintf("s%d", i)
		names = append(names, name)
		s.leaf("good-"+name, name, standin.Behavior{Body: []byte(paddedRecord(name))})
		id := "bad-" + name
		switch ok := "HTTP/1.1 200 OK\r\n"; i % 4 {
		case 0:
			s.endlessLeaf(id, name, ok+"Long: ", "x")
		case 1:
			s.endlessLeaf(id, name, ok+"Transfer-Encoding: chunked\r\n\r\n", chunk)
		case 2:
			s.endlessLeaf(id, name, "", "HTTP/1.1 100 Continue\r\n\r\n")
		case 3:
			s.endlessLeaf(id, name, ok+"Content-Length: 1000000000\r\n\r\n", "x")
		}
	}
	r := shardedRoute("/all/", 5, 0.5, names...)
	r.MaxAttempts = 3
	s.configure(r)
	d := s.daemon(1)
	eventually(t, startTimeout, "ready", d.ready)
	grown := answerstest.WatchMemory()
	complete := 0
	for i := range 20 {
		a := d.call("GET", "/all/x", fmt.Sprintf("q%d", i), 2*time.Second, "")
		if a.Status == http.StatusOK && a.Missing == 0 {
			complete++
		}
	}
	if added := grown(); added > maxAddedBytes {
		t.Errorf("memory in use grew by %d bytes", added)
	}
	// The first queries may be incomplete, because the retry budget bounds their second
	// attempts. After them the daemon knows the bad leafs.
	if complete < 10 {
		t.Errorf("%d of 20 answers are complete, want at least 10: each shard has a good leaf", complete)
	}
	// Log lines are written in batches.
	eventually(t, 3*time.Second, "a line says that a leaf sent too much", func() bool {
		return strings.Contains(d.log.String(), "too_large")
	})
}

// rawRequest sends head, and then repeated again and again unless it is empty. It
// returns the status of the answer; 0 and an error if none came.
func rawRequest(address, head, repeated string, wait time.Duration) (int, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(wait)); err != nil {
		return 0, err
	}
	go func() {
		_, err := io.WriteString(conn, head)
		block := strings.Repeat(repeated, (1<<10)/max(1, len(repeated)))
		for err == nil && repeated != "" {
			_, err = io.WriteString(conn, block)
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}

// Guards against clients that hold up a daemon with an endless head or body, or by
// stopping in the middle of a body: each must get an answer or a closed connection
// in time, while other callers are served.
func TestEndlessClientRequests(t *testing.T) {
	s := newSite(t)
	s.leaf("i-1", "one", standin.Behavior{Body: []byte("body")})
	s.configure(route("/one/", "one"))
	d := s.daemon(1)
	eventually(t, startTimeout, "ready", d.ready)
	post := standin.RequestHead("POST", "/one/x", host, 400*time.Millisecond)
	for name, x := range map[string]struct{ address, head, repeated string }{
		"header field": {d.settings.Listen.Caller, "GET /one/x HTTP/1.1\r\nLong: ", "x"},
		"path":         {d.settings.Listen.Caller, "GET /", "x"},
		"body":         {d.settings.Listen.Caller, post + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n"},
		"stalled body": {d.settings.Listen.Caller, post + "Content-Length: 10\r\n\r\nabc", ""},
		"directory":    {d.settings.Listen.Directory, "GET " + standin.ResolvePath + " HTTP/1.1\r\nLong: ", "x"},
		"ready":        {d.settings.Listen.Ready, "GET " + standin.ReadyPath + " HTTP/1.1\r\nLong: ", "x"},
	} {
		status, err := rawRequest(x.address, x.head, x.repeated, 3*time.Second)
		if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			continue
		}
		if err != nil || status < 400 || status == http.StatusServiceUnavailable {
			t.Errorf("%s: status %d, error %v", name, status, err)
		}
	}
	if a := d.call("GET", "/one/x", "q", time.Second, ""); a.Status != http.StatusOK {
		t.Errorf("answer %+v", a)
	}
}
