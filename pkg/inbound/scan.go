package inbound

import "bytes"

// headScanner finds the end of a head in bytes that arrive piece by piece. As in net/http,
// a line ends with LF or CR LF, and the first empty line ends the head.
type headScanner struct {
	lines   int
	partial int
	lastCR  bool
}

// scan reads the next bytes. end is the number of those that belong to the head, if it
// ends in them.
func (s *headScanner) scan(p []byte) (end int, done bool) {
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
		s.lines++
	}
}

// started reports whether anything was read.
func (s *headScanner) started() bool { return s.lines > 0 || s.partial > 0 }

// Memory of a parsed head.
const (
	// lineBytes is what a line takes beside its bytes: an entry of the map, which grows
	// to twice the size that it needs, a slice of values and two strings. That is 41 to 46
	// bytes for lines of 3 and 4 bytes (TestCostCoversParsedHead); the rest is for what the
	// garbage collector has not freed yet.
	lineBytes = 100
	// byteFactor allows for the bytes of a line as received, as strings, and as they are
	// sent to leafs.
	byteFactor = 4
)

// parsedCost returns what a head takes when it is parsed.
func parsedCost(size, lines int) int64 { return byteFactor*int64(size) + lineBytes*int64(lines) }
