package processes

import (
	"strings"
	"testing"

	"github.com/pistachiousher/pistachiousher/pkg/api"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/standin/backend"
)

// Guards against Violations overlooking a breach of an invariant, or reporting
// one in a run without any.
func TestViolationsAreFound(t *testing.T) {
	order := func(id string) backend.Run { return backend.Run{RequestID: id, Layout: "all", Shard: "s1"} }
	log := func(counts backend.Counts, runs ...backend.Run) []ServerLog {
		return []ServerLog{{Server: Servers()[8], Counts: counts, Runs: runs}, {Server: Servers()[9]}}
	}
	notRun := &Request{ID: "a", Err: &api.RefusalError{Refusal: api.Refusal{Kind: model.NotRun}}}
	complete := &Request{ID: "a", Answer: &api.Answer{AnswerHead: api.AnswerHead{Complete: true}}}
	query := &Request{ID: "a", Idempotent: true, Answer: complete.Answer}
	for want, c := range map[string]struct {
		logs     []ServerLog
		requests []*Request
	}{
		"ran 2 times":                    {logs: log(backend.Counts{}, order("a"), order("a"))},
		"while all 3 slots were taken":   {logs: log(backend.Counts{Violations: 1})},
		"1 runs were dropped":            {logs: log(backend.Counts{RunsDropped: 1})},
		"refused as not_run, but ran":    {log(backend.Counts{}, order("a")), []*Request{notRun}},
		"answered completely, but ran 0": {log(backend.Counts{}), []*Request{complete}},
		"differs from the direct search": {log(backend.Counts{}, order("a")), []*Request{query}},
	} {
		bad := Violations(c.logs, c.requests)
		if len(bad) != 1 || !strings.Contains(bad[0], want) {
			t.Errorf("violations %q, want exactly one containing %q", bad, want)
		}
	}
	if bad := Violations(log(backend.Counts{}, order("a"), order("b")), nil); len(bad) > 0 {
		t.Errorf("violations %q for two orders that ran once each, want none", bad)
	}
}
