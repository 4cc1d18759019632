package edged_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/edge"
	"github.com/pistachiousher/pistachiousher/pkg/edged"
	"github.com/pistachiousher/pistachiousher/platform"
	"github.com/pistachiousher/pistachiousher/standin/leaf"
	"github.com/pistachiousher/pistachiousher/standin/objects"
)

const host = "parish.example"

// site is a store with a configuration, leafs and daemons on loopback.
type site struct {
	t       *testing.T
	store   *objects.Store
	server  *httptest.Server
	version int
	peer    int
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{t: t, store: objects.New(), peer: freePort(t, "127.0.0.1")}
	s.server = httptest.NewServer(s.store)
	t.Cleanup(func() {
		s.server.CloseClientConnections()
		s.server.Close()
	})
	return s
}

// configure writes a version of the configuration with the given routes.
func (s *site) configure(routes ...map[string]any) {
	s.version++
	services := map[string]bool{}
	for _, r := range routes {
		if name, ok := r["backend"].(string); ok {
			services[name] = true
		}
		shards, _ := r["shards"].([]string)
		for _, name := range shards {
			services[name] = true
		}
	}
	var backends []map[string]any
	for name := range services {
		backends = append(backends, map[string]any{"name": name, "maxConnections": 30, "warmupS": 1.0, "warmupPerS": 0.0})
	}
	s.store.Put("config", "main", map[string]any{
		"version": s.version, "routes": routes, "backends": backends,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1000, "headerTimeoutMs": 3000, "idleTimeoutMs": 5000},
	})
}

func route(prefix string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": "r" + prefix, "host": host, "pathPrefix": prefix, "kind": "safe", "timeoutMs": 2000,
		"targetLatencyMs": 200, "priority": 1, "maxAttempts": 2,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

func (s *site) leaf(id, service string, b leaf.Behavior) *leaf.Leaf {
	s.t.Helper()
	l := leaf.Start(id, b)
	s.t.Cleanup(l.Close)
	s.register(l, service, "ready")
	return l
}

func (s *site) register(l *leaf.Leaf, service, state string) {
	s.store.Put("servers", l.ID, map[string]any{
		"backend": service, "address": l.Address(), "zone": "a", "version": "v1", "slots": 2, "state": state, "warmupLeftMs": 0, "sequence": 1,
	})
}

// daemon is a daemon of the site.
type daemon struct {
	t        *testing.T
	settings *edged.Settings
	text     string
	cancel   context.CancelFunc
	done     chan struct{}
	log      *lockedBuffer
	client   *http.Client
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// String returns what was written so far.
func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// daemon starts the n-th daemon at 127.0.0.n.
func (s *site) daemon(n int) *daemon {
	s.t.Helper()
	ip := fmt.Sprintf("127.0.0.%d", n)
	text := fmt.Sprintf(`vm: edge-%d
failure_domain: a
regions: [{failure_domain: a, region: north}]
listen: {caller: "%s:%d", ready: "%s:%d", directory: "%s:%d"}
peer_port: %d
seeds: ["127.0.0.1:1"]
store: "%s"
retry: {ratio: 0.2, slack: 50}
stop: 3s
contact_loss: 2s
address_ttl: 200ms
`, n, ip, freePort(s.t, ip), ip, freePort(s.t, ip), ip, freePort(s.t, ip), s.peer, s.server.Listener.Addr())
	settings, err := edged.ParseSettings("test", []byte(text))
	if err != nil {
		s.t.Fatal(err)
	}
	d := &daemon{t: s.t, settings: settings, text: text, client: &http.Client{Transport: &http.Transport{}}}
	d.start()
	s.t.Cleanup(func() { d.stop() })
	return d
}

func (d *daemon) start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel, d.done, d.log = cancel, make(chan struct{}), &lockedBuffer{}
	done, out := d.done, d.log
	go func() {
		defer close(done)
		if err := edged.Run(ctx, d.settings, adapter(), out); err != nil {
			d.t.Errorf("daemon %s: %v", d.settings.VM, err)
		}
	}()
}

func (d *daemon) stop() {
	d.cancel()
	<-d.done
}

func adapter() edged.Platform {
	return edged.Platform{
		Protocol: platform.Protocol{}, Decoder: platform.Decoder{},
		NewStore: func(address string, count edged.StoreCounter) edge.Store {
			return platform.NewStore(address, count)
		},
		ReadyHandler:     func(r *edge.Runtime) http.Handler { return platform.NewReadyHandler(r) },
		DirectoryHandler: func(r *edge.Runtime, ttl time.Duration) http.Handler { return platform.NewDirectoryHandler(r, ttl) },
	}
}

func freePort(t *testing.T, ip string) int {
	t.Helper()
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends one request to a daemon.
func (d *daemon) call(method, path, id string, wait time.Duration, body string) answer {
	req, err := http.NewRequest(method, "http://"+d.settings.Listen.Caller+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{err: err}
	}
	req.Host = host
	req.Header.Set("X-Pistachiousher-Request-Id", id)
	req.Header.Set("X-Pistachiousher-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	resp, err := d.client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// ready reports whether the daemon tells the platform that it is ready.
func (d *daemon) ready() bool {
	resp, err := d.client.Get("http://" + d.settings.Listen.Ready + "/api/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// addresses asks the daemon's directory.
func (d *daemon) addresses() []string {
	resp, err := d.client.Get("http://" + d.settings.Listen.Directory + "/api/resolve?name=" + host + "&region=north&zone=a")
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

// eventually waits for a condition that a stated bound asks for.
func eventually(t *testing.T, bound time.Duration, what string, cond func() bool) {
	t.Helper()
	deadline := time.Now().Add(bound)
	for !cond() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", bound, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
