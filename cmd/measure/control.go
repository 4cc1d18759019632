package main

import (
	"context"
	"flag"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/pistachiousher/pistachiousher/measure/control"
)

// controlCommand measures the control path.
type controlCommand struct {
	out      string
	rollOuts int
	phase    time.Duration
	outage   time.Duration
}

func (*controlCommand) Name() string { return "control" }
func (*controlCommand) Synopsis() string {
	return "measure roll-outs, a domain taken out, a rolling replacement and a platform outage"
}
func (*controlCommand) Usage() string {
	return "control [-out FILE] [-rollouts N] [-phase D] [-outage D]\n"
}

func (c *controlCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.out, "out", "", "`file` for the page in Markdown; standard output if empty")
	f.IntVar(&c.rollOuts, "rollouts", 20, "number of roll-outs")
	f.DurationVar(&c.phase, "phase", 10*time.Second, "length of each phase")
	f.DurationVar(&c.outage, "outage", time.Minute, "length of the platform outage")
}

func (c *controlCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	r, err := control.Run(ctx, control.Options{RollOuts: c.rollOuts, Phase: c.phase, Outage: c.outage, Progress: os.Stderr})
	if err != nil {
		return fail(err)
	}
	out := os.Stdout
	if c.out != "" {
		if out, err = os.Create(c.out); err != nil {
			return fail(err)
		}
		defer out.Close()
	}
	command := "go run ./cmd/measure " + strings.Join(os.Args[1:], " ")
	if err := r.WritePage(out, command); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}
