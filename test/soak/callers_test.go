package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// outcome is what a caller got for one request.
type outcome struct {
	id     string
	unsafe bool
	daemon *daemon
	begin  time.Time
	end    time.Time
	// status is 0 if the connection ended without an answer or was refused.
	status  int
	refused bool
	header  http.Header
	body    string
}

// callers send requests until ctx ends: they ask a daemon for addresses, keep
// the answer and their connections, and use open connections until the daemon
// is gone.
type callers struct {
	site *site
	mu   sync.Mutex
	all  []outcome
}

func (c *callers) run(ctx context.Context, number int) {
	r := rand.New(rand.NewPCG(uint64(number), 1))
	client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
	var addresses []string
	asked := time.Time{}
	for i := 0; ctx.Err() == nil; i++ {
		if time.Since(asked) > 300*time.Millisecond {
			if got := c.resolve(client, r); len(got) > 0 {
				addresses, asked = got, time.Now()
			}
		}
		if len(addresses) > 0 {
			address := addresses[r.IntN(len(addresses))]
			id := fmt.Sprintf("c%d-%d", number, i)
			o := c.ask(client, address, id, r.IntN(4) == 0)
			c.mu.Lock()
			c.all = append(c.all, o)
			c.mu.Unlock()
			if o.status == 0 {
				addresses = nil
			}
		}
		time.Sleep(time.Duration(5+r.IntN(15)) * time.Millisecond)
	}
}

func (c *callers) resolve(client *http.Client, r *rand.Rand) []string {
	d := c.site.daemons[r.IntN(len(c.site.daemons))]
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.directory+"/api/resolve?name="+host+"&region=north&zone=a", nil)
	if err != nil {
		return nil
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var body struct {
		Addresses []string `json:"addrs"`
	}
	if json.NewDecoder(resp.Body).Decode(&body) != nil {
		return nil
	}
	return body.Addresses
}

func (c *callers) ask(client *http.Client, address, id string, unsafe bool) outcome {
	o := outcome{id: id, unsafe: unsafe, begin: time.Now()}
	for _, d := range c.site.daemons {
		if d.caller == address {
			o.daemon = d
		}
	}
	method, path := http.MethodGet, "/all/x"
	if unsafe {
		method, path = http.MethodPost, "/order/x"
	}
	c.send(client, method, path, address, &o)
	return o
}

// probe asks one daemon for a path.
func (c *callers) probe(d *daemon, path string) outcome {
	o := outcome{id: "probe" + path, daemon: d, begin: time.Now()}
	c.send(&http.Client{Timeout: 3 * time.Second}, http.MethodGet, path, d.caller, &o)
	return o
}

func (c *callers) send(client *http.Client, method, path, address string, o *outcome) {
	// A body that cannot be read twice keeps net/http from sending a request again
	// by itself.
	req, err := http.NewRequest(method, "http://"+address+path, io.NopCloser(strings.NewReader("x")))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("X-Pistachiousher-Request-Id", o.id)
	req.Header.Set("X-Pistachiousher-Deadline-Ms", "1500")
	resp, err := client.Do(req)
	o.end = time.Now()
	if err != nil {
		o.refused = strings.Contains(err.Error(), "connection refused")
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	o.status, o.header, o.body = resp.StatusCode, resp.Header, string(body)
}

// checkMerged returns what is wrong with a merged answer: stamps that are not
// of this request or of two sets of shards, a count that does not add up, or
// records that are not the greatest of the parts.
func (s *site) checkMerged(o outcome) string {
	var shards []string
	for _, stamp := range strings.Split(o.header.Get("X-Pistachiousher-Part-Stamps"), ", ") {
		id, request, _ := strings.Cut(stamp, ".")
		s.mu.Lock()
		shard := s.shardOf[id]
		s.mu.Unlock()
		if request != o.id || shard == "" || slices.Contains(shards, shard) {
			return fmt.Sprintf("stamp %q", stamp)
		}
		shards = append(shards, shard)
	}
	missing, err := strconv.Atoi(o.header.Get("X-Pistachiousher-Missing-Parts"))
	if err != nil {
		return "no count of missing parts"
	}
	for _, layout := range layouts {
		if !slices.Contains(layout, shards[0]) {
			continue
		}
		for _, shard := range shards {
			if !slices.Contains(layout, shard) {
				return fmt.Sprintf("parts %v of two sets of shards", shards)
			}
		}
		if len(shards)+missing != len(layout) {
			return fmt.Sprintf("%d parts and %d missing of %d", len(shards), missing, len(layout))
		}
	}
	slices.Sort(shards)
	slices.Reverse(shards)
	want := ""
	for _, shard := range shards[:min(3, len(shards))] {
		want += recordOf(shard)
	}
	if o.body != want {
		return fmt.Sprintf("body %q, want %q", o.body, want)
	}
	return ""
}
