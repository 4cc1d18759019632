package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// Settings of the connections between daemons.
const (
	// dialTimeout bounds the connection setup.
	dialTimeout = time.Second
	// pingAfter is the time without a frame after which a ping is sent, and
	// pingTimeout the wait for its answer. Together they close a connection whose
	// peer went silent, as in a one-way partition, well within the lease time of
	// 1.5 s.
	pingAfter   = 500 * time.Millisecond
	pingTimeout = 500 * time.Millisecond
	// maxStreams bounds the requests that a peer may have open on one connection.
	// The default of 250 is fewer than two daemons need between them at the
	// design scale.
	maxStreams = 10_000
	// readHeaderTimeout bounds the time in which the server reads a request
	// header.
	readHeaderTimeout = 5 * time.Second
)

func unencryptedHTTP2() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}

// NewServer returns the HTTP/2 server of the peer service, without TLS.
func NewServer(h Handler) *http.Server {
	return &http.Server{
		Handler:           NewHandler(h),
		Protocols:         unencryptedHTTP2(),
		ReadHeaderTimeout: readHeaderTimeout,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
	}
}

// Traffic is called with the numbers of bytes read and written on connections to
// peers. It must be safe for concurrent use.
type Traffic func(read, written int)

// newTransport returns the transport that all calls to peers share.
func newTransport(traffic Traffic) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil || traffic == nil {
			return conn, err
		}
		return &meteredConn{Conn: conn, traffic: traffic}, nil
	}
	return &http.Transport{
		DialContext:        dial,
		Protocols:          unencryptedHTTP2(),
		DisableCompression: true,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
}

// meteredConn reports the bytes read and written to traffic.
type meteredConn struct {
	net.Conn
	traffic Traffic
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic(n, 0)
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic(0, n)
	return n, err
}

// noReplayClient keeps net/http from sending a request twice: without GetBody the
// HTTP/2 transport cannot repeat one on another connection.
type noReplayClient struct{ http *http.Client }

// Do implements connect.HTTPClient.
func (c noReplayClient) Do(req *http.Request) (*http.Response, error) {
	req.GetBody = nil
	if req.Body != nil && req.Body != http.NoBody {
		req.Body = noReplayBody{req.Body}
	}
	return c.http.Do(req)
}

// noReplayBody hides the concrete type of a body, from which net/http could tell
// how to rewind it.
type noReplayBody struct{ io.ReadCloser }
