package objectapi

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

func newClient(t *testing.T, url string) *Client {
	t.Helper()
	c := New(Options{URLs: []string{url}, Rate: 1000, Burst: 1000})
	t.Cleanup(c.Close)
	return c
}

// writeRawAndClose answers with raw bytes and closes the connection.
func writeRawAndClose(w http.ResponseWriter, raw string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	io.WriteString(conn, raw)
	conn.Close()
}

// Guards against a write whose reply was lost being taken as failed and written
// again, or being repeated by net/http.
func TestLostWriteReplyIsUnknown(t *testing.T) {
	cases := map[string]func(http.ResponseWriter){
		"no reply":       func(w http.ResponseWriter) { writeRawAndClose(w, "") },
		"cut reply":      func(w http.ResponseWriter) { writeRawAndClose(w, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{") },
		"unreadable":     func(w http.ResponseWriter) { io.WriteString(w, "{") },
		"internal error": func(w http.ResponseWriter) { w.WriteHeader(500) },
	}
	for name, handle := range cases {
		t.Run(name, func(t *testing.T) {
			var puts atomic.Int64
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet {
					io.WriteString(w, `{"key":"k","version":1,"value":"YQ=="}`)
					return
				}
				io.Copy(io.Discard, r.Body)
				puts.Add(1)
				handle(w)
			}))
			defer s.Close()
			c := newClient(t, s.URL)
			// Leaves an idle connection for the write to reuse.
			if _, err := c.Get(context.Background(), "k"); err != nil {
				t.Fatal(err)
			}
			_, err := c.Put(context.Background(), "k", []byte("b"), 1)
			if !errors.Is(err, ErrUnknownOutcome) {
				t.Errorf("error %v, want ErrUnknownOutcome", err)
			}
			if n := puts.Load(); n != 1 {
				t.Errorf("platform saw %d writes, want 1", n)
			}
		})
	}
}

// Guards against refused writes, which had no effect, being reported as of
// unknown outcome.
func TestRefusedPutIsNotUnknown(t *testing.T) {
	cases := []struct {
		status int
		body   string
		want   error
	}{
		{409, `{"version":9}`, ErrConflict},
		{413, "", ErrTooLarge},
		{429, "", ErrUnavailable},
		{503, "", ErrUnavailable},
		{200, `{"version":2}`, nil},
	}
	for _, tc := range cases {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(tc.status)
			io.WriteString(w, tc.body)
		}))
		_, err := newClient(t, s.URL).Put(context.Background(), "a/b", []byte("v"), 1)
		s.Close()
		if !errors.Is(err, tc.want) {
			t.Errorf("status %d: %v, want %v", tc.status, err, tc.want)
		}
		if conflict := new(ConflictError); tc.want == ErrConflict && (!errors.As(err, &conflict) || conflict.Version != 9) {
			t.Errorf("conflict %v does not give version 9", err)
		}
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	_, err = newClient(t, "http://"+ln.Addr().String()).Put(context.Background(), "k", nil, 0)
	if !errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknownOutcome) {
		t.Errorf("refused connection: %v, want ErrUnavailable", err)
	}
}

// Guards against a read-back being taken as proof of the outcome when the write
// may still take effect or another daemon wrote.
func TestReadBack(t *testing.T) {
	const stored = `{"key":"k","version":5,"value":"YQ=="}`
	cases := []struct {
		value     string
		ifVersion uint64
		want      error
	}{
		{"a", 4, nil},
		{"b", 4, ErrConflict},
		{"a", 5, ErrUnknownOutcome},
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, stored) }))
	defer s.Close()
	c := newClient(t, s.URL)
	for _, tc := range cases {
		version, err := c.ReadBack(context.Background(), "k", []byte(tc.value), tc.ifVersion)
		if !errors.Is(err, tc.want) || (err == nil && version != 5) {
			t.Errorf("read back %q after %d: version %d, %v; want %v", tc.value, tc.ifVersion, version, err, tc.want)
		}
	}
}

// Guards against a thundering herd: during an outage many callers of one client
// together must make few calls, and after it the client must work again.
func TestBackoffIsShared(t *testing.T) {
	var calls atomic.Int64
	var up atomic.Bool
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		if !up.Load() {
			w.WriteHeader(503)
			return
		}
		io.WriteString(w, `{"vms":[{"name":"vm1","state":"leaving"}]}`)
	}))
	defer s.Close()
	c := newClient(t, s.URL)
	ctx, cancel := context.WithTimeout(context.Background(), 600*time.Millisecond)
	defer cancel()
	for ctx.Err() == nil {
		c.VMs(ctx)
	}
	// Pauses of at least 25, 50, 100, 200 and 400 ms leave room for 5 calls.
	if n := calls.Load(); n > 6 {
		t.Errorf("%d calls in 600 ms of an outage, want at most 6", n)
	}
	up.Store(true)
	vms, err := c.VMs(context.Background())
	if err != nil || len(vms) != 1 || vms[0].State != "leaving" {
		t.Errorf("after the outage: %v, %v", vms, err)
	}
	if c.Calls() != uint64(calls.Load()) {
		t.Errorf("client counted %d calls, platform %d", c.Calls(), calls.Load())
	}
}

// Guards against a watch that returns an unchanged object as a change.
func TestWatch(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/objects/epochs/r1" || r.FormValue("watch") != "1" || r.FormValue("timeout_ms") != "50" {
			w.WriteHeader(400)
			return
		}
		if r.FormValue("after") == "2" {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		io.WriteString(w, `{"key":"epochs/r1","version":2,"value":"YQ=="}`)
	}))
	defer s.Close()
	c := newClient(t, s.URL)
	o, changed, err := c.Watch(context.Background(), "epochs/r1", 1, 50*time.Millisecond)
	if err != nil || !changed || o.Version != 2 || string(o.Value) != "a" {
		t.Errorf("first watch: %+v %v %v", o, changed, err)
	}
	if _, changed, err = c.Watch(context.Background(), "epochs/r1", 2, 50*time.Millisecond); changed || err != nil {
		t.Errorf("second watch: changed %v, %v", changed, err)
	}
}

// Guards against a daemon that keeps calling an address of the platform that
// does not answer although another one does.
func TestNextAddressAfterFailure(t *testing.T) {
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	live := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Write([]byte(`{"vms":[{"name":"vm1","state":"live"}]}`))
	}))
	defer live.Close()
	c := New(Options{URLs: []string{gone.URL, live.URL}, Rate: 1000, Burst: 1000})
	defer c.Close()
	if _, err := c.VMs(t.Context()); !errors.Is(err, ErrUnavailable) {
		t.Fatalf("first address: %v", err)
	}
	if vms, err := c.VMs(t.Context()); err != nil || len(vms) != 1 {
		t.Fatalf("second address: %v, %v", vms, err)
	}
}
