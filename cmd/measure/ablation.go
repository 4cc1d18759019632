package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"github.com/pistachiousher/pistachiousher/measure/edits"
	"github.com/pistachiousher/pistachiousher/measure/fleet"
)

// ablation is an edit that switches a mechanism off.
type ablation struct {
	edits.Edit `yaml:",inline"`
	Mechanism  string `yaml:"mechanism"`
	// NeededFor names the rule or promise that needs the mechanism, whatever it is worth.
	NeededFor string `yaml:"needed_for"`
}

// ablationCommand measures what mechanisms are worth.
type ablationCommand struct {
	list, only, profiles string
	seed                 uint64
	seeds                int
	copyTo               string
}

func (*ablationCommand) Name() string { return "ablation" }
func (*ablationCommand) Synopsis() string {
	return "switch mechanisms off one at a time and play the model of the load"
}
func (*ablationCommand) Usage() string {
	return "ablation [-list FILE] [-only TEXT] [-profiles FILES] [-seed S] [-seeds N] [-copy DIRECTORY]\n"
}

func (c *ablationCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.list, "list", "docs/ablations.yaml", "`file` with the mechanisms")
	f.StringVar(&c.only, "only", "", "only mechanisms whose name contains `text`")
	f.StringVar(&c.profiles, "profiles", "measure/fleet/profiles/burst.yaml,measure/fleet/profiles/index.yaml", "`files` with profiles, separated by commas")
	f.Uint64Var(&c.seed, "seed", 1, "first seed")
	f.IntVar(&c.seeds, "seeds", 10, "number of runs of each profile")
	f.StringVar(&c.copyTo, "copy", "", "write the module without the only mechanism of -only to `directory`, which must not exist, and play nothing")
}

func (c *ablationCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.seeds < 1 || c.seeds > maxSeeds {
		return fail(fmt.Errorf("-seeds: want 1 to %d", maxSeeds))
	}
	var all, list []ablation
	if err := edits.ReadList(c.list, &all); err != nil {
		return fail(err)
	}
	for _, a := range all {
		if strings.Contains(a.Mechanism, c.only) {
			list = append(list, a)
		}
	}
	run := c.play
	if c.copyTo != "" {
		run = c.copyWithout
	}
	if err := run(ctx, list); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

// copyWithout writes a copy of the module with one mechanism switched off.
func (c *ablationCommand) copyWithout(_ context.Context, list []ablation) error {
	if len(list) != 1 {
		return fmt.Errorf("-copy: %d mechanisms have %q in their name, want one", len(list), c.only)
	}
	if err := os.Mkdir(c.copyTo, 0o755); err != nil {
		return err
	}
	if err := edits.CopyModule(c.copyTo); err != nil {
		return err
	}
	return list[0].Apply(c.copyTo)
}

// play compares each mechanism's absence with the whole module, on all profiles.
func (c *ablationCommand) play(ctx context.Context, list []ablation) error {
	dir, err := os.MkdirTemp("", "ablation")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if err := edits.CopyModule(dir); err != nil {
		return err
	}
	profiles := strings.Split(c.profiles, ",")
	whole := make([]fleet.Runs, len(profiles))
	for i, path := range profiles {
		p, err := fleet.LoadProfile(path)
		if err != nil {
			return err
		}
		whole[i] = fleet.RunSeeds(p, c.seed, c.seeds)
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer t.Flush()
	fmt.Fprintln(t, "mechanism\tprofile\tworth with it\tworth of it\tstandard error\tneeded for")
	for _, a := range list {
		for i, path := range profiles {
			var without fleet.Runs
			err := a.Try(dir, func() (err error) {
				without, err = playElsewhere(ctx, dir, path, c.seed, c.seeds)
				return err
			})
			if err != nil {
				return fmt.Errorf("%s: %w", a.Mechanism, err)
			}
			differences, err := fleet.Compare(without, whole[i])
			if err != nil {
				return err
			}
			d := differences[0]
			fmt.Fprintf(t, "%s\t%s\t%.3f\t%+.3f\t%.3f\t%s\n", a.Mechanism, filepath.Base(path), d.After, d.Mean, d.Error, a.NeededFor)
		}
	}
	return nil
}
