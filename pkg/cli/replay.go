package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/pistachiousher/pistachiousher/pkg/core"
	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/trace"
)

// replayAction runs a recorded trace through a new reducer.
type replayAction struct{}

type replayed struct {
	VM          model.VM `json:"vm"`
	Incarnation string   `json:"incarnation"`
	// Steps is the number of steps that gave the recorded effects.
	Steps int `json:"steps"`
}

// WriteText implements Result.
func (r replayed) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%s, incarnation %s: %d steps gave the recorded effects\n", r.VM, r.Incarnation, r.Steps)
	return err
}

func (*replayAction) Flags(*flag.FlagSet) {}

func (*replayAction) Run(_ context.Context, _ *Env, args []string) (Result, error) {
	path, err := oneArgument("trace file", args)
	if err != nil {
		return nil, err
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r, cfg, err := trace.NewReader(f)
	if err != nil {
		return nil, explainTrace(err)
	}
	steps, err := trace.Replay(core.New(cfg), r)
	result := replayed{VM: cfg.Self.VM, Incarnation: fmt.Sprintf("%x", uint64(cfg.Self.Incarnation)), Steps: steps}
	return result, explainTrace(err)
}

// explainTrace turns errors about a trace into a Failure. For a mismatch it
// adds the effects that the replay gave at that step.
func explainTrace(err error) error {
	var mismatch *trace.MismatchError
	switch {
	case errors.As(err, &mismatch):
		return &Failure{Code: ExitFailed, Message: err.Error(), Details: effectLines(mismatch.Got),
			Next: "replay with the version of the program that recorded the trace; if that differs too, the reducer is not deterministic"}
	case errors.Is(err, trace.ErrInvalid):
		return &Failure{Code: ExitFailed, Message: err.Error(),
			Next: "a trace ends early when its daemon was killed; the steps before its end were compared"}
	}
	return err
}

func effectLines(effects []effect.Effect) []string {
	var lines []string
	for _, e := range effects {
		lines = append(lines, fmt.Sprintf("%T %+v", e, e))
	}
	return lines
}
