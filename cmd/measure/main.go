// Command measure measures what the parts of pistachiousher cost and how they
// behave under load.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&policiesCommand{}, "")
	subcommands.Register(&capacityCommand{}, "")
	subcommands.Register(&serveCommand{}, "")
	subcommands.Register(&controlCommand{}, "")
	subcommands.Register(&fleetCommand{}, "")
	subcommands.Register(&ablationCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}

func fail(err error) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "measure: %v\n", err)
	return subcommands.ExitFailure
}
