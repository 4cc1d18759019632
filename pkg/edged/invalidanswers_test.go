package edged_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/answers/answerstest"
	"github.com/pistachiousher/pistachiousher/platform/standin"
)

// Guards against bytes of a leaf that are no answer in the protocol and reach a caller as a
// success, from one leaf or merged into the answer of a query.
func TestInvalidAnswersReachNoCaller(t *testing.T) {
	s := newSite(t)
	one, two := s.leaf("i-1", "one", standin.Behavior{}), s.leaf("i-2", "two", standin.Behavior{})
	s.configure(route("/one/", "one"), nonIdempotentRoute("/unsafe/", "one"), shardedRoute("/all/", 3, 0.5, "one", "two"))
	d := s.daemon(1)
	eventually(t, startTimeout, "ready", d.ready)
	const body = "1234567890123456"
	for i, c := range answerstest.Cases("", body) {
		if c.Status != 0 {
			continue
		}
		raw := func(lines string) string { return answerstest.Cases(lines, body)[i].Raw }
		one.Set(standin.Behavior{Bytes: raw})
		two.Set(standin.Behavior{Bytes: raw})
		for _, path := range []string{"/one/x", "/unsafe/x", "/all/x"} {
			a := d.call("GET", path, "q", time.Second, "")
			if a.Err != nil || a.Status < http.StatusInternalServerError || strings.Contains(a.Body, "123") {
				t.Errorf("%s, %s: status %d, body %q, error %v", c.Name, path, a.Status, a.Body, a.Err)
			}
		}
	}
	// Log lines are written in batches.
	eventually(t, 3*time.Second, "a line about an invalid answer", func() bool {
		return strings.Contains(d.log.String(), "edge_answer_invalid")
	})
}
