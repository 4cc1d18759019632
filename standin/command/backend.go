package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"

	"github.com/google/subcommands"
	"github.com/oklog/run"

	"github.com/pistachiousher/pistachiousher/standin/backend"
)

// backendCommand serves the backend servers of a file until it is interrupted.
type backendCommand struct{ config string }

func (*backendCommand) Name() string     { return "backend" }
func (*backendCommand) Synopsis() string { return "serve one or more backend servers" }
func (*backendCommand) Usage() string    { return "backend -config FILE\n" }

func (c *backendCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config, "config", "", "YAML file with a list `backends`")
}

func (c *backendCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	raw, err := os.ReadFile(c.config)
	if err != nil {
		return fail(err)
	}
	configs, err := backend.ParseConfigs(raw)
	if err != nil {
		return fail(fmt.Errorf("%s: %w", c.config, err))
	}
	group := &run.Group{}
	for _, cfg := range configs {
		if err := add(group, cfg); err != nil {
			return fail(err)
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error { <-ctx.Done(); return nil }, func(error) { cancel() })
	if err := group.Run(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

// add puts one backend server into the group. Its address is printed before
// the group starts, so that a parent process can read it.
func add(group *run.Group, cfg backend.Config) error {
	s, err := backend.New(cfg, nil)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("backend server %s: %w", cfg.Name, err)
	}
	fmt.Printf("backend stand-in %s on %s\n", cfg.Name, l.Addr())
	group.Add(func() error { return s.Serve(l) }, func(error) { s.Close() })
	return nil
}
