package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// searchRequest is the body of POST /v1/search. The attempt id may be any JSON
// value; the reply repeats it unchanged.
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

// searchReply is the body of a successful answer. Count is len(Items).
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

// Handler serves the search and status endpoints and the control endpoints. It does
// not apply the connection limit.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/search", s.handleSearch)
	mux.HandleFunc("GET /v1/status", s.handleStatus)
	s.handleControls(mux)
	return mux
}

func (s *Server) handleSearch(w http.ResponseWriter, r *http.Request) {
	var req searchRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		reply(w, http.StatusBadRequest, refusal{Error: err.Error()})
		return
	}
	s.waitWhileFrozen()
	ctx := r.Context()
	if req.DeadlineMS > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(req.DeadlineMS)*time.Millisecond)
		defer cancel()
	}
	x, delay, status, refused := s.startRun(ctx, req)
	if status == statusAborted {
		s.replyAborted(w, r)
		return
	}
	if status != http.StatusOK {
		reply(w, status, refused)
		return
	}
	if !s.work(ctx, delay) {
		s.releaseSlot(false)
		s.replyAborted(w, r)
		return
	}
	items := x.search(req.Query, req.TopK)
	// The slot is released before the answer is sent: a client that sends its next
	// request after this answer must not exceed the slots.
	s.releaseSlot(true)
	cold, load := s.coldAndLoad()
	reply(w, http.StatusOK, searchReply{
		AttemptID: req.AttemptID, Layout: req.Layout, Shard: req.Shard, IndexVersion: req.IndexVersion,
		Cold: cold, Load: load, Count: len(items), Items: items,
	})
}

// statusAborted is returned instead of an HTTP status for a request that was
// canceled, or whose deadline passed, in the queue.
const statusAborted = 0

// startRun takes a slot for the request and logs the run, or refuses the request.
// It returns the index to search and the service time of the run, or a status other
// than 200 and the body of the refusal.
func (s *Server) startRun(ctx context.Context, req searchRequest) (*index, time.Duration, int, refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Requests++
	refused := refusal{Cold: s.cold, Load: s.running}
	if s.draining {
		s.counts.WhileDraining++
		refused.Error = "draining"
		return nil, 0, http.StatusServiceUnavailable, refused
	}
	x := s.findIndex(req)
	if x == nil {
		s.counts.VersionGone++
		refused.Error, refused.Versions = "version_gone", s.versions(req.Layout)
		return nil, 0, http.StatusConflict, refused
	}
	if s.running >= s.cfg.Slots {
		s.counts.Violations++
		if len(s.queue) >= s.cfg.Queue {
			refused.Error = "shed"
			return nil, 0, http.StatusTooManyRequests, refused
		}
		if !s.waitForSlot(ctx) {
			return nil, 0, statusAborted, refused
		}
	} else {
		s.running++
	}
	if s.failsFromOverload() {
		s.running--
		refused.Error = "overloaded while cold"
		return nil, 0, http.StatusInternalServerError, refused
	}
	s.logRun(req)
	return x, s.drawServiceTime(), http.StatusOK, refusal{}
}

func (s *Server) findIndex(req searchRequest) *index {
	h := s.shards[Shard{Layout: req.Layout, Name: req.Shard}]
	if h == nil || req.Service != s.cfg.Service {
		return nil
	}
	return h.versions[req.IndexVersion]
}

// failsFromOverload reports whether a request that has a slot fails, because more
// requests run than the cold server can take or because of such an overload within
// the last Cold.FallOver. The caller holds mu.
func (s *Server) failsFromOverload() bool {
	now := time.Now()
	if now.Before(s.failingUntil) {
		return true
	}
	if s.running <= s.capacity() {
		return false
	}
	s.counts.FallOvers++
	s.failingUntil = now.Add(s.cfg.Cold.FallOver)
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

// drawServiceTime returns a random service time for a request. The caller holds mu.
func (s *Server) drawServiceTime() time.Duration {
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

// work waits for the service time, and for as long as the server is frozen. It
// returns false if the request was canceled or its deadline passed.
func (s *Server) work(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	s.waitWhileFrozen()
	return ctx.Err() == nil
}

// waitWhileFrozen blocks while the server is frozen. A frozen server does not react
// to cancellation and deadlines.
func (s *Server) waitWhileFrozen() {
	s.mu.Lock()
	thaw := s.unfrozen
	s.mu.Unlock()
	if thaw != nil {
		<-thaw
	}
}

// replyAborted counts a request that was canceled or whose deadline passed, and
// answers the latter with 504.
func (s *Server) replyAborted(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Context().Err() != nil {
		s.counts.Canceled++
		return
	}
	s.counts.Expired++
	reply(w, http.StatusGatewayTimeout, refusal{Error: "deadline", Cold: s.cold, Load: s.running})
}

func (s *Server) coldAndLoad() (cold bool, load int) {
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
	// If this fails, the connection is lost and the error cannot be reported.
	_, _ = w.Write(raw)
}
