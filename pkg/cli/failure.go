package cli

import (
	"context"
	"errors"
	"fmt"
	"io/fs"

	"github.com/pistachiousher/pistachiousher/pkg/bundle"
	"github.com/pistachiousher/pistachiousher/pkg/controls"
	"github.com/pistachiousher/pistachiousher/pkg/operator"
)

// ExitCode is the exit code of the program.
type ExitCode int

// Exit codes.
const (
	ExitOK ExitCode = 0
	// ExitFailed means that the command failed: nothing was changed, a daemon
	// still serves with an earlier version, or a check found a fault.
	ExitFailed ExitCode = 1
	// ExitUsage means that the command line or a request is wrong.
	ExitUsage ExitCode = 2
	// ExitConflict means that the command conflicts with another operator's
	// change; nothing was changed.
	ExitConflict ExitCode = 3
	// ExitUnknown means that a change may or may not have taken effect.
	ExitUnknown ExitCode = 4
	// ExitNotRun means that a query was refused and did not run.
	ExitNotRun ExitCode = 5
	// ExitMayHaveRun means that a query got no usable answer but may have run.
	ExitMayHaveRun ExitCode = 6
)

// Failure is an error in the form in which it is reported to the user.
type Failure struct {
	Code    ExitCode `json:"exit_code"`
	Message string   `json:"error"`
	// Details are further lines, for example a diff.
	Details []string `json:"details,omitempty"`
	// Next advises the user what to do next.
	Next string `json:"next,omitempty"`
}

// Error implements error.
func (f *Failure) Error() string { return f.Message }

// usageError returns a Failure for an invalid command line.
func usageError(format string, args ...any) error {
	return &Failure{Code: ExitUsage, Message: fmt.Sprintf(format, args...), Next: "see the help of the command"}
}

// explainError translates errors of the packages that the commands use into a
// Failure with an exit code and advice.
func explainError(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	for _, try := range []func(error) *Failure{explainConflict, explainControls, explainPlatform, explainBundle, explainQuery} {
		if f := try(err); f != nil {
			f.Message = err.Error()
			return f
		}
	}
	if errors.Is(err, context.Canceled) {
		return &Failure{Code: ExitUnknown, Message: err.Error(), Next: "ask `status` what is in force"}
	}
	return &Failure{Code: ExitFailed, Message: err.Error()}
}

func explainConflict(err error) *Failure {
	var race *operator.ErrRace
	var proposed *operator.ErrProposed
	var changed *operator.ErrChanged
	switch {
	case errors.As(err, &race):
		return &Failure{Code: ExitConflict, Details: changeLines(race.Diff),
			Next: fmt.Sprintf("read the diff, then propose a version above %d that contains both changes and roll it out with -base %d", race.Found, race.Found)}
	case errors.As(err, &proposed):
		return &Failure{Code: ExitConflict, Details: changeLines(proposed.Diff),
			Next: "give your bundle the next free version, which `bundle status` shows, and propose it again"}
	case errors.As(err, &changed):
		return &Failure{Code: ExitConflict, Next: "look at the present state with `bundle status` or `status`, then run the command again"}
	case errors.Is(err, operator.ErrNotHigher):
		return &Failure{Code: ExitConflict, Next: "to go back to an earlier bundle, propose its contents under a new, higher version"}
	case errors.Is(err, operator.ErrDigest):
		return &Failure{Code: ExitConflict, Next: "read the proposal with `bundle diff` before you sign it; it is not the bundle that you read"}
	}
	return nil
}

func changeLines(changes []bundle.Change) []string {
	var lines []string
	for _, c := range changes {
		lines = append(lines, c.String())
	}
	return lines
}

func explainControls(err error) *Failure {
	var conflict *controls.ErrConflict
	var last *controls.ErrLastReplica
	var unknown *controls.ErrUnknown
	switch {
	case errors.As(err, &conflict):
		return &Failure{Code: ExitConflict, Next: "talk to " + conflict.Present.Author + ", then repeat the command with -force to replace that entry"}
	case errors.As(err, &last):
		return &Failure{Code: ExitFailed, Next: "bring another replica back first, or repeat the command with -force to lose these shards"}
	case errors.As(err, &unknown):
		return &Failure{Code: ExitUsage, Next: "check the spelling against the active bundle"}
	}
	return nil
}

func explainPlatform(err error) *Failure {
	switch {
	case errors.Is(err, operator.ErrUnknownOutcome):
		return &Failure{Code: ExitUnknown, Next: "run the same command again once the platform answers: it reads the present state first and does nothing twice"}
	case errors.Is(err, operator.ErrUnavailable):
		return &Failure{Code: ExitFailed, Next: "nothing was changed; check -platform and run the command again once the platform answers"}
	case errors.Is(err, operator.ErrNotFound):
		return &Failure{Code: ExitFailed, Next: "see what there is with `bundle status`"}
	}
	return nil
}

func explainBundle(err error) *Failure {
	switch {
	case errors.Is(err, bundle.ErrInvalid):
		return &Failure{Code: ExitFailed, Next: "correct the lines named above; `bundle validate` checks the file without the platform"}
	case errors.Is(err, bundle.ErrSignatures):
		return &Failure{Code: ExitFailed, Next: "let further operators run `bundle sign`; `bundle status` shows who signed"}
	case errors.Is(err, bundle.ErrTooLarge):
		return &Failure{Code: ExitFailed, Next: "shorten the bundle: the platform stores no value above 1 MB"}
	case errors.Is(err, fs.ErrNotExist):
		return &Failure{Code: ExitFailed, Next: "check the file name"}
	}
	return nil
}
