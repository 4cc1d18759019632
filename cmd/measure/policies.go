package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/pistachiousher/pistachiousher/measure/load"
)

// policiesCommand compares the routing policies under load.
type policiesCommand struct {
	setup    string
	only     string
	loads    string
	keep     string
	rounds   int
	seed     uint64
	duration time.Duration
}

func (*policiesCommand) Name() string     { return "policies" }
func (*policiesCommand) Synopsis() string { return "compare the routing policies under load" }
func (*policiesCommand) Usage() string {
	return "policies -setup tomasic|brenes [-rounds N] [-duration D] [-only NAMES] [-loads FACTORS] [-keep DIRECTORY]\n"
}

func (c *policiesCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.setup, "setup", "tomasic", "tomasic or brenes")
	f.IntVar(&c.rounds, "rounds", 3, "rounds; the table has medians")
	f.DurationVar(&c.duration, "duration", 4*time.Second, "length of each load")
	f.Uint64Var(&c.seed, "seed", 1, "seed of arrivals and of the stand-ins' delays")
	f.StringVar(&c.only, "only", "", "policies to compare, separated by commas; all if empty")
	f.StringVar(&c.loads, "loads", "", "offered loads relative to what the servers bear, separated by commas")
	f.StringVar(&c.keep, "keep", "", "`directory` in which logs and settings are kept")
}

func (c *policiesCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	o, err := c.options()
	if err != nil {
		return fail(err)
	}
	r, err := load.Run(ctx, o)
	if err != nil {
		return fail(err)
	}
	r.WriteTable(os.Stdout)
	if n := r.WriteWrong(os.Stderr); n > 0 {
		return fail(fmt.Errorf("%d wrong answers", n))
	}
	return subcommands.ExitSuccess
}

func (c *policiesCommand) options() (load.Options, error) {
	o := load.Options{Rounds: c.rounds, Duration: c.duration, Seed: c.seed, Keep: c.keep, Progress: os.Stderr}
	var err error
	if o.Setup, err = load.Find(c.setup); err != nil {
		return o, err
	}
	if c.only != "" {
		o.Only = strings.Split(c.only, ",")
	}
	if c.loads == "" {
		return o, nil
	}
	for _, word := range strings.Split(c.loads, ",") {
		factor, err := strconv.ParseFloat(word, 64)
		if err != nil {
			return o, fmt.Errorf("-loads: %w", err)
		}
		o.Loads = append(o.Loads, factor)
	}
	return o, nil
}
