package inbound

import "time"

// idleSince returns since when the connection has no open request, and whether that is so.
func (c *Conn) idleSince() (since time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastUsed, !c.open
}

func (c *Conn) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// reserveRequest reserves n bytes until the request that opens now is answered.
func (c *Conn) reserveRequest(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.listener.config.Budget.reserve(n, c.requestBytes+c.bufferBytes) {
		return false
	}
	c.requestBytes += n
	c.open = true
	return true
}

// reserveUnread reserves what the kernel holds for the connection until the open request
// is answered.
func (c *Conn) reserveUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unread {
		return true
	}
	n := c.listener.config.UnreadBytes
	if c.closed || !c.listener.config.Budget.reserve(n, c.requestBytes+c.bufferBytes) {
		return false
	}
	c.requestBytes += n
	c.unread = true
	return true
}

// reserveBuffer changes the number of bytes that are reserved for the buffer.
func (c *Conn) reserveBuffer(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	more := n - c.bufferBytes
	if c.closed || more > 0 && !c.listener.config.Budget.reserve(more, c.requestBytes+c.bufferBytes) {
		return false
	}
	if more < 0 {
		c.listener.config.Budget.release(-more)
	}
	c.bufferBytes = n
	return true
}

// requestDone releases the memory of a request that was answered.
func (c *Conn) requestDone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open, c.unread = false, false
	c.lastUsed = time.Now()
	c.listener.config.Budget.release(c.requestBytes)
	c.requestBytes = 0
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.listener.config.Budget.release(c.requestBytes + c.bufferBytes)
	c.requestBytes, c.bufferBytes, c.closed = 0, 0, true
	c.mu.Unlock()
	c.listener.forget(c)
	return c.Conn.Close()
}
