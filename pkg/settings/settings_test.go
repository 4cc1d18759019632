package settings

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/pistachiousher/pistachiousher/pkg/yamldoc"
)

const validSettings = `vm: entry-1
region: croatia
failure_domain: osijek-a
listen: {caller: "127.0.0.1:7001", peer: "0.0.0.0:7002", admin: "127.0.0.1:7003"}
advertise: {peer: "127.0.0.1:7002"}
platform: {address: "127.0.0.1:7100"}
seeds: ["127.0.0.1:7202"]
operators:
  quorum: 2
  keys:
    - {name: ana, public_key: "iojj3XQJ8ZX9UtstPLpdcspnCb8dlBIb83SIAbQPb1w="}
    - {name: iva, public_key: "gTl3Dqh9F19Wo1Rmw0x+zMuNipG07jeiXfYPW4/JszE="}
`

// Guards against defaults that leave the daemon unreachable or without a log.
func TestDefaults(t *testing.T) {
	s, err := Parse("s.yaml", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Advertise.Caller != "127.0.0.1:7001" || s.Platform.CallsPerSecond != DefaultCallsPerSecond || s.Log.Level != DefaultLogLevel || len(s.Operators.Keys) != 2 {
		t.Errorf("got %+v", s)
	}
}

// Guards against a daemon that starts with faulty settings, and against faults
// that are reported without their line or rule.
func TestFaultsNameLineAndRule(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"vm: entry-1", "vm: Entry 1", "s.yaml:1: name"},
		{"vm: entry-1\n", "", "missing-key: \"vm\""},
		{"vm: entry-1", "vm: entry-1\nvm: entry-2", "s.yaml:2: duplicate-key"},
		{"vm: entry-1", "vm: entry-1\ncolour: red", "s.yaml:2: unknown-key"},
		{"127.0.0.1:7003", "127.0.0.1:7001", "s.yaml:4: same-address"},
		{"advertise: {peer: \"127.0.0.1:7002\"}\n", "", "unreachable-address"},
		{"127.0.0.1:7202", "peer.local:7202", "s.yaml:7: address"},
		{"{address: \"127.0.0.1:7100\"}", "{addresses: []}", "s.yaml:6: empty"},
		{"{address: \"127.0.0.1:7100\"}", "{calls_per_second: 5}", "s.yaml:6: missing-key"},
		{"{address: \"127.0.0.1:7100\"}", "{address: \"127.0.0.1:7100\", calls_per_second: 5/s}", "s.yaml:6: type"},
		{"quorum: 2", "quorum: 3", "s.yaml:9: quorum"},
		{"quorum: 2", "quorum: 0", "s.yaml:9: range"},
		{"name: iva", "name: ana", "s.yaml:12: duplicate-name"},
		{"gTl3Dqh9F19Wo1Rmw0x+zMuNipG07jeiXfYPW4/JszE=", "iojj3XQJ8ZX9UtstPLpdcspnCb8dlBIb83SIAbQPb1w=", "s.yaml:12: duplicate-public-key"},
		{"gTl3Dqh9F19Wo1Rmw0x+zMuNipG07jeiXfYPW4/JszE=", "gTl3", "s.yaml:12: key"},
		{"operators:", "log: {level: loud}\noperators:", "s.yaml:8: range"},
	} {
		_, err := Parse("s.yaml", []byte(strings.Replace(validSettings, c.old, c.new, 1)))
		if !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %s", c.new, err, c.want)
		}
	}
	var faults *yamldoc.Error
	text := strings.NewReplacer("entry-1", "E", "quorum: 2", "quorum: 0", "7202", "x").Replace(validSettings)
	if _, err := Parse("s.yaml", []byte(text)); !errors.As(err, &faults) || len(faults.Faults) != 3 {
		t.Errorf("got %v, want three faults at once", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f", data)
		if (s == nil) == (err == nil) {
			t.Fatalf("got settings %v and error %v", s, err)
		}
		if s != nil && (s.Operators.Quorum < 1 || s.Operators.Quorum > len(s.Operators.Keys)) {
			t.Fatalf("accepted a quorum of %d of %d", s.Operators.Quorum, len(s.Operators.Keys))
		}
	})
}

// Guards against an example in the documentation that does not work.
func TestDocumentedExample(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(page), "```yaml\n")
	example, _, found := strings.Cut(rest, "```")
	if _, err := Parse("docs/settings.md", []byte(example)); err != nil || !found {
		t.Errorf("got %v, example found %t", err, found)
	}
}
