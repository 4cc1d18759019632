package backend

import (
	"encoding/json"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Guards against taking the response to another request for an answer, and
// against misreading responses by which a server says that it ran nothing.
func TestResponseOutcomes(t *testing.T) {
	cases := map[string]struct {
		status int
		body   string
		want   model.Outcome
	}{
		"good":           {200, goodBody, model.OutcomeOK},
		"other attempt":  {200, strings.Replace(goodBody, `vm1.a.7`, `vm1.a.8`, 1), model.OutcomeFailed},
		"other daemon":   {200, strings.Replace(goodBody, `vm1.a.7`, `vm2.a.7`, 1), model.OutcomeFailed},
		"other shard":    {200, strings.Replace(goodBody, `"s1"`, `"s2"`, 1), model.OutcomeFailed},
		"other snapshot": {200, strings.Replace(goodBody, `"index_version":3`, `"index_version":4`, 1), model.OutcomeFailed},
		"not JSON":       {200, "<html>", model.OutcomeFailed},
		"version gone":   {409, `{"versions":[4,5]}`, model.OutcomeVersionGone},
		"shed":           {429, "", model.OutcomeShed},
		"draining":       {503, "", model.OutcomeShed},
		"server error":   {500, "", model.OutcomeFailed},
		"deadline":       {504, `{"error":"deadline"}`, model.OutcomeTimeout},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, func(c net.Conn, _ int64, _ []byte) bool { return writeReply(c, tc.status, tc.body) })
			c := New()
			defer c.Close()
			r := search(t, c, s.address, time.Second)
			if r.Result.Outcome != tc.want {
				t.Fatalf("outcome %v (%v), want %v", r.Result.Outcome, r.Err, tc.want)
			}
			if r.Result.Attempt != testSub.Attempt || r.Result.Snapshot != testSub.Snapshot {
				t.Errorf("result has the attempt or snapshot of another sub-request: %+v", r.Result)
			}
			if tc.want == model.OutcomeVersionGone && len(r.Result.Versions) != 2 {
				t.Errorf("versions %v, want 2", r.Result.Versions)
			}
			if tc.want == model.OutcomeOK && string(r.Result.Items[0].Doc) != `{"x" : 1}` {
				t.Errorf("document was changed: %s", r.Result.Items[0].Doc)
			}
		})
	}
}

// Guards against giving the server more time than is left: time that passes
// before the request is sent must be subtracted from deadline_ms.
func TestDeadlineIsSetAtSend(t *testing.T) {
	body, err := newBody("vm1.a.7", &testSub, time.Now().Add(200*time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	size := body.size()
	time.Sleep(100 * time.Millisecond)
	buf := make([]byte, 1024)
	n, err := body.Read(buf)
	if err != nil || int64(n) != size {
		t.Fatalf("read %d bytes, %v; want %d", n, err, size)
	}
	var got struct {
		DeadlineMS int64 `json:"deadline_ms"`
	}
	if err := json.Unmarshal(buf[:n], &got); err != nil {
		t.Fatal(err)
	}
	if got.DeadlineMS <= 0 || got.DeadlineMS > 100 {
		t.Errorf("deadline_ms %d, want 1 to 100", got.DeadlineMS)
	}
	body.Close()
	if _, err := body.Read(buf); err != errBodyClosed {
		t.Errorf("read after Close returned %v, want errBodyClosed", err)
	}
}

// Guards against connections that are opened only when the first requests need
// them, which costs several milliseconds each.
func TestWarmOpensConnections(t *testing.T) {
	s := startServer(t, func(c net.Conn, _ int64, _ []byte) bool { return writeReply(c, 200, goodBody) })
	c := New()
	defer c.Close()
	c.Warm(testSub.Server, s.address, 5)
	waitFor(t, func() bool { return s.statuses.Load() == 5 })
	c.Warm(testSub.Server, s.address, 0)
	if len(c.pools) != 0 {
		t.Error("the pool of a server that is no longer kept warm was not removed")
	}
}
