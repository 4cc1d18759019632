package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/api"
	"github.com/pistachiousher/pistachiousher/pkg/daemon"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// pollInterval is the pause between two checks of WaitServing.
	pollInterval = 50 * time.Millisecond
	// probeDeadline is the deadline of each query that WaitServing sends.
	probeDeadline = time.Second
	// probeQuery matches no generated document, so that answers are empty.
	probeQuery = "readiness-probe"
)

// Status fetches the status of daemon i from its admin address.
func (c *Cluster) Status(ctx context.Context, i int) (daemon.Status, error) {
	return fetchStatus(ctx, c.AdminAddress(i))
}

func fetchStatus(ctx context.Context, address string) (daemon.Status, error) {
	var s daemon.Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/statusz", nil)
	if err != nil {
		return s, fmt.Errorf("cluster: status: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, fmt.Errorf("cluster: status: %w", err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return s, fmt.Errorf("cluster: status of %s: %w", address, err)
	}
	return s, nil
}

// WaitServing waits until every daemon that was not stopped serves with the
// active bundle, every backend server has an owner, and every daemon answers an
// idempotent query of each service completely.
func (c *Cluster) WaitServing(ctx context.Context) error {
	for {
		err := c.checkServing(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", ErrNotServing, err)
		}
	}
}

func (c *Cluster) checkServing(ctx context.Context) error {
	b, owned := c.Bundle(), 0
	for _, address := range c.AdminAddresses() {
		s, err := fetchStatus(ctx, address)
		switch {
		case err != nil:
			return err
		case !s.Serving:
			return fmt.Errorf("%s is not serving: %s", s.VM, s.Reason)
		case s.BundleVersion < b.Version:
			return fmt.Errorf("%s has bundle %d, want at least %d", s.VM, s.BundleVersion, b.Version)
		}
		owned += s.OwnedServers
	}
	if owned != len(b.Servers) {
		return fmt.Errorf("%d of %d backend servers have an owner", owned, len(b.Servers))
	}
	return c.probeServices(ctx, b)
}

// probeServices sends each daemon a query of each service that has callers.
func (c *Cluster) probeServices(ctx context.Context, b *model.Bundle) error {
	client := new(api.Client)
	for _, address := range c.CallerAddresses() {
		for _, s := range b.Services {
			if len(s.Callers) == 0 {
				continue
			}
			if err := probeService(ctx, client, address, s.Name, s.Callers[0].Name); err != nil {
				return fmt.Errorf("%s at %s: %w", s.Name, address, err)
			}
		}
	}
	return nil
}

func probeService(ctx context.Context, client *api.Client, address string, service model.ServiceName, caller model.CallerName) error {
	l, err := client.Lookup(ctx, address, service, caller)
	if err != nil {
		return err
	}
	for _, a := range l.Addresses {
		if a.Address != address {
			continue
		}
		answer, _, err := client.Query(ctx, address, service, api.QueryRequest{
			Caller:     caller,
			RequestID:  model.RequestID(a.RequestIDPrefix + ".1"),
			Idempotent: true,
			DeadlineMS: probeDeadline.Milliseconds(),
			Query:      probeQuery,
			TopK:       1,
		})
		if err == nil && !answer.Complete {
			err = fmt.Errorf("%d of %d shards answered", answer.Shards.Answered, answer.Shards.Asked)
		}
		return err
	}
	return fmt.Errorf("the daemon's lookup answer does not contain its own address")
}
