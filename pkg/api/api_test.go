package api

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// fakeFront returns the answer and refusal in its fields and keeps the request.
type fakeFront struct {
	answer  *model.Answer
	refusal *model.Refusal
	got     model.Request
	left    time.Duration
}

func (f *fakeFront) Query(_ context.Context, r model.Request, left time.Duration) (*model.Answer, *model.Refusal) {
	f.got = r
	f.left = left
	return f.answer, f.refusal
}

func (f *fakeFront) Lookup(context.Context, model.ServiceName, model.CallerName) *effect.ReplyLookup {
	return &effect.ReplyLookup{
		Addresses: []effect.LookupAddress{{VM: "vm1", FailureDomain: "vukovar", Address: "127.0.0.1:1", RequestIDPrefix: "vm1.a.b"}},
		MaxAge:    2 * time.Second,
	}
}

func (f *fakeFront) Header() model.Header { return model.Header{BundleVersion: 3, Epoch: 4} }

func testAnswer() *model.Answer {
	return &model.Answer{
		RequestID:     "vm1.a.b.1",
		Service:       "narudzbe",
		Snapshot:      model.Snapshot{Layout: "l1", IndexVersion: 9},
		BundleVersion: 3,
		Asked:         2,
		Answered:      1,
		Missing:       []model.MissingShard{{Shard: "s2", Reason: model.MissingDrained}},
		Items: []model.Item{
			{ID: "a<b", Score: 1.25e-9, Doc: []byte(`{"x" : "<&>", "y": 1.0}`)},
			{ID: "b", Score: 2},
		},
		Attempts: 3,
	}
}

func testQuery() QueryRequest {
	return QueryRequest{Caller: "bench", RequestID: "vm1.a.b.1", Class: "urgent", DeadlineMS: 250, Query: "q", TopK: 5}
}

// Guards against loss or change of any part of an answer between daemon and
// caller; documents must stay byte for byte.
func TestQueryRoundTrip(t *testing.T) {
	front := &fakeFront{answer: testAnswer()}
	s := httptest.NewServer(NewHandler(front))
	defer s.Close()
	a, versions, err := new(Client).Query(context.Background(), s.Listener.Addr().String(), "narudzbe", testQuery())
	if err != nil {
		t.Fatal(err)
	}
	got, want := a.Model(), testAnswer()
	if string(got.Items[0].Doc) != string(want.Items[0].Doc) || got.Items[0].Score != want.Items[0].Score || got.Items[0].ID != want.Items[0].ID {
		t.Errorf("item %+v, want %+v", got.Items[0], want.Items[0])
	}
	if got.Snapshot != want.Snapshot || got.Asked != 2 || got.Answered != 1 || got.Complete || got.Missing[0] != want.Missing[0] {
		t.Errorf("answer %+v, want %+v", got, want)
	}
	if versions != (Versions{Bundle: 3, Epoch: 4}) || a.Epoch != 4 {
		t.Errorf("versions %+v, epoch %d", versions, a.Epoch)
	}
	if front.got.Class != model.Urgent || front.left != 250*time.Millisecond || front.got.Service != "narudzbe" {
		t.Errorf("request %+v with %v left", front.got, front.left)
	}
}

// Guards against a caller taking part of an answer, or a damaged one, for all
// of it.
func TestTruncatedAnswerIsDetected(t *testing.T) {
	body, err := EncodeAnswer(testAnswer(), 4)
	if err != nil {
		t.Fatal(err)
	}
	encoded := string(body)
	cases := map[string]string{
		"cut off":          encoded[:len(encoded)-10],
		"item removed":     strings.Replace(encoded, `,{"id":"b","score":2}`, "", 1),
		"score changed":    strings.Replace(encoded, `"score":2`, `"score":3`, 1),
		"document changed": strings.Replace(encoded, `1.0}`, `1}`, 1),
		"items moved":      strings.Replace(encoded, `"id":"b"`, `"id":"c"`, 1),
	}
	for name, damaged := range cases {
		if damaged == encoded {
			t.Fatalf("%s: case does not change the answer", name)
		}
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, damaged) }))
		_, _, err := new(Client).Query(context.Background(), s.Listener.Addr().String(), "narudzbe", testQuery())
		s.Close()
		if !errors.Is(err, ErrTruncated) {
			t.Errorf("%s: %v, want ErrTruncated", name, err)
		}
	}
}

