// Package cli implements the command line for operators and callers.
//
// Each command is an Action listed in the table in commands.go. It returns a
// Result, which is printed as text or JSON, and an error, which is translated
// to an exit code and advice on what to do next.
package cli

import (
	"context"
	"flag"
	"io"
	"time"

	"github.com/google/subcommands"
)

// programName is the name of the program in usage and error texts.
const programName = "pistachiousher"

// Env holds the standard streams and the clock that a command uses.
type Env struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	Now            func() time.Time
}

// Run runs the command given by args, which exclude the program name, and
// returns the exit code.
func Run(ctx context.Context, env *Env, args []string) ExitCode {
	top := flag.NewFlagSet(programName, flag.ContinueOnError)
	top.SetOutput(env.Stderr)
	commander := newCommander(env, top, programName, commands())
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
