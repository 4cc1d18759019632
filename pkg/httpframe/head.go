// Package httpframe finds where heads and bodies of HTTP/1 messages end, in bytes that
// arrive piece by piece.
package httpframe

import "bytes"

// HeadScanner finds the end of a head in bytes that arrive piece by piece. As in net/http,
// a line ends with LF or CR LF, and the first empty line ends the head.
type HeadScanner struct {
	// Lines is the number of complete lines so far.
	Lines   int
	partial int
	lastCR  bool
}

// Scan reads the next bytes. end is the number of those that belong to the head, if it
// ends in them.
func (s *HeadScanner) Scan(p []byte) (end int, done bool) {
	for i := 0; ; {
		j := bytes.IndexByte(p[i:], '\n')
		if j < 0 {
			if len(p) > i {
				s.partial += len(p) - i
				s.lastCR = p[len(p)-1] == '\r'
			}
			return 0, false
		}
		length, cr := s.partial+j, s.lastCR
		if j > 0 {
			cr = p[i+j-1] == '\r'
		}
		i += j + 1
		s.partial, s.lastCR = 0, false
		if length == 0 || length == 1 && cr {
			return i, true
		}
		s.Lines++
	}
}

// Started reports whether anything was read.
func (s *HeadScanner) Started() bool { return s.Lines > 0 || s.partial > 0 }
