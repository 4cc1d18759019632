package backend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// ErrStatus means that a server's status could not be read.
var ErrStatus = errors.New("backend: status not available")

// Status is what a server reports about itself. It may be out of date.
type Status struct {
	Server   model.ServerName
	Draining bool
	Cold     bool
	Load     int
	Serves   []Serving
}

// Serving lists the index versions that a server has of one shard of a service.
type Serving struct {
	Service model.ServiceName
	model.Serving
}

type statusBody struct {
	Server   model.ServerName `json:"server"`
	Draining bool             `json:"draining"`
	Cold     bool             `json:"cold"`
	Load     int              `json:"load"`
	Serves   []struct {
		Service  model.ServiceName `json:"service"`
		Layout   model.LayoutName  `json:"layout"`
		Shard    model.ShardName   `json:"shard"`
		Versions []uint64          `json:"versions"`
	} `json:"serves"`
}

// Status reads GET /v1/status. The error is ErrStatus.
func (c *Client) Status(ctx context.Context, server model.ServerName, address string) (Status, error) {
	return c.pool(server, address).status(ctx)
}

func (p *pool) status(ctx context.Context) (Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address+"/v1/status", nil)
	if err != nil {
		return Status{}, fmt.Errorf("%w: %w", ErrStatus, err)
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return Status{}, fmt.Errorf("%w: %w", ErrStatus, err)
	}
	defer resp.Body.Close()
	body, held, err := p.bodies.ReadWhole(resp)
	if err != nil {
		return Status{}, fmt.Errorf("%w: %w", ErrStatus, err)
	}
	defer p.bodies.Return(held)
	if resp.StatusCode != http.StatusOK {
		return Status{}, fmt.Errorf("%w: status %d", ErrStatus, resp.StatusCode)
	}
	return parseStatus(body)
}

func parseStatus(body []byte) (Status, error) {
	var in statusBody
	if err := json.Unmarshal(body, &in); err != nil {
		return Status{}, fmt.Errorf("%w: %w", ErrStatus, err)
	}
	out := Status{Server: in.Server, Draining: in.Draining, Cold: in.Cold, Load: in.Load}
	for _, s := range in.Serves {
		serving := model.Serving{Layout: s.Layout, Shard: s.Shard, Versions: s.Versions}
		out.Serves = append(out.Serves, Serving{Service: s.Service, Serving: serving})
	}
	return out, nil
}
