// Package edits applies small changes to a copy of the module, one at a time, to see
// what the changed code does: whether a test fails without a condition, or what a
// mechanism is worth.
package edits

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/goccy/go-yaml"
)

// Edit replaces Old, which must occur exactly once in File, with New.
type Edit struct {
	File string `yaml:"file"`
	Old  string `yaml:"old"`
	New  string `yaml:"new"`
}

// ReadList reads a YAML list of edits with further fields into the slice that into
// points to. Unknown keys are errors.
func ReadList(path string, into any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := yaml.UnmarshalWithOptions(raw, into, yaml.Strict()); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// CopyModule copies the module in the current directory, without hidden directories.
func CopyModule(to string) error {
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

// Apply applies the edit to the copy in dir.
func (e Edit) Apply(dir string) error {
	path := filepath.Join(dir, e.File)
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if n := bytes.Count(raw, []byte(e.Old)); n != 1 {
		return fmt.Errorf("%s has %q %d times, want once", e.File, e.Old, n)
	}
	return os.WriteFile(path, bytes.Replace(raw, []byte(e.Old), []byte(e.New), 1), 0o644)
}

// Try applies the edit to the copy in dir, calls use, and takes the edit back.
func (e Edit) Try(dir string, use func() error) (err error) {
	path := filepath.Join(dir, e.File)
	before, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := e.Apply(dir); err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.WriteFile(path, before, 0o644)) }()
	return use()
}

// Go runs the go command in dir and returns what it printed.
func Go(ctx context.Context, dir string, args ...string) ([]byte, error) {
	cmd := exec.CommandContext(ctx, "go", args...)
	cmd.Dir = dir
	return cmd.CombinedOutput()
}
