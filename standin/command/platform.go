package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/pistachiousher/pistachiousher/standin/platform"
)

// platformCommand serves the platform stand-in until it is interrupted.
type platformCommand struct {
	listen    string
	readRate  float64
	writeRate float64
	delay     time.Duration
}

func (*platformCommand) Name() string     { return "platform" }
func (*platformCommand) Synopsis() string { return "serve the object API and VM list" }
func (*platformCommand) Usage() string {
	return "platform [-listen ADDRESS] [-read-rate N] [-write-rate N] [-delay D]\n"
}

func (c *platformCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:7000", "host:port to serve on")
	f.Float64Var(&c.readRate, "read-rate", platform.DefaultReadRate, "reads per second")
	f.Float64Var(&c.writeRate, "write-rate", platform.DefaultWriteRate, "writes per second")
	f.DurationVar(&c.delay, "delay", 0, "time added to every call")
}

func (c *platformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s := platform.New(platform.Options{ReadRate: c.readRate, WriteRate: c.writeRate, Delay: c.delay})
	server := &http.Server{Handler: s.Handler()}
	l, err := net.Listen("tcp", c.listen)
	if err != nil {
		return fail(err)
	}
	fmt.Printf("platform stand-in on %s\n", l.Addr())
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

func fail(err error) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "standin: %v\n", err)
	return subcommands.ExitFailure
}
