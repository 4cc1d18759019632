package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	goruntime "runtime"
	"sync/atomic"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/peer"
	"github.com/pistachiousher/pistachiousher/pkg/runtime"
	"github.com/pistachiousher/pistachiousher/standin/backend"
)

// ServeConfig says what the second process of a measurement serves.
type ServeConfig struct {
	// Leafs and Members give the size of its world.
	Leafs   int
	Members int
	// Services has the number of backend server stand-ins of each service.
	Services []int
}

// Addresses are those of the second process.
type Addresses struct {
	Peer     string   `json:"peer"`
	Usage    string   `json:"usage"`
	Backends []string `json:"backends"`
}

// Usage is what the second process has used since its start.
type Usage struct {
	CPU time.Duration `json:"cpu_ns"`
	// Heap is the live heap after a collection and Stack the memory of
	// goroutine stacks, in bytes; both 0 unless asked for.
	Heap  uint64 `json:"heap"`
	Stack uint64 `json:"stack"`
	// Read and Written are bytes on the connections of peers.
	Read    int64 `json:"read"`
	Written int64 `json:"written"`
}

// Serve runs a panel member's loop, its peer service, and backend server
// stand-ins until in ends. It writes its addresses to out as JSON.
func Serve(c ServeConfig, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := newWorld(c.Leafs, c.Members)
	loop := newLoop(w, w.member(w.epoch.Panel[0]))
	go loop.Run(ctx)
	traffic := new(traffic)
	var a Addresses
	var err error
	if a.Peer, err = serveOn(ctx, peer.NewServer(&executor{Loop: loop, items: newItems(1)}), traffic); err != nil {
		return err
	}
	if a.Usage, err = serveOn(ctx, &http.Server{Handler: traffic}, nil); err != nil {
		return err
	}
	for _, n := range c.Services {
		for range n {
			address, err := serveBackend(ctx, len(a.Backends), serviceOf(n))
			if err != nil {
				return err
			}
			a.Backends = append(a.Backends, address)
		}
	}
	if err := json.NewEncoder(out).Encode(a); err != nil {
		return fmt.Errorf("capacity: %w", err)
	}
	_, err = io.Copy(io.Discard, in)
	return err
}

func newLoop(w *world, self model.Member) *runtime.Loop {
	state := core.New(core.Config{
		Self: self.MemberRef, Region: regionName, FailureDomain: self.FailureDomain,
		PeerAddress: self.PeerAddress, CallerAddress: self.CallerAddress,
	})
	return runtime.New(runtime.Config{
		Core:     state,
		Peers:    &worldPeers{world: w, start: time.Now()},
		Backends: &worldBackends{world: w},
		Platform: &worldPlatform{world: w},
		Decode:   w.decode,
		Region:   regionName,
	})
}

// loopback is where measurements listen.
const loopback = "127.0.0.1:0"

// serveOn serves on a free loopback port until ctx ends and returns the address.
func serveOn(ctx context.Context, s *http.Server, t *traffic) (string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", fmt.Errorf("capacity: listen: %w", err)
	}
	address := l.Addr().String()
	if t != nil {
		l = &meteredListener{Listener: l, traffic: t}
	}
	context.AfterFunc(ctx, func() { s.Close() })
	go s.Serve(l)
	return address, nil
}

// Settings of the backend server stand-ins. They answer at once, so that only
// the client's cost and their own is measured.
const (
	backendSlots     = 64
	backendDocuments = 200
)

// serviceOf names the service that has n backend servers.
func serviceOf(n int) model.ServiceName { return model.ServiceName(fmt.Sprintf("shards-%d", n)) }

// serveBackend starts stand-in i, which has one shard of the service.
func serveBackend(ctx context.Context, i int, service model.ServiceName) (string, error) {
	s, err := backend.New(backend.Config{
		Name: string(newServer(i).Name), Service: string(service),
		Slots: backendSlots, Connections: 2 * backendSlots, KeepRuns: 1,
		Corpus: backend.Corpus{Documents: backendDocuments, Seed: uint64(i)},
		Serves: []backend.Serve{{Shard: backend.Shard{Layout: string(layoutName), Name: shardName(i)}, Versions: []uint64{indexVersion}}},
	}, nil)
	if err != nil {
		return "", err
	}
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", fmt.Errorf("capacity: listen: %w", err)
	}
	context.AfterFunc(ctx, func() { s.Close() })
	go s.Serve(l)
	return l.Addr().String(), nil
}

func shardName(i int) string { return fmt.Sprintf("shard-%04d", i) }

// executor is a loop whose Execute answers at once, without backend servers.
type executor struct {
	*runtime.Loop
	items []model.Item
}

// Execute implements peer.Handler.
func (x *executor) Execute(_ context.Context, in peer.Execute, send func(*model.SubResult) error) error {
	for i := range in.Subs {
		sub := &in.Subs[i]
		err := send(&model.SubResult{
			Attempt: sub.Attempt, Shard: sub.Shard, Server: sub.Server, Snapshot: sub.Snapshot,
			Outcome: model.OutcomeOK, Items: x.items, Count: len(x.items), ServiceTime: time.Millisecond,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// traffic counts bytes on connections and serves the usage of the process.
type traffic struct{ read, written atomic.Int64 }

func (t *traffic) add(read, written int) {
	t.read.Add(int64(read))
	t.written.Add(int64(written))
}

// heapParam asks for the heap too, whose collection costs CPU time.
const heapParam = "heap"

// ServeHTTP answers with the process's Usage.
func (t *traffic) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	cpu, err := processCPU()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	u := Usage{CPU: cpu, Read: t.read.Load(), Written: t.written.Load()}
	if req.URL.Query().Has(heapParam) {
		u.Heap = uint64(heapInUse())
		var m goruntime.MemStats
		goruntime.ReadMemStats(&m)
		u.Stack = m.StackInuse
	}
	// A client that is gone needs no answer.
	_ = json.NewEncoder(w).Encode(u)
}

// meteredListener counts the bytes of its connections and how many are open.
type meteredListener struct {
	net.Listener
	traffic *traffic
	open    atomic.Int64
	peak    atomic.Int64
}

// Accept implements net.Listener.
func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.peak.Store(max(l.peak.Load(), l.open.Add(1)))
	return &meteredConn{Conn: c, listener: l}, nil
}

type meteredConn struct {
	net.Conn
	listener *meteredListener
	closed   atomic.Bool
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.traffic.add(n, 0)
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.traffic.add(0, n)
	return n, err
}

// Close implements net.Conn.
func (c *meteredConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.listener.open.Add(-1)
	}
	return c.Conn.Close()
}
