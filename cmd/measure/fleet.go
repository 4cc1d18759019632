package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"

	"github.com/google/subcommands"

	"github.com/pistachiousher/pistachiousher/measure/fleet"
)

// maxSeeds bounds the number of runs of a command.
const maxSeeds = 1000

// fleetCommand plays the model of the load.
type fleetCommand struct {
	profile string
	seed    uint64
	seeds   int
	json    bool
	rows    bool
	tenants bool
	against string
}

func (*fleetCommand) Name() string { return "fleet" }
func (*fleetCommand) Synopsis() string {
	return "play a model of daemons, callers and leafs under load"
}
func (*fleetCommand) Usage() string {
	return "fleet -profile FILE [-seed S] [-seeds N] [-rows] [-json] [-tenants] [-against DIRECTORY]\n"
}

func (c *fleetCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.profile, "profile", "", "`file` that describes the deployment, the load and the faults")
	f.Uint64Var(&c.seed, "seed", 1, "first seed")
	f.IntVar(&c.seeds, "seeds", 1, "number of runs, each with the next seed")
	f.BoolVar(&c.rows, "rows", false, "print each run by interval and route")
	f.BoolVar(&c.json, "json", false, "print the runs as JSON")
	f.BoolVar(&c.tenants, "tenants", false, "print what each tenant got, summed over the runs")
	f.StringVar(&c.against, "against", "", "compare with the code of the module in `directory`, which plays the same profile and seeds")
}

func (c *fleetCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.seeds < 1 || c.seeds > maxSeeds {
		return fail(fmt.Errorf("-seeds: want 1 to %d", maxSeeds))
	}
	p, err := fleet.LoadProfile(c.profile)
	if err != nil {
		return fail(err)
	}
	runs := fleet.RunSeeds(p, c.seed, c.seeds)
	if err := c.print(ctx, runs); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

func (c *fleetCommand) print(ctx context.Context, runs fleet.Runs) error {
	if c.json {
		return json.NewEncoder(os.Stdout).Encode(runs)
	}
	if c.rows {
		for _, r := range runs {
			fmt.Printf("seed %d\n", r.Seed)
			if err := r.WriteText(os.Stdout); err != nil {
				return err
			}
		}
	}
	if c.tenants {
		return runs.WriteTenants(os.Stdout)
	}
	if c.against == "" {
		return runs.WriteText(os.Stdout)
	}
	before, err := playElsewhere(ctx, c.against, c.profile, c.seed, c.seeds)
	if err != nil {
		return err
	}
	differences, err := fleet.Compare(before, runs)
	if err != nil {
		return err
	}
	return fleet.WriteDifferences(os.Stdout, differences)
}

// playElsewhere plays a profile with the code of the module in dir.
func playElsewhere(ctx context.Context, dir, profile string, seed uint64, seeds int) (fleet.Runs, error) {
	path, err := filepath.Abs(profile)
	if err != nil {
		return nil, err
	}
	cmd := exec.CommandContext(ctx, "go", "run", "./cmd/measure", "fleet", "-profile", path, "-json",
		"-seed", strconv.FormatUint(seed, 10), "-seeds", strconv.Itoa(seeds))
	cmd.Dir, cmd.Stderr = dir, os.Stderr
	out, err := cmd.Output()
	if err != nil {
		return nil, fmt.Errorf("play in %s: %w", dir, err)
	}
	var runs fleet.Runs
	if err := json.Unmarshal(out, &runs); err != nil {
		return nil, fmt.Errorf("play in %s: %w", dir, err)
	}
	return runs, nil
}
