// Command pistachiousher is the command-line program for operators and callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, &cli.Env{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Now: time.Now}, os.Args[1:])
	stop()
	os.Exit(int(code))
}
