package cli

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/edged"
)

// edgeTenantsAction shows the tenants and the use of their quotas at a daemon.
type edgeTenantsAction struct{ edgeFlag }

type edgeTenants []gateway.TenantStatus

// WriteText implements Result.
func (l edgeTenants) WriteText(w io.Writer) error {
	var out strings.Builder
	for _, x := range l {
		priority := "that of the route"
		if x.Priority != nil {
			priority = fmt.Sprint(*x.Priority)
		}
		fmt.Fprintf(&out, "%s: %d keys, priority %s, open %d, ", x.Name, x.Keys, priority, x.OpenRequests)
		if x.Quota == nil {
			out.WriteString("no limit\n")
		} else {
			q := x.Quota
			fmt.Fprintf(&out, "limit %v/s and burst %v; admitted %d of %d here, %.0f by all, borrowed %.3f, lent %.3f, refused %d\n",
				x.RatePerSecond, x.Burst, q.Admitted, q.Limit, q.Allowance, q.Borrowed, q.Lent, q.Refused)
		}
		for _, a := range x.Admission {
			fmt.Fprintf(&out, "  route %s at %s: %.3f s of leafs a second asked here, %.0f%% admitted\n", a.Route, a.Pool, a.Work, 100*a.Admitted)
		}
	}
	if len(l) == 0 {
		out.WriteString("the configuration has no tenants\n")
	}
	_, err := io.WriteString(w, out.String())
	return err
}

// Run implements Action.
func (a *edgeTenantsAction) Run(ctx context.Context, _ *Env, args []string) (Result, error) {
	if len(args) > 0 {
		return nil, usageError("unexpected argument %q", args[0])
	}
	l := edgeTenants{}
	if err := a.fetchJSON(ctx, edged.TenantsPath, nil, &l); err != nil {
		return nil, err
	}
	return l, nil
}
