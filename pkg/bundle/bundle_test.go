package bundle

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/pistachiousher/pistachiousher/pkg/yamldoc"
)

const validBundle = `version: 7
services:
  - name: arhiv
    policy: {mode: coverage_first}
    callers: [{name: office, share: 0.5}]
    layouts:
      - name: l1
        shards:
          - {name: s1, to: m, replicas: [a, b]}
          - {name: s2, from: m, replicas: [b]}
  - name: nabava
    policy:
      mode: tail_first
      target: 58ms
    callers: [{name: office, share: 1}]
    layouts: [{name: l1, shards: [{name: s1, replicas: [c]}]}]
backend_servers:
  - {name: a, failure_domain: vukovar, address: "127.0.0.1:9001", slots: 3, connections: 30}
  - {name: b, failure_domain: osijek-a, address: "127.0.0.1:9002", slots: 3, connections: 30}
  - {name: c, failure_domain: osijek-a, address: "127.0.0.1:9003", slots: 3, connections: 30}
`

// Guards against a faulty bundle that is accepted, and against faults reported
// under the wrong line.
func TestParseFaults(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"version: 7", "version: 0", "b.yaml:1: range"},
		{"version: 7", "version: 07x", "b.yaml:1: type"},
		{"version: 7", "# none", "b.yaml:2: missing-key"},
		{"    policy: {mode: coverage_first}", "    policy: {mode: coverage_first, speed: 1}", "b.yaml:4: unknown-key"},
		{"      target: 58ms", "      target: 58ms\n      target: 59ms", "b.yaml:15: duplicate-key"},
		{"target: 58ms", "target: 58", "b.yaml:14: unit"},
		{"target: 58ms", "target: 58 parsecs", "b.yaml:14: unit"},
		{"      target: 58ms\n", "", "target: mode tail_first needs a target"},
		{"target: 58ms", "target: 58ms\n      hedge_budget: 0.06", "b.yaml:15: range"},
		{"target: 58ms", "target: 58ms\n      hedge_budget: -0.01", "b.yaml:15: range"},
		{"target: 58ms", "target: 58ms\n      hedge_budget: .nan", "b.yaml:15: type"},
		{"name: nabava", "name: arhiv", "b.yaml:11: duplicate-name"},
		{"{name: b, fail", "{name: a, fail", "b.yaml:19: duplicate-name"},
		{"{name: s2, from: m", "{name: s2, from: k", "b.yaml:10: range-overlap"},
		{"{name: s2, from: m", "{name: s2, from: n", "b.yaml:10: range-gap"},
		{"{name: s1, to: m", "{name: s1, from: b, to: m", "b.yaml:9: range-gap"},
		{"{name: s2, from: m", "{name: s2, from: m, to: z", "b.yaml:10: range-gap"},
		{"{name: s2, from: m", "{name: s2, from: m, to: a", "b.yaml:10: range"},
		{"replicas: [b]", "replicas: [x]", "b.yaml:10: unknown-replica"},
		{"replicas: [b]", "replicas: [b, b]", "b.yaml:10: duplicate-name"},
		{"replicas: [b]", "replicas: []", "b.yaml:10: empty"},
		{"replicas: [c]", "replicas: [a]", "b.yaml:16: shared-server"},
		{"share: 0.5}", "share: 1.5}", "b.yaml:5: range"},
		{"{name: office, share: 0.5}", "{name: office, share: 0.5}, {name: bench, share: 0.6}", "shares"},
		{"127.0.0.1:9001\", slots: 3", "127.0.0.1:9001\", slots: 31", "b.yaml:18: slots"},
		{"127.0.0.1:9001", "localhost:9001", "b.yaml:18: address"},
		{"127.0.0.1:9001", "127.0.0.1:0", "b.yaml:18: address"},
		{"127.0.0.1:9001", "127.0.0.1:9002", "b.yaml:19: shared-address"},
		{"version: 7", "version: &x 7", "b.yaml:1: syntax"},
		{"version: 7", "? version\n: 7", "b.yaml:1: syntax"},
		{"version: 7", strings.Repeat("version: 7\n", 100), "b.yaml:65: syntax"},
		{"version: 7", "version: [", "syntax"},
		{"version: 7", "version: " + strings.Repeat("[", 100), "b.yaml:1: syntax"},
		{"version: 7", "version: 7 #" + strings.Repeat("x", MaxSizeBytes), "b.yaml:1: size"},
	} {
		text := strings.Replace(validBundle, c.old, c.new, 1)
		b, err := Parse("b.yaml", []byte(text))
		if b != nil || !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %s", c.new[:min(len(c.new), 60)], err, c.want)
		}
	}
}

