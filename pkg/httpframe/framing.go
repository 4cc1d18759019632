package httpframe

import (
	"bytes"
	"strconv"
	"strings"
)

// Body tells how the body of a message is delimited, as net/http reads it.
type Body struct {
	Length  int64
	Chunked bool
}

// RequestBody reads the framing of a request from its head. Where net/http refuses a head, and
// closes the connection, the result does not matter.
func RequestBody(head []byte) Body {
	line, rest := CutLine(head)
	// net/http ignores Transfer-Encoding in HTTP/1.0.
	old := bytes.HasSuffix(line, []byte(" HTTP/1.0"))
	var b Body
	for len(rest) > 0 {
		line, rest = CutLine(rest)
		name, value, _ := bytes.Cut(line, []byte(":"))
		isLength := bytes.EqualFold(name, []byte("Content-Length"))
		if !isLength && !bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			continue
		}
		var text string
		text, rest = unfold(value, rest)
		switch {
		case isLength:
			if n, err := strconv.ParseUint(text, 10, 63); err == nil {
				b.Length = int64(n)
			}
		case !old && strings.EqualFold(text, "chunked"):
			b.Chunked = true
		}
	}
	if b.Chunked {
		b.Length = 0
	}
	return b
}

// CutLine returns the first line of p without its end, and what follows it.
func CutLine(p []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(p, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}

// unfold returns a value with its continuation lines, which begin with a blank, and what
// follows them.
func unfold(value, rest []byte) (string, []byte) {
	const blanks = " \t"
	text := string(bytes.Trim(value, blanks))
	for len(rest) > 0 && (rest[0] == ' ' || rest[0] == '\t') {
		var line []byte
		line, rest = CutLine(rest)
		text += " " + string(bytes.Trim(line, blanks))
	}
	return strings.Trim(text, blanks), rest
}

// ChunkScanner follows a chunked body to its end. It accepts more than net/http, which
// closes the connection after a body that it does not accept.
type ChunkScanner struct {
	part    chunkPart
	hasData bool
	size    uint64
	sizeEnd bool
	// line is the length of the current line of the trailer without CR.
	line int
}

type chunkPart uint8

// Parts of a chunked body.
const (
	chunkSize chunkPart = iota
	chunkData
	chunkDataEnd
	chunkTrailer
)

// Scan reads the next bytes and returns the number of those that belong to the body, and
// whether it ends in them.
func (s *ChunkScanner) Scan(p []byte) (n int, done bool) {
	for i := 0; i < len(p); {
		switch s.part {
		case chunkData:
			s.hasData = true
			step := min(s.size, uint64(len(p)-i))
			i += int(step)
			if s.size -= step; s.size == 0 {
				s.part = chunkDataEnd
			}
		case chunkDataEnd:
			if i++; p[i-1] == '\n' {
				s.part, s.size, s.sizeEnd = chunkSize, 0, false
			}
		case chunkSize:
			s.readSize(p[i])
			i++
		case chunkTrailer:
			c := p[i]
			i++
			switch {
			case c == '\n' && s.line == 0:
				return i, true
			case c == '\n':
				s.line = 0
			case c != '\r':
				s.line++
			}
		}
	}
	return len(p), false
}

// HasData reports whether a byte of a chunk was read.
func (s *ChunkScanner) HasData() bool { return s.hasData }

func (s *ChunkScanner) readSize(c byte) {
	switch digit := hexDigit(c); {
	case c == '\n' && s.size == 0:
		s.part = chunkTrailer
	case c == '\n':
		s.part = chunkData
	case digit < 0:
		s.sizeEnd = true
	case !s.sizeEnd:
		s.size = s.size<<4 | uint64(digit)
	}
}

// hexDigit returns the value of a hexadecimal digit, -1 for other bytes.
func hexDigit(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c && c <= 'f':
		return int(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}
