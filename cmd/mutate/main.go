// Command mutate checks that the tests of invariants can fail. In a copy of the
// module it applies mutations one at a time, each of which breaks an invariant,
// and runs the test that must then fail.
package main

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
)

// testTimeout bounds the tests of one mutation.
const testTimeout = 5 * time.Minute

// mutation replaces Old, which must occur exactly once in File, with New. Test
// is a regular expression for the test in Package that must then fail.
type mutation struct {
	Invariant string `yaml:"invariant"`
	File      string `yaml:"file"`
	Old       string `yaml:"old"`
	New       string `yaml:"new"`
	Package   string `yaml:"package"`
	Test      string `yaml:"test"`
}

func main() {
	list := flag.String("list", "docs/mutations.yaml", "`file` with the mutations")
	only := flag.String("only", "", "run only mutations whose invariant contains `text`")
	flag.Parse()
	survived, err := run(*list, *only)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "mutate:", err)
		os.Exit(2)
	case survived > 0:
		fmt.Printf("%d mutations survived\n", survived)
		os.Exit(1)
	}
	fmt.Println("every mutation made its test fail")
}

func run(list, only string) (survived int, err error) {
	mutations, err := readMutations(list)
	if err != nil {
		return 0, err
	}
	dir, err := os.MkdirTemp("", "mutate")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	if err := copyModule(dir); err != nil {
		return 0, err
	}
	for _, m := range mutations {
		if !strings.Contains(m.Invariant, only) {
			continue
		}
		killed, err := m.try(dir)
		if err != nil {
			return survived, fmt.Errorf("%s: %w", m.Invariant, err)
		}
		result := "killed by " + m.Test
		if !killed {
			survived++
			result = "SURVIVED " + m.Test
		}
		fmt.Printf("%-28s %-40s %s\n", m.Invariant, m.File, result)
	}
	return survived, nil
}

func readMutations(list string) ([]mutation, error) {
	raw, err := os.ReadFile(list)
	if err != nil {
		return nil, err
	}
	var mutations []mutation
	if err := yaml.UnmarshalWithOptions(raw, &mutations, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("%s: %w", list, err)
	}
	return mutations, nil
}

// copyModule copies the module in the current directory, without hidden
// directories.
func copyModule(to string) error {
	return filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			if path != "." && strings.HasPrefix(d.Name(), ".") {
				return fs.SkipDir
			}
			return os.MkdirAll(filepath.Join(to, path), 0o755)
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, path), raw, 0o644)
	})
}

// try reports whether the test fails with the mutation. A mutation that does
// not compile is an error.
func (m *mutation) try(dir string) (killed bool, err error) {
	path := filepath.Join(dir, m.File)
	raw, err := os.ReadFile(path)
	if err != nil {
		return false, err
	}
	if n := bytes.Count(raw, []byte(m.Old)); n != 1 {
		return false, fmt.Errorf("%s has %q %d times, want once", m.File, m.Old, n)
	}
	mutated := bytes.Replace(raw, []byte(m.Old), []byte(m.New), 1)
	if err := os.WriteFile(path, mutated, 0o644); err != nil {
		return false, err
	}
	defer func() { err = errors.Join(err, os.WriteFile(path, raw, 0o644)) }()
	if out, err := runGo(dir, "vet", m.Package); err != nil {
		return false, fmt.Errorf("does not compile: %s", out)
	}
	_, err = runGo(dir, "test", "-count=1", "-run", m.Test, m.Package)
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return true, nil
	}
	return false, err
}

func runGo(dir string, args ...string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, "go", args...)
	cmd.Dir = dir
	return cmd.CombinedOutput()
}
