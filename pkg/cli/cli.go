// Package cli is the command line of operators and callers.
//
// A command is an Action in the table of commands.go. It returns a Result,
// which is printed as text or JSON, and errors, which are translated to exit
// codes and to advice on what to do next.
package cli

import (
	"context"
	"flag"
	"io"
	"time"

	"github.com/google/subcommands"
)

// name of the program in usage texts.
const name = "pistachiousher"

// Env is what a command gets from its process.
type Env struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	Now            func() time.Time
}

// Run runs the command that the arguments, without the program's name, name
// and returns the exit code.
func Run(ctx context.Context, env *Env, args []string) ExitCode {
	top := flag.NewFlagSet(name, flag.ContinueOnError)
	top.SetOutput(env.Stderr)
	commander := newCommander(env, top, name, commands())
	if err := top.Parse(args); err != nil {
		return ExitUsage
	}
	return ExitCode(commander.Execute(ctx))
}

func newCommander(env *Env, flags *flag.FlagSet, name string, all []Command) *subcommands.Commander {
	c := subcommands.NewCommander(flags, name)
	c.Output, c.Error = env.Stdout, env.Stderr
	c.Register(c.HelpCommand(), "")
	for _, command := range all {
		c.Register(&adapter{env: env, path: name, command: command}, command.Group)
	}
	return c
}
