package cli

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/pistachiousher/pistachiousher/pkg/demo"
)

// demoAction runs the demo of package demo.
type demoAction struct {
	options demo.Options
	log     string
}

func (a *demoAction) Flags(f *flag.FlagSet) {
	f.Float64Var(&a.options.Rate, "rate", 0, "requests per second; 0 is the usual rate")
	f.DurationVar(&a.options.Phase, "phase", 0, "length of each of the three phases; 0 is the usual length")
	f.StringVar(&a.log, "log", "", "`file` for the log lines of the daemons, which are dropped by default")
}

func (a *demoAction) Run(ctx context.Context, env *Env, args []string) (Result, error) {
	if len(args) > 0 {
		return nil, usageError("unexpected argument %q", args[0])
	}
	if a.log != "" {
		f, err := os.Create(a.log)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		a.options.Log = f
	}
	a.options.Progress = env.Stderr
	report, err := demo.Run(ctx, a.options)
	if err != nil {
		return nil, err
	}
	if n := len(report.Faults); n > 0 {
		return report, &Failure{Code: ExitFailed, Message: fmt.Sprintf("demo failed: %s", report.Faults[0]),
			Next: "run it again with -log FILE and look for the request ids in the log"}
	}
	return report, nil
}
