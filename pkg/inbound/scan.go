package inbound

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
