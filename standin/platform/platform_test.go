package platform

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func start(t *testing.T, o Options) (*Server, *httptest.Server) {
	t.Helper()
	s := New(o)
	h := httptest.NewServer(s.Handler())
	t.Cleanup(h.Close)
	return s, h
}

func call(t *testing.T, method, url, body string) (int, []byte) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	var b bytes.Buffer
	if _, err := b.ReadFrom(resp.Body); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, b.Bytes()
}

// Guards against a conditional update that overwrites another writer's value.
func TestConditionalWrites(t *testing.T) {
	_, h := start(t, Options{})
	url := h.URL + "/v1/objects/bundles/active"
	steps := []struct {
		query string
		want  int
	}{{"?if_version=0", 200}, {"?if_version=0", 409}, {"?if_version=1", 200}, {"?if_version=1", 409}, {"", 200}}
	for _, step := range steps {
		if got, body := call(t, "PUT", url+step.query, "v"); got != step.want {
			t.Errorf("PUT %s: %d %s, want %d", step.query, got, body, step.want)
		}
	}
	if got, _ := call(t, "PUT", url, strings.Repeat("x", MaxValue+1)); got != http.StatusRequestEntityTooLarge {
		t.Errorf("too large a value: %d", got)
	}
}

// Guards against a lost reply that also loses the write, or that hides from
// the counts.
func TestLostReplyTakesEffect(t *testing.T) {
	s, h := start(t, Options{})
	s.LoseReplies(1)
	if got, _ := call(t, "PUT", h.URL+"/v1/objects/a", "v"); got != 0 {
		t.Fatalf("status %d, want a closed connection", got)
	}
	if o, ok := s.Get("a"); !ok || string(o.Value) != "v" {
		t.Fatal("the write did not take effect")
	}
	if n := s.Counts().Writes; n != 1 {
		t.Fatalf("%d writes counted, want 1", n)
	}
}

// Guards against watches that miss a change, call without a pause, or wait on after an outage.
func TestWatch(t *testing.T) {
	s, h := start(t, Options{})
	url := h.URL + "/v1/objects/a?watch=1&after=0&timeout_ms="
	if got, _ := call(t, "GET", url+"20", ""); got != http.StatusNotModified {
		t.Fatalf("unchanged: %d", got)
	}
	time.AfterFunc(20*time.Millisecond, func() {
		if _, err := s.Put("a", []byte("v"), 0); err != nil {
			t.Error(err)
		}
	})
	got, body := call(t, "GET", url+"5000", "")
	var o Object
	if err := json.Unmarshal(body, &o); got != 200 || err != nil || string(o.Value) != "v" {
		t.Fatalf("changed: %d %s", got, body)
	}
	time.AfterFunc(20*time.Millisecond, func() { s.SetOutage(true) })
	if got, _ = call(t, "GET", h.URL+"/v1/objects/a?watch=1&after=1&timeout_ms=5000", ""); got != http.StatusServiceUnavailable {
		t.Fatalf("outage: %d", got)
	}
	if c := s.Counts(); c.Watches != 3 || c.Waiting != 0 {
		t.Fatalf("counts %+v", c)
	}
}

// Guards against a stale copy that lets a conditional write through.
func TestStaleReadsCannotWrite(t *testing.T) {
	s, h := start(t, Options{WriteRate: 2})
	url := h.URL + "/v1/objects/a"
	call(t, "PUT", url, "old")
	s.SetStale(true)
	call(t, "PUT", url, "new")
	_, body := call(t, "GET", url, "")
	var o Object
	if err := json.Unmarshal(body, &o); err != nil || string(o.Value) != "old" {
		t.Fatalf("read %s, want the old copy", body)
	}
	if _, err := s.Put("a", nil, o.Version); err == nil {
		t.Fatal("a write based on the stale version succeeded")
	}
	if got, _ := call(t, "PUT", url, "x"); got != http.StatusTooManyRequests {
		t.Fatalf("third write in the second: %d, want 429", got)
	}
}

// Guards against a VM list without its lag.
func TestVMListLags(t *testing.T) {
	s, _ := start(t, Options{})
	s.SetVMs([]VM{{"a", "live"}}, 0)
	s.SetVMs([]VM{{"b", "live"}}, time.Hour)
	if vms := s.VMs(); len(vms) != 1 || vms[0].Name != "a" {
		t.Fatalf("shown %v, want the earlier list", vms)
	}
}
