package cluster

import (
	"fmt"
	"net"
	"regexp"

	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/standin/backend"
)

// loopback is a listen address with a free port.
const loopback = "127.0.0.1:0"

// addressPattern matches the ip:port addresses in the YAML of a bundle.
var addressPattern = regexp.MustCompile(`[0-9]+(?:\.[0-9]+){3}:[0-9]+`)

// backendServer is a running backend stand-in, with the shards published on it.
type backendServer struct {
	*backend.Server
	listener  net.Listener
	published map[backend.Shard]bool
}

// Backend returns the stand-in of a backend server, or nil.
func (c *Cluster) Backend(name model.ServerName) *backend.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b := c.backends[name]; b != nil {
		return b.Server
	}
	return nil
}

// Publish publishes an index version of every shard of the active bundle.
func (c *Cluster) Publish(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range shardReplicas(c.bundle) {
		c.backends[h.server].Publish(h.serve(), version, c.docs)
	}
}

// shardReplica is a shard of a layout, held by one backend server.
type shardReplica struct {
	server  model.ServerName
	service model.ServiceName
	layout  model.LayoutName
	shard   model.Shard
}

func (h shardReplica) serve() backend.Serve {
	return backend.Serve{
		Shard: backend.Shard{Layout: string(h.layout), Name: string(h.shard.Name)},
		From:  h.shard.From,
		To:    h.shard.To,
	}
}

// shardReplicas lists every replica of every shard of the bundle.
func shardReplicas(b *model.Bundle) []shardReplica {
	var all []shardReplica
	for _, s := range b.Services {
		for _, l := range s.Layouts {
			for _, sh := range l.Shards {
				for _, r := range sh.Replicas {
					all = append(all, shardReplica{server: r, service: s.Name, layout: l.Name, shard: sh})
				}
			}
		}
	}
	return all
}

// serve starts the backend servers of the bundle that are not running yet
// and publishes the shards that they do not hold yet. The caller holds mu.
func (c *Cluster) serve(b *model.Bundle) error {
	for _, s := range b.Servers {
		if c.backends[s.Name] != nil {
			continue
		}
		service, ok := b.ServiceOf(s.Name)
		if !ok {
			return fmt.Errorf("%w: backend server %s holds no shard", ErrOptions, s.Name)
		}
		server, err := c.startBackend(s, service.Name)
		if err != nil {
			return err
		}
		c.backends[s.Name] = server
	}
	for _, h := range shardReplicas(b) {
		server, v := c.backends[h.server], h.serve()
		if !server.published[v.Shard] {
			server.published[v.Shard] = true
			server.Publish(v, IndexVersion, c.docs)
		}
	}
	return nil
}

func (c *Cluster) startBackend(s model.BackendServer, service model.ServiceName) (*backendServer, error) {
	cfg := backend.Config{
		Name:        string(s.Name),
		Service:     string(service),
		Slots:       s.Slots,
		Connections: s.Connections,
		ConnectCost: s.ConnectCost,
		ServiceTime: DefaultServiceTime,
		Cold:        backend.Cold{Slots: s.Cold.Slots, Requests: s.Cold.Requests},
	}
	if c.options.Backend != nil {
		c.options.Backend(s, &cfg)
	}
	server, err := backend.New(cfg, c.docs)
	if err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, fmt.Errorf("cluster: backend server %s: %w", s.Name, err)
	}
	go server.Serve(l)
	return &backendServer{Server: server, listener: l, published: make(map[backend.Shard]bool)}, nil
}

// replaceAddresses replaces the addresses of the bundle's backend servers by those
// on which the stand-ins listen. The caller holds mu.
func (c *Cluster) replaceAddresses(yaml []byte, b *model.Bundle) []byte {
	real := make(map[string]string, len(b.Servers))
	for _, s := range b.Servers {
		real[s.Address] = c.backends[s.Name].listener.Addr().String()
	}
	return addressPattern.ReplaceAllFunc(yaml, func(found []byte) []byte {
		if address, ok := real[string(found)]; ok {
			return []byte(address)
		}
		return found
	})
}
