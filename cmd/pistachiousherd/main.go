// Command pistachiousherd is the daemon that runs on every entry VM.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/pprof"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/daemon"
	"github.com/pistachiousher/pistachiousher/pkg/settings"
)

// Exit codes, those of the command line.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	path := flag.String("settings", "", "settings `file` in YAML")
	check := flag.Bool("check", false, "check the settings and exit")
	flag.Parse()
	if *path == "" || flag.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "usage: pistachiousherd -settings FILE [-check]")
		os.Exit(exitUsage)
	}
	if err := runDaemon(*path, *check); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	os.Exit(exitOK)
}

func init() {
	if f := os.Getenv("TRIAL_PPROF"); f != "" {
		go func() {
			time.Sleep(8 * time.Second)
			w, _ := os.Create(fmt.Sprintf("%s.%d", f, os.Getpid()))
			pprof.StartCPUProfile(w)
			time.Sleep(3 * time.Second)
			pprof.StopCPUProfile()
			w.Close()
		}()
	}
}

func runDaemon(path string, checkOnly bool) error {
	s, err := settings.Load(path)
	if err != nil || checkOnly {
		return err
	}
	options, files, err := daemon.FromSettings(s)
	if err != nil {
		files.Close()
		return err
	}
	err = daemon.Run(context.Background(), options)
	if closeErr := files.Close(); err == nil && closeErr != nil {
		err = fmt.Errorf("close log and trace files: %w", closeErr)
	}
	return err
}
