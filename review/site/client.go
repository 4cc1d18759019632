package site

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Traffic is what the clients of all zones send together.
type Traffic struct {
	Paths []Path
	// PerSecond is the number of requests in a second.
	PerSecond float64
	// Clients is the number of clients in each zone; each keeps connections of its own.
	Clients int
	Seed    uint64
}

// Path is a kind of request.
type Path struct {
	Method, Path string
	Safe         bool
	Deadline     time.Duration
}

var lastID atomic.Uint64

// client is one client: it asks the directory where to connect, keeps the answer for as
// long as it is valid, and keeps connections open.
type client struct {
	site  *Site
	zone  string
	rand  *rand.Rand
	http  *http.Client
	addrs []string
	until time.Time
}

// StartTraffic sends requests until the site is closed.
func (s *Site) StartTraffic(t Traffic) {
	n := len(Zones) * t.Clients
	for i := range n {
		c := &client{site: s, zone: Zones[i%len(Zones)], rand: rand.New(rand.NewPCG(t.Seed, uint64(i)))}
		c.http = &http.Client{
			Transport:     &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
		go c.loop(t, time.Duration(float64(n)/t.PerSecond*float64(time.Second)))
	}
}

func (c *client) loop(t Traffic, pause time.Duration) {
	for {
		select {
		case <-c.site.ctx.Done():
			return
		case <-time.After(time.Duration(float64(pause) * 2 * c.rand.Float64())):
		}
		c.ask(t.Paths[c.rand.IntN(len(t.Paths))])
	}
}

// ask sends one request, and a second one if the pages say that a client retries.
func (c *client) ask(p Path) {
	deadline := time.Now().Add(p.Deadline)
	failed := ""
	for range 2 {
		address := c.address(failed)
		if address == "" {
			return
		}
		status, retryAfter := c.send(address, p, time.Until(deadline))
		promised := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
		if status >= 200 && status < 300 || status == http.StatusNotFound || !p.Safe && !promised {
			return
		}
		time.Sleep(min(retryAfter, time.Until(deadline)/3))
		failed = address
	}
}

// address picks one of the addresses that the directory names.
func (c *client) address(failed string) string {
	if time.Now().After(c.until) {
		c.resolve()
	}
	var usable []string
	for _, a := range c.addrs {
		if a != failed {
			usable = append(usable, a)
		}
	}
	if len(usable) == 0 {
		return ""
	}
	return usable[c.rand.IntN(len(usable))]
}

// resolve asks up to three daemons, nearest first, and keeps the old answer if none
// gives a new one.
func (c *client) resolve() {
	var order []*Daemon
	for _, i := range c.rand.Perm(len(c.site.Daemons)) {
		if d := c.site.Daemons[i]; d.Zone == c.zone {
			order = append([]*Daemon{d}, order...)
		} else {
			order = append(order, d)
		}
	}
	for _, d := range order[:3] {
		ctx, cancel := context.WithTimeout(c.site.ctx, time.Second)
		var reply struct {
			Addrs []string `json:"addrs"`
			TTL   float64  `json:"ttl_s"`
		}
		url := fmt.Sprintf("http://%s/api/resolve?name=%s&region=%s&zone=%s", c.site.address(d.IP, 2), host, region, c.zone)
		err := getJSON(ctx, c.http, url, &reply)
		cancel()
		if err == nil && len(reply.Addrs) > 0 {
			c.addrs, c.until = reply.Addrs, time.Now().Add(time.Duration(min(reply.TTL, 5)*float64(time.Second)))
			return
		}
	}
}

func getJSON(ctx context.Context, client *http.Client, url string, dst any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(dst)
}

func (c *client) send(address string, p Path, wait time.Duration) (status int, retryAfter time.Duration) {
	q := &Request{ID: fmt.Sprintf("%016x", 0x9c41000000000000+lastID.Add(1)), Method: p.Method, Path: p.Path, Safe: p.Safe, SentAt: time.Now()}
	for _, d := range c.site.Daemons {
		if strings.HasPrefix(address, d.IP+":") {
			q.Daemon = d.Name
		}
	}
	ctx, cancel := context.WithTimeout(c.site.ctx, wait)
	defer cancel()
	var body io.Reader
	if p.Method == http.MethodPost {
		body = strings.NewReader("work order " + q.ID)
	}
	req, err := http.NewRequestWithContext(ctx, p.Method, "http://"+address+p.Path, body)
	if err != nil {
		return 0, 0
	}
	req.Host = host
	req.Header.Set("X-Pistachiousher-Request-Id", q.ID)
	req.Header.Set("X-Pistachiousher-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	// Without a body that can be read again, the transport repeats nothing by itself.
	req.GetBody = nil
	c.site.Record.sent(q)
	resp, err := c.http.Do(req)
	if err != nil {
		c.site.Record.answered(q, 0, "", err.Error())
		return 0, 0
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		c.site.Record.answered(q, 0, "", err.Error())
		return 0, 0
	}
	c.site.Record.answered(q, resp.StatusCode, resp.Header.Get("X-Pistachiousher-Server-Stamp"), "")
	seconds, _ := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
	return resp.StatusCode, seconds
}
