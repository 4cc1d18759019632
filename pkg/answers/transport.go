package answers

import (
	"context"
	"net"
	"net/http"
)

// Transport makes t check all answers, and returns it. Requests must not use HEAD. t must
// not have been used yet.
func Transport(t *http.Transport) http.RoundTripper {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: raw, reader: NewReader(raw)}, nil
	}
	return t
}

// conn is a connection whose answers are checked.
type conn struct {
	net.Conn
	reader *Reader
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.reader.Read(p) }
