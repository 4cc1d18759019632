package edits

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"
)

// Guards against an edit that is not taken back, or that changes a place other than the
// one that was meant: the next measurement would be of other code.
func TestTry(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "a.go")
	if err := os.WriteFile(path, []byte("one two two"), 0o644); err != nil {
		t.Fatal(err)
	}
	content := func() string {
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		return string(raw)
	}
	fault := errors.New("x")
	err := Edit{"a.go", "one", "1"}.Try(dir, func() error {
		if content() != "1 two two" {
			t.Errorf("edited to %q", content())
		}
		return fault
	})
	if !errors.Is(err, fault) || content() != "one two two" {
		t.Errorf("error %v, then %q", err, content())
	}
	for _, old := range []string{"two", "three"} {
		err := Edit{"a.go", old, "2"}.Try(dir, func() error { t.Error("used"); return nil })
		if err == nil || !strings.Contains(err.Error(), "want once") {
			t.Errorf("%s: %v", old, err)
		}
	}
}

// Guards against a list with a misspelt key, whose edit would be empty.
func TestReadListNeedsKnownKeys(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list.yaml")
	if err := os.WriteFile(path, []byte("- fil: a\n  old: b\n  new: c\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	var list []Edit
	if err := ReadList(path, &list); err == nil || !strings.Contains(err.Error(), "fil") {
		t.Errorf("%v, want an error that names fil", err)
	}
}

// Guards against lists whose edits no longer fit the code, so that a mechanism could not
// be switched off or a condition not be removed.
func TestListsFitTheCode(t *testing.T) {
	root := filepath.Join("..", "..")
	for _, list := range []string{"mutations.yaml", "ablations.yaml"} {
		raw, err := os.ReadFile(filepath.Join(root, "docs", list))
		if err != nil {
			t.Fatal(err)
		}
		var all []Edit
		if err := yaml.Unmarshal(raw, &all); err != nil {
			t.Fatal(err)
		}
		for _, e := range all {
			code, err := os.ReadFile(filepath.Join(root, e.File))
			if err != nil {
				t.Error(err)
			} else if n := strings.Count(string(code), e.Old); n != 1 {
				t.Errorf("%s: %s has %q %d times, want once", list, e.File, e.Old, n)
			}
		}
	}
}
