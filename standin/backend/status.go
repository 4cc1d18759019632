package backend

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"
)

// Status is the answer of GET /v1/status.
type Status struct {
	Server   string        `json:"server"`
	Draining bool          `json:"draining"`
	Cold     bool          `json:"cold"`
	Load     int           `json:"load"`
	Serves   []ServeStatus `json:"serves"`
}

// ServeStatus lists the index versions of one shard.
type ServeStatus struct {
	Service string `json:"service"`
	Shard
	Versions []uint64 `json:"versions"`
}

type timedStatus struct {
	at     time.Time
	status Status
}

// recordStatus adds the current status to the history for the status endpoint. The
// caller holds mu.
func (s *Server) recordStatus() {
	now := time.Now()
	s.history = append(s.history, timedStatus{at: now, status: s.status()})
	// Drops entries older than the newest one whose age has reached the lag.
	for len(s.history) > 1 && now.Sub(s.history[1].at) >= s.cfg.StatusLag {
		s.history = s.history[1:]
	}
}

func (s *Server) status() Status {
	st := Status{Server: s.cfg.Name, Draining: s.draining, Cold: s.cold, Load: s.running, Serves: []ServeStatus{}}
	for shard, h := range s.shards {
		st.Serves = append(st.Serves, ServeStatus{
			Service: s.cfg.Service, Shard: shard, Versions: slices.Sorted(maps.Keys(h.versions)),
		})
	}
	slices.SortFunc(st.Serves, func(a, b ServeStatus) int {
		return cmp.Or(cmp.Compare(a.Layout, b.Layout), cmp.Compare(a.Name, b.Name))
	})
	return st
}

// laggingStatus returns the status recorded at least StatusLag ago, or the first
// one. Its load is that at the time of the record, so it misleads as those of real
// servers do.
func (s *Server) laggingStatus() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.history) == 0 {
		return s.status()
	}
	shown := s.history[0].status
	limit := time.Now().Add(-s.cfg.StatusLag)
	for _, h := range s.history[1:] {
		if !h.at.After(limit) {
			shown = h.status
		}
	}
	return shown
}

func (s *Server) handleStatus(w http.ResponseWriter, _ *http.Request) {
	s.waitWhileFrozen()
	reply(w, http.StatusOK, s.laggingStatus())
}

// controlRequest is the body of the control endpoints; each reads the fields it needs.
type controlRequest struct {
	On          bool       `json:"on"`
	Probability float64    `json:"probability"`
	DelayMS     int64      `json:"delay_ms"`
	Layout      string     `json:"layout"`
	Shard       string     `json:"shard"`
	From        string     `json:"from"`
	To          string     `json:"to"`
	Version     uint64     `json:"version"`
	Documents   []Document `json:"documents"`
}

// handleControls adds the endpoints through which another process controls the
// stand-in and reads its counts and log of runs.
func (s *Server) handleControls(mux *http.ServeMux) {
	command := func(name string, run func(controlRequest)) {
		mux.HandleFunc("POST /v1/control/"+name, func(w http.ResponseWriter, r *http.Request) {
			var c controlRequest
			if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
				reply(w, http.StatusBadRequest, refusal{Error: err.Error()})
				return
			}
			run(c)
			reply(w, http.StatusOK, s.Counts())
		})
	}
	command("drain", func(c controlRequest) { s.Drain(c.On) })
	command("cold", func(controlRequest) { s.TurnCold() })
	command("freeze", func(c controlRequest) { s.Freeze(c.On) })
	command("straggler", func(c controlRequest) {
		s.SetStraggler(Straggler{Probability: c.Probability, Delay: time.Duration(c.DelayMS) * time.Millisecond})
	})
	command("publish", s.handlePublish)
	command("retire", func(c controlRequest) { s.Retire(Shard{Layout: c.Layout, Name: c.Shard}, c.Version) })
	mux.HandleFunc("GET /v1/control/counts", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, s.Counts())
	})
	mux.HandleFunc("GET /v1/control/runs", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, s.Runs())
	})
}

// handlePublish publishes the given documents or, without any, the generated
// corpus.
func (s *Server) handlePublish(c controlRequest) {
	docs := c.Documents
	if docs == nil {
		docs = Generate(s.cfg.Corpus)
	}
	s.Publish(Serve{Shard: Shard{Layout: c.Layout, Name: c.Shard}, From: c.From, To: c.To}, c.Version, docs)
}
