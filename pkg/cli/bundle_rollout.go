package cli

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/pistachiousher/pistachiousher/pkg/operator"
	"github.com/pistachiousher/pistachiousher/pkg/settings"
)

// noBase is the value of -base if the flag is not given. It differs from 0,
// which means that no bundle is active.
const noBase = -1

// rollOutAction activates a proposal.
type rollOutAction struct {
	platform platformFlag
	wait     waitFlags
	base     int64
	settings string
}

type rolledOut struct {
	Version uint64 `json:"version"`
	// Changed is false if the version was already active.
	Changed bool `json:"changed"`
	daemonStates
}

// WriteText implements Result.
func (r rolledOut) WriteText(w io.Writer) error {
	what := "is active now"
	if !r.Changed {
		what = "was active already"
	}
	if _, err := fmt.Fprintf(w, "version %d %s\n", r.Version, what); err != nil {
		return err
	}
	return r.daemonStates.WriteText(w)
}

func (a *rollOutAction) Flags(f *flag.FlagSet) {
	a.platform.Flags(f)
	a.wait.Flags(f)
	f.Int64Var(&a.base, "base", noBase, "`version` of the active bundle that you compared with; 0 if there is none")
	f.StringVar(&a.settings, "settings", "", "settings `file` of a daemon, to check the signatures before the roll-out")
}

func (a *rollOutAction) Run(ctx context.Context, env *Env, args []string) (Result, error) {
	request, err := a.request(args)
	if err != nil {
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
	if request.Quorum == 0 {
		fmt.Fprintln(env.Stderr, "-settings is not given: only the daemons will check the signatures")
	}
	changed, err := client.RollOut(ctx, request)
	if err != nil {
		return nil, err
	}
	states, err := a.wait.waitForVersion(ctx, env, daemons, operator.BundleVersion, request.Version)
	return rolledOut{Version: request.Version, Changed: changed, daemonStates: states}, err
}

func (a *rollOutAction) request(args []string) (operator.RollOut, error) {
	text, err := oneArgument("version", args)
	if err != nil {
		return operator.RollOut{}, err
	}
	version, err := parseVersion(text)
	if err != nil {
		return operator.RollOut{}, err
	}
	if a.base < 0 {
		return operator.RollOut{}, usageError("-base is required: the version of the active bundle, which `bundle status` shows")
	}
	r := operator.RollOut{Version: version, Base: uint64(a.base)}
	if a.settings == "" {
		return r, nil
	}
	s, err := settings.Load(a.settings)
	if err != nil {
		return operator.RollOut{}, err
	}
	r.Keys, r.Quorum = s.Operators.Keys, s.Operators.Quorum
	return r, nil
}