// Guards against faults that are reported one at a time, so that operators have
// to run the check once for each.
func TestParseReportsAllFaults(t *testing.T) {
	text := strings.NewReplacer("version: 7", "version: 0", "share: 0.5", "share: 2", "58ms", "58", "9003", "x").Replace(validBundle)
	_, err := Parse("b.yaml", []byte(text))
	var faults *yamldoc.Error
	if !errors.As(err, &faults) || len(faults.Faults) != 4 {
		t.Fatalf("got %v, want four faults", err)
	}
}

// Guards against a document from the platform that floods the log.
func TestParseBoundsFaults(t *testing.T) {
	many := strings.Repeat("  - {name: "+strings.Repeat("X", 500)+"}\n", 1500)
	_, err := Parse("b.yaml", []byte("version: 1\nservices: []\nbackend_servers:\n"+many))
	var faults *yamldoc.Error
	if !errors.As(err, &faults) || len(faults.Faults) != yamldoc.MaxFaults+1 || len(err.Error()) > 150_000 {
		t.Fatalf("got %d bytes", len(fmt.Sprint(err)))
	}
	if !strings.HasSuffix(err.Error(), ": more: 8799 more faults are not shown") {
		t.Errorf("ends with %s", err.Error()[len(err.Error())-80:])
	}
}

// Guards against signatures that a new comment invalidates, and against those
// that stay valid when a value changes.
func TestDigest(t *testing.T) {
	digest := func(text string) string {
		b, err := Parse("b.yaml", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		return Digest(b)
	}
	want := digest(validBundle)
	same := strings.Replace(validBundle, "      mode: tail_first\n      target: 58ms", "      target: 0.058s # end to end\n      hedge_percentile: 95.0\n      mode: tail_first", 1)
	if got := digest(same); got != want {
		t.Error("comments, key order or a written default changed the digest")
	}
	if got := digest(strings.Replace(validBundle, "58ms", "59ms", 1)); got == want {
		t.Error("another target has the same digest")
	}
}

// Guards against a roll-out whose diff hides a change from the operator.
func TestDiffNamesEveryChange(t *testing.T) {
	a, err := Parse("a", []byte(validBundle))
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer("version: 7", "version: 8", "58ms", "60ms", "share: 0.5", "share: 0.25",
		"replicas: [b]", "replicas: [a, b]", "- {name: c,", "- {name: d,", "replicas: [c]", "replicas: [d]", "slots: 3, connections: 30}\n  - {name: b", "slots: 4, connections: 30}\n  - {name: b").Replace(validBundle)
	b, err := Parse("b", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"version: 7 -> 8", "caller office: share 0.5", `shard s2: keys ["m", "") on [b]`, "target: 58ms -> 60ms", "shard s1", "server a: slots: 3 -> 4", "- backend server c", "+ backend server d"}
	got := Diff(a, b)
	if len(got) != len(want) {
		t.Fatalf("got %v", got)
	}
	for i, c := range got {
		if !strings.Contains(c.String(), want[i]) {
			t.Errorf("change %d is %q, want %q", i, c, want[i])
		}
	}
	if same := Diff(a, a); len(same) != 0 {
		t.Errorf("a bundle differs from itself: %v", same)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validBundle))
	f.Add([]byte("- - - ? : &a *a"))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := Parse("f", data)
		if (b == nil) == (err == nil) {
			t.Fatalf("got bundle %v and error %v", b, err)
		}
	})
}
