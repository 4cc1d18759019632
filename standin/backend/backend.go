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

// Counts are totals of requests and connections since the start.
type Counts struct {
	Requests int `json:"requests"`
	// Ran is the number of requests that took a slot; Orders those of them
	// that are not idempotent.
	Ran    int `json:"ran"`
	Orders int `json:"orders"`
	// MaxRunning is the largest number that ran at once.
	MaxRunning int `json:"max_running"`
	// Violations is the number of requests that arrived while all slots were taken,
	// whether they were queued or refused.
	Violations int `json:"violations"`
	// Queued is the number of requests that waited for a slot, MaxQueued the largest
	// number that waited at once.
	Queued    int `json:"queued"`
	MaxQueued int `json:"max_queued"`
	// FallOvers is how often load above the capacity of the cold server made it
	// fail all requests for a while.
	FallOvers int `json:"fall_overs"`
	// WhileDraining is the number of requests refused because of draining.
	WhileDraining int `json:"while_draining"`
	Canceled      int `json:"canceled"`
	Expired       int `json:"expired"`
	VersionGone   int `json:"version_gone"`
	Connections   int `json:"connections"`
	// RunsDropped is the number of runs dropped from the log because it was full.
	RunsDropped int `json:"runs_dropped"`
	// ConnectionsRefused is the number of connections over the limit.
	ConnectionsRefused int `json:"connections_refused"`
}

// Run is a request that took a slot and was started. A run that is not idempotent
// applied its order once.
type Run struct {
	AttemptID    string    `json:"attempt_id"`
	RequestID    string    `json:"request_id"`
	Idempotent   bool      `json:"idempotent"`
	Start        time.Time `json:"start"`
	Layout       string    `json:"layout"`
	Shard        string    `json:"shard"`
	IndexVersion uint64    `json:"index_version"`
}

// heldShard is a shard that the server has, by index version.
type heldShard struct {
	from, to string
	versions map[uint64]*index
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	cfg  Config
	http *http.Server

	mu            sync.Mutex
	random        *rand.Rand
	shards        map[Shard]*heldShard
	running       int
	queue         []chan struct{} // each is closed when its request gets a slot
	warmUpAnswers int             // successful answers since the server turned cold
	cold          bool
	draining      bool
	failingUntil  time.Time // requests fail until this time
	straggler     Straggler
	unfrozen      chan struct{} // closed when the freeze ends; nil if not frozen
	history       []timedStatus
	counts        Counts
	runs          []Run
	openConns     int
}

// New returns a server that serves docs in the shards of the configuration.
// If docs is nil, it generates the corpus of the configuration.
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
		shards:    make(map[Shard]*heldShard),
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

// Publish adds an index version of a shard, built from those docs whose keys are in
// its range. It adds the shard if the server did not hold it.
func (s *Server) Publish(v Serve, version uint64, docs []Document) {
	inRange := make([]Document, 0, len(docs))
	for _, d := range docs {
		if d.Key >= v.From && (v.To == "" || d.Key < v.To) {
			inRange = append(inRange, d)
		}
	}
	x := newIndex(inRange)
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.shards[v.Shard]
	if h == nil {
		h = &heldShard{versions: make(map[uint64]*index)}
		s.shards[v.Shard] = h
	}
	h.from, h.to = v.From, v.To
	h.versions[version] = x
	s.recordStatus()
}

// Retire removes an index version of a shard, and the shard itself if no version
// remains.
func (s *Server) Retire(shard Shard, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.shards[shard]
	if h == nil {
		return
	}
	delete(h.versions, version)
	if len(h.versions) == 0 {
		delete(s.shards, shard)
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

// TurnCold simulates cold caches, as after a restart.
func (s *Server) TurnCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold, s.warmUpAnswers = true, 0
	s.recordStatus()
}

// SetStraggler replaces the straggler setting.
func (s *Server) SetStraggler(v Straggler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.straggler = v
}

// Freeze suspends all work, as SIGSTOP would; false resumes it.
func (s *Server) Freeze(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on && s.unfrozen == nil {
		s.unfrozen = make(chan struct{})
	}
	if !on && s.unfrozen != nil {
		close(s.unfrozen)
		s.unfrozen = nil
	}
}

// Counts returns the totals since the start.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Runs returns the log of runs, the oldest first.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

// Orders returns how often each non-idempotent request ran, by request id.
func (s *Server) Orders() map[string]int {
	orders := make(map[string]int)
	for _, r := range s.Runs() {
		if !r.Idempotent {
			orders[r.RequestID]++
		}
	}
	return orders
}

// capacity returns how many requests the server can run at once now without
// failing. The caller holds mu.
func (s *Server) capacity() int {
	if !s.cold {
		return s.cfg.Slots
	}
	return min(s.cfg.Slots, s.cfg.Cold.Slots+s.warmUpAnswers/s.cfg.Cold.Requests)
}

// releaseSlot frees the slot of a request. A successful request warms the caches.
func (s *Server) releaseSlot(succeeded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if len(s.queue) > 0 {
		s.grantSlots()
	}
	if !succeeded || !s.cold {
		return
	}
	s.warmUpAnswers++
	if s.capacity() == s.cfg.Slots {
		s.cold = false
		s.recordStatus()
	}
}

// versions returns the sorted index versions that the server holds in any shard
// of the layout. The caller holds mu.
func (s *Server) versions(layout string) []uint64 {
	all := make(map[uint64]bool)
	for shard, h := range s.shards {
		if shard.Layout != layout {
			continue
		}
		for v := range h.versions {
			all[v] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}
