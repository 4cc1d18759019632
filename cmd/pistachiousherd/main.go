// Command pistachiousherd is the daemon that runs on every entry VM.
package main

import (
	"os"

	"github.com/pistachiousher/pistachiousher/pkg/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stderr)) }
