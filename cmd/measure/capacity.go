package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"

	"github.com/google/subcommands"

	"github.com/pistachiousher/pistachiousher/measure/capacity"
)

// capacityCommand runs the measurements that docs/CAPACITY.md quotes.
type capacityCommand struct {
	out  string
	plot string
	only string
	from string
}

func (*capacityCommand) Name() string { return "capacity" }
func (*capacityCommand) Synopsis() string {
	return "measure costs on loopback and work out the design scale"
}
func (*capacityCommand) Usage() string {
	return "capacity [-out FILE] [-plot FILE] [-only NAME] [-from FILE]\n"
}

func (c *capacityCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.out, "out", "capacity.json", "file for figures and fits")
	f.StringVar(&c.plot, "plot", "", "file for the plot, PNG; empty for none")
	f.StringVar(&c.only, "only", "", "run only this measurement; no figures are worked out then")
	f.StringVar(&c.from, "from", "", "measure nothing and work out the figures of this report again")
}

func (c *capacityCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	report, err := c.report(ctx)
	if err != nil {
		return fail(err)
	}
	if err := report.WriteJSON(c.out); err != nil {
		return fail(err)
	}
	if c.plot != "" {
		if err := report.Plot(c.plot); err != nil {
			return fail(err)
		}
	}
	if len(report.Failed) > 0 {
		return fail(fmt.Errorf("failed: %q", report.Failed))
	}
	return subcommands.ExitSuccess
}

func (c *capacityCommand) report(ctx context.Context) (*capacity.Report, error) {
	if c.from != "" {
		return capacity.Read(c.from)
	}
	return capacity.Run(ctx, c.only, os.Stderr)
}

// serveCommand runs the other end of measurements whose two ends are separate
// processes, so that they can be told apart.
type serveCommand struct{ config capacity.ServeConfig }

func (*serveCommand) Name() string { return "serve" }
func (*serveCommand) Synopsis() string {
	return "serve the other end of a measurement until stdin ends"
}
func (*serveCommand) Usage() string { return "serve [-leafs N] [-members N] [-service N]...\n" }

func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.IntVar(&c.config.Leafs, "leafs", 10, "backend servers in the bundle")
	f.IntVar(&c.config.Members, "members", 3, "members in the epoch")
	f.Func("service", "backend server stand-ins of a further service", func(text string) error {
		n, err := strconv.Atoi(text)
		c.config.Services = append(c.config.Services, n)
		return err
	})
}

func (c *serveCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := capacity.Serve(c.config, os.Stdin, os.Stdout); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}
