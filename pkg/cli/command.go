package cli

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
)

// Action is one run of a command. Its fields hold the values of its flags.
type Action interface {
	// Flags declares the flags.
	Flags(*flag.FlagSet)
	// Run executes the command; args are the arguments after the flags. A
	// non-nil Result is printed even if Run also returns an error.
	Run(ctx context.Context, env *Env, args []string) (Result, error)
}

// Command describes a command, or a group of commands if it has Sub.
type Command struct {
	Name string
	// Group is the heading in the list of commands.
	Group    string
	Synopsis string
	// Args names the arguments after the flags, for example "FILE".
	Args string
	New  func() Action
	Sub  []Command
}

// adapter implements subcommands.Command for a Command.
type adapter struct {
	env     *Env
	path    string
	command Command
	action  Action
	format  outputFormat
}

// Name implements subcommands.Command.
func (a *adapter) Name() string { return a.command.Name }

// Synopsis implements subcommands.Command.
func (a *adapter) Synopsis() string { return a.command.Synopsis }

// Usage implements subcommands.Command.
func (a *adapter) Usage() string {
	if a.command.Sub != nil {
		return fmt.Sprintf("%s %s <command> ...\n  %s\n", a.path, a.command.Name, a.command.Synopsis)
	}
	return fmt.Sprintf("%s %s [flags] %s\n  %s\n", a.path, a.command.Name, a.command.Args, a.command.Synopsis)
}

// SetFlags implements subcommands.Command.
func (a *adapter) SetFlags(f *flag.FlagSet) {
	f.SetOutput(a.env.Stderr)
	if a.command.Sub != nil {
		return
	}
	a.action, a.format = a.command.New(), formatText
	f.Var(&a.format, "output", "`format` of the output: text or json")
	a.action.Flags(f)
}

// Execute implements subcommands.Command.
func (a *adapter) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if a.command.Sub != nil {
		return newCommander(a.env, f, a.path+" "+a.command.Name, a.command.Sub).Execute(ctx)
	}
	result, err := a.action.Run(ctx, a.env, f.Args())
	if result != nil {
		if printErr := a.format.printResult(a.env.Stdout, result); printErr != nil && err == nil {
			err = printErr
		}
	}
	if err == nil {
		return subcommands.ExitSuccess
	}
	failure := explainError(err)
	a.format.printFailure(a.env.Stderr, failure)
	return subcommands.ExitStatus(failure.Code)
}
