package leafconn

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// scriptedConn is a connection that delivers fixed bytes and discards what is written.
type scriptedConn struct {
	net.Conn
	in *bytes.Reader
}

// Read implements net.Conn.
func (c scriptedConn) Read(p []byte) (int, error) { return c.in.Read(p) }

// Write implements net.Conn.
func (c scriptedConn) Write(p []byte) (int, error) { return len(p), nil }

// SetDeadline implements net.Conn.
func (c scriptedConn) SetDeadline(time.Time) error { return nil }

// Guards against bytes of a leaf that make a daemon panic, or that pass as the answer
// to another request or as a complete answer when they are not, and against keeping a
// connection with unread bytes.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 X\r\nId: a\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\nrest"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9999999999\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 200 OK\r\nId: a\r\nKeep-Alive: timeout=-1\r\n\r\nto the end"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := http.NewRequest(http.MethodGet, "http://leaf/path", nil)
		if err != nil {
			t.Fatal(err)
		}
		x := &Exchange{Server: "l", Request: r, LeafDeadline: time.Now().Add(time.Second), MaxIdle: 1,
			Match: matchIf(func(resp *http.Response) bool { return resp.Header.Get("Id") == "a" })}
		raw := scriptedConn{in: bytes.NewReader(data)}
		c := newConn(raw, "l")
		// The connection cannot be inspected as a new one is.
		c.fresh = false
		answer, keepFor, err := NewPool(nil, NewBudget(1<<20)).roundTrip(x, c)
		if (answer == nil) == (err == nil) {
			t.Fatalf("answer %+v and error %v", answer, err)
		}
		if err != nil {
			if keepFor > 0 {
				t.Fatalf("the connection is kept for %v after %v", keepFor, err)
			}
			return
		}
		if answer.Header.Get("Id") != "a" || answer.Status < http.StatusOK {
			t.Fatalf("foreign answer %+v", answer)
		}
		length := answer.Header.Get("Content-Length")
		if n, err := strconv.Atoi(length); err == nil && len(answer.Body) != n && answer.Status != http.StatusNoContent && answer.Status != http.StatusNotModified {
			t.Fatalf("body of %d bytes, %s stated", len(answer.Body), length)
		}
		if keepFor > 0 && c.buffered() > 0 {
			t.Fatalf("%d unread bytes on a connection that is kept", c.buffered())
		}
	})
}
