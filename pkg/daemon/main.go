package daemon

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/pistachiousher/pistachiousher/pkg/settings"
)

// Exit codes, the same as those of the command pistachiousher.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Main runs the daemon with the arguments of its program, without the program's
// name, and returns the exit code.
func Main(args []string, stderr io.Writer) int {
	flags := flag.NewFlagSet("pistachiousherd", flag.ContinueOnError)
	flags.SetOutput(stderr)
	path := flags.String("settings", "", "settings `file` in YAML")
	check := flags.Bool("check", false, "check the settings and exit")
	err := flags.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case err != nil:
		return exitUsage
	case *path == "" || flags.NArg() > 0:
		fmt.Fprintln(stderr, "usage: pistachiousherd -settings FILE [-check]")
		return exitUsage
	}
	if err := runFile(*path, *check); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitOK
}

func runFile(path string, checkOnly bool) error {
	s, err := settings.Load(path)
	if err != nil || checkOnly {
		return err
	}
	options, files, err := FromSettings(s)
	if err != nil {
		files.Close()
		return err
	}
	err = Run(context.Background(), options)
	if closeErr := files.Close(); err == nil && closeErr != nil {
		err = fmt.Errorf("daemon: close log and trace files: %w", closeErr)
	}
	return err
}
