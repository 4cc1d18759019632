package cli

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/edged"
)

// edgeRolloutsAction shows the orders of roll-outs that a daemon knows.
type edgeRolloutsAction struct{ edgeFlag }

type edgeRollouts []gateway.RolloutStatus

// WriteText implements Result.
func (l edgeRollouts) WriteText(w io.Writer) error {
	var out strings.Builder
	for _, x := range l {
		if x.Invalid != "" {
			fmt.Fprintf(&out, "%s: ignored: %s\n", x.Service, x.Invalid)
			continue
		}
		fmt.Fprintf(&out, "%s to %s: %s, acting on %s", x.Service, x.Target, x.State, x.Acting)
		if x.Reason != "" {
			fmt.Fprintf(&out, " (%s)", x.Reason)
		}
		fmt.Fprintf(&out, "; %d of %d ms, exposed %d of own %d requests; bad answers %d of %d, before %d of %d\n",
			x.AgeMS, x.DurationMS, x.Exposed, x.Requests, x.Bad, x.Answers, x.FormerBad, x.Former)
	}
	if len(l) == 0 {
		out.WriteString("no orders\n")
	}
	_, err := io.WriteString(w, out.String())
	return err
}

// Run implements Action.
func (a *edgeRolloutsAction) Run(ctx context.Context, _ *Env, args []string) (Result, error) {
	if len(args) > 0 {
		return nil, usageError("unexpected argument %q", args[0])
	}
	l := edgeRollouts{}
	if err := a.fetchJSON(ctx, edged.RolloutsPath, nil, &l); err != nil {
		return nil, err
	}
	return l, nil
}
