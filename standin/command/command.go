// Package command runs the stand-ins for the platform and for backend servers
// as processes.
package command

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// Main runs the command that the arguments, without the program's name, name
// until it is interrupted, and returns the exit code.
func Main(args []string) int {
	flags := flag.NewFlagSet("standin", flag.ContinueOnError)
	c := subcommands.NewCommander(flags, "standin")
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	c.Register(&platformCommand{}, "")
	c.Register(&backendCommand{}, "")
	if err := flags.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return int(c.Execute(ctx))
}
