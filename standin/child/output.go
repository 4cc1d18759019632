package child

import (
	"bytes"
	"sync"
)

// Output keeps what a process writes. It is safe for concurrent use.
type Output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (o *Output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

// String returns everything written so far.
func (o *Output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.String()
}
