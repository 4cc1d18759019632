package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiousher/pistachiousher/standin/child"
)

// bearTime is how long the servers' capacity is measured.
const bearTime = 3 * time.Second

// bears measures the queries per second that each service's servers bear: slots
// divided by the mean service time, as seen by clients that keep every slot of
// every server busy over open connections.
func (t *tier) bears(ctx context.Context) (map[string]float64, error) {
	ctx, cancel := context.WithTimeout(ctx, bearTime)
	defer cancel()
	var wg sync.WaitGroup
	done := make(map[string]*atomic.Int64)
	var failed atomic.Int64
	for i := range t.setup.Services {
		v := &t.setup.Services[i]
		for _, l := range t.setup.leafs(v) {
			n := new(atomic.Int64)
			done[l.name] = n
			for range v.Slots {
				wg.Go(func() { keepBusy(ctx, t.backends[l.name], l, n, &failed) })
			}
		}
	}
	wg.Wait()
	if n := failed.Load(); n > 0 {
		return nil, fmt.Errorf("%w: %d requests failed while the capacity was measured", child.ErrProcess, n)
	}
	rates := make(map[string]float64)
	for i := range t.setup.Services {
		v := &t.setup.Services[i]
		rates[v.Name] = slowestShard(v, t.setup.leafs(v), done)
	}
	return rates, nil
}

// slowestShard returns the rate of the shard that bears least, since every
// query asks every shard.
func slowestShard(v *service, leafs []leaf, done map[string]*atomic.Int64) float64 {
	least := 0.0
	for _, n := range v.Replicas {
		sum := 0.0
		for _, l := range leafs[:n] {
			sum += float64(done[l.name].Load()) / bearTime.Seconds()
		}
		leafs = leafs[n:]
		if least == 0 || sum < least {
			least = sum
		}
	}
	return least
}

// keepBusy sends one request after the other until ctx ends.
func keepBusy(ctx context.Context, address string, l leaf, done, failed *atomic.Int64) {
	client := &http.Client{Transport: new(http.Transport)}
	defer client.CloseIdleConnections()
	body, err := json.Marshal(map[string]any{
		"attempt_id": 1, "request_id": "capacity", "service": l.service.Name, "layout": l.shard.Layout,
		"shard": l.shard.Name, "index_version": 1, "query": queryText, "top_k": topK, "idempotent": true,
	})
	if err != nil {
		failed.Add(1)
		return
	}
	for ctx.Err() == nil {
		status, err := post(ctx, client, "http://"+address+"/v1/search", body)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil || status != http.StatusOK:
			failed.Add(1)
			return
		}
		done.Add(1)
	}
}

func post(ctx context.Context, client *http.Client, url string, body []byte) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
