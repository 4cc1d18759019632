package answers

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/iotest"

	"github.com/pistachiousher/pistachiousher/pkg/answers/answerstest"
)

// pieces returns a reader that delivers data in pieces of a size.
func pieces(data []byte, size int) io.Reader {
	var list []io.Reader
	for len(data) > 0 {
		n := min(size, len(data))
		list = append(list, bytes.NewReader(data[:n]))
		data = data[n:]
	}
	return io.MultiReader(list...)
}

// answersOf reads answers until one cannot be read.
func answersOf(r io.Reader) []string {
	var out []string
	for in := bufio.NewReader(r); len(out) < 20; {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return out
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return out
		}
		out = append(out, fmt.Sprintf("%d %q %q %q", resp.StatusCode, resp.Header, resp.Trailer, body))
	}
	return out
}

// Guards against answers that are read differently in other pieces, and against one that
// net/http alone reads otherwise.
func FuzzReader(f *testing.F) {
	for _, c := range answerstest.Cases("Id: a\r\n", "body") {
		if len(c.Raw) < 2000 {
			f.Add([]byte(c.Raw+"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"), 7)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		if size < 1 || len(data) > maxHeadBytes {
			return
		}
		plain := answersOf(bytes.NewReader(data))
		whole := answersOf(NewReader(bytes.NewReader(data)))
		split := answersOf(NewReader(pieces(data, size)))
		if fmt.Sprint(whole) != fmt.Sprint(split) {
			t.Fatalf("%q in one piece, %q in pieces of %d", whole, split, size)
		}
		for i, a := range whole {
			if i >= len(plain) || plain[i] != a {
				t.Fatalf("answer %d is %q, %q for net/http", i, whole, plain)
			}
		}
	})
}

// Guards against a head without an end that is kept whole.
func TestEndlessHead(t *testing.T) {
	r := NewReader(iotest.OneByteReader(endless{}))
	n, err := r.Read(make([]byte, 100))
	if n != 0 || err == nil || r.Buffered() > 3*maxHeadBytes {
		t.Errorf("%d bytes, error %v, %d buffered", n, err, r.Buffered())
	}
}

type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// BenchmarkAnswer measures the reading of an ordinary answer, with and without the check.
func BenchmarkAnswer(b *testing.B) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 160\r\nContent-Type: application/octet-stream\r\nDate: Mon, 07 Dec 2026 01:00:00 GMT\r\nX-Request-Id: 9c41d07be2a35f68\r\nX-Load: 1,0,2,100\r\nX-Stamp: i-1a939ceaaa.9c41d07be2a35f68\r\n\r\n"
	data := append([]byte(answer), make([]byte, 160)...)
	for _, checked := range []bool{false, true} {
		b.Run(fmt.Sprintf("checked=%v", checked), func(b *testing.B) {
			in := bytes.NewReader(nil)
			source := io.Reader(in)
			if checked {
				source = NewReader(in)
			}
			reader := bufio.NewReaderSize(source, 1<<10)
			b.ReportAllocs()
			for b.Loop() {
				in.Reset(data)
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != 160 {
					b.Fatal(n, err)
				}
			}
		})
	}
}
