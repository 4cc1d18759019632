package edge

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pistachiousher/pistachiousher/pkg/leafconn"
)

// Guards against a merged answer that differs because shard answers are reduced to
// their greatest records while they are read.
func TestReadTop(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		body := make([]byte, random.IntN(3*partChunkBytes))
		for i := range body {
			body[i] = byte(random.IntN(3))
		}
		k := 1 + random.IntN(60)
		reader := io.Reader(bytes.NewReader(body))
		switch random.IntN(3) {
		case 0:
			reader = iotest.HalfReader(reader)
		case 1:
			reader = iotest.DataErrReader(reader)
		}
		got, err := readTopRecords(reader, k)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(topRecords([][]byte{got}, k), topRecords([][]byte{body}, k)) {
			t.Fatalf("%d bytes, the greatest %d: %x", len(body), k, got)
		}
		if most := max(k*recordSize, recordSize); len(got) > most {
			t.Fatalf("%d bytes are held for %d records", len(got), k)
		}
	}
}

// Guards against a shard answer that breaks off, at any byte, and counts as complete.
func TestReadTopTruncatedPart(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), partChunkBytes/8)
	for _, n := range []int{0, 1, 15, 16, 17, partChunkBytes - 1, partChunkBytes, partChunkBytes + 1, len(body)} {
		truncated := io.MultiReader(bytes.NewReader(body[:n]), iotest.ErrReader(io.ErrUnexpectedEOF))
		if got, err := readTopRecords(truncated, 5); !errors.Is(err, leafconn.ErrReceive) {
			t.Errorf("cut after %d bytes: got %d bytes, error %v", n, len(got), err)
		}
	}
}

// endlessReader never reaches the end of its data.
type endlessReader struct{}

// Read implements io.Reader.
func (endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(i)
	}
	return len(p), nil
}

// Guards against an endless shard answer that fills the memory or is read for as long
// as the query lasts.
func TestReadTopEndlessPart(t *testing.T) {
	for _, k := range []int{0, 1, 50, 5000} {
		if got, err := readTopRecords(endlessReader{}, k); !errors.Is(err, leafconn.ErrTooLarge) {
			t.Errorf("the greatest %d: %d bytes, error %v", k, len(got), err)
		}
	}
}

// Guards against a limit that refuses a shard answer with as many records as the route
// asks for.
func TestPartLimit(t *testing.T) {
	const k = 2000
	body := strings.Repeat("0123456789abcdef", k)
	got, err := readTopRecords(strings.NewReader(body), k)
	if err != nil || !slices.Equal(got, []byte(body)) {
		t.Errorf("%d of %d bytes, error %v", len(got), len(body), err)
	}
}
