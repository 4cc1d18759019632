package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// searchRequest is the body of POST /v1/search. The attempt id is any JSON
// value and comes back as it was.
type searchRequest struct {
	AttemptID    json.RawMessage `json:"attempt_id"`
	RequestID    string          `json:"request_id"`
	Service      string          `json:"service"`
	Layout       string          `json:"layout"`
	Shard        string          `json:"shard"`
	IndexVersion uint64          `json:"index_version"`
	Query        string          `json:"query"`
	TopK         int             `json:"top_k"`
	DeadlineMS   int64           `json:"deadline_ms"`
	Idempotent   bool            `json:"idempotent"`
}

// searchReply is the body of a good answer; Count is len(Items).
type searchReply struct {
	AttemptID    json.RawMessage `json:"attempt_id"`
	Layout       string          `json:"layout"`
	Shard        string          `json:"shard"`
	IndexVersion uint64          `json:"index_version"`
	Cold         bool            `json:"cold"`
	Load         int             `json:"load"`
	Count        int             `json:"count"`
	Items        []Item          `json:"items"`
}

// refusal is the body of every other answer.
type refusal struct {
	Error    string   `json:"error"`
	Cold     bool     `json:"cold"`
	Load     int      `json:"load"`
	Versions []uint64 `json:"versions,omitempty"`
}

// Handler serves the protocol and the control endpoints, without the
// connection limit.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/search", s.handleSearch)
	mux.HandleFunc("GET /v1/status", s.handleStatus)
	s.addControls(mux)
	return mux
}

func (s *Server) handleSearch(w http.ResponseWriter, r *http.Request) {
	var req searchRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		reply(w, http.StatusBadRequest, refusal{Error: err.Error()})
		return
	}
	s.awaitThaw()
	ctx := r.Context()
	if req.DeadlineMS > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(req.DeadlineMS)*time.Millisecond)
		defer cancel()
	}
	x, delay, status, no := s.begin(ctx, req)
	if status == statusStopped {
		s.replyStopped(w, r)
		return
	}
	if status != http.StatusOK {
		reply(w, status, no)
		return
	}
	if !s.work(ctx, delay) {
		s.finish(false)
		s.replyStopped(w, r)
		return
	}
	items := x.search(req.Query, req.TopK)
	// The slot is free before the answer leaves: a client that sends its next
	// request after this answer must not be over the limit.
	s.finish(true)
	cold, load := s.condition()
	reply(w, http.StatusOK, searchReply{
		AttemptID: req.AttemptID, Layout: req.Layout, Shard: req.Shard, IndexVersion: req.IndexVersion,
		Cold: cold, Load: load, Count: len(items), Items: items,
	})
}

// statusStopped is returned instead of an HTTP status for a request that was
// canceled or expired in the queue.
const statusStopped = 0

// begin takes a slot for the request and logs the run, or refuses it. It
// returns the time that the work takes.
func (s *Server) begin(ctx context.Context, req searchRequest) (*index, time.Duration, int, refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Requests++
	no := refusal{Cold: s.cold, Load: s.running}
	if s.draining {
		s.counts.WhileDraining++
		no.Error = "draining"
		return nil, 0, http.StatusServiceUnavailable, no
	}
	x := s.lookup(req)
	if x == nil {
		s.counts.VersionGone++
		no.Error, no.Versions = "version_gone", s.versions(req.Layout)
		return nil, 0, http.StatusConflict, no
	}
	if s.running >= s.cfg.Slots {
		s.counts.Violations++
		if len(s.waiting) >= s.cfg.Queue {
			no.Error = "shed"
			return nil, 0, http.StatusTooManyRequests, no
		}
		if !s.wait(ctx) {
			return nil, 0, statusStopped, no
		}
	} else {
		s.running++
	}
	if s.fallsOver() {
		s.running--
		no.Error = "overloaded while cold"
		return nil, 0, http.StatusInternalServerError, no
	}
	s.logRun(req)
	return x, s.delay(), http.StatusOK, refusal{}
}

func (s *Server) lookup(req searchRequest) *index {
	h := s.holdings[Shard{Layout: req.Layout, Name: req.Shard}]
	if h == nil || req.Service != s.cfg.Service {
		return nil
	}
	return h.versions[req.IndexVersion]
}

// fallsOver reports whether the server fails a request that has a slot because
// of too much load while cold. The caller holds mu.
func (s *Server) fallsOver() bool {
	now := time.Now()
	if now.Before(s.fallen) {
		return true
	}
	if s.running <= s.bears() {
		return false
	}
	s.counts.FallOvers++
	s.fallen = now.Add(s.cfg.Cold.FallOver)
	return true
}

func (s *Server) logRun(req searchRequest) {
	s.counts.Ran++
	s.counts.MaxRunning = max(s.counts.MaxRunning, s.running)
	if !req.Idempotent {
		s.counts.Orders++
	}
	if len(s.runs) == s.cfg.KeepRuns {
		s.runs = s.runs[1:]
		s.counts.RunsDropped++
	}
	s.runs = append(s.runs, Run{
		AttemptID: strings.Trim(string(req.AttemptID), `"`), RequestID: req.RequestID,
		Idempotent: req.Idempotent, Start: time.Now(),
		Layout: req.Layout, Shard: req.Shard, IndexVersion: req.IndexVersion,
	})
}

// delay draws the service time of a request. The caller holds mu.
func (s *Server) delay() time.Duration {
	d := s.cfg.ServiceTime
	if s.cfg.Jitter > 0 {
		d += time.Duration(s.random.Int64N(int64(s.cfg.Jitter)))
	}
	if s.cold {
		d = time.Duration(float64(d) * s.cfg.Cold.Slowdown)
	}
	if s.random.Float64() < s.straggler.Probability {
		d += s.straggler.Delay
	}
	return d
}

// work waits for the service time and while the server is frozen. It reports
// false when the request was canceled or its deadline passed.
func (s *Server) work(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	s.awaitThaw()
	return ctx.Err() == nil
}

// awaitThaw blocks while the server is frozen. A frozen server does not notice
// cancellation and deadlines.
func (s *Server) awaitThaw() {
	s.mu.Lock()
	thaw := s.thaw
	s.mu.Unlock()
	if thaw != nil {
		<-thaw
	}
}

// replyStopped answers a request whose work stopped early.
func (s *Server) replyStopped(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Context().Err() != nil {
		s.counts.Canceled++
		return
	}
	s.counts.Expired++
	reply(w, http.StatusGatewayTimeout, refusal{Error: "deadline", Cold: s.cold, Load: s.running})
}

func (s *Server) condition() (cold bool, load int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cold, s.running
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		http.Error(w, fmt.Sprintf("backend: encode reply: %v", err), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client is gone if this fails; there is nobody to tell.
	_, _ = w.Write(raw)
}
