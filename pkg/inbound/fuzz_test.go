package inbound

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/httpframe"
)

// fakeConn delivers bytes in pieces of a size and then io.EOF.
type fakeConn struct {
	net.Conn
	data  []byte
	piece int
}

func (f *fakeConn) Read(p []byte) (int, error) {
	if len(f.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), f.piece)], f.data)
	f.data = f.data[n:]
	return n, nil
}

func (*fakeConn) Write(p []byte) (int, error)      { return len(p), nil }
func (*fakeConn) Close() error                     { return nil }
func (*fakeConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (*fakeConn) SetDeadline(time.Time) error      { return nil }
func (*fakeConn) SetReadDeadline(time.Time) error  { return nil }
func (*fakeConn) SetWriteDeadline(time.Time) error { return nil }

const testLimit = 16_384

// wrapped returns a connection that receives data, its budget, and the refusals.
func wrapped(data []byte, piece int, budget int64) (*Conn, *Budget, *[]Reason) {
	b, reasons := NewBudget(budget), new([]Reason)
	l := Wrap(nil, Config{
		Budget: b, MaxHeadBytes: func() int { return testLimit }, HeadTimeout: time.Minute, UnreadBytes: 1000,
		OnRefusal: func(_ net.Addr, r Reason) { *reasons = append(*reasons, r) },
	})
	return &Conn{Conn: &fakeConn{data: data, piece: piece}, listener: l}, b, reasons
}

// maxRequests bounds the requests that requestsOf reads.
const maxRequests = 50

// requestsOf reads requests as a server does, until one cannot be read. between is called
// after each request and may return a byte that was read meanwhile.
func requestsOf(r io.Reader, between func() []byte) []string {
	var out []string
	in := bufio.NewReader(r)
	for len(out) < maxRequests {
		req, err := http.ReadRequest(in)
		if err != nil {
			return out
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return out
		}
		out = append(out, fmt.Sprintf("%s %s %s %q %q %q", req.Method, req.RequestURI, req.Host, req.Header, req.Trailer, body))
		if early := between(); len(early) > 0 {
			rest, _ := in.Peek(in.Buffered())
			in = bufio.NewReader(io.MultiReader(bytes.NewReader(early), bytes.NewReader(bytes.Clone(rest)), r))
		}
	}
	return out
}

// Guards against requests that net/http sees differently, or not at all, because of the
// pieces in which they arrive or because their framing was read differently, and against
// memory that is not released.
func FuzzHeads(f *testing.F) {
	const get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	chunked := "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n1\r\nd\r\n0\r\nT: 1\r\n\r\n"
	for _, text := range []string{
		get + get, chunked + get, "\r\n\n" + get,
		"POST /c HTTP/1.1\nhost: h\ncontent-length: 3\nContent-Length:  3\t\n\nabc" + get,
		"POST /c HTTP/1.0\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nab" + get,
		"POST /d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding:\r\n chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + get,
		"POST /e HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n 2\r\n\r\nab" + get,
		"GET /f HTTP/1.1\r\nHost: h\r\nA: b\r\n \r\n\tc\r\n\r\n" + get,
		"GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\n", 2000) + "\r\n" + get,
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
	} {
		for _, piece := range []int{1, 7, 4096} {
			f.Add([]byte(text), piece, piece == 7)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte, piece int, background bool) {
		data = bytes.TrimLeft(data, "\r\n")
		if piece < 1 || len(data) > testLimit {
			return
		}
		want := requestsOf(bytes.NewReader(data), func() []byte { return nil })
		conn, budget, reasons := wrapped(data, piece, 64<<20)
		got := requestsOf(conn, func() []byte {
			var early []byte
			if background {
				b := make([]byte, 1)
				n, _ := conn.Read(b)
				early = b[:n]
			}
			ConnState(conn, http.StateIdle)
			return early
		})
		for i, w := range want {
			if i >= len(got) || got[i] != w {
				t.Fatalf("request %d: %q, want %q (refused: %v)", i, got, w, *reasons)
			}
		}
		// A line has at least two bytes, of which the last is the line end.
		if most := (lineBytes/2+byteFactor)*int64(len(data)) + initialBuffer + 1000; budget.Used() > most {
			t.Fatalf("%d bytes reserved after %d were received", budget.Used(), len(data))
		}
		conn.Close()
		if budget.Used() != 0 {
			t.Fatalf("%d bytes are not released", budget.Used())
		}
	})
}

// Guards against a chunked body whose end is found elsewhere than by net/http.
func FuzzChunks(f *testing.F) {
	f.Add("3\r\nabc\r\n0\r\n\r\n", 1)
	f.Add("A;e=\"x\"\r\n0123456789\r\n00\r\n\r\nGET", 3)
	f.Add("0001 \r\nx\r\n0\r\n\r\n", 100)
	f.Add(strings.Repeat("f", 40)+"\r\n", 5)
	f.Fuzz(func(t *testing.T, text string, piece int) {
		if piece < 1 {
			return
		}
		in := strings.NewReader(text)
		buffered := bufio.NewReader(in)
		if _, err := io.Copy(io.Discard, httputil.NewChunkedReader(buffered)); err != nil {
			return
		}
		// The reader stops behind the last chunk; what follows is an empty trailer here.
		data := text[:len(text)-in.Len()-buffered.Buffered()] + "\r\nGET"
		var s httpframe.ChunkScanner
		for at := 0; ; {
			n, done := s.Scan([]byte(data[at:min(len(data), at+piece)]))
			at += n
			if done {
				if data[at:] != "GET" {
					t.Fatalf("the body ends after %d of %d bytes", at, len(data)-len("GET"))
				}
				return
			}
			if at == len(data) {
				t.Fatal("the body has no end")
			}
		}
	})
}
