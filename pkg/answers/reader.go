package answers

import (
	"errors"
	"fmt"
	"io"

	"github.com/pistachiousher/pistachiousher/pkg/httpframe"
)

const (
	// maxHeadBytes bounds the head of an answer. Leafs and the store send less than 1 KB.
	maxHeadBytes = 16 << 10
	// initialHeadBytes is the size at which the buffer for a head of several pieces starts.
	initialHeadBytes = 1 << 10
)

// Reader passes on the answers that arrive on one connection, and no byte of one whose
// head was not checked. After an error all reads fail.
type Reader struct {
	in io.Reader
	// buffer holds bytes that were read and not passed on; the first ready of them may be.
	buffer  []byte
	scanned int
	ready   int
	head    httpframe.HeadScanner
	inBody  bool
	framing framing
	chunks  httpframe.ChunkScanner
	toHead  bool
	err     error
}

// NewReader returns a reader of the answers that arrive on in.
func NewReader(in io.Reader) *Reader { return &Reader{in: in} }

// SetMethod tells whether the answers from now on are answers to HEAD.
func (r *Reader) SetMethod(head bool) { r.toHead = head }

// Buffered returns the number of bytes that were read and not passed on.
func (r *Reader) Buffered() int { return len(r.buffer) }

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	switch {
	case r.err != nil:
		return 0, r.err
	case len(p) == 0:
		return 0, nil
	case r.ready > 0:
		n := copy(p, r.buffer[:r.ready])
		r.ready -= n
		r.consume(n)
		return n, nil
	case r.inBody:
		return r.readBody(p)
	}
	return r.readHead(p)
}

// readHead reads a head. One that arrives in a single piece is not copied.
func (r *Reader) readHead(p []byte) (int, error) {
	if len(r.buffer) == 0 {
		n, err := r.in.Read(p)
		end, done := r.head.Scan(p[:n])
		if done {
			return r.passInPlace(p[:n], end)
		}
		if err != nil {
			return 0, err
		}
		r.buffer = append(make([]byte, 0, max(initialHeadBytes, n)), p[:n]...)
		r.scanned = n
	}
	for {
		end, done := r.head.Scan(r.buffer[r.scanned:])
		if done {
			end += r.scanned
			if err := r.begin(r.buffer[:end]); err != nil {
				return 0, err
			}
			r.ready, r.scanned = end, 0
			return r.Read(p)
		}
		r.scanned = len(r.buffer)
		if r.scanned > maxHeadBytes {
			r.err = fmt.Errorf("%w: head of more than %d bytes", ErrInvalid, maxHeadBytes)
			return 0, r.err
		}
		if r.scanned == cap(r.buffer) {
			r.buffer = append(make([]byte, 0, 2*r.scanned), r.buffer...)
		}
		n, err := r.in.Read(r.buffer[r.scanned:cap(r.buffer)])
		r.buffer = r.buffer[:r.scanned+n]
		if n == 0 && err != nil {
			return 0, headCutOff(err)
		}
	}
}

// headCutOff returns the error for a connection that ends within a head.
func headCutOff(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// passInPlace passes on the head in data, which has end bytes, with what belongs to its
// body.
func (r *Reader) passInPlace(data []byte, end int) (int, error) {
	if err := r.begin(data[:end]); err != nil {
		return 0, err
	}
	if end < len(data) && r.inBody {
		n, err := r.bodyPart(data[end:])
		if err != nil {
			return 0, err
		}
		end += n
	}
	if end < len(data) {
		r.buffer = append([]byte(nil), data[end:]...)
	}
	return end, nil
}

// begin checks a complete head and prepares for its body.
func (r *Reader) begin(head []byte) error {
	r.framing, r.err = checkHead(head, r.toHead)
	r.inBody = r.framing.toEnd || r.framing.body.Chunked || r.framing.body.Length > 0
	r.chunks, r.head = httpframe.ChunkScanner{}, httpframe.HeadScanner{}
	return r.err
}

// readBody reads the body that a head announced.
func (r *Reader) readBody(p []byte) (int, error) {
	if len(r.buffer) > 0 {
		n, err := r.bodyPart(r.buffer[:min(len(p), len(r.buffer))])
		if err != nil {
			return 0, err
		}
		copy(p, r.buffer[:n])
		r.consume(n)
		return n, nil
	}
	n, readErr := r.in.Read(p)
	if n == 0 {
		return 0, readErr
	}
	end, err := r.bodyPart(p[:n])
	if err != nil {
		return 0, err
	}
	if end < n {
		r.buffer = append([]byte(nil), p[end:n]...)
	}
	return end, readErr
}

// bodyPart returns how many of the bytes belong to the body.
func (r *Reader) bodyPart(data []byte) (n int, err error) {
	f := &r.framing
	switch {
	case f.toEnd:
		n = len(data)
		r.err = f.checkEmpty(true)
	case f.body.Chunked:
		var done bool
		n, done = r.chunks.Scan(data)
		r.inBody = !done
		r.err = f.checkEmpty(r.chunks.HasData())
	default:
		n = int(min(int64(len(data)), f.body.Length))
		f.body.Length -= int64(n)
		r.inBody = f.body.Length > 0
	}
	return n, r.err
}

// checkEmpty returns an error for a body that must have no bytes and has some.
func (f *framing) checkEmpty(hasData bool) error {
	if f.empty && hasData {
		return invalid(fmt.Sprintf("status %d with a body", f.status), nil)
	}
	return nil
}

func (r *Reader) consume(n int) {
	if r.buffer = r.buffer[n:]; len(r.buffer) == 0 {
		r.buffer = nil
	}
}
