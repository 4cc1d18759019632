package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"
)

// Handler serves the object API, the VM list and the control endpoints.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{key...}", s.handleGet)
	mux.HandleFunc("PUT /v1/objects/{key...}", s.handlePut)
	mux.HandleFunc("GET /v1/objects", s.handleList)
	mux.HandleFunc("GET /v1/vms", s.handleVMs)
	s.addControls(mux)
	return mux
}

// admit counts a call, delays it and refuses it in an outage or over the rate
// limit.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, counter *int, limit *rate.Limiter) bool {
	s.mu.Lock()
	*counter++
	delay := s.delay
	s.mu.Unlock()
	if !sleep(r.Context(), delay) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		s.counts.Refused++
		reply(w, http.StatusServiceUnavailable, failure{"outage"})
		return false
	}
	if !limit.Allow() {
		s.counts.Limited++
		reply(w, http.StatusTooManyRequests, failure{"rate limit"})
		return false
	}
	return true
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "1" {
		s.handleWatch(w, r)
		return
	}
	if !s.admit(w, r, &s.counts.Reads, s.reads) {
		return
	}
	o, found, _, _ := s.read(r.PathValue("key"))
	if !found {
		reply(w, http.StatusNotFound, failure{"no such object"})
		return
	}
	reply(w, http.StatusOK, o)
}

// handleWatch waits until the object's version differs from the one named; an
// object that does not exist has version 0.
func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, &s.counts.Watches, s.reads) {
		return
	}
	after, err := number(r, "after")
	if err != nil {
		reply(w, http.StatusBadRequest, failure{err.Error()})
		return
	}
	s.addWaiting(1)
	defer s.addWaiting(-1)
	timeout := time.NewTimer(watchTimeout(r))
	defer timeout.Stop()
	for {
		o, found, outage, changed := s.read(r.PathValue("key"))
		switch {
		case outage:
			reply(w, http.StatusServiceUnavailable, failure{"outage"})
			return
		case o.Version != after && found:
			reply(w, http.StatusOK, o)
			return
		case o.Version != after:
			reply(w, http.StatusNotFound, failure{"no such object"})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) addWaiting(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Waiting += n
}

// watchTimeout returns the timeout that the watch names, within bounds.
func watchTimeout(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	if err != nil {
		return defaultWatch
	}
	return min(time.Duration(ms)*time.Millisecond, maxWatch)
}

// putBody is the JSON form of a PUT; any other content type is the raw value.
type putBody struct {
	Value []byte `json:"value"`
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, &s.counts.Writes, s.writes) {
		return
	}
	value, err := readValue(w, r)
	if errors.Is(err, ErrTooLarge) {
		replyPut(w, 0, err)
		return
	}
	if err != nil {
		reply(w, http.StatusBadRequest, failure{err.Error()})
		return
	}
	var condition *uint64
	if r.URL.Query().Has("if_version") {
		n, err := number(r, "if_version")
		if err != nil {
			reply(w, http.StatusBadRequest, failure{err.Error()})
			return
		}
		condition = &n
	}
	version, err := s.put(r.PathValue("key"), value, condition)
	if err == nil && s.takeLostReply() {
		// The server closes the connection without an answer on this panic.
		panic(http.ErrAbortHandler)
	}
	replyPut(w, version, err)
}

func replyPut(w http.ResponseWriter, version uint64, err error) {
	body := struct {
		Version uint64 `json:"version"`
	}{version}
	switch {
	case errors.Is(err, ErrConflict):
		reply(w, http.StatusConflict, body)
	case errors.Is(err, ErrTooLarge):
		reply(w, http.StatusRequestEntityTooLarge, failure{err.Error()})
	default:
		reply(w, http.StatusOK, body)
	}
}

// readValue returns the value in either form; bodies that cannot hold a valid
// value are not read to their end.
func readValue(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 2*MaxValue))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, ErrTooLarge
	}
	if err != nil || !strings.HasPrefix(r.Header.Get("Content-Type"), "application/json") {
		return raw, err
	}
	var body putBody
	err = json.Unmarshal(raw, &body)
	return body.Value, err
}

func (s *Server) takeLostReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loseReplies == 0 {
		return false
	}
	s.loseReplies--
	return true
}

func (s *Server) handleList(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, &s.counts.Lists, s.reads) {
		return
	}
	reply(w, http.StatusOK, struct {
		Objects []Object `json:"objects"`
	}{s.list(r.URL.Query().Get("prefix"))})
}

func (s *Server) handleVMs(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, &s.counts.VMs, s.reads) {
		return
	}
	reply(w, http.StatusOK, struct {
		VMs []VM `json:"vms"`
	}{s.VMs()})
}

type failure struct {
	Error string `json:"error"`
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client is gone if this fails; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(body)
}

func number(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

// sleep waits for d and reports whether the context still holds.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
