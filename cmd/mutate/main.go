// Command mutate checks that the tests of invariants can fail. In a copy of the
// module it applies mutations one at a time, each of which breaks an invariant,
// and runs the test that must then fail.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"time"

	"github.com/pistachiousher/pistachiousher/measure/edits"
)

// testTimeout bounds the tests of one mutation.
const testTimeout = 5 * time.Minute

// mutation is an edit that breaks an invariant. Test is a regular expression for the
// test in Package that must then fail.
type mutation struct {
	edits.Edit `yaml:",inline"`
	Invariant  string `yaml:"invariant"`
	Package    string `yaml:"package"`
	Test       string `yaml:"test"`
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
	var mutations []mutation
	if err := edits.ReadList(list, &mutations); err != nil {
		return 0, err
	}
	dir, err := os.MkdirTemp("", "mutate")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	if err := edits.CopyModule(dir); err != nil {
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

// try reports whether the test fails with the mutation. A mutation that does
// not compile is an error.
func (m *mutation) try(dir string) (killed bool, err error) {
	err = m.Try(dir, func() error {
		if out, err := runGo(dir, "vet", m.Package); err != nil {
			return fmt.Errorf("does not compile: %s", out)
		}
		_, err := runGo(dir, "test", "-count=1", "-run", m.Test, m.Package)
		var exit *exec.ExitError
		if killed = errors.As(err, &exit); killed {
			return nil
		}
		return err
	})
	return killed, err
}

func runGo(dir string, args ...string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return edits.Go(ctx, dir, args...)
}