// Guards against a caller taking the answer to another request for its own.
func TestMismatchedAnswer(t *testing.T) {
	s := httptest.NewServer(NewHandler(&fakeFront{answer: testAnswer()}))
	defer s.Close()
	q := testQuery()
	q.RequestID = "vm1.a.b.2"
	if _, _, err := new(Client).Query(context.Background(), s.Listener.Addr().String(), "narudzbe", q); !errors.Is(err, ErrMismatch) {
		t.Errorf("%v, want ErrMismatch", err)
	}
}

// Guards against refusals whose kind and status disagree.
func TestRefusals(t *testing.T) {
	for kind, status := range map[model.RefusalKind]int{model.NotRun: 503, model.MayHaveRun: 502, model.Invalid: 400} {
		s := httptest.NewServer(NewHandler(&fakeFront{refusal: &model.Refusal{Kind: kind, Reason: "r", RetryAfter: 1500 * time.Millisecond}}))
		_, versions, err := new(Client).Query(context.Background(), s.Listener.Addr().String(), "narudzbe", testQuery())
		s.Close()
		refused := new(RefusalError)
		if !errors.As(err, &refused) || refused.Refusal.Kind != kind || refused.Refusal.RetryAfterMS != 1500 {
			t.Errorf("%s: %v", kind, err)
		}
		if versions.Bundle != 3 {
			t.Errorf("%s: refusal without versions", kind)
		}
		if statusOf(kind) != status {
			t.Errorf("%s: status %d, want %d", kind, statusOf(kind), status)
		}
	}
}

// Guards against misspelt fields, trailing data and oversized or out-of-range
// requests being run with other meaning than the caller intended.
func TestInvalidRequests(t *testing.T) {
	const good = `{"caller":"c","request_id":"i","deadline_ms":5,"query":"q","top_k":1}`
	cases := map[string]string{
		"unknown field": strings.Replace(good, `"caller"`, `"idempotant":true,"caller"`, 1),
		"two values":    good + good,
		"too large":     strings.Replace(good, `"q"`, `"`+strings.Repeat("q", MaxBodyBytes)+`"`, 1),
		"class":         strings.Replace(good, `"caller"`, `"class":"high","caller"`, 1),
		"no caller":     strings.Replace(good, `"c"`, `""`, 1),
		"no deadline":   strings.Replace(good, `5`, `0`, 1),
		"top_k":         strings.Replace(good, `"top_k":1`, `"top_k":0`, 1),
		"empty":         "",
	}
	front := &fakeFront{answer: testAnswer()}
	h := NewHandler(front)
	for name, body := range cases {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest("POST", "/v1/services/narudzbe/query", strings.NewReader(body)))
		if w.Code != 400 || !strings.Contains(w.Body.String(), `"refusal":"invalid"`) || front.got.ID != "" {
			t.Errorf("%s: status %d, body %s", name, w.Code, w.Body)
		}
	}
}

// Guards against responses that do not state the versions in effect, also those
// that no handler wrote.
func TestEveryResponseStatesVersions(t *testing.T) {
	h := NewHandler(new(fakeFront))
	for _, path := range []string{"/nothing", "/v1/lookup", "/v1/lookup?service=s&caller=c"} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest("GET", path, nil))
		if w.Header().Get(HeaderBundleVersion) != "3" || w.Header().Get(HeaderEpoch) != "4" {
			t.Errorf("%s: status %d with headers %v", path, w.Code, w.Header())
		}
	}
}
