package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

var shard = Shard{Layout: "l1", Name: "s1"}

func start(t *testing.T, cfg Config) (*Server, string) {
	t.Helper()
	cfg.Name, cfg.Service = "b1", "narudzbe-1"
	cfg.Corpus = Corpus{Documents: 200, Seed: 1}
	cfg.Serves = []Serve{{Shard: shard, To: "k00100", Versions: []uint64{1}}}
	s, err := New(cfg, nil)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-done; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return s, "http://" + l.Addr().String()
}

func search(ctx context.Context, url string, client *http.Client, version, deadline int) (int, searchReply, error) {
	body := fmt.Sprintf(`{"attempt_id":7,"request_id":"r","service":"narudzbe-1","layout":"l1","shard":"s1",
		"index_version":%d,"query":"honey jar","top_k":5,"deadline_ms":%d}`, version, deadline)
	req, err := http.NewRequestWithContext(ctx, "POST", url+"/v1/search", bytes.NewBufferString(body))
	if err != nil {
		return 0, searchReply{}, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, searchReply{}, err
	}
	defer resp.Body.Close()
	var r searchReply
	return resp.StatusCode, r, json.NewDecoder(resp.Body).Decode(&r)
}

// checkSearch sends one search and checks the HTTP status.
func checkSearch(t *testing.T, url string, version, deadline, status int) searchReply {
	t.Helper()
	got, r, err := search(t.Context(), url, http.DefaultClient, version, deadline)
	if err != nil || got != status {
		t.Fatalf("status %d, error %v, want %d", got, err, status)
	}
	return r
}

// Guards against answers from the wrong shard or index version, and against a
// server that still serves a retired version.
func TestSearchServesOnlyHeldVersions(t *testing.T) {
	s, url := start(t, Config{})
	r := checkSearch(t, url, 1, 1000, 200)
	if r.Count != 5 || len(r.Items) != 5 {
		t.Fatalf("%d items, count %d, want 5", len(r.Items), r.Count)
	}
	for _, it := range r.Items {
		var d Document
		if err := json.Unmarshal(it.Doc, &d); err != nil || d.Key >= "k00100" {
			t.Errorf("document %s of another shard", it.Doc)
		}
	}
	checkSearch(t, url, 2, 1000, 409)
	s.Publish(Serve{Shard: shard}, 2, Generate(Corpus{Documents: 10}))
	checkSearch(t, url, 2, 1000, 200)
	s.Retire(shard, 1)
	checkSearch(t, url, 1, 1000, 409)
}

// Guards against counts that miss requests arriving while all slots are taken.
func TestRequestsOverTheSlotsAreViolations(t *testing.T) {
	s, url := start(t, Config{Slots: 2, ServiceTime: 100 * time.Millisecond})
	var wg sync.WaitGroup
	for range 5 {
		wg.Go(func() {
			if _, _, err := search(t.Context(), url, http.DefaultClient, 1, 1000); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if c := s.Counts(); c.MaxRunning != 2 || c.Violations != 3 || c.Ran != 2 {
		t.Fatalf("counts %+v", c)
	}
	if n := s.Orders()["r"]; n != 2 {
		t.Fatalf("order applied %d times, want once per run", n)
	}
}

// Guards against slots that stay taken after a request is canceled or its deadline
// passes.
func TestCancelAndDeadlineFreeTheSlot(t *testing.T) {
	s, url := start(t, Config{Slots: 1, ServiceTime: time.Hour})
	checkSearch(t, url, 1, 30, 504)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	if _, _, err := search(ctx, url, http.DefaultClient, 1, 0); err == nil {
		t.Fatal("canceled search had an answer")
	}
	for deadline := time.Now().Add(time.Second); s.Counts().Canceled == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	if c := s.Counts(); c.Canceled != 1 || c.Expired != 1 {
		t.Fatalf("counts %+v", c)
	}
	checkSearch(t, url, 1, 30, 504)
}

// Guards against a cold server that runs all its slots without failing, or that
// never becomes warm.
func TestColdStart(t *testing.T) {
	cold := Cold{Start: true, Slots: 1, Requests: 3, FallOver: 50 * time.Millisecond}
	s, url := start(t, Config{Slots: 2, Cold: cold, ServiceTime: 20 * time.Millisecond})
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { _, _, _ = search(t.Context(), url, http.DefaultClient, 1, 1000) })
	}
	wg.Wait()
	if c := s.Counts(); c.FallOvers != 1 {
		t.Fatalf("counts %+v, want one fall-over", c)
	}
	time.Sleep(cold.FallOver)
	for range 2 {
		checkSearch(t, url, 1, 1000, 200)
	}
	if checkSearch(t, url, 1, 1000, 200).Cold {
		t.Fatal("still cold after the requests that warm it")
	}
}

// Guards against serving connections beyond the limit, and against a status that
// ignores StatusLag.
func TestConnectionLimitAndLaggingStatus(t *testing.T) {
	s, url := start(t, Config{Connections: 1, StatusLag: time.Hour})
	checkSearch(t, url, 1, 1000, 200)
	other := &http.Client{Transport: &http.Transport{}}
	if _, _, err := search(t.Context(), url, other, 1, 1000); err == nil {
		t.Fatal("second connection was served")
	}
	if c := s.Counts(); c.ConnectionsRefused == 0 || c.Connections != 1 {
		t.Fatalf("counts %+v", c)
	}
	s.Drain(true)
	if s.laggingStatus().Draining {
		t.Fatal("the status shows a drain before StatusLag has passed")
	}
	checkSearch(t, url, 1, 1000, 503)
	http.DefaultClient.CloseIdleConnections()
}
