// Command pistachiousher-edge is the edge daemon. It runs on every entry VM and
// serves the routes of the platform's configuration.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/pistachiousher/pistachiousher/pkg/edged"
	"github.com/pistachiousher/pistachiousher/platform"
)

func main() {
	path := flag.String("settings", os.Getenv("PISTACHIOUSHER_SETTINGS"), "settings `file` in YAML")
	flag.Parse()
	if err := run(*path); err != nil {
		fmt.Fprintln(os.Stderr, "pistachiousher-edge:", err)
		os.Exit(1)
	}
}

func run(path string) error {
	settings, err := edged.LoadSettings(path)
	if err != nil {
		edged.LogStartFailure(os.Stdout, err)
		return err
	}
	settings.LimitMemory()
	return edged.Run(context.Background(), settings, platform.Adapter(), os.Stdout)
}
