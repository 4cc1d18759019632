package backend

import (
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Counts tell what happened to the requests and connections.
type Counts struct {
	Requests int `json:"requests"`
	// Ran is the number of requests that took a slot; Orders those of them
	// that are not idempotent.
	Ran    int `json:"ran"`
	Orders int `json:"orders"`
	// MaxRunning is the largest number that ran at once.
	MaxRunning int `json:"max_running"`
	// Violations came while all slots were taken, whether they waited in the
	// queue or were refused.
	Violations int `json:"violations"`
	// Queued waited for a slot; MaxQueued is the largest number at once.
	Queued    int `json:"queued"`
	MaxQueued int `json:"max_queued"`
	// FallOvers counts loads above what the cold server bore.
	FallOvers int `json:"fall_overs"`
	// WhileDraining came after the server had begun to drain.
	WhileDraining int `json:"while_draining"`
	Canceled      int `json:"canceled"`
	Expired       int `json:"expired"`
	VersionGone   int `json:"version_gone"`
	Connections   int `json:"connections"`
	// RunsDropped left the log of runs because it was full.
	RunsDropped int `json:"runs_dropped"`
	// ConnectionsRefused were over the connection limit.
	ConnectionsRefused int `json:"connections_refused"`
}

// Run is a request that took a slot. A run that is not idempotent applied its
// order once.
type Run struct {
	AttemptID    string    `json:"attempt_id"`
	RequestID    string    `json:"request_id"`
	Idempotent   bool      `json:"idempotent"`
	Start        time.Time `json:"start"`
	Layout       string    `json:"layout"`
	Shard        string    `json:"shard"`
	IndexVersion uint64    `json:"index_version"`
}

// holding is a shard that the server has, by index version.
type holding struct {
	from, to string
	versions map[uint64]*index
}

// Server is the stand-in. Its methods may be called at any time.
type Server struct {
	cfg  Config
	http *http.Server

	mu        sync.Mutex
	random    *rand.Rand
	holdings  map[Shard]*holding
	running   int
	waiting   []chan struct{} // each is closed when it gets a slot
	served    int             // good answers since the server turned cold
	cold      bool
	draining  bool
	fallen    time.Time // requests fail until then
	straggler Straggler
	thaw      chan struct{} // open while the server is frozen
	history   []statusAt
	counts    Counts
	runs      []Run
	conns     int
}

// New returns a server that serves docs in the shards of the configuration.
// With docs nil it generates the corpus.
func New(cfg Config, docs []Document) (*Server, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	if docs == nil {
		docs = Generate(cfg.Corpus)
	}
	s := &Server{
		cfg:       cfg,
		random:    rand.New(rand.NewPCG(cfg.Seed, 1)),
		holdings:  make(map[Shard]*holding),
		cold:      cfg.Cold.Start,
		straggler: cfg.Straggler,
	}
	for _, v := range cfg.Serves {
		for _, version := range v.Versions {
			s.Publish(v, version, docs)
		}
	}
	s.http = &http.Server{Handler: s.Handler()}
	return s, nil
}

// Serve accepts connections on l until Close, within the connection limit.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(s.Listener(l)) }

// Close closes the listener and all connections and ends a freeze.
func (s *Server) Close() error {
	s.Freeze(false)
	return s.http.Close()
}

// Publish adds an index version of a shard with those docs whose keys are in
// its range; the shard is added if the server did not have it.
func (s *Server) Publish(v Serve, version uint64, docs []Document) {
	held := make([]Document, 0, len(docs))
	for _, d := range docs {
		if d.Key >= v.From && (v.To == "" || d.Key < v.To) {
			held = append(held, d)
		}
	}
	x := newIndex(held)
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.holdings[v.Shard]
	if h == nil {
		h = &holding{versions: make(map[uint64]*index)}
		s.holdings[v.Shard] = h
	}
	h.from, h.to = v.From, v.To
	h.versions[version] = x
	s.recordStatus()
}

// Retire removes an index version of a shard, and the shard with its last one.
func (s *Server) Retire(shard Shard, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.holdings[shard]
	if h == nil {
		return
	}
	delete(h.versions, version)
	if len(h.versions) == 0 {
		delete(s.holdings, shard)
	}
	s.recordStatus()
}

// Drain starts or ends draining: new requests are answered 503.
func (s *Server) Drain(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = on
	s.recordStatus()
}

// TurnCold makes the caches cold, as after a restart.
func (s *Server) TurnCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold, s.served = true, 0
	s.recordStatus()
}

// SetStraggler replaces the straggler setting.
func (s *Server) SetStraggler(v Straggler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.straggler = v
}

// Freeze stops all work, as when the process is stopped; false resumes it.
func (s *Server) Freeze(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on && s.thaw == nil {
		s.thaw = make(chan struct{})
	}
	if !on && s.thaw != nil {
		close(s.thaw)
		s.thaw = nil
	}
}

// Counts returns what happened since the start.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Runs returns every request that took a slot, in order.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

// Orders returns how often each non-idempotent request id ran.
func (s *Server) Orders() map[string]int {
	orders := make(map[string]int)
	for _, r := range s.Runs() {
		if !r.Idempotent {
			orders[r.RequestID]++
		}
	}
	return orders
}

// bears returns the load that the server can take now. The caller holds mu.
func (s *Server) bears() int {
	if !s.cold {
		return s.cfg.Slots
	}
	return min(s.cfg.Slots, s.cfg.Cold.Slots+s.served/s.cfg.Cold.Requests)
}

// finish frees the slot of a request and warms the caches after a good one.
func (s *Server) finish(good bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if len(s.waiting) > 0 {
		s.grant()
	}
	if !good || !s.cold {
		return
	}
	s.served++
	if s.bears() == s.cfg.Slots {
		s.cold = false
		s.recordStatus()
	}
}

// versions returns the index versions of any shard of the layout that the
// server has. The caller holds mu.
func (s *Server) versions(layout string) []uint64 {
	all := make(map[uint64]bool)
	for shard, h := range s.holdings {
		if shard.Layout != layout {
			continue
		}
		for v := range h.versions {
			all[v] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}
