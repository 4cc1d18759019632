package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/pistachiousher/pistachiousher/pkg/operator"
)

// daemonStates is the part of a result that lists, for each daemon, whether a
// version is in force there.
type daemonStates struct {
	Daemons []operator.DaemonState `json:"daemons"`
}

// WriteText implements Result.
func (s daemonStates) WriteText(w io.Writer) error {
	for _, d := range s.Daemons {
		if _, err := fmt.Fprintln(w, daemonText(d)); err != nil {
			return err
		}
	}
	return nil
}

func daemonText(d operator.DaemonState) string {
	if d.State == operator.Unknown {
		return fmt.Sprintf("%s: unknown: %s", d.Address, d.Problem)
	}
	serving := "serving"
	if !d.Status.Serving {
		serving = "not serving: " + d.Status.Reason
	}
	return fmt.Sprintf("%s (%s): %s, bundle %d, controls %d, epoch %d, %s", d.Address, d.Status.VM,
		d.State, d.Status.BundleVersion, d.Status.ControlsVersion, d.Status.Epoch, serving)
}

// waitForVersion waits until no daemon serves with an earlier version, or until
// the -wait time is over. It prints the number of daemons in each state on
// standard error whenever one of them changes.
func (w *waitFlags) waitForVersion(ctx context.Context, env *Env, addresses []string, of operator.VersionOf, version uint64) (daemonStates, error) {
	if len(addresses) == 0 {
		return daemonStates{Daemons: []operator.DaemonState{}}, nil
	}
	ctx, cancel := withTimeout(ctx, w.wait)
	defer cancel()
	last := ""
	states := operator.WaitForDaemons(ctx, addresses, of, version, func(states []operator.DaemonState) {
		if line := countStates(states); line != last {
			fmt.Fprintf(env.Stderr, "version %d: %s\n", version, line)
			last = line
		}
	})
	return daemonStates{Daemons: states}, unsettledError(states)
}

func countStates(states []operator.DaemonState) string {
	n := map[operator.State]int{}
	for _, s := range states {
		n[s.State]++
	}
	return fmt.Sprintf("in force %d, stopped serving %d, behind %d, unknown %d",
		n[operator.InForce], n[operator.StoppedServing], n[operator.Behind], n[operator.Unknown])
}

// unsettledError returns an error if a daemon serves, or may serve, with an
// earlier version.
func unsettledError(states []operator.DaemonState) error {
	behind, unknown := 0, 0
	for _, s := range states {
		switch s.State {
		case operator.Behind:
			behind++
		case operator.Unknown:
			unknown++
		}
	}
	switch {
	case behind > 0:
		return &Failure{Code: ExitFailed, Message: fmt.Sprintf("%d daemons still serve with an earlier version", behind),
			Next: "the change is on the platform; look at the logs of these daemons for why they do not take it, then run `status`"}
	case unknown > 0:
		return &Failure{Code: ExitUnknown, Message: fmt.Sprintf("%d daemons did not answer", unknown),
			Next: "the change is on the platform; a daemon that is cut off stops serving by itself; check with `status`"}
	}
	return nil
}
