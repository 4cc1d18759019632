// Package backend is the client of backend servers. Each server has its own
// transport with a bounded number of connections. A request is sent at most
// once, and a failure reports whether any byte of it may have been sent.
package backend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/leafconn"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// defaultConnections is the connection limit of a server for which there
	// was no WarmConnections effect.
	defaultConnections = 8
	// dialTimeout bounds the connection setup.
	dialTimeout = time.Second
	// warmTimeout bounds the status requests that open connections and keep them
	// open.
	warmTimeout = 5 * time.Second
	// warmInterval is shorter than a server's usual idle timeout, so that
	// connections stay open.
	warmInterval = 15 * time.Second
	// idleTimeout is the idle time after which a connection is closed.
	idleTimeout = 60 * time.Second
	// maxHeadBytes bounds the head of a response, informational ones before it included.
	maxHeadBytes = 16 << 10
	// maxBodyBytes bounds the bodies of all responses that are being read. A quarter of it is
	// the most that one of them may take.
	maxBodyBytes = 32 << 20
)

// Client calls backend servers. It is safe for concurrent use.
type Client struct {
	dialer net.Dialer
	// bodies bounds the memory for response bodies.
	bodies *leafconn.Budget
	mu     sync.Mutex
	closed bool
	pools  map[model.ServerName]*pool
}

// pool holds the connections to one server.
type pool struct {
	address   string
	limit     int
	bodies    *leafconn.Budget
	transport *http.Transport
	http      *http.Client
	// stop ends keepWarm; nil when it is not running.
	stop context.CancelFunc
}

// New returns a client without connections.
func New() *Client {
	return &Client{
		dialer: net.Dialer{Timeout: dialTimeout},
		bodies: leafconn.NewBudget(maxBodyBytes),
		pools:  make(map[model.ServerName]*pool),
	}
}

// Close stops keeping connections warm and closes idle ones.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for name, p := range c.pools {
		p.close()
		delete(c.pools, name)
	}
}

// dial opens a connection whose written bytes are counted.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newCountedConn(conn.(*net.TCPConn)), nil
}

// newPool returns a pool of at most limit connections. It uses only HTTP/1.1,
// where a connection carries one request at a time, so that the bytes written on
// it belong to that request.
func (c *Client) newPool(address string, limit int) *pool {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	t := &http.Transport{
		DialContext:         c.dial,
		MaxConnsPerHost:     limit,
		MaxIdleConnsPerHost: limit,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		Protocols:           protocols,
		// A greater default would let a faulty server take that much on each connection.
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return &pool{address: address, limit: limit, bodies: c.bodies, transport: t, http: &http.Client{Transport: t, CheckRedirect: noRedirect}}
}

// noRedirect makes the client return a redirect as the response: following it
// would send the request a second time.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// pool returns the server's pool. It creates one on first use and when the
// server's address has changed.
func (c *Client) pool(server model.ServerName, address string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[server]
	if p == nil || p.address != address {
		p = c.replacePool(server, address, defaultConnections)
	}
	return p
}

// replacePool replaces the server's pool by a new one. Requests that are running
// on the old pool complete on its connections.
func (c *Client) replacePool(server model.ServerName, address string, limit int) *pool {
	if old := c.pools[server]; old != nil {
		old.close()
	}
	p := c.newPool(address, limit)
	c.pools[server] = p
	return p
}

func (p *pool) close() {
	if p.stop != nil {
		p.stop()
		p.stop = nil
	}
	p.transport.CloseIdleConnections()
}

// Warm keeps count connections to the server open; 0 closes idle ones and
// discards the server's pool.
func (c *Client) Warm(server model.ServerName, address string, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	p := c.pools[server]
	if count <= 0 {
		if p != nil {
			p.close()
			delete(c.pools, server)
		}
		return
	}
	if p != nil && p.address == address && p.limit == count && p.stop != nil {
		return
	}
	p = c.replacePool(server, address, count)
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	go p.keepWarm(ctx)
}

// keepWarm opens the pool's connections and uses them often enough that the
// server does not close them.
func (p *pool) keepWarm(ctx context.Context) {
	ticker := time.NewTicker(warmInterval)
	defer ticker.Stop()
	for {
		p.openConnections(ctx)
		select {
		case <-ctx.Done():
			p.transport.CloseIdleConnections()
			return
		case <-ticker.C:
		}
	}
}

// openConnections sends as many concurrent status requests as the pool has
// connections. It ignores errors: searches and polls report their own.
func (p *pool) openConnections(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, warmTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for range p.limit {
		wg.Go(func() { _, _ = p.status(ctx) })
	}
	wg.Wait()
}
