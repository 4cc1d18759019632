package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/controls"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/operator"
)

// verb is the change that a controlsAction makes.
type verb int

const (
	takeOut verb = iota
	bringBack
	drain
	undrain
)

// addsEntry reports whether the verb adds an entry to the controls, rather than
// removing one.
func (v verb) addsEntry() bool { return v == takeOut || v == drain }

// controlsAction adds or removes one entry of the controls.
type controlsAction struct {
	verb     verb
	platform platformFlag
	wait     waitFlags
	author   string
	reason   string
	duration time.Duration
	force    bool
}

type controlsChanged struct {
	Version uint64 `json:"version"`
	// Changed is false if the controls already were as wanted.
	Changed bool     `json:"changed"`
	Out     []string `json:"out"`
	daemonStates
}

// WriteText implements Result.
func (c controlsChanged) WriteText(w io.Writer) error {
	what := "changed"
	if !c.Changed {
		what = "nothing to change"
	}
	if _, err := fmt.Fprintf(w, "%s: controls have version %d\n", what, c.Version); err != nil {
		return err
	}
	for _, line := range c.Out {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	return c.daemonStates.WriteText(w)
}

func (a *controlsAction) Flags(f *flag.FlagSet) {
	a.platform.Flags(f)
	a.wait.Flags(f)
	f.StringVar(&a.author, "author", "", "your `name`")
	if a.verb.addsEntry() {
		f.StringVar(&a.reason, "reason", "", "why, for the other operators")
		f.DurationVar(&a.duration, "for", 0, "when the entry ends by itself; 0 for never")
		f.BoolVar(&a.force, "force", false, "replace another author's entry, and take out the last replica of a shard")
		return
	}
	f.BoolVar(&a.force, "force", false, "remove another author's entry")
}

func (a *controlsAction) Run(ctx context.Context, env *Env, args []string) (Result, error) {
	target, err := oneArgument("name", args)
	if err != nil {
		return nil, err
	}
	if err := a.checkFlags(); err != nil {
		return nil, err
	}
	daemons, err := a.wait.addresses()
	if err != nil {
		return nil, err
	}
	client, err := a.platform.client()
	if err != nil {
		return nil, err
	}
	next, changed, err := a.apply(ctx, client, target, env.Now())
	if err != nil {
		return nil, err
	}
	result := controlsChanged{Version: next.Version, Changed: changed, Out: activeLines(next, env.Now())}
	result.daemonStates, err = a.wait.waitForVersion(ctx, env, daemons, operator.ControlsVersion, next.Version)
	return result, err
}

func activeLines(c *model.Controls, now time.Time) []string {
	return append([]string{}, controls.Describe(c, now.UnixMilli())...)
}

func (a *controlsAction) checkFlags() error {
	switch {
	case a.author == "":
		return usageError("-author is required")
	case a.verb.addsEntry() && a.reason == "":
		return usageError("-reason is required")
	case a.duration < 0:
		return usageError("-for must not be negative")
	}
	return nil
}

// apply makes the change to the controls on the platform and returns the new
// controls, and false if there was nothing to change.
func (a *controlsAction) apply(ctx context.Context, client *operator.Client, target string, now time.Time) (*model.Controls, bool, error) {
	var b *model.Bundle
	if a.verb.addsEntry() {
		var err error
		if b, err = client.ActiveBundle(ctx); err != nil {
			return nil, false, err
		}
	}
	change := a.change(now)
	return client.ChangeControls(ctx, func(c *model.Controls) (*model.Controls, bool, error) {
		switch a.verb {
		case takeOut:
			return controls.TakeOut(c, b, model.FailureDomain(target), change)
		case drain:
			return controls.Drain(c, b, model.ServerName(target), change)
		case bringBack:
			return controls.BringBack(c, model.FailureDomain(target), change)
		}
		return controls.Undrain(c, model.ServerName(target), change)
	})
}

func (a *controlsAction) change(now time.Time) controls.Change {
	entry := model.ControlEntry{Author: a.author, Reason: a.reason, Since: now.UnixMilli()}
	if a.duration > 0 {
		entry.Until = now.Add(a.duration).UnixMilli()
	}
	return controls.Change{Entry: entry, Force: a.force}
}
